//! Slow start over a fleet: what arrives at a warming endpoint from all processes is counted in each overload window
//! against what the settings allow, plus two standard deviations and two requests for chance.
//!
//! `COLD_SEEDS` sets the number of seeds of each case; without it a few are played.

mod common;

use std::collections::{BinaryHeap, VecDeque};

use common::{settings, Proxy};
use decide::{Action, Endpoint, EndpointId, Event, Micros, Outcome, RequestId, Settings, UpdateScope};
use fastrand::Rng;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
/// Answers a second that a warm endpoint can give: few, so that chance counts.
const CAPACITY: f64 = 25.0;
/// The part of that which arrives.
const LOAD: f64 = 0.7;
const OVERLOAD_WINDOW: Micros = 1_500 * MILLISECOND;
const OVERLOAD_MULTIPLE: f64 = 2.5;
const MIN_CAPACITY: f64 = 0.15;
const SLOW_START_DURATION: Micros = 20 * SECOND;
/// Endpoints start from here on, when the processes have learned.
const START: Micros = 10 * SECOND;
const END: Micros = 17 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    OneStarts,
    /// A tenth of the processes see five times the mean.
    Uneven,
    /// Half of the processes were just restarted and know nothing.
    ProcessesRestarted,
    /// Seven in ten processes are dead; all requests come to the others.
    Dead,
    /// Twelve endpoints start within seven seconds, one after the other.
    OneByOne,
    /// It starts, and starts again two seconds later under its name.
    EndpointRestarts,
    AllWarming,
    /// First attempts end in errors each third time, so that there are second ones.
    Errors,
    /// The endpoints get next to nothing before, so that the warming one has had no request for long.
    Quiet,
}

const CASES: [Case; 9] = [
    Case::OneStarts,
    Case::Uneven,
    Case::ProcessesRestarted,
    Case::Dead,
    Case::OneByOne,
    Case::EndpointRestarts,
    Case::AllWarming,
    Case::Errors,
    Case::Quiet,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Arrives(usize),
    Ends {
        process: usize,
        request: u64,
        attempt: usize,
        endpoint: u32,
        took: Micros,
    },
    /// An endpoint starts.
    Starts(u32),
    Restarts(usize),
}

struct World {
    case: Case,
    rng: Rng,
    processes: Vec<Proxy>,
    endpoints: Vec<Endpoint>,
    due: BinaryHeap<std::cmp::Reverse<(Micros, u64, Occurrence)>>,
    numbers: u64,
    /// Attempts made for each request.
    attempts_made: std::collections::HashMap<(usize, u64), usize>,
    /// When a request arrived at each endpoint since its start.
    arrivals: Vec<VecDeque<Micros>>,
    /// Processes at the start.
    process_count: usize,
    /// The most of the allowance that any window had, and of what the bound adds to it.
    fullest_window: f64,
    excess: f64,
}

fn capacity_fraction(age: Micros) -> f64 {
    MIN_CAPACITY + (1.0 - MIN_CAPACITY) * (age.max(0) as f64 / SLOW_START_DURATION as f64).min(1.0)
}

impl World {
    fn new(case: Case, count: usize, seed: u64) -> World {
        let number = (count as u32 / 4).max(12);
        let endpoints =
            (0..number).map(|id| Endpoint { id: EndpointId(id), ..Endpoint::default() }).collect();
        let mut world = World {
            case,
            rng: Rng::with_seed(seed),
            processes: Vec::new(),
            endpoints,
            due: BinaryHeap::new(),
            numbers: 0,
            attempts_made: std::collections::HashMap::new(),
            arrivals: vec![VecDeque::new(); number as usize],
            process_count: count,
            fullest_window: 0.0,
            excess: 0.0,
        };
        if case == Case::AllWarming {
            world.endpoints.iter_mut().for_each(|s| s.up_since = Some(START));
        }
        for rank in 0..count {
            let process = world.process(rank, count, seed);
            world.processes.push(process);
            let since = if case == Case::AllWarming { START } else { 0 };
            let at = world.next_arrival(rank, since);
            world.at(at, Occurrence::Arrives(rank));
            if case == Case::ProcessesRestarted && rank.is_multiple_of(2) {
                let at = START - world.rng.i64(0..500 * MILLISECOND);
                world.at(at, Occurrence::Restarts(rank));
            }
        }
        match case {
            Case::OneByOne => {
                for id in 0..12 {
                    world.at(START + Micros::from(id) * 580 * MILLISECOND, Occurrence::Starts(id));
                }
            }
            Case::AllWarming => {}
            _ => world.at(START, Occurrence::Starts(0)),
        }
        world
    }

