//! The table of idempotency keys.

use std::collections::{BTreeMap, HashMap};

use crate::Micros;

/// What a table may store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// Keys, in progress or completed.
    pub max_keys: usize,
    /// Bytes of responses, as the callers of [`IdempotencyTable::complete`] state them.
    pub max_response_bytes: usize,
}

impl Default for TableLimits {
    /// 65,536 keys and 16 MiB of responses.
    fn default() -> Self {
        TableLimits { max_keys: 1 << 16, max_response_bytes: 16 << 20 }
    }
}

/// What a table stores at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableUsage {
    /// Keys, in progress or completed.
    pub keys: usize,
    /// Bytes of responses.
    pub response_bytes: usize,
}

/// The result of [`IdempotencyTable::reserve`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReserveOutcome<R> {
    /// The key is new and now reserved: the request may be executed, and has to be completed or released.
    Reserved(ReservationId),
    /// A request with the key is in progress.
    InProgress,
    /// A request with the key was served, with this response.
    Completed(R),
    /// A request with the key was served, and its response is no longer stored.
    ResponseEvicted,
    /// There is no room for another key.
    TableFull {
        /// When there may be room, from now; 0 if that is unknown.
        retry_after: Micros,
    },
}

/// The reservation of a key by a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(u64);

/// A response, and the bytes that it counts for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse<R> {
    /// The response.
    pub response: R,
    /// Its size in bytes.
    pub bytes: usize,
}

/// A key; those of different classes are different.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ScopedKey {
    class: Box<str>,
    key: Box<str>,
}

/// The end of a completed key's retention. Ordered by time; the reservation tells apart those of the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Micros,
    reservation: ReservationId,
}

#[derive(Debug)]
enum Entry<R> {
    InProgress,
    Completed { response: Option<StoredResponse<R>> },
}

/// The table of keys, with responses of type `R`.
#[derive(Debug)]
pub struct IdempotencyTable<R> {
    limits: TableLimits,
    last_reservation: u64,
    entries: HashMap<ScopedKey, Entry<R>>,
    in_progress: HashMap<ReservationId, ScopedKey>,
    completed: BTreeMap<Expiry, ScopedKey>,
    /// Those of `completed` whose response is stored.
    with_response: BTreeMap<Expiry, ScopedKey>,
    response_bytes: usize,
}

impl<R: Clone> IdempotencyTable<R> {
    /// An empty table.
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

    /// Changes the limits. Keys over the new limit stay until they expire; responses over it are evicted at once.
    pub fn set_limits(&mut self, limits: TableLimits) {
        self.limits = limits;
        self.evict_responses();
    }

    /// What is stored, including what has expired since the last call that took a time.
    #[must_use]
    pub fn usage(&self) -> TableUsage {
        TableUsage { keys: self.entries.len(), response_bytes: self.response_bytes }
    }

    /// Reserves the key for a request of this class, or tells what is known of it.
    pub fn reserve(&mut self, now: Micros, class: &str, key: &str) -> ReserveOutcome<R> {
        self.remove_expired(now);
        let scoped_key = ScopedKey { class: class.into(), key: key.into() };
        match self.entries.get(&scoped_key) {
            Some(Entry::InProgress) => ReserveOutcome::InProgress,
            Some(Entry::Completed { response: Some(stored) }) => {
                ReserveOutcome::Completed(stored.response.clone())
            }
            Some(Entry::Completed { response: None }) => ReserveOutcome::ResponseEvicted,
            None if self.entries.len() >= self.limits.max_keys => {
                ReserveOutcome::TableFull { retry_after: self.time_to_next_expiry(now) }
            }
            None => ReserveOutcome::Reserved(self.insert_reservation(scoped_key)),
        }
    }

    /// Completes a request that was served. Its key is known for `retention` from now on. No effect on a reservation
    /// that has ended.
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

    /// Releases the key of a request that was not served, or whose result is unknown. No effect on a reservation that
    /// has ended.
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

    /// When the next completed key expires, from now; 0 where all keys are in progress.
    fn time_to_next_expiry(&self, now: Micros) -> Micros {
        let next_expiry = self.completed.first_key_value();
        next_expiry.map_or(0, |(expiry, _)| (expiry.at - now).max(0))
    }

    /// Evicts the responses that expire next until the rest is within the limit: they have the least time left in which
    /// they can be asked for.
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
