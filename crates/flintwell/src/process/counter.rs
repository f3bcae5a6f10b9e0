//! Shared counter for use on one thread.

use std::cell::Cell;
use std::rc::Rc;

/// Counter shared between the code that increments it and the code that reports it.
pub type Counter = Rc<Cell<u64>>;

/// Adds one to the counter.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
