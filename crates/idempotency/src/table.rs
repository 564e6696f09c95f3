//! The table of idempotency keys.

use std::collections::{BTreeMap, HashMap};

use crate::Micros;

/// The limits of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// The maximum number of keys, in progress or completed.
    pub max_keys: usize,
    /// The maximum total size of responses, in bytes as passed to [`IdempotencyTable::complete`].
    pub max_response_bytes: usize,
}

impl Default for TableLimits {
    /// Returns limits of 65,536 keys and 16 MiB of responses.
    fn default() -> Self {
        TableLimits { max_keys: 1 << 16, max_response_bytes: 16 << 20 }
    }
}

/// The present usage of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableUsage {
    /// The number of keys, in progress or completed.
    pub keys: usize,
    /// The total size of responses, in bytes.
    pub response_bytes: usize,
}

/// The result of [`IdempotencyTable::reserve`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReserveOutcome<R> {
    /// The key is new and now reserved: the request may be executed, and must be completed or released.
    Reserved(ReservationId),
    /// A request with the key is in progress.
    InProgress,
    /// A request with the key was served, with this response.
    Completed(R),
    /// A request with the key was served, but its response is no longer stored.
    ResponseEvicted,
    /// A request with the key may have been executed, and its result is unknown.
    ResultUnknown,
    /// The table holds [`TableLimits::max_keys`] keys, and this key is not one of them.
    TableFull {
        /// The time until a key expires, in microseconds; 0 if it is unknown because all keys are in
        /// progress.
        retry_after: Micros,
    },
}

/// The identifier of the reservation of a key by a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(u64);

/// A response, and its size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse<R> {
    /// The response.
    pub response: R,
    /// The size that counts against [`TableLimits::max_response_bytes`], in bytes.
    pub bytes: usize,
}

/// A key within a class. The same key in another class is a different key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ScopedKey {
    class: Box<str>,
    key: Box<str>,
}

/// The end of the retention of a key whose request has ended, ordered by time. The reservation keeps the expiries of two
/// keys distinct if they are at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Micros,
    reservation: ReservationId,
}

#[derive(Debug)]
enum Entry<R> {
    InProgress,
    Completed { response: Option<StoredResponse<R>> },
    ResultUnknown,
}

/// A table of idempotency keys, with responses of type `R`.
#[derive(Debug)]
pub struct IdempotencyTable<R> {
    limits: TableLimits,
    last_reservation: u64,
    entries: HashMap<ScopedKey, Entry<R>>,
    in_progress: HashMap<ReservationId, ScopedKey>,
    completed: BTreeMap<Expiry, ScopedKey>,
    /// The entries of `completed` whose response is stored.
    with_response: BTreeMap<Expiry, ScopedKey>,
    response_bytes: usize,
}

