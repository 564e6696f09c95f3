//! Idempotency keys on the downstream side: one table shared by all protocols.
//!
//! The crate `idempotency` defines the rules and limits. A request of a class with keys reserves its key
//! before the request is submitted; a key that is in use results in a rejection or the stored response.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use decide::Micros;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use idempotency::{IdempotencyTable, ReservationId, ReserveOutcome, StoredResponse, TableLimits};

use crate::clock::Clock;
use crate::exchange::{AttemptCounter, Execution, FinalResponse, UpstreamResponse};
use crate::router::{Rejection, NO_RETRY_AFTER};

/// The cause of a rejection while a request with the same key is in progress.
pub const IN_PROGRESS_CAUSE: &str = "key-open";
/// The cause of a rejection if a request with the same key was served and its response is no longer stored.
pub const RESPONSE_EVICTED_CAUSE: &str = "key-done";
/// The cause of a rejection if a request with the same key may have been executed by endpoints that were not
/// told its key, so that they would execute it again.
pub const RESULT_UNKNOWN_CAUSE: &str = "key-unknown";
/// The cause of a rejection if the table has no room for another key.
pub const TABLE_FULL_CAUSE: &str = "keys";
/// Time to wait before a retry while a request with the same key is in progress, in microseconds.
const IN_PROGRESS_RETRY_AFTER: Micros = 1_000_000;
/// The approximate memory use of a stored header in addition to the bytes of its name and value.
const HEADER_OVERHEAD_BYTES: usize = 128;
/// The approximate memory use of a stored response in addition to its headers and its body.
const RESPONSE_OVERHEAD_BYTES: usize = 128;

/// A stored response. Always complete, because streamed responses are never stored. It holds copies: the parts of
/// a received response share the buffer into which it was read, which is many times as large as most responses.
#[derive(Clone)]
struct BufferedResponse {
    headers: Rc<[(HeaderName, HeaderValue)]>,
    body: Bytes,
}

impl BufferedResponse {
    fn copy_of(headers: &HeaderMap, body: &[u8]) -> BufferedResponse {
        let copy = |(name, value): (&HeaderName, &HeaderValue)| {
            // A valid name and value stay valid.
            let name = HeaderName::from_bytes(name.as_ref()).ok()?;
            Some((name, HeaderValue::from_bytes(value.as_bytes()).ok()?))
        };
        BufferedResponse {
            headers: headers.iter().filter_map(copy).collect(),
            body: Bytes::copy_from_slice(body),
        }
    }

    fn size_bytes(&self) -> usize {
        let header_bytes = |name: &str, value: &[u8]| HEADER_OVERHEAD_BYTES + name.len() + value.len();
        let headers = self.headers.iter().map(|(name, value)| header_bytes(name.as_str(), value.as_bytes()));
        RESPONSE_OVERHEAD_BYTES + headers.sum::<usize>() + self.body.len()
    }

    fn into_response(self) -> UpstreamResponse {
        let mut headers = HeaderMap::with_capacity(self.headers.len());
        for (name, value) in &*self.headers {
            headers.append(name.clone(), value.clone());
        }
        UpstreamResponse { headers, body: self.body.into() }
    }
}

/// A table of idempotency keys. Clones share the table.
#[derive(Clone)]
pub struct KeyTable {
    table: Rc<RefCell<IdempotencyTable<BufferedResponse>>>,
    clock: Clock,
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new(limits: TableLimits, clock: Clock) -> KeyTable {
        KeyTable { table: Rc::new(RefCell::new(IdempotencyTable::new(limits))), clock }
    }

    /// Changes the limits; see [`IdempotencyTable::set_limits`].
    pub fn set_limits(&self, limits: TableLimits) {
        self.table.borrow_mut().set_limits(limits);
    }
}

/// The table, the class and the retention of a request's idempotency key.
pub struct KeyScope {
    /// The table that holds the key.
    pub table: KeyTable,
    /// The name of the class.
    pub class: Rc<str>,
    /// The retention of a key after its request was served, in microseconds.
    pub window: Micros,
}

