//! Request ids: the ids of open requests, which are unique, and the generation of new ids.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The distance between consecutive generated ids. An odd step visits all 2^64 ids before one repeats.
const REQUEST_ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// The ids of open requests. Clones share the ids.
#[derive(Clone, Default)]
pub struct OpenRequestIds {
    ids: Rc<RefCell<BTreeSet<String>>>,
}

/// The claim on the id of an open request; released on drop.
pub struct RequestIdClaim {
    open_ids: OpenRequestIds,
    id: String,
}

impl OpenRequestIds {
    /// Claims an id; `None` if an open request has the same id. Endpoints identify requests by their ids, so
    /// a second request could get the response to the first or cancel it.
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

/// Generates ids for requests that arrive without one.
pub struct RequestIdGenerator {
    last: Cell<u64>,
}

impl RequestIdGenerator {
    /// Creates a generator whose ids differ from those of other seeds and of other listener indexes.
    pub fn new(seed: u64, listener: usize) -> RequestIdGenerator {
        RequestIdGenerator { last: Cell::new(seed.wrapping_add((listener as u64) << 48)) }
    }

    /// Generates the next id, which has 16 hexadecimal digits.
    pub fn next(&self) -> String {
        let id = self.last.get().wrapping_add(REQUEST_ID_STEP);
        self.last.set(id);
        format!("{id:016x}")
    }
}
