//! Whatever became of the calls, a change counts as notified six seconds after discovery had it and could be reached.

mod notification_simulation;

use std::collections::BTreeMap;

use fastrand::Rng;
use membership::{InitialList, Micros};
use notification_simulation::{
    CallOutcome, OutageKind, World, DRAIN_GRACE, LEASE_TERMS, MILLISECOND, OUTAGES, POLLED, PUSHED,
    QUEUE_LIMIT, SECOND,
};

#[test]
fn no_outage_during_a_drain_lets_requests_through() {
    for outage_kind in OUTAGES {
        for length in [SECOND, 5 * SECOND, 8 * SECOND, 20 * SECOND] {
            for step in 0..60 {
                // In the outage, in its last moment, just after, and long after.
                let (from, to) = (13 * SECOND, 13 * SECOND + length);
                let drained_at = from - SECOND + (length + 10 * SECOND) * step / 60;
                for drained_at in [drained_at, to - 1, to, to + 1] {
                    let seed = step as u64 ^ (length as u64) << 8;
                    let mut world = World::new(
                        POLLED,
                        InitialList::Unconfirmed,
                        seed,
                        outage_kind,
                        vec![(from, to)],
                        drained_at,
                    );
                    world.run(90 * SECOND, &mut |_, _, _| CallOutcome::Completed);
                    assert!(world.drain_received, "{outage_kind:?} {length} {drained_at}");
                }
            }
        }
    }
}

#[test]
fn no_kind_of_rejection_lets_requests_through() {
    let late = [1_499, 1_500, 1_501, 2_400, 3_900].map(|ms| CallOutcome::Late(ms * MILLISECOND));
    let outcomes = [
        CallOutcome::QueuedRejection,
        CallOutcome::ImmediateRejection,
        CallOutcome::Closed,
        CallOutcome::Truncated,
    ]
    .into_iter()
    .chain(late);
    for outcome in outcomes {
        for seed in 0..120_u64 {
            let drained_at = 9 * SECOND + seed as Micros * 97 * MILLISECOND;
            // Every second call; all for a while; all but one in four.
            type OutcomeSequence<'a> = Box<dyn FnMut(&mut Rng, usize, Micros) -> CallOutcome + 'a>;
            let sequences: [OutcomeSequence<'_>; 3] = [
                Box::new(|_, n, _| if n % 2 == 0 { outcome } else { CallOutcome::Completed }),
                Box::new(|_, _, at| {
                    if (8 * SECOND..25 * SECOND).contains(&at) {
                        outcome
                    } else {
                        CallOutcome::Completed
                    }
                }),
                Box::new(|rng, _, _| if rng.usize(0..4) > 0 { outcome } else { CallOutcome::Completed }),
            ];
            for mut sequence in sequences {
                let mut world = World::new(
                    POLLED,
                    InitialList::Unconfirmed,
                    seed,
                    OutageKind::ConnectionRefused,
                    Vec::new(),
                    drained_at,
                );
                if outcome == CallOutcome::QueuedRejection {
                    // This cannot be told apart from an outage; what it lets through is counted for a fleet.
                    world.presumed_outage = LEASE_TERMS.presumed_outage;
                }
                world.run(120 * SECOND, &mut sequence);
                assert!(world.drain_received, "{outcome:?} {seed}");
            }
        }
    }
}

#[test]
fn outages_and_rejections_in_any_order_let_no_request_through() {
    for seed in 0..3_000_u64 {
        let mut rng = Rng::with_seed(seed);
        let (mut outages, mut at) = (Vec::new(), 0);
        for _ in 0..rng.usize(0..4) {
            let from = at + rng.i64(0..15 * SECOND);
            at = from + rng.i64(1..12 * SECOND);
            outages.push((from, at));
        }
        let outage_kind = OUTAGES[rng.usize(0..OUTAGES.len())];
        let drained_at = rng.i64(0..50 * SECOND);
        // A discovery that comes back and rejects calls cannot be told apart from one that is still down: what that lets
        // through is counted for a fleet.
        let failure_percentage =
            if matches!(outage_kind, OutageKind::QueuedError | OutageKind::ImmediateError) {
                0
            } else {
                rng.usize(0..90)
            };
        let mut world = World::new(POLLED, InitialList::Unconfirmed, seed, outage_kind, outages, drained_at);
        let outcomes = [
            CallOutcome::ImmediateRejection,
            CallOutcome::Closed,
            CallOutcome::Late(1_500 * MILLISECOND),
            CallOutcome::Truncated,
        ];
        world.run(200 * SECOND, &mut |rng, _, _| {
            if rng.usize(0..100) < failure_percentage {
                outcomes[rng.usize(0..outcomes.len())]
            } else {
                CallOutcome::Completed
            }
        });
        assert!(world.drain_received, "seed {seed}");
        let calls_per_second = world
            .poll_times
            .iter()
            .map(|a| world.poll_times.iter().filter(|b| (*a..*a + SECOND).contains(*b)).count());
        assert!(calls_per_second.max() <= Some(12), "seed {seed}: polls in a tight loop");
    }
}

