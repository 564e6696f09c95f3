//! Whatever became of the calls: a change counts as told six seconds after discovery had it and could be reached.
//!
//! The oracle knows when discovery is up and when the drain was made, and nothing of what the watch makes of its calls. A
//! request is taken to be sent at every moment that is not held.

use std::collections::{BTreeMap, VecDeque};

use fastrand::Rng;
use membership::{Action, CallId, Event, Failure, InitialList, LeaseTerms, Micros, Policy, Watch};

const MS: Micros = 1_000;
const S: Micros = 1_000 * MS;
const GRACE: Micros = 500 * MS;
const TERMS: LeaseTerms =
    LeaseTerms { drain_grace: GRACE, margin: 150 * MS, longest_stop: 40 * S, believed_outage: 8 * S };
const ASKED: Policy = Policy { answers_each: true, lease: Some(TERMS) };
const PUSHED: Policy = Policy { answers_each: false, lease: Some(TERMS) };
/// What discovery had, and could be reached for, counts as told after this.
const TOLD: Micros = 6 * S;
/// Discovery lets nobody wait for his turn for longer.
const IN_TURN: Micros = 2 * S;

/// What a caller meets while discovery is down.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Down {
    /// Nobody listens.
    Refuses,
    /// In turn for two seconds, and then an error.
    Errors,
    /// An error at once.
    ErrorsAtOnce,
    /// It accepts and closes.
    Closes,
    /// No connection comes up.
    Vanished,
}

const DOWNS: [Down; 5] = [Down::Refuses, Down::Errors, Down::ErrorsAtOnce, Down::Closes, Down::Vanished];

/// What becomes of a call while it is up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Up {
    Answers,
    /// Too many callers: an error after two seconds.
    TurnsAway,
    TurnsAwayAtOnce,
    Closes,
    /// The connection comes up so late.
    Late(Micros),
    BreaksOff,
}

struct World {
    watch: Watch,
    rng: Rng,
    now: Micros,
    coming: BTreeMap<(Micros, u64), Event>,
    numbers: u64,
    down: Vec<(Micros, Micros)>,
    how: Down,
    drain: Micros,
    seen: bool,
    brings: BTreeMap<CallId, bool>,
    /// Watches that wait for news, and until when.
    waiting: BTreeMap<CallId, Micros>,
    asked: Vec<Micros>,
    held: Micros,
    /// For so long an outage is believed in.
    believed: Micros,
}

impl World {
    fn new(
        policy: Policy,
        list: InitialList,
        seed: u64,
        how: Down,
        down: Vec<(Micros, Micros)>,
        drain: Micros,
    ) -> World {
        World {
            watch: Watch::new(policy, list, 0, seed),
            rng: Rng::with_seed(seed ^ 0xd15c),
            now: 0,
            coming: BTreeMap::new(),
            numbers: 0,
            down,
            how,
            drain,
            seen: false,
            brings: BTreeMap::new(),
            waiting: BTreeMap::new(),
            asked: Vec::new(),
            held: 0,
            believed: 0,
        }
    }

    fn is_down(&self, at: Micros) -> bool {
        self.down.iter().any(|(from, to)| (*from..*to).contains(&at))
    }

    /// By the term alone; each outage has the time count anew.
    fn told(&self) -> Micros {
        let mut reached = self.drain;
        for (from, to) in &self.down {
            if *from < reached + TOLD && reached < *to {
                reached = *to;
            }
        }
        reached + TOLD
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.numbers += 1;
        self.coming.insert((at, self.numbers), event);
    }

