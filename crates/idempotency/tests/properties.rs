//! The table under simulated time, over many seeds, against a plain model without limits.

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

#[test]
fn no_key_is_executed_while_it_is_in_progress_or_within_its_retention() {
    for seed in 0..300 {
        let mut random = fastrand::Rng::with_seed(seed);
        let limits =
            TableLimits { max_keys: 1 + random.usize(..12), max_response_bytes: random.usize(..600) };
        let mut table = IdempotencyTable::new(limits);
        let mut model: HashMap<String, ModelEntry> = HashMap::new();
        let mut in_progress: Vec<(ReservationId, String)> = Vec::new();
        let mut now = 0;
        let mut last_response = 0;
        for _ in 0..2_000 {
            now += random.i64(0..40);
            if !in_progress.is_empty() && random.u8(..2) == 0 {
                let (reservation, key) = in_progress.swap_remove(random.usize(..in_progress.len()));
                if random.u8(..3) == 0 {
                    table.release(reservation);
                    model.remove(&key);
                } else {
                    last_response += 1;
                    let retention = random.i64(0..400);
                    let stored = StoredResponse { response: last_response, bytes: random.usize(..200) };
                    table.complete(now, reservation, stored, retention);
                    let entry =
                        ModelEntry::Completed { expires_at: now + retention, response: last_response };
                    model.insert(key, entry);
                }
            } else {
                let key = format!("k{}", random.u8(..30));
                let known = model.get(&key).filter(|entry| !entry.is_expired(now));
                match (table.reserve(now, "class", &key), known) {
                    (ReserveOutcome::Reserved(reservation), None) => {
                        model.insert(key.clone(), ModelEntry::InProgress);
                        in_progress.push((reservation, key));
                    }
                    (ReserveOutcome::InProgress, Some(ModelEntry::InProgress))
                    | (ReserveOutcome::ResponseEvicted, Some(ModelEntry::Completed { .. })) => {}
                    (ReserveOutcome::Completed(given), Some(ModelEntry::Completed { response, .. })) => {
                        assert_eq!(given, *response, "seed {seed}: the response of another request");
                    }
                    // Only an unknown key is rejected, and only at the limit.
                    (ReserveOutcome::TableFull { .. }, None) => {
                        assert_eq!(table.usage().keys, limits.max_keys, "seed {seed}");
                    }
                    (outcome, _) => panic!("seed {seed}, {now}: {key} comes to {outcome:?}"),
                }
            }
            let usage = table.usage();
            assert!(
                usage.keys <= limits.max_keys && usage.response_bytes <= limits.max_response_bytes,
                "seed {seed}: {usage:?}"
            );
        }
    }
}