#[test]
fn an_outage_suspends_forwarding_no_longer_than_necessary() {
    let mut suspended_times = BTreeMap::new();
    for seed in 0..100 {
        for (outage_kind, length, limit) in [
            // The kernel proves that nobody could reach it: nothing counts as notified.
            (OutageKind::ConnectionRefused, 8 * SECOND, 0),
            (OutageKind::ConnectionRefused, 200 * SECOND, 0),
            // From outside, an outage and an overload look the same.
            (OutageKind::QueuedError, 4 * SECOND, 5 * SECOND),
            (OutageKind::QueuedError, 8 * SECOND, 9 * SECOND),
            (OutageKind::QueuedError, 300 * SECOND, 40 * SECOND),
            (OutageKind::ImmediateError, 8 * SECOND, 9 * SECOND),
            (OutageKind::Closed, 300 * SECOND, 40 * SECOND),
        ] {
            let mut world = World::new(
                POLLED,
                InitialList::Unconfirmed,
                seed,
                outage_kind,
                vec![(20 * SECOND, 20 * SECOND + length)],
                900 * SECOND,
            );
            world.run(400 * SECOND, &mut |_, _, _| CallOutcome::Completed);
            suspended_times
                .entry((format!("{outage_kind:?}"), length / SECOND))
                .or_insert_with(Vec::new)
                .push(world.suspended_time);
            assert!(
                world.suspended_time <= limit,
                "{outage_kind:?} of {length}, seed {seed}: suspended for {}",
                world.suspended_time
            );
        }
    }
    for ((outage_kind, length), mut suspended_time) in suspended_times {
        suspended_time.sort_unstable();
        let seconds = |suspended_time: Micros| suspended_time as f64 / SECOND as f64;
        // Few watches take its first error for a rejection of their call alone.
        assert!(
            length > 8 || suspended_time[50] <= SECOND / 2,
            "{outage_kind} of {length} s: suspended {} in the median",
            suspended_time[50]
        );
        println!(
            "{outage_kind}, {length} s: suspended {:.2} s in the median, {:.2} s at most",
            seconds(suspended_time[50]),
            seconds(suspended_time[99])
        );
    }
}

#[test]
fn an_agent_that_responds_with_an_error_is_polled_at_once_and_not_relied_on() {
    for seed in 0..200 {
        for outage_kind in [OutageKind::ImmediateError, OutageKind::Closed] {
            let outages = vec![(5 * SECOND, 5 * SECOND + 40 * MILLISECOND * seed as Micros)];
            let mut world = World::new(
                PUSHED,
                InitialList::Unconfirmed,
                seed,
                outage_kind,
                outages.clone(),
                900 * SECOND,
            );
            world.run(30 * SECOND, &mut |_, _, _| CallOutcome::Completed);
            let polled_at = world.poll_times.iter().find(|at| **at >= outages[0].1).expect("polled again");
            assert!(
                polled_at - outages[0].1 <= 205 * MILLISECOND,
                "{outage_kind:?}: polled {} after its return",
                polled_at - outages[0].1
            );
            let allowed =
                (outages[0].1 - outages[0].0 + 470 * MILLISECOND - (DRAIN_GRACE - LEASE_TERMS.margin)).max(0);
            assert!(
                world.suspended_time <= allowed,
                "{outage_kind:?}: suspended for {} of {allowed}",
                world.suspended_time
            );
        }
        // An agent that is absent has no change.
        let mut world = World::new(
            PUSHED,
            InitialList::Unconfirmed,
            seed,
            OutageKind::ConnectionRefused,
            vec![(5 * SECOND, 15 * SECOND)],
            900 * SECOND,
        );
        world.run(30 * SECOND, &mut |_, _, _| CallOutcome::Completed);
        assert_eq!(world.suspended_time, 0);
    }
}

#[test]
fn a_first_list_is_polled_at_once_and_again_within_two_seconds() {
    for seed in 0..200 {
        for outage_kind in OUTAGES {
            let mut world = World::new(
                POLLED,
                InitialList::Absent,
                seed,
                outage_kind,
                vec![(0, 9 * SECOND)],
                900 * SECOND,
            );
            world.run(30 * SECOND, &mut |_, _, _| CallOutcome::Completed);
            assert!(world.poll_times[0] <= SECOND, "first at {}", world.poll_times[0]);
            let polled_at = world.poll_times.iter().find(|at| **at >= 9 * SECOND).expect("polled again");
            let limit =
                2 * SECOND + if outage_kind == OutageKind::Unreachable { 4 * SECOND } else { QUEUE_LIMIT };
            assert!(polled_at - 9 * SECOND <= limit, "{outage_kind:?}: {polled_at}");
        }
    }
}
