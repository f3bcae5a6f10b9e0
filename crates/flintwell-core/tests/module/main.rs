//! All tests of the decision module; `world` is their one helper.
mod cases;
mod rules;
mod world;
