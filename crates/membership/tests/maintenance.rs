//! What operators say, against plain sets; and what is written of it, against damage.

use std::collections::BTreeSet;

use membership::maintenance::{MOST_KNOWN, MOST_OUT};
use membership::{Maintenance, Refused};
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
                    prop_assert_eq!(state.listed(&name), listed.insert(name));
                }
                1 | 2 => {
                    let known = listed.contains(&name);
                    prop_assert_eq!(state.enter(&name), known.then_some(()).ok_or(Refused::Unknown));
                    if known {
                        out.insert(name);
                    }
                }
                3 => {
                    let known = listed.contains(&name);
                    prop_assert_eq!(state.exit(&name), known.then_some(()).ok_or(Refused::Unknown));
                    out.remove(&name);
                }
                // Another process takes over.
                4 => state = Maintenance::decode(&state.encode()).expect("sound"),
                // One that runs beside it was told something later.
                _ => {
                    let mut other = Maintenance::decode(&state.encode()).expect("sound");
                    let was = out.contains(&name);
                    let done = if was { other.exit(&name) } else { other.enter(&name) };
                    let expected = if done.is_ok() { vec![name.clone()] } else { Vec::new() };
                    prop_assert_eq!(state.adopt(&other), expected);
                    if done.is_ok() && !out.remove(&name) {
                        out.insert(name);
                    }
                }
            }
            prop_assert_eq!(state.out().map(str::to_owned).collect::<BTreeSet<_>>(), out.clone());
        }
    }

    #[test]
    fn damage_is_seen(names in prop::collection::vec("[a-z0-9-]{1,12}", 1..20), at: prop::sample::Index, bit in 0..8_u8) {
        let mut state = Maintenance::default();
        for name in &names {
            state.listed(name);
            state.enter(name).expect("listed");
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
    for node in 0..=MOST_OUT {
        let name = format!("s-{node}");
        assert!(state.listed(&name));
        assert_eq!(state.enter(&name), if node < MOST_OUT { Ok(()) } else { Err(Refused::TooMany) });
    }
    assert_eq!(state.enter("s-0"), Ok(()), "again");
    for node in 0..MOST_KNOWN {
        state.listed(&format!("t-{node}"));
    }
    assert!(state.is_out("s-0") && state.out().count() == MOST_OUT);
    assert_eq!(
        state.enter(&format!("s-{MOST_OUT}")),
        Err(Refused::Unknown),
        "known for longest, and forgotten"
    );
    assert_eq!(state.exit("s-0"), Ok(()), "still spoken of while it is out");
    assert!(!state.listed(""), "no name");
    assert!(!state.listed("two\nlines"));
}
