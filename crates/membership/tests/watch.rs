//! A watch against a discovery that misbehaves, in simulated time.
//!
//! The stand-in follows the platform's page: what it begins to write counts as told two seconds after the wait of its
//! call ended, whether it arrives or not. The test holds what is sent against that, not against the watch's own books.

use std::collections::BTreeMap;

use fastrand::Rng;
use membership::{Action, CallId, Event, Expiry, Failure, InitialList, LeaseTerms, Micros, Policy, Watch};
use proptest::prelude::*;

const MS: Micros = 1_000;
const S: Micros = 1_000 * MS;
const GRACE: Micros = 500 * MS;
const MARGIN: Micros = 150 * MS;
const TERMS: LeaseTerms =
    LeaseTerms { drain_grace: GRACE, margin: MARGIN, longest_stop: 40 * S, believed_outage: 8 * S };

/// How a call ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Whole,
    /// Its head comes, and then the connection breaks.
    Breaks,
    /// Its head comes, and nothing more.
    Stalls,
    Malformed,
    Silent,
    /// Refused at once.
    Down,
    /// In turn for two seconds, and then turned away.
    TurnedAway,
}

const WAYS: [Way; 7] =
    [Way::Whole, Way::Breaks, Way::Stalls, Way::Malformed, Way::Silent, Way::Down, Way::TurnedAway];

/// One proxy and one discovery, whose list changes at one moment: a node drains.
struct World {
    watch: Watch,
    now: Micros,
    /// Events on their way, in the order of their times.
    coming: BTreeMap<(Micros, u64), Event>,
    numbers: u64,
    drain: Micros,
    /// The version that the list in hand has: 1 with the drain.
    seen: u64,
    /// What each call that is out will bring.
    brings: BTreeMap<CallId, u64>,
    /// When the drain counts as told.
    told: Option<Micros>,
    /// From when on anything may have been told, a drain or not, since the last whole answer.
    unsure: Option<Micros>,
    asked: Vec<(Micros, Micros)>,
    ended: Vec<Micros>,
    most_out: usize,
}

impl World {
    fn new(policy: Policy, seed: u64, drain: Micros) -> World {
        World {
            watch: running(policy, seed),
            now: 0,
            coming: BTreeMap::new(),
            numbers: 0,
            drain,
            seen: 0,
            brings: BTreeMap::new(),
            told: None,
            unsure: None,
            asked: Vec::new(),
            ended: Vec::new(),
            most_out: 0,
        }
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.numbers += 1;
        self.coming.insert((at, self.numbers), event);
    }

    fn tell(&mut self, at: Micros) {
        self.told = Some(self.told.map_or(at, |told| told.min(at)));
    }

    /// A call of which discovery knows how it will end it.
    fn call(&mut self, id: CallId, wait: Micros, way: Way) {
        self.asked.push((self.now, wait));
        let ends = if self.drain <= self.now { self.now } else { self.drain.min(self.now + wait) };
        let version = u64::from(self.drain <= ends);
        // What is new at a time is written then, or when the wait is over; on the way it takes 30 ms.
        let has_news = version > self.seen;
        let here = ends + 30 * MS;
        let limit = ends + 2 * S;
        self.brings.insert(id, version);
        match way {
            Way::Whole => {
                self.at(here, Event::Heard(id));
                self.at(here + 5 * MS, Event::Answered(id, has_news));
            }
            Way::Breaks | Way::Malformed => {
                self.at(here, Event::Heard(id));
                self.at(here + 200 * MS, Event::Broke(id));
            }
            Way::Stalls => self.at(here, Event::Heard(id)),
            Way::Silent => {}
            Way::Down => self.at(self.now + MS, Event::Failed(id, Failure::Refused)),
            Way::TurnedAway => self.at(self.now + 2 * S, Event::Failed(id, Failure::Answered)),
        }
        let unsure = match way {
            Way::Breaks | Way::Malformed | Way::Stalls => Some(limit),
            Way::Silent => Some(self.now + wait + 2 * S),
            _ => None,
        };
        self.unsure = unsure.map(|at| self.unsure.map_or(at, |u| u.min(at))).or(self.unsure);
        match way {
            Way::Whole if has_news => self.tell(here),
            Way::Breaks | Way::Malformed | Way::Stalls if has_news => self.tell(limit),
            // Silence can be known only when the wait is over.
            Way::Silent if has_news => self.tell(self.now + wait + 2 * S),
            _ => {}
        }
    }