    fn call(&mut self, id: CallId, wait: Micros, up: Up) {
        self.asked.push(self.now);
        let now = self.now;
        if self.is_down(now) {
            let (at, failure) = match self.how {
                Down::Refuses => (now + MS, Failure::Refused),
                Down::Errors => (now + IN_TURN, Failure::Answered),
                Down::ErrorsAtOnce => (now + MS, Failure::Answered),
                Down::Closes => (now + MS, Failure::Cut),
                Down::Vanished => (now + 4 * S, Failure::Unreached),
            };
            return self.at(at, Event::Failed(id, failure));
        }
        match up {
            Up::TurnsAway => self.at(now + IN_TURN, Event::Failed(id, Failure::Answered)),
            Up::TurnsAwayAtOnce => self.at(now + MS, Event::Failed(id, Failure::Answered)),
            Up::Closes => self.at(now + MS, Event::Failed(id, Failure::Cut)),
            Up::Answers => self.watch_from(id, now, wait),
            Up::Late(by) => self.watch_from(id, now + by, wait),
            Up::BreaksOff => {
                self.at(now + 5 * MS, Event::Heard(id));
                self.at(now + 9 * MS, Event::Broke(id));
            }
        }
    }

    /// From then on the call waits for news, or until discovery goes down.
    fn watch_from(&mut self, id: CallId, from: Micros, wait: Micros) {
        let over = from + wait;
        let ends = if self.seen || self.drain > over { over } else { self.drain.max(from) };
        let down = self.down.iter().map(|d| d.0).find(|at| (from..=ends).contains(at));
        if let Some(down) = down {
            // One that goes down with words ends its watches with them; one that dies has its connections reset.
            let worded = matches!(self.how, Down::Errors | Down::ErrorsAtOnce);
            let failure = if worded { Failure::Answered } else { Failure::Cut };
            return self.at(down, Event::Failed(id, failure));
        }
        if self.is_down(from) {
            return self.at(from + MS, Event::Failed(id, Failure::Cut));
        }
        self.waiting.insert(id, ends);
        self.brings.insert(id, self.drain <= ends);
        self.at(ends + 2 * MS, Event::Heard(id));
        self.at(ends + 3 * MS, Event::Answered(id, self.drain <= ends));
    }

    fn play(&mut self, end: Micros, up: &mut dyn FnMut(&mut Rng, usize, Micros) -> Up) {
        self.at(0, Event::Begin);
        while self.now < end {
            let event = self.coming.first_key_value().map(|(&(at, _), _)| at);
            let wake = self.watch.wake_at().map(|at| at.max(self.now));
            let Some(at) = event.into_iter().chain(wake).min() else { break };
            self.look(at.min(end));
            self.now = at;
            let event = match event {
                Some(e) if e <= at => self.coming.pop_first().expect("there is one").1,
                _ => Event::Wake,
            };
            if let Event::Answered(id, _) = event {
                if self.brings.remove(&id) == Some(true) && !self.seen {
                    self.seen = true;
                }
            }
            let mut actions = Vec::new();
            self.watch.handle(at, event, &mut actions);
            for action in actions {
                match action {
                    Action::Ask(id, wait) => {
                        let up = up(&mut self.rng, self.asked.len(), at);
                        self.call(id, wait, up);
                    }
                    Action::Drop(id) => {
                        self.brings.remove(&id);
                        self.coming.retain(|_, e| {
                            !matches!(e, Event::Heard(i) | Event::Answered(i, _) | Event::Broke(i) | Event::Failed(i, _) if *i == id)
                        });
                    }
                    // As the shell does where lists are pushed.
                    Action::Ended => self.at(at + 250 * MS, Event::Begin),
                }
            }
        }
    }

    /// Until then nothing changes but time.
    fn look(&mut self, to: Micros) {
        let hold = self.watch.expiry().map(|e| (e.from, e.until));
        if let Some((from, until)) = hold {
            self.held += (to.min(until) - self.now.max(from)).max(0);
        }
        if self.seen {
            return;
        }
        let from = self.now.max(self.told() + self.believed + GRACE);
        // What is held is held for so long and no longer: the note says why.
        let to =
            to.min(hold.map_or(to, |(begin, end)| if end >= begin + TERMS.longest_stop { end } else { to }));
        if from < to {
            assert!(
                hold.is_some_and(|(begin, end)| begin <= from && to <= end),
                "sent to a draining node between {from} and {to}; drain {}, told {}, down {:?} {:?}, held {hold:?}, calls {:?}",
                self.drain,
                self.told(),
                self.how,
                self.down,
                self.asked
            );
        }
    }
}

