//! Tests the watch of a list that is pushed to an agent, with an agent that fails in any order of ways: nothing is
//! forwarded past the grace of what the agent had, and an outage alone suspends nothing.

mod agent_simulation;

use agent_simulation::{AgentState, Phase, World, MILLISECOND, SECOND, TERMS};
use fastrand::Rng;
use membership::{InitialList, Micros};

const FAILURES: [AgentState; 8] = [
    AgentState::Late(300 * MILLISECOND),
    AgentState::Late(2_500 * MILLISECOND),
    AgentState::Silent,
    AgentState::Rejecting,
    AgentState::Disconnecting,
    AgentState::Truncating,
    AgentState::NotAccepting,
    AgentState::Gone,
];
/// The longest delay of answers that is below the time for which a list may be used in both deployments.
const MAX_TOLD_DELAY: Micros = 300 * MILLISECOND;
/// The shortest phase. A drain that the agent receives, and a failure within a few milliseconds, before any call
/// can arrive, cannot be told from an outage.
const MIN_PHASE: Micros = 300 * MILLISECOND;

/// Whether an agent in this state receives changes that can be told from an outage. One whose answers take longer
/// than the grace cannot: until then it looks like one that is silent because discovery is down.
fn receives(state: AgentState) -> bool {
    match state {
        // One that takes no connection, and does not respond to the call that it holds, looks the same.
        AgentState::Silent | AgentState::NotAccepting | AgentState::Gone => false,
        AgentState::Late(delay) => delay <= MAX_TOLD_DELAY,
        _ => true,
    }
}

/// Guards against a list of the start that is used past the grace while an agent that has a newer one fails in any
/// two ways, one after the other.
#[test]
fn list_of_the_start_is_not_used_past_the_grace_whatever_the_agent_does() {
    for first in FAILURES {
        for second in FAILURES {
            for step in 0..40 {
                let changes_at = MIN_PHASE + step * 170 * MILLISECOND;
                let phases = vec![
                    Phase { from: Micros::MIN, state: first },
                    Phase { from: changes_at, state: second },
                    Phase { from: 30 * SECOND, state: AgentState::Answering },
                ];
                let mut world = World::new(
                    TERMS[step as usize % 2],
                    InitialList::Unconfirmed,
                    step as u64,
                    phases,
                    -SECOND,
                );
                world.run(32 * SECOND);
                assert!(world.has_drain, "{first:?}, {second:?}");
            }
        }
    }
}

/// Draws phases of an agent, each longer than [`MIN_PHASE`], of which the last one answers.
fn draw_phases(rng: &mut Rng, first: AgentState) -> Vec<Phase> {
    let mut phases = vec![Phase { from: Micros::MIN, state: first }];
    let mut at = 0;
    for _ in 0..rng.usize(1..7) {
        at += MIN_PHASE + rng.i64(0..6 * SECOND);
        let state =
            if rng.u8(0..3) == 0 { AgentState::Answering } else { FAILURES[rng.usize(0..FAILURES.len())] };
        phases.push(Phase { from: at, state });
    }
    phases.push(Phase { from: at + SECOND, state: AgentState::Answering });
    phases
}

/// Guards against requests past the grace of a drain that the agent receives at any time while it is there, before,
/// between and after failures in any order.
#[test]
fn drain_is_kept_whatever_the_agent_does_before_and_after() {
    for seed in 0..6_000_u64 {
        let mut rng = Rng::with_seed(seed);
        let first = if rng.bool() { AgentState::Answering } else { FAILURES[rng.usize(0..FAILURES.len())] };
        let phases = draw_phases(&mut rng, first);
        let index = rng.usize(0..phases.len());
        let phase = phases[index];
        let ends_at = phases.get(index + 1).map_or(phase.from.max(0) + SECOND, |next| next.from);
        // At the beginning of a phase, or later; long enough before its end for a call to arrive.
        let latest = (ends_at - phase.from.max(0) - 5 * MILLISECOND).max(1);
        let offset = if rng.bool() { 0 } else { rng.i64(0..latest) };
        if !receives(phase.state) {
            continue;
        }
        let drained_at = phase.from.max(-SECOND) + offset;
        let list = if rng.u8(0..8) == 0 { InitialList::Absent } else { InitialList::Unconfirmed };
        let end = phases.last().expect("there are some").from;
        let mut world = World::new(TERMS[seed as usize % 2], list, seed, phases, drained_at);
        world.run(end + 12 * SECOND);
        assert!(world.has_drain, "seed {seed}: not received");
        let most = world
            .poll_times
            .iter()
            .map(|from| world.poll_times.iter().filter(|at| (*from..from + SECOND).contains(*at)).count())
            .max();
        assert!(most <= Some(20), "seed {seed}: {most:?} calls in a second");
    }
}

