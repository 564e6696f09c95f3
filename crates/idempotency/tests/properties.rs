//! Compares the table with a plain model without limits, in simulated time and for many seeds.

use std::collections::HashMap;

use idempotency::{IdempotencyTable, Micros, ReservationId, ReserveOutcome, StoredResponse, TableLimits};

enum ModelEntry {
    InProgress,
    Completed { expires_at: Micros, response: u64 },
}

impl ModelEntry {
    fn is_expired(&self, now: Micros) -> bool {
        matches!(self, ModelEntry::Completed { expires_at, .. } if *expires_at <= now)
    }
}

/// The table and its model.
struct Run {
    seed: u64,
    random: fastrand::Rng,
    limits: TableLimits,
    table: IdempotencyTable<u64>,
    model: HashMap<String, ModelEntry>,
    in_progress: Vec<(ReservationId, String)>,
    now: Micros,
    last_response: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut random = fastrand::Rng::with_seed(seed);
        let limits =
            TableLimits { max_keys: 1 + random.usize(..12), max_response_bytes: random.usize(..600) };
        Run {
            seed,
            random,
            limits,
            table: IdempotencyTable::new(limits),
            model: HashMap::new(),
            in_progress: Vec::new(),
            now: 0,
            last_response: 0,
        }
    }

    fn step(&mut self) {
        self.now += self.random.i64(0..40);
        if !self.in_progress.is_empty() && self.random.u8(..2) == 0 {
            self.end_request();
        } else {
            self.start_request();
        }
        let usage = self.table.usage();
        assert!(
            usage.keys <= self.limits.max_keys && usage.response_bytes <= self.limits.max_response_bytes,
            "seed {}: {usage:?}",
            self.seed
        );
    }

    fn end_request(&mut self) {
        let index = self.random.usize(..self.in_progress.len());
        let (reservation, key) = self.in_progress.swap_remove(index);
        if self.random.u8(..3) == 0 {
            self.table.release(reservation);
            self.model.remove(&key);
            return;
        }
        self.last_response += 1;
        let response = self.last_response;
        let retention = self.random.i64(0..400);
        let stored = StoredResponse { response, bytes: self.random.usize(..200) };
        self.table.complete(self.now, reservation, stored, retention);
        self.model.insert(key, ModelEntry::Completed { expires_at: self.now + retention, response });
    }

    fn start_request(&mut self) {
        let Run { seed, now, .. } = *self;
        let key = format!("k{}", self.random.u8(..30));
        let known = self.model.get(&key).filter(|entry| !entry.is_expired(now));
        match (self.table.reserve(now, "class", &key), known) {
            (ReserveOutcome::Reserved(reservation), None) => {
                self.model.insert(key.clone(), ModelEntry::InProgress);
                self.in_progress.push((reservation, key));
            }
            (ReserveOutcome::InProgress, Some(ModelEntry::InProgress))
            | (ReserveOutcome::ResponseEvicted, Some(ModelEntry::Completed { .. })) => {}
            (ReserveOutcome::Completed(given), Some(ModelEntry::Completed { response, .. })) => {
                assert_eq!(given, *response, "seed {seed}: response of another request");
            }
            // A key is rejected only if it is unknown and the table is full.
            (ReserveOutcome::TableFull { .. }, None) => {
                assert_eq!(self.table.usage().keys, self.limits.max_keys, "seed {seed}");
            }
            (outcome, _) => panic!("seed {seed}, time {now}: unexpected outcome for {key}: {outcome:?}"),
        }
    }
}

/// Guards against a key that is executed twice, or that gets the response of another request, in any order of
/// requests, completions and releases at small limits.
#[test]
fn no_key_is_executed_while_it_is_in_progress_or_within_its_retention() {
    for seed in 0..300 {
        let mut run = Run::new(seed);
        for _ in 0..2_000 {
            run.step();
        }
    }
}