#[test]
fn no_outage_at_any_moment_of_a_drain_lets_anything_through() {
    for how in DOWNS {
        for length in [S, 5 * S, 8 * S, 20 * S] {
            for step in 0..60 {
                // In the outage, in its last moment, just after, and long after.
                let (from, to) = (13 * S, 13 * S + length);
                let drain = from - S + (length + 10 * S) * step / 60;
                for drain in [drain, to - 1, to, to + 1] {
                    let seed = step as u64 ^ (length as u64) << 8;
                    let mut world =
                        World::new(ASKED, InitialList::Unconfirmed, seed, how, vec![(from, to)], drain);
                    world.play(90 * S, &mut |_, _, _| Up::Answers);
                    assert!(world.seen, "{how:?} {length} {drain}");
                }
            }
        }
    }
}

#[test]
fn no_way_to_turn_a_caller_away_lets_anything_through() {
    let late = [1_499, 1_500, 1_501, 2_400, 3_900].map(|ms| Up::Late(ms * MS));
    let ways = [Up::TurnsAway, Up::TurnsAwayAtOnce, Up::Closes, Up::BreaksOff].into_iter().chain(late);
    for way in ways {
        for seed in 0..120_u64 {
            let drain = 9 * S + seed as Micros * 97 * MS;
            // Each second call; all for a while; all but one in four.
            type Order<'a> = Box<dyn FnMut(&mut Rng, usize, Micros) -> Up + 'a>;
            let orders: [Order<'_>; 3] = [
                Box::new(|_, n, _| if n % 2 == 0 { way } else { Up::Answers }),
                Box::new(|_, _, at| if (8 * S..25 * S).contains(&at) { way } else { Up::Answers }),
                Box::new(|rng, _, _| if rng.usize(0..4) > 0 { way } else { Up::Answers }),
            ];
            for mut order in orders {
                let mut world =
                    World::new(ASKED, InitialList::Unconfirmed, seed, Down::Refuses, Vec::new(), drain);
                if way == Up::TurnsAway {
                    // Nor can this be told from an outage; what that lets through is counted over a fleet below.
                    world.believed = TERMS.believed_outage;
                }
                world.play(120 * S, &mut order);
                assert!(world.seen, "{way:?} {seed}");
            }
        }
    }
}

#[test]
fn outages_and_refusals_in_any_order_let_nothing_through() {
    for seed in 0..3_000_u64 {
        let mut rng = Rng::with_seed(seed);
        let (mut down, mut at) = (Vec::new(), 0);
        for _ in 0..rng.usize(0..4) {
            let from = at + rng.i64(0..15 * S);
            at = from + rng.i64(1..12 * S);
            down.push((from, at));
        }
        let how = DOWNS[rng.usize(0..DOWNS.len())];
        let drain = rng.i64(0..50 * S);
        // A discovery that comes back after an error and turns callers away cannot be told from one that is still down: what
        // that lets through is counted over a fleet below.
        let part = if matches!(how, Down::Errors | Down::ErrorsAtOnce) { 0 } else { rng.usize(0..90) };
        let mut world = World::new(ASKED, InitialList::Unconfirmed, seed, how, down, drain);
        let ways = [Up::TurnsAwayAtOnce, Up::Closes, Up::Late(1_500 * MS), Up::BreaksOff];
        world.play(200 * S, &mut |rng, _, _| {
            if rng.usize(0..100) < part {
                ways[rng.usize(0..ways.len())]
            } else {
                Up::Answers
            }
        });
        assert!(world.seen, "seed {seed}");
        let second =
            world.asked.iter().map(|a| world.asked.iter().filter(|b| (*a..*a + S).contains(*b)).count());
        assert!(second.max() <= Some(12), "seed {seed}: asked in a spin");
    }
}

