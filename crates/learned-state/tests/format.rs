//! Tests the binary form: an encoded snapshot decodes to itself, damage loses one section, versions are
//! compatible, and no input causes a panic or large allocations.

use learned_state::{
    decode, encode, DecodeError, LearnedSnapshot, NamedMean, PoolRecord, SkippedSections, StoredEndpoint,
    StoredMean, MAX_AGE,
};
use proptest::prelude::*;

fn mean(random: &mut fastrand::Rng) -> StoredMean {
    StoredMean { sum: random.f64() * 1e6, weight: random.f64() * 100.0, age: random.u64(..1 << 50) }
}

fn name(random: &mut fastrand::Rng) -> String {
    (0..random.usize(..20)).map(|_| random.char('a'..='\u{2ff}')).collect()
}

fn named_mean(random: &mut fastrand::Rng) -> NamedMean {
    NamedMean { name: name(random), mean: mean(random) }
}

fn snapshot(seed: u64, pools: usize, endpoints: usize) -> LearnedSnapshot {
    let mut random = fastrand::Rng::with_seed(seed);
    let random = &mut random;
    let pool = |random: &mut fastrand::Rng| {
        let classes = random.usize(..4);
        let endpoint = |random: &mut fastrand::Rng| StoredEndpoint {
            name: name(random),
            started_ms: random.bool().then(|| random.u64(..1 << 42)),
            consecutive_failures: random.u32(..),
            ejected_for: random.u64(..1 << 40),
            slow_start_tokens: random.f64(),
            latency_by_class: (0..classes).map(|_| mean(random)).collect(),
        };
        PoolRecord {
            name: name(random),
            classes: (0..classes).map(|_| name(random)).collect(),
            typical_latency: (0..classes).map(|_| mean(random)).collect(),
            pool_latency: mean(random),
            latency_by_machine_kind: (0..random.usize(..3)).map(|_| named_mean(random)).collect(),
            loss_by_zone: (0..random.usize(..3)).map(|_| named_mean(random)).collect(),
            uptime: random.u64(..1 << 40),
            threshold_per_endpoint: random.bool().then(|| random.f64()),
            cursor_position: random.f64(),
            baseline_latency: random.bool().then(|| random.f64()),
            endpoints: (0..endpoints).map(|_| endpoint(random)).collect(),
        }
    };
    let written_ms = random.bool().then(|| random.u64(..));
    LearnedSnapshot { written_ms, pools: (0..pools).map(|_| pool(random)).collect() }
}

/// Guards against fields that are lost or reordered between encoding and decoding.
#[test]
fn encoded_snapshot_decodes_to_itself() {
    for seed in 0..100 {
        let original = snapshot(seed, (seed % 5) as usize, (seed * 37 % 1500) as usize);
        assert_eq!(decode(&encode(&original)), Ok((original, SkippedSections::default())), "seed {seed}");
    }
}

/// Guards against old state that counts as recent because a clock was changed between writing and reading.
#[test]
fn unknown_future_or_ancient_write_time_gives_the_maximum_age() {
    let written = |written_ms| LearnedSnapshot { written_ms, pools: Vec::new() };
    let now = 1_700_000_000_000;
    assert_eq!(written(Some(now - 2500)).age(now), 2_500_000);
    for written_ms in [None, Some(now + 1), Some(u64::MAX), Some(0)] {
        assert_eq!(written(written_ms).age(now), MAX_AGE, "{written_ms:?}");
    }
}

/// Guards against endpoints that are skipped because the checksum of the pool name covers the name before
/// truncation.
#[test]
fn long_pool_name_is_truncated_and_its_endpoints_stay_in_the_pool() {
    let mut original = snapshot(7, 1, 3);
    original.pools[0].name = "ü".repeat(200);
    let (decoded, skipped) = decode(&encode(&original)).expect("good");
    assert_eq!(
        (skipped, decoded.pools[0].name.len(), decoded.pools[0].endpoints.len()),
        (SkippedSections::default(), 256, 3)
    );
}

/// Guards against one flipped bit that goes undetected or loses other sections.
#[test]
fn flipped_bit_loses_only_its_section_or_pool() {
    let original = snapshot(1, 3, 700);
    let encoded = encode(&original);
    let mut random = fastrand::Rng::with_seed(2);
    for _ in 0..500 {
        let mut bytes = encoded.clone();
        let position = random.usize(..bytes.len());
        bytes[position] ^= 1 << random.u8(..8);
        match decode(&bytes) {
            // Only a flipped bit in the head makes the whole file unreadable.
            Err(fault) => assert!(position < 16, "{position}: {fault}"),
            Ok((decoded, skipped)) => {
                assert!(skipped != SkippedSections::default(), "{position}: not detected");
                // Decoded pools equal the encoded ones, with some of their endpoints sections.
                for pool in &decoded.pools {
                    let written = original
                        .pools
                        .iter()
                        .find(|candidate| candidate.name == pool.name)
                        .expect("a pool that was written");
                    assert_eq!(
                        (&pool.typical_latency, pool.uptime),
                        (&written.typical_latency, written.uptime)
                    );
                    assert!(
                        pool.endpoints.iter().all(|endpoint| written.endpoints.contains(endpoint)),
                        "{position}"
                    );
                }
                // A flipped bit in a length may hide the following sections; any other loses one section or
                // one pool.
                let endpoints: usize = decoded.pools.iter().map(|pool| pool.endpoints.len()).sum();
                let length = skipped.truncated || skipped.damaged > 2;
                assert!(length || endpoints >= 2 * 700, "{position}: {skipped:?}, {endpoints} endpoints");
            }
        }
    }
}

