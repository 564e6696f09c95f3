//! The ids of open requests, each of which one request may have at a time.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The ids of open requests. Clones share them.
#[derive(Clone, Default)]
pub struct OpenRequestIds {
    ids: Rc<RefCell<BTreeSet<String>>>,
}

/// The id of an open request; dropping this frees it.
pub struct RequestIdClaim {
    open_ids: OpenRequestIds,
    id: String,
}

impl OpenRequestIds {
    /// Claims an id. None where an open request has it: endpoints know requests by their ids, so a second one could get the
    /// response to the first, or cancel it.
    pub fn claim(&self, id: &str) -> Option<RequestIdClaim> {
        let is_free = self.ids.borrow_mut().insert(id.to_owned());
        is_free.then(|| RequestIdClaim { open_ids: self.clone(), id: id.to_owned() })
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        self.open_ids.ids.borrow_mut().remove(&self.id);
    }
}
