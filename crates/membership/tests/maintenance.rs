//! What operators say, against plain sets; and what is written of it, against damage.

use std::collections::BTreeSet;

use membership::maintenance::{MAX_DRAINED, MAX_KNOWN_NAMES};
use membership::{Maintenance, MaintenanceRejection};
use proptest::prelude::*;

proptest! {
    /// Any order of lists, calls, takeovers and second processes.
    #[test]
    fn what_is_out_is_what_was_said_last(steps in prop::collection::vec((0..6_u8, 0..9_u8), 0..200)) {
        let mut state = Maintenance::default();
        let (mut listed, mut out) = (BTreeSet::new(), BTreeSet::new());
        for (step, node) in steps {
            let name = format!("s-{node}");
            match step {
                0 => {
                    prop_assert_eq!(state.record_listed(&name), listed.insert(name));
                }
                1 | 2 => {
                    let known = listed.contains(&name);
                    prop_assert_eq!(state.drain(&name), known.then_some(()).ok_or(MaintenanceRejection::UnknownEndpoint));
                    if known {
                        out.insert(name);
                    }
                }
                3 => {
                    let known = listed.contains(&name);
                    prop_assert_eq!(state.restore(&name), known.then_some(()).ok_or(MaintenanceRejection::UnknownEndpoint));
                    out.remove(&name);
                }
                // Another process takes over.
                4 => state = Maintenance::decode(&state.encode()).expect("sound"),
                // One that runs beside it was told something later.
                _ => {
                    let mut other = Maintenance::decode(&state.encode()).expect("sound");
                    let was = out.contains(&name);
                    let done = if was { other.restore(&name) } else { other.drain(&name) };
                    let expected = if done.is_ok() { vec![name.clone()] } else { Vec::new() };
                    prop_assert_eq!(state.adopt(&other), expected);
                    if done.is_ok() && !out.remove(&name) {
                        out.insert(name);
                    }
                }
            }
            prop_assert_eq!(state.drained().map(str::to_owned).collect::<BTreeSet<_>>(), out.clone());
        }
    }

    #[test]
    fn damage_is_seen(names in prop::collection::vec("[a-z0-9-]{1,12}", 1..20), at: prop::sample::Index, bit in 0..8_u8) {
        let mut state = Maintenance::default();
        for name in &names {
            state.record_listed(name);
            state.drain(name).expect("listed");
        }
        let bytes = state.encode();
        prop_assert_eq!(Maintenance::decode(&bytes), Some(state));
        prop_assert_eq!(Maintenance::decode(&bytes[..at.index(bytes.len())]), None);
        let mut turned = bytes.clone();
        turned[at.index(bytes.len())] ^= 1 << bit;
        // A hex digit of the sum may be written in either case.
        let same_sum = turned.eq_ignore_ascii_case(&bytes) && at.index(bytes.len()) < 40;
        prop_assert!(same_sum || Maintenance::decode(&turned).is_none());
    }
}

#[test]
fn the_bounds_are_kept_and_nothing_that_is_out_comes_back_by_itself() {
    let mut state = Maintenance::default();
    for node in 0..=MAX_DRAINED {
        let name = format!("s-{node}");
        assert!(state.record_listed(&name));
        assert_eq!(
            state.drain(&name),
            if node < MAX_DRAINED { Ok(()) } else { Err(MaintenanceRejection::TooManyDrained) }
        );
    }
    assert_eq!(state.drain("s-0"), Ok(()), "again");
    for node in 0..MAX_KNOWN_NAMES {
        state.record_listed(&format!("t-{node}"));
    }
    assert!(state.is_drained("s-0") && state.drained().count() == MAX_DRAINED);
    assert_eq!(
        state.drain(&format!("s-{MAX_DRAINED}")),
        Err(MaintenanceRejection::UnknownEndpoint),
        "known for longest, and forgotten"
    );
    assert_eq!(state.restore("s-0"), Ok(()), "still spoken of while it is out");
    assert!(!state.record_listed(""), "no name");
    assert!(!state.record_listed("two\nlines"));
}
