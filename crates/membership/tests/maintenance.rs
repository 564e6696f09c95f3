//! Maintenance state against a model of plain sets; and its stored form against damage.

use std::collections::BTreeSet;

use membership::maintenance::{MAX_DRAINED, MAX_KNOWN_NAMES};
use membership::{Maintenance, MaintenanceRejection};
use proptest::prelude::*;

proptest! {
    /// Any order of lists, requests, takeovers and second processes.
    #[test]
    fn the_drained_endpoints_follow_from_the_last_requests(steps in prop::collection::vec((0..6_u8, 0..9_u8), 0..200)) {
        let mut state = Maintenance::default();
        let (mut listed, mut drained) = (BTreeSet::new(), BTreeSet::new());
        for (step, endpoint) in steps {
            let name = format!("s-{endpoint}");
            match step {
                0 => {
                    prop_assert_eq!(state.record_listed(&name), listed.insert(name));
                }
                1 | 2 => {
                    let is_known = listed.contains(&name);
                    prop_assert_eq!(state.drain(&name), is_known.then_some(()).ok_or(MaintenanceRejection::UnknownEndpoint));
                    if is_known {
                        drained.insert(name);
                    }
                }
                3 => {
                    let is_known = listed.contains(&name);
                    prop_assert_eq!(state.restore(&name), is_known.then_some(()).ok_or(MaintenanceRejection::UnknownEndpoint));
                    drained.remove(&name);
                }
                // Another process takes over.
                4 => state = Maintenance::decode(&state.encode()).expect("sound"),
                // A process that runs beside it gets a later request.
                _ => {
                    let mut other = Maintenance::decode(&state.encode()).expect("sound");
                    let is_drained = drained.contains(&name);
                    let result = if is_drained { other.restore(&name) } else { other.drain(&name) };
                    let expected = if result.is_ok() { vec![name.clone()] } else { Vec::new() };
                    prop_assert_eq!(state.adopt(&other), expected);
                    if result.is_ok() && !drained.remove(&name) {
                        drained.insert(name);
                    }
                }
            }
            prop_assert_eq!(state.drained().map(str::to_owned).collect::<BTreeSet<_>>(), drained.clone());
        }
    }

    #[test]
    fn damage_is_detected(names in prop::collection::vec("[a-z0-9-]{1,12}", 1..20), position: prop::sample::Index, bit in 0..8_u8) {
        let mut state = Maintenance::default();
        for name in &names {
            state.record_listed(name);
            state.drain(name).expect("listed");
        }
        let bytes = state.encode();
        prop_assert_eq!(Maintenance::decode(&bytes), Some(state));
        prop_assert_eq!(Maintenance::decode(&bytes[..position.index(bytes.len())]), None);
        let mut corrupted = bytes.clone();
        corrupted[position.index(bytes.len())] ^= 1 << bit;
        // A hexadecimal digit of the checksum may be in either case.
        let has_same_checksum = corrupted.eq_ignore_ascii_case(&bytes) && position.index(bytes.len()) < 40;
        prop_assert!(has_same_checksum || Maintenance::decode(&corrupted).is_none());
    }
}

#[test]
fn the_bounds_hold_and_no_drained_endpoint_is_restored_by_itself() {
    let mut state = Maintenance::default();
    for endpoint in 0..=MAX_DRAINED {
        let name = format!("s-{endpoint}");
        assert!(state.record_listed(&name));
        assert_eq!(
            state.drain(&name),
            if endpoint < MAX_DRAINED { Ok(()) } else { Err(MaintenanceRejection::TooManyDrained) }
        );
    }
    assert_eq!(state.drain("s-0"), Ok(()), "again");
    for endpoint in 0..MAX_KNOWN_NAMES {
        state.record_listed(&format!("t-{endpoint}"));
    }
    assert!(state.is_drained("s-0") && state.drained().count() == MAX_DRAINED);
    assert_eq!(
        state.drain(&format!("s-{MAX_DRAINED}")),
        Err(MaintenanceRejection::UnknownEndpoint),
        "the oldest name, and forgotten"
    );
    assert_eq!(state.restore("s-0"), Ok(()), "still known while it is drained");
    assert!(!state.record_listed(""), "no name");
    assert!(!state.record_listed("two\nlines"));
}
