//! Shared value that can be replaced at run time, for settings that change while requests are served.

use std::cell::RefCell;
use std::rc::Rc;

/// Shared, replaceable value. Readers call `get` for each use and keep a consistent snapshot for as long as they hold
/// the returned `Rc`.
pub struct Reloadable<T>(RefCell<Rc<T>>);

impl<T> Reloadable<T> {
    pub fn new(first: T) -> Rc<Self> {
        Rc::new(Reloadable(RefCell::new(Rc::new(first))))
    }
    /// Returns a snapshot of the current value.
    pub fn get(&self) -> Rc<T> {
        self.0.borrow().clone()
    }
    /// Replaces the value; snapshots already taken are unaffected.
    pub fn set(&self, next: T) {
        self.0.replace(Rc::new(next));
    }
}
