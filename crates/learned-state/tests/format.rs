//! The format: what is written is read, damage costs a section, versions meet, and no bytes panic or take memory.

use learned_state::{read, write, Faults, Mean, Node, Pool, Snapshot, Unreadable, VERY_OLD};
use proptest::prelude::*;

fn mean(random: &mut fastrand::Rng) -> Mean {
    Mean { sum: random.f64() * 1e6, weight: random.f64() * 100.0, age: random.u64(..1 << 50) }
}

fn name(random: &mut fastrand::Rng) -> String {
    (0..random.usize(..20)).map(|_| random.char('a'..='\u{2ff}')).collect()
}

fn snapshot(seed: u64, pools: usize, nodes: usize) -> Snapshot {
    let mut random = fastrand::Rng::with_seed(seed);
    let r = &mut random;
    let pool = |r: &mut fastrand::Rng| {
        let classes = r.usize(..4);
        let node = |r: &mut fastrand::Rng| Node {
            name: name(r),
            started_ms: r.bool().then(|| r.u64(..1 << 42)),
            fails: r.u32(..),
            out_for: r.u64(..1 << 40),
            cold_tokens: r.f64(),
            classes: (0..classes).map(|_| mean(r)).collect(),
        };
        Pool {
            name: name(r),
            classes: (0..classes).map(|_| name(r)).collect(),
            usual: (0..classes).map(|_| mean(r)).collect(),
            any: mean(r),
            kinds: (0..r.usize(..3)).map(|_| (name(r), mean(r))).collect(),
            zones: (0..r.usize(..3)).map(|_| (name(r), mean(r))).collect(),
            up_for: r.u64(..1 << 40),
            threshold: r.bool().then(|| r.f64()),
            cursor: r.f64(),
            baseline: r.bool().then(|| r.f64()),
            nodes: (0..nodes).map(|_| node(r)).collect(),
        }
    };
    let written_ms = r.bool().then(|| r.u64(..));
    Snapshot { written_ms, pools: (0..pools).map(|_| pool(r)).collect() }
}

#[test]
fn what_is_written_is_read() {
    for seed in 0..100 {
        let all = snapshot(seed, (seed % 5) as usize, (seed * 37 % 1500) as usize);
        assert_eq!(read(&write(&all)), Ok((all, Faults::default())), "seed {seed}");
    }
}

#[test]
fn a_clock_that_went_back_or_leapt_makes_it_very_old() {
    let written = |written_ms| Snapshot { written_ms, pools: Vec::new() };
    let now = 1_700_000_000_000;
    assert_eq!(written(Some(now - 2500)).age(now), 2_500_000);
    for strange in [None, Some(now + 1), Some(u64::MAX), Some(0)] {
        assert_eq!(written(strange).age(now), VERY_OLD, "{strange:?}");
    }
}

#[test]
fn a_long_name_is_cut_and_its_nodes_stay_its_own() {
    let mut all = snapshot(7, 1, 3);
    all.pools[0].name = "ü".repeat(200);
    let (found, faults) = read(&write(&all)).expect("good");
    assert_eq!((faults, found.pools[0].name.len(), found.pools[0].nodes.len()), (Faults::default(), 256, 3));
}

#[test]
fn a_flipped_bit_costs_its_section() {
    let all = snapshot(1, 3, 700);
    let good = write(&all);
    let mut random = fastrand::Rng::with_seed(2);
    for _ in 0..500 {
        let mut bytes = good.clone();
        let at = random.usize(..bytes.len());
        bytes[at] ^= 1 << random.u8(..8);
        match read(&bytes) {
            // Only in the head.
            Err(fault) => assert!(at < 16, "{at}: {fault}"),
            Ok((found, faults)) => {
                assert!(faults != Faults::default(), "{at}: not seen");
                // What is read is what was written: whole pools, and of each some sections of nodes.
                for pool in &found.pools {
                    let was =
                        all.pools.iter().find(|p| p.name == pool.name).expect("a pool that was written");
                    assert_eq!((&pool.usual, pool.up_for), (&was.usual, was.up_for));
                    assert!(pool.nodes.iter().all(|n| was.nodes.contains(n)), "{at}");
                }
                // A flipped length may hide what follows; anything else costs one section, or a pool.
                let nodes: usize = found.pools.iter().map(|p| p.nodes.len()).sum();
                let length = faults.cut || faults.damaged > 2;
                assert!(length || nodes >= 2 * 700, "{at}: {faults:?}, {nodes} nodes");
            }
        }
    }
}