/// The result of [`KeyScope::reserve`].
pub enum KeyLookup {
    /// The key is new, and the request has to be sent.
    Reserved(ReservedKey),
    /// A request with the key was served within the window. Holds the stored response; nothing has to be
    /// sent.
    Replayed(FinalResponse),
}

impl KeyScope {
    /// Reserves the key of a request.
    ///
    /// # Errors
    /// Returns an error if a request with the key is in progress, if its response is no longer stored or was
    /// never known, or if the table is full.
    pub fn reserve(self, key: &str) -> Result<KeyLookup, Rejection> {
        let now = self.table.clock.now();
        let outcome = self.table.table.borrow_mut().reserve(now, &self.class, key);
        match outcome {
            ReserveOutcome::Reserved(reservation) => {
                let attempts = AttemptCounter::default();
                Ok(KeyLookup::Reserved(ReservedKey { scope: self, reservation, attempts, is_settled: false }))
            }
            ReserveOutcome::Completed(response) => {
                Ok(KeyLookup::Replayed(FinalResponse::Served(response.into_response())))
            }
            ReserveOutcome::InProgress => {
                Err(rejection(StatusCode::CONFLICT, IN_PROGRESS_CAUSE, IN_PROGRESS_RETRY_AFTER))
            }
            ReserveOutcome::ResponseEvicted => {
                Err(rejection(StatusCode::CONFLICT, RESPONSE_EVICTED_CAUSE, NO_RETRY_AFTER))
            }
            ReserveOutcome::ResultUnknown => {
                Err(rejection(StatusCode::CONFLICT, RESULT_UNKNOWN_CAUSE, NO_RETRY_AFTER))
            }
            ReserveOutcome::TableFull { retry_after } => {
                Err(rejection(StatusCode::TOO_MANY_REQUESTS, TABLE_FULL_CAUSE, retry_after))
            }
        }
    }
}

fn rejection(status: StatusCode, cause: &'static str, retry_after: Micros) -> Rejection {
    Rejection { status, cause: Some(cause), retry_after }
}

/// The reserved key of a request in progress. When it is dropped without a recorded response, the key is free
/// again, because endpoints discard repeats by it. If they were not told the key, it is kept for its retention.
pub struct ReservedKey {
    scope: KeyScope,
    reservation: ReservationId,
    attempts: AttemptCounter,
    is_settled: bool,
}

impl ReservedKey {
    /// Sets the counter of the request's attempts, which tells whether they carry the key.
    pub fn observe_attempts(&mut self, attempts: AttemptCounter) {
        self.attempts = attempts;
    }

    /// Records the final response of the request. It is stored if the request was served.
    pub fn record_response(&mut self, response: &FinalResponse) {
        match response {
            FinalResponse::Served(response) => self.store(response),
            FinalResponse::Rejected { execution: Execution::RuledOut, .. } => self.release(),
            FinalResponse::Rejected { execution: Execution::Possible, .. }
            | FinalResponse::Failed
            | FinalResponse::TimedOut => {}
        }
    }

    fn release(&mut self) {
        self.is_settled = true;
        self.scope.table.table.borrow_mut().release(self.reservation);
    }

    fn store(&mut self, response: &UpstreamResponse) {
        let UpstreamResponse { headers, body } = response;
        // Responses of classes with keys are never streamed.
        let Some(body) = body.buffered() else { return };
        self.is_settled = true;
        let response = BufferedResponse::copy_of(headers, &body);
        let bytes = response.size_bytes();
        let now = self.scope.table.clock.now();
        let mut table = self.scope.table.table.borrow_mut();
        table.complete(now, self.reservation, StoredResponse { response, bytes }, self.scope.window);
    }
}

impl Drop for ReservedKey {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        if self.attempts.started_without_key() {
            let now = self.scope.table.clock.now();
            let mut table = self.scope.table.table.borrow_mut();
            table.retain_unknown(now, self.reservation, self.scope.window);
        } else {
            self.release();
        }
    }
}
