//! Keyed requests run once, whichever protocol they come by: the table of their keys, as a front uses it.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use decide::Micros;
use hyper::{HeaderMap, StatusCode};
use idempotency::{Begin, Bounds, Keys, Ticket};

use crate::clock::Clock;
use crate::exchange::Answer;
use crate::router::Rejection;

/// The causes that refusals for a key are told by.
pub const OPEN: &str = "key-open";
pub const DONE: &str = "key-done";
pub const FULL: &str = "keys";
/// When to ask again for a key that is open.
const AGAIN: Micros = 1_000_000;
/// What an entry takes beside the bytes of its answer, about.
const HEADER: usize = 64;

type Served = (HeaderMap, Bytes);

/// The keys of those who share them.
#[derive(Clone)]
pub struct KeyTable {
    keys: Rc<RefCell<Keys<Served>>>,
    clock: Clock,
}

impl KeyTable {
    pub fn new(bounds: Bounds, clock: Clock) -> KeyTable {
        KeyTable { keys: Rc::new(RefCell::new(Keys::new(bounds))), clock }
    }

    pub fn set_bounds(&self, bounds: Bounds) {
        self.keys.borrow_mut().set_bounds(bounds);
    }
}

/// Where the keys of a class are known, and for how long.
pub struct KeyScope {
    pub table: KeyTable,
    pub class: Rc<str>,
    pub window: Micros,
}

/// What a key comes to.
pub enum KeyLookup {
    Reserved(ReservedKey),
    /// It was served within its window: this is the answer again, and nothing is to be sent.
    Replayed(Answer),
}

impl KeyScope {
    /// A request comes with this key.
    ///
    /// # Errors
    /// What to turn it away with: another with it is open, or its answer is gone, or there is no room for it.
    pub fn reserve(self, key: &str) -> Result<KeyLookup, Rejection> {
        let now = self.table.clock.now();
        let begun = self.table.keys.borrow_mut().begin(now, &self.class, key);
        let turned = |status, cause, retry_after| Err(Rejection { status, cause: Some(cause), retry_after });
        match begun {
            Begin::New(ticket) => Ok(KeyLookup::Reserved(ReservedKey { scope: self, ticket, served: false })),
            Begin::Answered((headers, body)) => Ok(KeyLookup::Replayed(Answer::Served(headers, body.into()))),
            Begin::Open => turned(StatusCode::CONFLICT, OPEN, AGAIN),
            Begin::Done => turned(StatusCode::CONFLICT, DONE, 0),
            Begin::Full(until) => turned(StatusCode::TOO_MANY_REQUESTS, FULL, until),
        }
    }
}

/// A key whose request is open. Dropping it says that it was not served.
pub struct ReservedKey {
    scope: KeyScope,
    ticket: Ticket,
    served: bool,
}

impl ReservedKey {
    /// Its request has this answer.
    pub fn answered(&mut self, answer: &Answer) {
        let Answer::Served(headers, body) = answer else { return };
        // One that flows is not held, and never is where keys are.
        let Some(body) = body.buffered() else { return };
        self.served = true;
        let bytes =
            headers.iter().map(|(n, v)| HEADER + n.as_str().len() + v.len()).sum::<usize>() + body.len();
        let (now, answer) = (self.scope.table.clock.now(), (headers.clone(), body));
        self.scope.table.keys.borrow_mut().served(now, self.ticket, answer, bytes, self.scope.window);
    }
}

impl Drop for ReservedKey {
    fn drop(&mut self) {
        if !self.served {
            self.scope.table.keys.borrow_mut().ended(self.ticket);
        }
    }
}