    /// Plays until `end`; `way` says how each call ends, by its number and time.
    fn play(&mut self, end: Micros, rng: &mut Rng, way: &mut dyn FnMut(usize, Micros) -> Way) {
        self.at(0, Event::Begin);
        let mut out = 0_usize;
        while self.now < end && !(self.seen == 1 && self.unsure.is_none() && self.now > 60 * S) {
            let event = self.coming.first_key_value().map(|(&(at, _), _)| at);
            let wake = self.watch.wake_at().map(|at| at.max(self.now));
            let Some(at) = event.into_iter().chain(wake).min() else { break };
            // Requests come all the time: is any sent that must not be?
            self.look(self.now, at.min(end));
            self.now = at;
            let event = match event {
                Some(e) if e <= at => self.coming.pop_first().expect("there is one").1,
                _ => Event::Wake,
            };
            if let Event::Answered(id, _) = event {
                if let Some(version) = self.brings.get(&id) {
                    self.seen = self.seen.max(*version);
                }
                self.unsure = None;
            }
            let mut actions = Vec::new();
            self.watch.handle(at, event, &mut actions);
            if matches!(event, Event::Answered(..) | Event::Broke(_) | Event::Failed(..)) {
                out = out.saturating_sub(1);
            }
            for action in actions {
                match action {
                    Action::Ask(id, wait) => {
                        out += 1;
                        self.most_out = self.most_out.max(out);
                        let way = way(self.asked.len(), at);
                        self.call(id, wait, way);
                    }
                    Action::Drop(id) => {
                        out = out.saturating_sub(1);
                        self.brings.remove(&id);
                        self.coming.retain(
                            |_, e| !matches!(e, Event::Heard(i) | Event::Answered(i, _) | Event::Broke(i) | Event::Failed(i, _) if *i == id),
                        );
                    }
                    Action::Ended => {
                        self.ended.push(at);
                        // As the decisions do.
                        let pause = rng.i64(1..=S);
                        self.at(at + pause, Event::Begin);
                    }
                }
            }
        }
    }

    /// From one moment to the next nothing changes but time: was anything sent to the draining node too late?
    fn look(&self, from: Micros, to: Micros) {
        let Some(told) = self.told.filter(|_| self.seen == 0) else { return };
        let late = told + GRACE;
        // After that the list is relied on again, whatever comes: the note says why.
        let last = self.unsure.map_or(Micros::MAX, |u| u + GRACE - MARGIN + TERMS.longest_stop - S / 2);
        let (from, to) = (from.max(late), to.min(last));
        if from < to {
            let held = self.watch.expiry().map(|e| (e.from, e.until));
            assert!(
                held.is_some_and(|(begin, end)| begin <= from && to <= end),
                "sent to a draining node between {from} and {to}, told at {told}: {held:?}, calls {:?}",
                self.asked
            );
        }
    }
}

/// A watch whose list was confirmed a second before the play begins.
fn running(policy: Policy, seed: u64) -> Watch {
    let mut watch = Watch::new(policy, InitialList::Unconfirmed, -S, seed);
    let mut actions = Vec::new();
    watch.handle(-S, Event::Begin, &mut actions);
    watch.handle(-S, Event::Wake, &mut actions);
    if let Some(Action::Ask(id, _)) = actions.first() {
        watch.handle(-S, Event::Answered(*id, false), &mut Vec::new());
    }
    watch
}

fn asked() -> Policy {
    Policy { answers_each: true, lease: Some(TERMS) }
}

