//! Compares the maintenance state with a model of plain sets, and checks that a damaged stored form is
//! detected.

use std::collections::BTreeSet;

use membership::maintenance::{MAX_DRAINED, MAX_KNOWN_NAMES};
use membership::{Maintenance, MaintenanceRejection};
use proptest::prelude::*;

proptest! {
    /// Guards against a drain that is lost, or that affects an endpoint without a request, for any order of
    /// listed endpoints, requests, process changes and requests to a second process.
    #[test]
    fn last_request_decides_whether_an_endpoint_is_drained(steps in prop::collection::vec((0..6_u8, 0..9_u8), 0..200)) {
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
                // A successor process reads the stored state.
                4 => state = Maintenance::decode(&state.encode()).expect("sound"),
                // A second process receives a later request, and this process adopts its state.
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

    /// Guards against drains that are read from a truncated or corrupted file: a truncated file and any
    /// flipped bit must be detected.
    #[test]
    fn damaged_maintenance_state_is_not_decoded(names in prop::collection::vec("[a-z0-9-]{1,12}", 1..20), position: prop::sample::Index, bit in 0..8_u8) {
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
        // A flipped bit may only change the case of a hexadecimal digit of the checksum.
        let has_same_checksum = corrupted.eq_ignore_ascii_case(&bytes) && position.index(bytes.len()) < 40;
        prop_assert!(has_same_checksum || Maintenance::decode(&corrupted).is_none());
    }
}

/// Guards against state that grows without bound, and against a drained endpoint that becomes usable again
/// because its name was removed from the known names.
#[test]
fn full_maintenance_state_rejects_drains_and_keeps_drained_endpoints() {
    let mut state = Maintenance::default();
    for endpoint in 0..=MAX_DRAINED {
        let name = format!("s-{endpoint}");
        assert!(state.record_listed(&name));
        assert_eq!(
            state.drain(&name),
            if endpoint < MAX_DRAINED { Ok(()) } else { Err(MaintenanceRejection::TooManyDrained) }
        );
    }
    assert_eq!(state.drain("s-0"), Ok(()), "a repeated drain is accepted");
    for endpoint in 0..MAX_KNOWN_NAMES {
        state.record_listed(&format!("t-{endpoint}"));
    }
    assert!(state.is_drained("s-0") && state.drained().count() == MAX_DRAINED);
    assert_eq!(
        state.drain(&format!("s-{MAX_DRAINED}")),
        Err(MaintenanceRejection::UnknownEndpoint),
        "the oldest name was removed"
    );
    assert_eq!(state.restore("s-0"), Ok(()), "a drained endpoint stays known");
    assert!(!state.record_listed(""), "an empty name is rejected");
    assert!(!state.record_listed("two\nlines"), "a name of two lines is rejected");
}