#[test]
fn an_outage_stops_service_no_longer_than_it_must() {
    let mut helds = BTreeMap::new();
    for seed in 0..100 {
        for (how, length, most) in [
            // The kernel says that nobody could reach it: nothing counts as told.
            (Down::Refuses, 8 * S, 0),
            (Down::Refuses, 200 * S, 0),
            // From outside an error says the same whether it is down or has too many callers.
            (Down::Errors, 4 * S, 5 * S),
            (Down::Errors, 8 * S, 9 * S),
            (Down::Errors, 300 * S, 40 * S),
            (Down::ErrorsAtOnce, 8 * S, 9 * S),
            (Down::Closes, 300 * S, 40 * S),
        ] {
            let mut world = World::new(
                ASKED,
                InitialList::Unconfirmed,
                seed,
                how,
                vec![(20 * S, 20 * S + length)],
                900 * S,
            );
            world.play(400 * S, &mut |_, _, _| Up::Answers);
            helds.entry((format!("{how:?}"), length / S)).or_insert_with(Vec::new).push(world.held);
            assert!(world.held <= most, "{how:?} of {length}, seed {seed}: held for {}", world.held);
        }
    }
    for ((how, length), mut held) in helds {
        held.sort_unstable();
        let seconds = |held: Micros| held as f64 / S as f64;
        // Few take its first error for a word to them alone.
        assert!(length > 8 || held[50] <= S / 2, "{how} of {length} s: held {} in the median", held[50]);
        println!(
            "{how}, {length} s: held {:.2} s in the median, {:.2} s at most",
            seconds(held[50]),
            seconds(held[99])
        );
    }
}

#[test]
fn an_agent_that_answers_with_an_error_is_asked_at_once_and_relied_on_no_longer() {
    for seed in 0..200 {
        for how in [Down::ErrorsAtOnce, Down::Closes] {
            let down = vec![(5 * S, 5 * S + 40 * MS * seed as Micros)];
            let mut world = World::new(PUSHED, InitialList::Unconfirmed, seed, how, down.clone(), 900 * S);
            world.play(30 * S, &mut |_, _, _| Up::Answers);
            let back = world.asked.iter().find(|at| **at >= down[0].1).expect("asked again");
            assert!(back - down[0].1 <= 205 * MS, "{how:?}: asked {} after its return", back - down[0].1);
            let allowed = (down[0].1 - down[0].0 + 470 * MS - (GRACE - TERMS.margin)).max(0);
            assert!(world.held <= allowed, "{how:?}: held for {} of {allowed}", world.held);
        }
        // One that is not there has nothing.
        let mut world =
            World::new(PUSHED, InitialList::Unconfirmed, seed, Down::Refuses, vec![(5 * S, 15 * S)], 900 * S);
        world.play(30 * S, &mut |_, _, _| Up::Answers);
        assert_eq!(world.held, 0);
    }
}

#[test]
fn a_first_list_is_asked_for_at_once_and_again_within_two_seconds() {
    for seed in 0..200 {
        for how in DOWNS {
            let mut world = World::new(ASKED, InitialList::Absent, seed, how, vec![(0, 9 * S)], 900 * S);
            world.play(30 * S, &mut |_, _, _| Up::Answers);
            assert!(world.asked[0] <= S, "first at {}", world.asked[0]);
            let after = world.asked.iter().find(|at| **at >= 9 * S).expect("asked again");
            let most = 2 * S + if how == Down::Vanished { 4 * S } else { IN_TURN };
            assert!(after - 9 * S <= most, "{how:?}: {after}");
        }
    }
}

/// A fleet before one discovery that takes calls in turn, so many a second, and turns away who would wait two seconds.
struct Fleet {
    watches: Vec<Watch>,
    coming: BTreeMap<(Micros, u64), (usize, Event)>,
    numbers: u64,
    /// When it has dealt with the calls that it took.
    free: Micros,
    each: Micros,
    /// They start within this.
    starts: Micros,
    down: (Micros, Micros),
    drain: Micros,
    seen: Vec<Option<Micros>>,
    queue: VecDeque<Micros>,
    calls: BTreeMap<Micros, usize>,
    held: Vec<Micros>,
}

impl Fleet {
    fn new(
        proxies: usize,
        round: Micros,
        starts: Micros,
        down: (Micros, Micros),
        drain: Micros,
        seed: u64,
    ) -> Fleet {
        Fleet {
            watches: (0..proxies)
                .map(|p| {
                    Watch::new(ASKED, InitialList::Unconfirmed, start_of(p, starts), seed * 1_000 + p as u64)
                })
                .collect(),
            coming: BTreeMap::new(),
            numbers: 0,
            free: 0,
            each: round / proxies.max(8) as Micros,
            starts,
            down,
            drain,
            seen: vec![None; proxies],
            queue: VecDeque::new(),
            calls: BTreeMap::new(),
            held: vec![0; proxies],
        }
    }

