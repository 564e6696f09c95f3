//! Checks that no request is forwarded to a draining endpoint after the drain grace, whatever the outcomes of
//! the calls: a drain counts as notified six seconds after discovery had it and was reachable.

mod notification_simulation;

use std::collections::BTreeMap;

use fastrand::Rng;
use membership::{InitialList, Micros};
use notification_simulation::{
    CallOutcome, OutageKind, World, DRAIN_GRACE, LEASE_TERMS, MILLISECOND, OUTAGES, POLLED, PUSHED,
    QUEUE_LIMIT, SECOND,
};

/// Guards against requests to a draining endpoint when discovery is down around the time of the drain: the
/// drain is missed, and counts as notified nevertheless.
#[test]
fn drain_during_an_outage_stops_forwarding_in_time() {
    for outage_kind in OUTAGES {
        for length in [SECOND, 5 * SECOND, 8 * SECOND, 20 * SECOND] {
            for step in 0..60 {
                // Drains during the outage, at its last instant, just after and long after it.
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

/// Guards against requests to a draining endpoint when discovery is up but rejects, closes, truncates or
/// delays calls around the time of the drain.
#[test]
fn drain_during_failing_calls_stops_forwarding_in_time() {
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
            // The outcome of every second call; of all calls for a while; of three calls in four.
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
                    // A proxy cannot distinguish this from an outage. The test of a fleet counts the requests
                    // that are forwarded too late because of it.
                    world.presumed_outage = LEASE_TERMS.presumed_outage;
                }
                world.run(120 * SECOND, &mut sequence);
                assert!(world.drain_received, "{outcome:?} {seed}");
            }
        }
    }
}

/// Guards against requests to a draining endpoint after a sequence of outages and failing calls, and against
/// polling in a tight loop.
#[test]
fn outages_and_failing_calls_in_any_order_stop_forwarding_in_time() {
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
        // A proxy cannot distinguish a discovery that is up again and rejects calls from one that is still
        // down. The test of a fleet counts the requests that are forwarded too late because of it.
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
        assert!(calls_per_second.max() <= Some(12), "seed {seed}: polled in a tight loop");
    }
}

/// Guards against an outage of discovery that suspends forwarding without need: the suspension must stay
/// within a bound for each kind and length of outage.
#[test]
fn outage_suspends_forwarding_within_its_bound() {
    let mut suspended_times = BTreeMap::new();
    for seed in 0..100 {
        for (outage_kind, length, limit) in [
            // The kernel refuses connections, so no proxy could reach discovery, and nothing counts as
            // notified.
            (OutageKind::ConnectionRefused, 8 * SECOND, 0),
            (OutageKind::ConnectionRefused, 200 * SECOND, 0),
            // A proxy cannot distinguish an outage from an overload.
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
        // Only a few watches classify the first error as a rejection of their own call.
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

/// Guards against a failing agent that is polled late after its recovery, or that suspends forwarding for
/// longer than it fails.
#[test]
fn failing_agent_is_polled_soon_after_recovery_and_suspends_forwarding_briefly() {
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
                "{outage_kind:?}: polled {} after its recovery",
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
        // An absent agent has no changes, so it suspends nothing.
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

/// Guards against a process that starts without a list, cannot serve, and polls late after discovery
/// recovers.
#[test]
fn missing_list_is_polled_within_a_second_and_soon_after_an_outage() {
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