#[test]
fn no_way_to_answer_at_any_moment_of_a_drain_lets_anything_through_after_the_bound() {
    // The call that the drain falls into ends in one way, and those after it in another, for as long as it takes.
    for first in WAYS {
        for then in WAYS {
            for step in 0..160 {
                let drain = step * 125 * MS;
                let seed = step as u64;
                let mut world = World::new(asked(), seed, drain);
                let mut way = |_: usize, at: Micros| match at {
                    at if at + 7 * S < drain => Way::Whole,
                    at if at <= drain => first,
                    at if at < drain + 25 * S => then,
                    _ => Way::Whole,
                };
                world.play(60 * S, &mut Rng::with_seed(seed), &mut way);
                assert!(world.most_out <= 2, "{first:?} {then:?} {drain}: {} calls at once", world.most_out);
                assert_eq!(world.seen, 1, "{first:?} {then:?} {drain}: never heard of");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    #[test]
    fn nothing_is_sent_after_the_bound_whatever_the_order(
        seed: u64,
        drain in 0..30 * S,
        ways in proptest::collection::vec(0..WAYS.len(), 1..60),
    ) {
        let mut world = World::new(asked(), seed, drain);
        world.play(600 * S, &mut Rng::with_seed(seed), &mut |n, _| {
            ways.get(n).map_or(Way::Whole, |&w| WAYS[w])
        });
        prop_assert!(world.most_out <= 2);
        prop_assert_eq!(world.seen, 1);
        // However it answers it is not asked in a spin.
        for at in &world.asked {
            let second = world.asked.iter().filter(|o| o.0 >= at.0 && o.0 < at.0 + S).count();
            prop_assert!(second <= 12, "{} calls in a second", second);
        }
    }
}

#[test]
fn what_broke_off_is_asked_for_again_in_time_to_hold_nothing_back() {
    for seed in 0..200 {
        for first in [Way::Breaks, Way::Stalls, Way::Malformed, Way::Silent] {
            let mut world = World::new(asked(), seed, 2 * S);
            let mut held = false;
            world.play(20 * S, &mut Rng::with_seed(seed), &mut |n, _| {
                if n == 0 {
                    first
                } else {
                    Way::Whole
                }
            });
            held |= world.watch.expiry().is_none_or(|expiry| expiry.from <= world.now + 2 * S);
            let (again, wait) = world.asked[1];
            assert!(!held && again < world.told.expect("told"), "{first:?}, seed {seed}: again at {again}");
            assert!(wait <= 250 * MS, "a long wait would show late whether anything was missed");
        }
    }
}

#[test]
fn an_outage_of_discovery_is_none_of_the_proxies() {
    // Nobody can reach it, so nothing counts as told, for however long.
    let mut world = World::new(asked(), 7, 300 * S);
    let mut rng = Rng::with_seed(7);
    world.play(120 * S, &mut rng, &mut |_, at| if at < 10 * S { Way::Whole } else { Way::Down });
    assert!(
        world.watch.expiry().is_some_and(|expiry| expiry.from > 122 * S),
        "nothing was told: {:?}",
        world.watch.expiry()
    );
    let calls = world.asked.iter().filter(|(at, _)| *at > 20 * S).count();
    assert!((50..=200).contains(&calls), "it is asked all the time, and in no spin: {calls}");
    // Own installations: nothing says in which time drains must be kept.
    for way in [Way::Down, Way::TurnedAway] {
        let mut world = World::new(Policy { answers_each: true, lease: None }, 7, 300 * S);
        world.play(120 * S, &mut rng, &mut |_, at| if at < 10 * S { Way::Whole } else { way });
        assert!(world.watch.expiry().is_none(), "{way:?}: the list is relied on");
        assert!(world.ended.len() > 10, "{way:?}: asking again is up to the decisions");
    }
    // Lists that are pushed: an agent that says nothing has nothing to say.
    let pushed = Policy { answers_each: false, lease: Some(TERMS) };
    let mut world = World::new(pushed, 7, 300 * S);
    world.play(120 * S, &mut Rng::with_seed(7), &mut |_, _| Way::Silent);
    assert!(world.watch.expiry().is_none() && world.ended.len() > 10);
}

#[test]
fn what_is_held_back_is_held_back_for_so_long_and_no_longer() {
    let mut world = World::new(asked(), 3, 2 * S);
    world.play(200 * S, &mut Rng::with_seed(3), &mut |_, _| Way::Breaks);
    let Expiry { from, until, .. } = world.watch.expiry().expect("held");
    let told = world.told.expect("told");
    assert!(
        from <= told + GRACE - 100 * MS && until == from + TERMS.longest_stop,
        "{from} to {until}, told at {told}"
    );
    // The calls that make up for it come seldom by then.
    let late = world.asked.iter().filter(|(at, _)| *at > 100 * S).count();
    assert!((15..90).contains(&late), "{late} calls in 100 s");
}

#[test]
fn proxies_that_began_together_come_back_apart() {
    // Forty proxies, and a discovery that falls silent in their first calls.
    let mut again: Vec<Micros> = (0..40)
        .map(|seed| {
            let mut world = World::new(asked(), seed, 300 * S);
            let mut way = |n: usize, _: Micros| if n == 0 { Way::Silent } else { Way::Whole };
            world.play(15 * S, &mut Rng::with_seed(seed), &mut way);
            world.asked[1].0
        })
        .collect();
    again.sort_unstable();
    let crowd = again.iter().map(|at| again.iter().filter(|o| (*at..at + S).contains(*o)).count()).max();
    assert!(crowd < Some(20), "{crowd:?} of 40 ask within a second");
}

#[test]
fn another_discovery_is_asked_for_all_it_has_at_once() {
    let mut watch = running(asked(), 1);
    let mut out = Vec::new();
    watch.handle(0, Event::Begin, &mut out);
    watch.handle(S, Event::Moved, &mut out);
    let Action::Ask(first, _) = out[0] else { panic!("{out:?}") };
    let Action::Ask(second, 0) = out[2] else { panic!("{out:?}") };
    assert_eq!(out[1], Action::Drop(first));
    // Nothing that the old one still says counts.
    out.clear();
    watch.handle(S, Event::Broke(first), &mut out);
    let expiry = watch.expiry().expect("a list is never sent by without bound");
    assert!(out.is_empty() && expiry.from >= S + 6 * S, "{expiry:?}");
    watch.handle(S, Event::Answered(second, true), &mut out);
    assert!(matches!(out[..], [Action::Ask(_, wait)] if wait >= 3 * S), "{out:?}");
}