    fn at(&mut self, at: Micros, proxy: usize, event: Event) {
        self.numbers += 1;
        self.coming.insert((at, self.numbers), (proxy, event));
    }

    fn ask(&mut self, now: Micros, proxy: usize, id: CallId, wait: Micros, goes_on: bool) {
        *self.calls.entry(now / S).or_default() += 1;
        if (self.down.0..self.down.1).contains(&now) {
            return self.at(now + IN_TURN, proxy, Event::Failed(id, Failure::Answered));
        }
        let mut from = now;
        if !goes_on {
            while self.queue.front().is_some_and(|done| *done <= now) {
                self.queue.pop_front();
            }
            from = self.free.max(now) + self.each;
            if from > now + IN_TURN {
                return self.at(now + IN_TURN, proxy, Event::Failed(id, Failure::Answered));
            }
            self.free = from;
            self.queue.push_back(from);
        }
        let over = from + wait;
        let news = self.seen[proxy].is_none() && self.drain <= over;
        let ends = if news { self.drain.max(from) } else { over };
        if (from..=ends).contains(&self.down.0) {
            return self.at(self.down.0, proxy, Event::Failed(id, Failure::Answered));
        }
        self.at(ends + MS, proxy, Event::Answered(id, news));
    }

    /// Plays an outage of eight seconds and a drain; gives how often anything was sent too late.
    fn play(&mut self, end: Micros) -> usize {
        let mut broken = 0;
        for proxy in 0..self.watches.len() {
            self.at(start_of(proxy, self.starts), proxy, Event::Begin);
        }
        let told =
            if (self.down.0..self.down.1).contains(&self.drain) { self.down.1 } else { self.drain } + TOLD;
        let mut last = vec![0; self.watches.len()];
        loop {
            let event = self.coming.first_key_value().map(|(&(at, _), _)| at);
            let wake = self.watches.iter().enumerate().filter_map(|(p, w)| Some((w.wake_at()?, p))).min();
            let Some(now) = event.into_iter().chain(wake.map(|w| w.0)).min().filter(|at| *at < end) else {
                break;
            };
            let (proxy, event) = match event {
                Some(at) if at <= now => self.coming.pop_first().expect("there is one").1,
                _ => (wake.expect("it is due").1, Event::Wake),
            };
            let hold = self.watches[proxy].expiry().map(|e| (e.from, e.until));
            let (mut held, from) = (0, last[proxy]);
            if let Some((begin, until)) = hold {
                held = (now.min(until) - begin.max(from)).max(0);
            }
            self.held[proxy] += held;
            let late = (now - from.max(told + GRACE)).max(0);
            broken += usize::from(self.seen[proxy].is_none() && late > 0 && held < late);
            last[proxy] = now;
            if let Event::Answered(_, true) = event {
                self.seen[proxy] = Some(now);
            }
            let mut actions = Vec::new();
            self.watches[proxy].handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Ask(id, wait) => {
                        self.ask(now, proxy, id, wait, matches!(event, Event::Answered(..)));
                    }
                    Action::Drop(id) => self.coming.retain(|_, (p, e)| {
                        *p != proxy || !matches!(e, Event::Answered(i, _) | Event::Failed(i, _) if *i == id)
                    }),
                    Action::Ended => unreachable!("it asks by itself"),
                }
            }
        }
        broken
    }
}

/// When a process of a fleet starts that starts within this time.
fn start_of(proxy: usize, within: Micros) -> Micros {
    (proxy as Micros * 37 * MS) % within
}

