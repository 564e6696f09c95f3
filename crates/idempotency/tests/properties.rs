//! The table under simulated time, over many seeds, against a plain model that holds everything.

use std::collections::HashMap;

use idempotency::{Begin, Bounds, Keys, Micros, Ticket};

enum Known {
    Open,
    Served(Micros, u64),
}

#[test]
fn no_key_runs_while_it_is_open_or_within_its_window() {
    for seed in 0..300 {
        let mut random = fastrand::Rng::with_seed(seed);
        let bounds = Bounds { entries: 1 + random.usize(..12), bytes: random.usize(..600) };
        let mut keys = Keys::new(bounds);
        let mut model: HashMap<String, Known> = HashMap::new();
        let mut open: Vec<(Ticket, String)> = Vec::new();
        let (mut now, mut answers) = (0, 0);
        for _ in 0..2_000 {
            now += random.i64(0..40);
            if !open.is_empty() && random.u8(..2) == 0 {
                let (ticket, key) = open.swap_remove(random.usize(..open.len()));
                if random.u8(..3) == 0 {
                    keys.ended(ticket);
                    model.remove(&key);
                } else {
                    answers += 1;
                    let window = random.i64(0..400);
                    keys.served(now, ticket, answers, random.usize(..200), window);
                    model.insert(key, Known::Served(now + window, answers));
                }
            } else {
                let key = format!("k{}", random.u8(..30));
                let known =
                    model.get(&key).filter(|k| !matches!(k, Known::Served(until, _) if *until <= now));
                match (keys.begin(now, "class", &key), known) {
                    (Begin::New(ticket), None) => {
                        model.insert(key.clone(), Known::Open);
                        open.push((ticket, key));
                    }
                    (Begin::Open, Some(Known::Open)) | (Begin::Done, Some(Known::Served(..))) => {}
                    (Begin::Answered(given), Some(Known::Served(_, answer))) => {
                        assert_eq!(given, *answer, "seed {seed}: another's answer");
                    }
                    // Only what is unknown is refused, and only at the bound.
                    (Begin::Full(_), None) => assert_eq!(keys.held().0, bounds.entries, "seed {seed}"),
                    (begun, _) => panic!("seed {seed}, {now}: {key} comes to {begun:?}"),
                }
            }
            let (entries, bytes) = keys.held();
            assert!(entries <= bounds.entries && bytes <= bounds.bytes, "seed {seed}: {entries}, {bytes}");
        }
    }
}
