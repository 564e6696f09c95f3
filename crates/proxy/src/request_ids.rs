//! The ids of requests: those of open requests, each of which one request may have at a time, and generated ones.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The distance between two generated ids. An odd step visits all 2^64 ids before one repeats.
const REQUEST_ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

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

/// Generates ids for requests that come without one.
pub struct RequestIdGenerator {
    last: Cell<u64>,
}

impl RequestIdGenerator {
    /// A generator whose ids differ from those of other seeds and of listeners with another index.
    pub fn new(seed: u64, listener: usize) -> RequestIdGenerator {
        RequestIdGenerator { last: Cell::new(seed.wrapping_add((listener as u64) << 48)) }
    }

    /// The next id: 16 hex digits.
    pub fn next(&self) -> String {
        let id = self.last.get().wrapping_add(REQUEST_ID_STEP);
        self.last.set(id);
        format!("{id:016x}")
    }
}