#[test]
fn a_fleet_hears_of_a_drain_in_time_within_what_discovery_bears() {
    for proxies in [1_usize, 30, 350] {
        // One call of every proxy in two to eight seconds; outages up to the longest that is believed in, and past it.
        for (round, length) in [2, 4, 6, 8].into_iter().flat_map(|r| [2, 5, 8, 12].map(|l| (r * S, l * S))) {
            let (mut most, mut sum, mut held, mut broken) = (0, 0, Vec::new(), 0);
            let plays = if proxies > 100 { 2 } else { 10 };
            for seed in 0..plays {
                let drain = 20 * S + length / 2 + seed as Micros * length / 10;
                let mut fleet = Fleet::new(proxies, round, 4 * S, (20 * S, 20 * S + length), drain, seed);
                broken += fleet.play(60 * S);
                assert!(fleet.seen.iter().all(Option::is_some), "all have heard");
                most = most.max(fleet.calls.values().copied().max().unwrap_or_default());
                sum += fleet.calls.range(20..40).map(|(_, n)| n).sum::<usize>();
                held.extend(fleet.held);
            }
            held.sort_unstable();
            println!(
                "{proxies} proxies, a round in {} s, down for {} s: {:.1} calls a second in the 20 s from then, {most} at most; \
                 held {:.2} s in the mean, {:.2} s at most; {broken} times sent past the grace",
                round / S,
                length / S,
                sum as f64 / 20.0 / plays as f64,
                held.iter().sum::<Micros>() as f64 / held.len() as f64 / S as f64,
                held[held.len() - 1] as f64 / S as f64,
            );
            assert!(broken == 0 || round > 4 * S, "{proxies} proxies: sent past the grace");
            assert!(most <= 2 * proxies + 2, "{proxies} proxies: {most} calls in a second");
        }
    }
}

#[test]
fn a_fleet_that_starts_at_once_hears_of_a_drain_in_time() {
    for proxies in [30_usize, 350] {
        for round in [2 * S, 4 * S, 6 * S, 8 * S] {
            let (mut held, mut broken) = (Vec::new(), 0);
            for seed in 0..8 {
                let drain = S + seed as Micros * 500 * MS;
                let mut fleet = Fleet::new(proxies, round, S, (900 * S, 901 * S), drain, seed);
                broken += fleet.play(40 * S);
                assert!(fleet.seen.iter().all(Option::is_some), "all have heard");
                held.extend(fleet.held);
            }
            held.sort_unstable();
            println!(
                "{proxies} proxies that start within a second, a round in {} s: {broken} of {} times sent past the grace; held {:.2} s at most",
                round / S,
                held.len(),
                held[held.len() - 1] as f64 / S as f64
            );
            assert!(broken == 0 || round > 4 * S, "{proxies} proxies: sent past the grace");
        }
    }
}

#[test]
fn a_hundred_processes_that_start_without_a_list_use_all_that_discovery_can_answer() {
    for (a_second, back) in [(4, 0), (4, S), (12, 0), (12, S), (40, S)] {
        let (mut ready, mut least, mut times) = (0, usize::MAX, Vec::new());
        for seed in 0..20_u64 {
            let mut fleet = Fleet::new(100, S, 100 * MS, (0, back), 0, seed);
            fleet.each = S / a_second;
            fleet.watches = (0..100_usize)
                .map(|p| {
                    let starts = start_of(p, 100 * MS);
                    Watch::new(ASKED, InitialList::Absent, starts, seed * 1_000 + p as u64)
                })
                .collect();
            fleet.play(60 * S);
            let in_time = fleet.seen.iter().filter(|at| at.is_some_and(|at| at <= 10 * S)).count();
            (ready, least) = (ready + in_time, least.min(in_time));
            times.extend(fleet.seen.iter().map(|at| at.expect("all have a list in the end")));
        }
        times.sort_unstable();
        let could = ((10 * S - back) * a_second / S).min(100) as usize;
        println!(
            "{a_second} calls a second, back after {} s: {} of 100 ready within 10 s, {least} at least; discovery could answer {could}; \
             the median after {:.1} s, the last after {:.1} s",
            back / S,
            ready / 20,
            times[times.len() / 2] as f64 / S as f64,
            times[times.len() - 1] as f64 / S as f64
        );
        assert!(10 * least >= 9 * could, "{a_second} a second: {least} of {could}");
    }
}