/// Guards against endpoints that are assigned to the previous pool because the section of their own pool is
/// lost.
#[test]
fn endpoints_of_a_lost_pool_are_skipped() {
    let mut original = snapshot(6, 2, 20);
    for (pool, name) in original.pools.iter_mut().zip(["first", "second"]) {
        (pool.name, pool.classes, pool.typical_latency) = (name.to_owned(), Vec::new(), Vec::new());
        pool.endpoints.iter_mut().for_each(|endpoint| endpoint.latency_by_class.clear());
    }
    let mut bytes = encode(&original);
    let position = bytes.windows(6).position(|window| window == b"second").expect("the name is in the file");
    bytes[position] ^= 1;
    let (decoded, skipped) = decode(&bytes).expect("a good head");
    assert_eq!((decoded.pools, skipped.damaged), (vec![original.pools[0].clone()], 2));
}

/// Guards against a truncated file that loses its complete sections too.
#[test]
fn truncated_file_decodes_to_its_complete_sections() {
    let original = snapshot(3, 2, 600);
    let encoded = encode(&original);
    let mut max_endpoints = 0;
    for truncated in (0..encoded.len()).step_by(61) {
        let Ok((decoded, _)) = decode(&encoded[..truncated]) else {
            assert!(truncated < 16);
            continue;
        };
        let endpoints: usize = decoded.pools.iter().map(|pool| pool.endpoints.len()).sum();
        assert!(endpoints >= max_endpoints, "a longer file gives fewer endpoints");
        max_endpoints = endpoints;
    }
    assert!(max_endpoints >= 512 + 600, "{max_endpoints}");
}

/// Encodes a section in the form that all versions share.
fn section(kind: u16, content: &[u8]) -> Vec<u8> {
    let mut out = [&kind.to_le_bytes()[..], &(content.len() as u32).to_le_bytes()].concat();
    let sum = crc32c::crc32c_append(crc32c::crc32c(&out), content);
    out.extend(sum.to_le_bytes());
    out.extend_from_slice(content);
    out
}

/// Encodes the head of a file of this version, readable from version `oldest_reader` on.
fn head(version: u16, oldest_reader: u16) -> Vec<u8> {
    let mut out = [&b"amberkno"[..], &version.to_le_bytes(), &oldest_reader.to_le_bytes()].concat();
    let sum = crc32c::crc32c(&out);
    out.extend(sum.to_le_bytes());
    out
}

/// Guards against a file that cannot be read after a downgrade: unknown sections are skipped, and only a
/// version that excludes this reader is rejected.
#[test]
fn newer_version_is_decoded_without_its_unknown_sections() {
    let original = snapshot(4, 1, 3);
    let mut bytes = head(2, 1);
    bytes.extend(section(900, b"content of a later version"));
    bytes.extend(&encode(&original)[16..]);
    assert_eq!(decode(&bytes), Ok((original, SkippedSections { unknown: 1, ..SkippedSections::default() })));
    assert_eq!(decode(&head(3, 2)), Err(DecodeError::UnsupportedVersion(3)));
    let mut damaged = head(1, 1);
    damaged[8] = 9;
    assert_eq!(decode(&damaged), Err(DecodeError::DamagedHead));
    assert_eq!(decode(b"something else"), Err(DecodeError::NotLearnedState));
}

/// Guards against a change of the format that makes stored files unreadable. The file of version 1 was made
/// from the description of the format, not with [`encode`].
#[test]
fn file_of_version_1_stays_readable() {
    let stored = include_bytes!("version-1.bin");
    let endpoint = |name: &str, started_ms| StoredEndpoint {
        name: name.to_owned(),
        started_ms,
        consecutive_failures: 2,
        ejected_for: 1_500_000,
        slow_start_tokens: 0.25,
        latency_by_class: vec![StoredMean { sum: 12.5, weight: 5.0, age: 250_000 }],
    };
    let original = LearnedSnapshot {
        written_ms: None,
        pools: vec![PoolRecord {
            name: "pairings".to_owned(),
            classes: vec!["standings".to_owned()],
            typical_latency: vec![StoredMean { sum: 90_000.0, weight: 4.5, age: 1_000 }],
            pool_latency: StoredMean { sum: 90_000.0, weight: 4.5, age: 1_000 },
            latency_by_machine_kind: vec![NamedMean {
                name: "m5".to_owned(),
                mean: StoredMean { sum: 9.0, weight: 9.0, age: 2_000 },
            }],
            loss_by_zone: vec![NamedMean {
                name: "south".to_owned(),
                mean: StoredMean { sum: 0.5, weight: 30.0, age: 3_000 },
            }],
            uptime: 86_400_000_000,
            threshold_per_endpoint: Some(17.25),
            cursor_position: 0.125,
            baseline_latency: None,
            endpoints: vec![endpoint("pairing-1", Some(1_790_000_000_000)), endpoint("pairing-2", None)],
        }],
    };
    assert_eq!(encode(&original), stored, "the encoding of version 1 has changed");
    assert_eq!(decode(stored), Ok((original, SkippedSections::default())));
}

proptest! {
    /// Guards against a panic over a damaged or malicious file.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600), kind in 0_u16..4) {
        let _ = decode(&bytes);
        // The checksums are valid, so that the contents are decoded.
        let mut sound = head(1, 1);
        sound.extend(section(1, &encode(&snapshot(5, 1, 0))[26..]));
        sound.extend(section(kind, &bytes));
        let (decoded, _) = decode(&sound).expect("a good head");
        prop_assert!(decoded.pools.iter().all(|pool| pool.endpoints.len() <= 600));
    }
}