/// Guards against a list of the start that comes back into use in a long outage, although the agent still has a
/// drain that it does not have.
#[test]
fn list_of_the_start_is_not_used_in_a_long_outage() {
    for failure in FAILURES {
        let phases = vec![
            Phase { from: Micros::MIN, state: failure },
            Phase { from: 90 * SECOND, state: AgentState::Answering },
        ];
        let mut world = World::new(TERMS[0], InitialList::Unconfirmed, 1, phases, -SECOND);
        world.run(92 * SECOND);
        assert!(world.has_drain, "{failure:?}");
    }
}

/// Guards against a drain that is missed because the call that the agent holds is dead: what it has counts as
/// notified whether or not a call is open.
#[test]
fn drain_behind_a_dead_call_is_kept() {
    for seed in 0..400 {
        let mut rng = Rng::with_seed(seed);
        let dies_at = SECOND + rng.i64(0..4 * SECOND);
        let drained_at = dies_at + rng.i64(0..2 * SECOND);
        let phases = vec![Phase { from: Micros::MIN, state: AgentState::Answering }];
        let terms = TERMS[seed as usize % 2];
        let mut world = World::new(terms, InitialList::Unconfirmed, seed, phases, drained_at);
        world.run(dies_at);
        world.drop_held_calls();
        world.run(drained_at + 20 * SECOND);
        assert!(world.has_drain, "seed {seed}");
    }
}

/// Guards against an outage of discovery that suspends forwarding by a list that the agent confirmed before it.
#[test]
fn outage_suspends_no_list_that_the_agent_confirmed() {
    for outage in [AgentState::Silent, AgentState::Gone] {
        for seed in 0..200 {
            let mut rng = Rng::with_seed(seed);
            let from = SECOND + rng.i64(0..12 * SECOND);
            let length = rng.i64(100 * MILLISECOND..60 * SECOND);
            let phases = vec![
                Phase { from: Micros::MIN, state: AgentState::Answering },
                Phase { from, state: outage },
                Phase { from: from + length, state: AgentState::Answering },
            ];
            let mut world =
                World::new(TERMS[seed as usize % 2], InitialList::Unconfirmed, seed, phases, 900 * SECOND);
            world.run(from + length + 20 * SECOND);
            assert_eq!(world.suspended_time, 0, "{outage:?}, seed {seed}");
        }
    }
}

/// Guards against an end of an outage that is noticed late by a process whose list is unconfirmed.
#[test]
fn list_of_the_start_is_confirmed_as_soon_as_the_agent_answers() {
    for failure in FAILURES {
        for seed in 0..50 {
            let answers_at = 5 * SECOND + seed as Micros * 37 * MILLISECOND;
            let phases = vec![
                Phase { from: Micros::MIN, state: failure },
                Phase { from: answers_at, state: AgentState::Answering },
            ];
            let mut world =
                World::new(TERMS[seed as usize % 2], InitialList::Unconfirmed, seed, phases, 900 * SECOND);
            world.run(answers_at + 700 * MILLISECOND);
            let status = world.watch.status();
            assert_eq!(status.list, membership::ListStatus::Confirmed, "{failure:?}: {status:?}");
        }
    }
}

/// A lease on a current list has a bound, so that a process that stood still sends nothing before it has read what
/// it received meanwhile.
#[test]
fn current_list_runs_out_while_the_process_stands_still() {
    let phases = vec![Phase { from: Micros::MIN, state: AgentState::Answering }];
    let mut world = World::new(TERMS[0], InitialList::Unconfirmed, 1, phases, 900 * SECOND);
    for step in 1..200 {
        world.run(step * 97 * MILLISECOND);
        let expiry = world.watch.expiry().expect("a bound");
        assert!(
            (world.now..=world.now + TERMS[0].drain_grace - TERMS[0].margin).contains(&expiry.from),
            "{expiry:?} at {}",
            world.now
        );
    }
}
