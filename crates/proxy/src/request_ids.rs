//! Request ids: the ids of open requests, which are unique, and the generation of new ids.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::exchange::AttemptCounter;

/// The distance between consecutive generated ids. An odd step visits all 2^64 ids before one repeats.
const REQUEST_ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// The time for which the id of an abandoned request is kept.
const ABANDONED_RETENTION: Duration = Duration::from_secs(60);
/// The maximum number of ids of abandoned requests that are kept; above it, the oldest is released.
const MAX_ABANDONED: usize = 4096;

/// The ids of open requests, and of those whose client left before it had a response. Clones share the ids.
#[derive(Clone, Default)]
pub struct OpenRequestIds(Rc<RefCell<ClaimedIds>>);

#[derive(Default)]
struct ClaimedIds {
    ids: BTreeSet<String>,
    /// The ids of abandoned requests, which are in `ids` as well, and until when they are kept.
    abandoned: VecDeque<(Instant, String)>,
}

impl ClaimedIds {
    fn release_expired(&mut self, now: Instant) {
        while self.abandoned.front().is_some_and(|(until, _)| *until <= now) {
            self.release_oldest_abandoned();
        }
    }

    fn release_oldest_abandoned(&mut self) {
        if let Some((_, id)) = self.abandoned.pop_front() {
            self.ids.remove(&id);
        }
    }

    fn abandon(&mut self, id: String, now: Instant) {
        if self.abandoned.len() >= MAX_ABANDONED {
            self.release_oldest_abandoned();
        }
        self.abandoned.push_back((now + ABANDONED_RETENTION, id));
    }
}

/// The claim on the id of an open request. Dropped without [`RequestIdClaim::release`], the request has been
/// abandoned by its client: if it may have been executed and must not be executed twice, its id stays claimed for
/// [`ABANDONED_RETENTION`].
pub struct RequestIdClaim {
    open_ids: OpenRequestIds,
    id: String,
    /// The attempts of a request that must not be executed twice; `None` for other requests.
    unsafe_attempts: Option<AttemptCounter>,
}

impl OpenRequestIds {
    /// Claims an id; `None` if a request that is open or abandoned has the same id. Endpoints identify requests
    /// by their ids, so a second request could get the response to the first or cancel it.
    pub fn claim(&self, id: &str) -> Option<RequestIdClaim> {
        let mut claimed = self.0.borrow_mut();
        claimed.release_expired(Instant::now());
        let is_free = claimed.ids.insert(id.to_owned());
        is_free.then(|| RequestIdClaim { open_ids: self.clone(), id: id.to_owned(), unsafe_attempts: None })
    }
}

impl RequestIdClaim {
    /// Sets the attempts of a request that must not be executed twice.
    pub fn observe_unsafe_attempts(&mut self, attempts: AttemptCounter) {
        self.unsafe_attempts = Some(attempts);
    }

    /// Releases the id of a request whose client gets a response.
    pub fn release(mut self) {
        self.unsafe_attempts = None;
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        let mut claimed = self.open_ids.0.borrow_mut();
        if self.unsafe_attempts.as_ref().is_some_and(AttemptCounter::is_write_started) {
            claimed.abandon(std::mem::take(&mut self.id), Instant::now());
        } else {
            claimed.ids.remove(&self.id);
        }
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