    fn process(&self, rank: usize, count: usize, seed: u64) -> Proxy {
        let settings = Settings {
            balancers: count as u32,
            rank: rank as u32,
            slow_start_min_capacity: MIN_CAPACITY,
            slow_start_duration: SLOW_START_DURATION,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window: OVERLOAD_WINDOW,
            ..settings()
        };
        let mut proxy = Proxy::seeded(settings, &[], seed.wrapping_mul(1_000).wrapping_add(rank as u64));
        proxy.now = if self.case == Case::AllWarming { START } else { 0 };
        proxy.handle(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &self.endpoints });
        proxy
    }

    fn at(&mut self, at: Micros, occurrence: Occurrence) {
        self.numbers += 1;
        self.due.push(std::cmp::Reverse((at, self.numbers, occurrence)));
    }

    /// When the next request of a process comes.
    fn next_arrival(&mut self, process: usize, now: Micros) -> Micros {
        let total_rate = LOAD * CAPACITY * self.endpoints.len() as f64;
        let even = total_rate / self.process_count as f64;
        let share = match self.case {
            Case::Uneven if process.is_multiple_of(10) => 5.0,
            Case::Uneven => 5.0 / 9.0,
            Case::Dead if process * 10 < self.process_count * 7 => 0.0,
            Case::Dead => 1.0 / 0.3,
            Case::Quiet if now < START => 0.1,
            _ => 1.0,
        };
        if share == 0.0 {
            return Micros::MAX / 4;
        }
        now + (-(1.0 - self.rng.f64()).ln() / (even * share) * SECOND as f64) as Micros
    }

    fn act(&mut self, process: usize, now: Micros, actions: &[Action]) {
        for action in actions {
            if let Action::Send { request, endpoint, .. } = action {
                let id = endpoint.0;
                let warm = 50.0 + 20.0 * self.rng.f64();
                let slow =
                    self.endpoints[id as usize].up_since.map_or(1.0, |up| 1.0 / capacity_fraction(now - up));
                let took = (warm * slow) as Micros * MILLISECOND;
                self.on_arrival(id, now);
                let made = self.attempts_made.entry((process, request.0)).or_default();
                let attempt = *made;
                *made += 1;
                let ends = Occurrence::Ends { process, request: request.0, attempt, endpoint: id, took };
                self.at(now + took, ends);
            }
        }
    }

    /// A request arrived at an endpoint: is it more than the window bears?
    fn on_arrival(&mut self, id: u32, now: Micros) {
        let Some(up) = self.endpoints[id as usize].up_since.filter(|up| now - up < SLOW_START_DURATION)
        else {
            return;
        };
        let arrivals = &mut self.arrivals[id as usize];
        arrivals.push_back(now);
        while arrivals.front().is_some_and(|at| *at <= now - OVERLOAD_WINDOW) {
            arrivals.pop_front();
        }
        // What it can serve in the window, by its age in the middle of it.
        let allowed = OVERLOAD_MULTIPLE
            * CAPACITY
            * capacity_fraction(now - OVERLOAD_WINDOW / 2 - up)
            * OVERLOAD_WINDOW as f64
            / SECOND as f64;
        let count = arrivals.len() as f64;
        self.fullest_window = self.fullest_window.max(count / allowed);
        self.excess = self.excess.max((count - allowed) / (2.0 * allowed.sqrt() + 2.0));
    }

    fn run(&mut self) {
        while let Some(std::cmp::Reverse((now, _, occurrence))) = self.due.pop() {
            if now >= END {
                return;
            }
            match occurrence {
                Occurrence::Arrives(process) => {
                    let next = self.next_arrival(process, now);
                    self.at(next, Occurrence::Arrives(process));
                    let proxy = &mut self.processes[process];
                    proxy.advance_to(now);
                    let (_, actions) = proxy.request(0);
                    self.act(process, now, &actions);
                }
                Occurrence::Ends { process, request, attempt, endpoint, took } => {
                    let fails = self.case == Case::Errors && attempt == 0 && self.rng.u8(0..3) == 0;
                    let outcome = if fails { Outcome::Error } else { Outcome::Ok };
                    let proxy = &mut self.processes[process];
                    proxy.advance_to(now);
                    let actions =
                        proxy.outcome(RequestId(request), attempt, EndpointId(endpoint), outcome, took);
                    self.act(process, now, &actions);
                }
                Occurrence::Starts(id) => {
                    self.endpoints[id as usize].up_since = Some(now);
                    self.arrivals[id as usize].clear();
                    let endpoints = self.endpoints.clone();
                    for proxy in &mut self.processes {
                        proxy.advance_to(now);
                        proxy.handle(Event::EndpointUpdate {
                            scope: UpdateScope::Full,
                            endpoints: &endpoints,
                        });
                    }
                    if self.case == Case::EndpointRestarts && now == START {
                        // Killed at once and back two seconds later.
                        self.at(now + 2 * SECOND, Occurrence::Starts(id));
                    }
                }
                Occurrence::Restarts(rank) => {
                    let count = self.processes.len();
                    let mut process = self.process(rank, count, self.numbers);
                    process.now = now;
                    self.processes[rank] = process;
                }
            }
        }
    }
}

#[test]
fn fleet_keeps_within_the_slow_start_budget() {
    let asked = std::env::var("COLD_SEEDS").ok().and_then(|n| n.parse().ok());
    let seeds = asked.unwrap_or(3_u64);
    let run = |case: Case| {
        for count in [1, 5, 20, 30, 300] {
            let plays = if count == 300 { seeds / 10 } else { seeds };
            if plays == 0 {
                continue;
            }
            let (mut fullest_window, mut worst, mut broken) = (Vec::new(), f64::MIN, 0);
            for seed in 0..plays {
                let mut world = World::new(case, count, seed);
                world.run();
                fullest_window.push(world.fullest_window);
                worst = worst.max(world.excess);
                broken += usize::from(world.excess > 1.0);
            }
            fullest_window.sort_unstable_by(f64::total_cmp);
            println!(
                "{case:?}, {count} processes: {broken} of {plays} over; fullest window {:.2} of the allowance in the median, {:.2} at most; \
                 {worst:.2} of what is put down to chance at most",
                fullest_window[fullest_window.len() / 2],
                fullest_window[fullest_window.len() - 1]
            );
            assert_eq!(broken, 0, "{case:?}, {count} processes");
        }
    };
    std::thread::scope(|scope| {
        CASES.map(|case| scope.spawn(move || run(case))).into_iter().for_each(|case| {
            case.join().expect("within what they bear");
        })
    });
}