impl<R: Clone> IdempotencyTable<R> {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: TableLimits) -> IdempotencyTable<R> {
        IdempotencyTable {
            limits,
            last_reservation: 0,
            entries: HashMap::new(),
            in_progress: HashMap::new(),
            completed: BTreeMap::new(),
            with_response: BTreeMap::new(),
            response_bytes: 0,
        }
    }

    /// Changes the limits. Keys over the new limit stay until they expire; responses over the new limit are
    /// evicted at once.
    pub fn set_limits(&mut self, limits: TableLimits) {
        self.limits = limits;
        self.evict_responses();
    }

    /// Returns the present usage. It includes entries that have expired since the last call with a time.
    #[must_use]
    pub fn usage(&self) -> TableUsage {
        TableUsage { keys: self.entries.len(), response_bytes: self.response_bytes }
    }

    /// Reserves the key for a request of this class, or returns the state of the key.
    pub fn reserve(&mut self, now: Micros, class: &str, key: &str) -> ReserveOutcome<R> {
        self.remove_expired(now);
        let scoped_key = ScopedKey { class: class.into(), key: key.into() };
        match self.entries.get(&scoped_key) {
            Some(Entry::InProgress) => ReserveOutcome::InProgress,
            Some(Entry::Completed { response: Some(stored) }) => {
                ReserveOutcome::Completed(stored.response.clone())
            }
            Some(Entry::Completed { response: None }) => ReserveOutcome::ResponseEvicted,
            Some(Entry::ResultUnknown) => ReserveOutcome::ResultUnknown,
            None if self.entries.len() >= self.limits.max_keys => {
                ReserveOutcome::TableFull { retry_after: self.time_to_next_expiry(now) }
            }
            None => ReserveOutcome::Reserved(self.insert_reservation(scoped_key)),
        }
    }

    /// Completes a request that was served, and retains its key for `retention` microseconds from `now`. Has
    /// no effect if the reservation has ended.
    pub fn complete(
        &mut self,
        now: Micros,
        reservation: ReservationId,
        response: StoredResponse<R>,
        retention: Micros,
    ) {
        let Some(scoped_key) = self.in_progress.remove(&reservation) else { return };
        let expiry = Expiry { at: now.saturating_add(retention.max(0)), reservation };
        let stored = Some(response).filter(|response| response.bytes <= self.limits.max_response_bytes);
        if let Some(stored) = &stored {
            self.response_bytes += stored.bytes;
            self.with_response.insert(expiry, scoped_key.clone());
        }
        self.completed.insert(expiry, scoped_key.clone());
        self.entries.insert(scoped_key, Entry::Completed { response: stored });
        self.evict_responses();
        self.remove_expired(now);
    }

    /// Ends a request that may have been executed and must not be executed again, and retains its key for
    /// `retention` microseconds from `now`. Has no effect if the reservation has ended.
    pub fn retain_unknown(&mut self, now: Micros, reservation: ReservationId, retention: Micros) {
        let Some(scoped_key) = self.in_progress.remove(&reservation) else { return };
        let expiry = Expiry { at: now.saturating_add(retention.max(0)), reservation };
        self.completed.insert(expiry, scoped_key.clone());
        self.entries.insert(scoped_key, Entry::ResultUnknown);
        self.remove_expired(now);
    }

    /// Releases the key of a request that was not executed, or whose repeat the endpoints discard. Has no
    /// effect if the reservation has ended.
    pub fn release(&mut self, reservation: ReservationId) {
        if let Some(scoped_key) = self.in_progress.remove(&reservation) {
            self.entries.remove(&scoped_key);
        }
    }

    fn insert_reservation(&mut self, scoped_key: ScopedKey) -> ReservationId {
        self.last_reservation += 1;
        let reservation = ReservationId(self.last_reservation);
        self.in_progress.insert(reservation, scoped_key.clone());
        self.entries.insert(scoped_key, Entry::InProgress);
        reservation
    }

    /// Returns the time from `now` until the next completed key expires; 0 if all keys are in progress.
    fn time_to_next_expiry(&self, now: Micros) -> Micros {
        let next_expiry = self.completed.first_key_value();
        next_expiry.map_or(0, |(expiry, _)| (expiry.at - now).max(0))
    }

    /// Evicts the responses that expire next until the rest is within the limit. These responses have the
    /// least time left in which they can be requested.
    fn evict_responses(&mut self) {
        while self.response_bytes > self.limits.max_response_bytes {
            let Some((_, scoped_key)) = self.with_response.pop_first() else { break };
            if let Some(Entry::Completed { response }) = self.entries.get_mut(&scoped_key) {
                self.response_bytes -= response.take().map_or(0, |stored| stored.bytes);
            }
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some(next) = self.completed.first_entry().filter(|next| next.key().at <= now) {
            let (expiry, scoped_key) = next.remove_entry();
            self.with_response.remove(&expiry);
            if let Some(Entry::Completed { response: Some(stored) }) = self.entries.remove(&scoped_key) {
                self.response_bytes -= stored.bytes;
            }
        }
    }
}
