//! The ids of open requests, each once.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The ids of open requests.
#[derive(Clone, Default)]
pub struct OpenRequestIds(Rc<RefCell<BTreeSet<String>>>);

/// Holds an id.
pub struct RequestIdClaim(OpenRequestIds, String);

impl OpenRequestIds {
    /// None where an open request has this id: a second one could be given the answer to the first, or call
    /// it off at a backend that knows requests by their ids.
    pub fn claim(&self, id: &str) -> Option<RequestIdClaim> {
        self.0.borrow_mut().insert(id.to_owned()).then(|| RequestIdClaim(self.clone(), id.to_owned()))
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        self.0 .0.borrow_mut().remove(&self.1);
    }
}