/// The section of a pool is lost, and what stands behind it must not become another's.
#[test]
fn nodes_of_a_pool_that_is_lost_are_nobodys() {
    let mut all = snapshot(6, 2, 20);
    for (pool, name) in all.pools.iter_mut().zip(["first", "second"]) {
        (pool.name, pool.classes, pool.usual) = (name.to_owned(), Vec::new(), Vec::new());
        pool.nodes.iter_mut().for_each(|n| n.classes.clear());
    }
    let mut bytes = write(&all);
    let at = bytes.windows(6).position(|w| w == b"second").expect("it is there");
    bytes[at] ^= 1;
    let (found, faults) = read(&bytes).expect("a good head");
    assert_eq!((found.pools, faults.damaged), (vec![all.pools[0].clone()], 2));
}

#[test]
fn a_cut_file_gives_what_came_whole() {
    let all = snapshot(3, 2, 600);
    let good = write(&all);
    let mut most = 0;
    for cut in (0..good.len()).step_by(61) {
        let Ok((found, _)) = read(&good[..cut]) else {
            assert!(cut < 16);
            continue;
        };
        let nodes: usize = found.pools.iter().map(|p| p.nodes.len()).sum();
        assert!(nodes >= most, "more bytes, fewer nodes");
        most = nodes;
    }
    assert!(most >= 512 + 600, "{most}");
}

/// A section as any version writes it.
fn section(kind: u16, content: &[u8]) -> Vec<u8> {
    let mut out = [&kind.to_le_bytes()[..], &(content.len() as u32).to_le_bytes()].concat();
    let sum = crc32c::crc32c_append(crc32c::crc32c(&out), content);
    out.extend(sum.to_le_bytes());
    out.extend_from_slice(content);
    out
}

fn head(version: u16, readable: u16) -> Vec<u8> {
    let mut out = [&b"amberkno"[..], &version.to_le_bytes(), &readable.to_le_bytes()].concat();
    let sum = crc32c::crc32c(&out);
    out.extend(sum.to_le_bytes());
    out
}

#[test]
fn a_newer_version_is_read_as_far_as_it_is_known() {
    let all = snapshot(4, 1, 3);
    let mut bytes = head(2, 1);
    bytes.extend(section(900, b"what nobody here knows"));
    bytes.extend(&write(&all)[16..]);
    assert_eq!(read(&bytes), Ok((all, Faults { unknown: 1, ..Faults::default() })));
    assert_eq!(read(&head(3, 2)), Err(Unreadable::TooNew(3)));
    let mut damaged = head(1, 1);
    damaged[8] = 9;
    assert_eq!(read(&damaged), Err(Unreadable::Damaged));
    assert_eq!(read(b"something else"), Err(Unreadable::NoKnowledge));
}

/// Of version 1, made from its description by other means, and kept: later versions read it to the same.
#[test]
fn the_file_of_version_1_stays_readable() {
    let kept = include_bytes!("version-1.bin");
    let node = |name: &str, started_ms| Node {
        name: name.to_owned(),
        started_ms,
        fails: 2,
        out_for: 1_500_000,
        cold_tokens: 0.25,
        classes: vec![Mean { sum: 12.5, weight: 5.0, age: 250_000 }],
    };
    let all = Snapshot {
        written_ms: None,
        pools: vec![Pool {
            name: "pairings".to_owned(),
            classes: vec!["standings".to_owned()],
            usual: vec![Mean { sum: 90_000.0, weight: 4.5, age: 1_000 }],
            any: Mean { sum: 90_000.0, weight: 4.5, age: 1_000 },
            kinds: vec![("m5".to_owned(), Mean { sum: 9.0, weight: 9.0, age: 2_000 })],
            zones: vec![("south".to_owned(), Mean { sum: 0.5, weight: 30.0, age: 3_000 })],
            up_for: 86_400_000_000,
            threshold: Some(17.25),
            cursor: 0.125,
            baseline: None,
            nodes: vec![node("pairing-1", Some(1_790_000_000_000)), node("pairing-2", None)],
        }],
    };
    assert_eq!(write(&all), kept, "version 1 is written otherwise than it was");
    assert_eq!(read(kept), Ok((all, Faults::default())));
}

proptest! {
    #[test]
    fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..600), kind in 0_u16..4) {
        let _ = read(&bytes);
        // With sums that are right, so that all of it is looked at.
        let mut sound = head(1, 1);
        sound.extend(section(1, &write(&snapshot(5, 1, 0))[26..]));
        sound.extend(section(kind, &bytes));
        let (found, _) = read(&sound).expect("a good head");
        prop_assert!(found.pools.iter().all(|p| p.nodes.len() <= 600));
    }
}
