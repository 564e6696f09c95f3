//! Cold servers bear the sum of a fleet. What arrives at one over all processes is counted in each window against what the
//! settings allow, with no more than two roots and two for chance.
//!
//! `COLD_SEEDS` plays so many seeds of each case; few are played without it.

mod common;

use std::collections::{BinaryHeap, VecDeque};

use common::{settings, Proxy};
use decide::{Action, Endpoint, EndpointId, Event, Micros, Outcome, RequestId, Settings, UpdateScope};
use fastrand::Rng;

const MS: Micros = 1_000;
const S: Micros = 1_000 * MS;
/// Answers a second that a warm server can give: few, so that chance counts.
const CAPACITY: f64 = 25.0;
/// The part of that which comes in.
const LOAD: f64 = 0.7;
const FALL: Micros = 1_500 * MS;
const MULTIPLE: f64 = 2.5;
const COLD_FROM: f64 = 0.15;
const COLD_TIME: Micros = 20 * S;
/// Servers start from here on, when the processes have learned.
const START: Micros = 10 * S;
const END: Micros = 17 * S;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    OneStarts,
    /// A tenth of the processes see five times the mean.
    Uneven,
    /// Half of the processes were just restarted and know nothing.
    Restarted,
    /// Seven in ten processes are dead; what there is comes to the others.
    Dead,
    /// Twelve servers start within seven seconds, one after the other.
    InARow,
    /// It started, was warm, and starts again under its name.
    Again,
    AllCold,
    /// First attempts end in errors each third time, so that there are second ones.
    Errors,
    /// The servers get next to nothing before, so that the cold one has had no call for long.
    Quiet,
}

const CASES: [Case; 9] = [
    Case::OneStarts,
    Case::Uneven,
    Case::Restarted,
    Case::Dead,
    Case::InARow,
    Case::Again,
    Case::AllCold,
    Case::Errors,
    Case::Quiet,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrives(usize),
    Ends {
        process: usize,
        request: u64,
        attempt: usize,
        backend: u32,
        took: Micros,
    },
    /// A server starts, cold.
    Starts(u32),
    Restarts(usize),
}

struct World {
    case: Case,
    rng: Rng,
    processes: Vec<Proxy>,
    servers: Vec<Endpoint>,
    coming: BinaryHeap<std::cmp::Reverse<(Micros, u64, What)>>,
    numbers: u64,
    /// Attempts made for each request.
    made: std::collections::HashMap<(usize, u64), usize>,
    /// When something came to each server since its start.
    came: Vec<VecDeque<Micros>>,
    /// Processes.
    all: usize,
    /// The most of the allowance that any window had, and of what the bound adds to it.
    used: f64,
    over: f64,
}

fn part(age: Micros) -> f64 {
    COLD_FROM + (1.0 - COLD_FROM) * (age.max(0) as f64 / COLD_TIME as f64).min(1.0)
}

impl World {
    fn of(case: Case, count: usize, seed: u64) -> World {
        let number = (count as u32 / 4).max(12);
        let servers = (0..number).map(|id| Endpoint { id: EndpointId(id), ..Endpoint::default() }).collect();
        let mut world = World {
            case,
            rng: Rng::with_seed(seed),
            processes: Vec::new(),
            servers,
            coming: BinaryHeap::new(),
            numbers: 0,
            made: std::collections::HashMap::new(),
            came: vec![VecDeque::new(); number as usize],
            all: count,
            used: 0.0,
            over: 0.0,
        };
        if case == Case::AllCold {
            world.servers.iter_mut().for_each(|s| s.up_since = Some(START));
        }
        for rank in 0..count {
            let process = world.process(rank, count, seed);
            world.processes.push(process);
            let since = if case == Case::AllCold { START } else { 0 };
            let at = world.gap(rank, since);
            world.at(at, What::Arrives(rank));
            if case == Case::Restarted && rank.is_multiple_of(2) {
                let at = START - world.rng.i64(0..500 * MS);
                world.at(at, What::Restarts(rank));
            }
        }
        match case {
            Case::InARow => {
                for id in 0..12 {
                    world.at(START + Micros::from(id) * 580 * MS, What::Starts(id));
                }
            }
            Case::AllCold => {}
            _ => world.at(START, What::Starts(0)),
        }
        world
    }

    fn process(&self, rank: usize, count: usize, seed: u64) -> Proxy {
        let settings = Settings {
            balancers: count as u32,
            rank: rank as u32,
            slow_start_min_capacity: COLD_FROM,
            slow_start_duration: COLD_TIME,
            overload_multiple: MULTIPLE,
            overload_window: FALL,
            ..settings()
        };
        let mut proxy = Proxy::seeded(settings, &[], seed.wrapping_mul(1_000).wrapping_add(rank as u64));
        proxy.now = if self.case == Case::AllCold { START } else { 0 };
        proxy.tell(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &self.servers });
        proxy
    }

    fn at(&mut self, at: Micros, what: What) {
        self.numbers += 1;
        self.coming.push(std::cmp::Reverse((at, self.numbers, what)));
    }

    /// When the next request of a process comes.
    fn gap(&mut self, process: usize, now: Micros) -> Micros {
        let all = LOAD * CAPACITY * self.servers.len() as f64;
        let even = all / self.all as f64;
        let share = match self.case {
            Case::Uneven if process.is_multiple_of(10) => 5.0,
            Case::Uneven => 5.0 / 9.0,
            Case::Dead if process * 10 < self.all * 7 => 0.0,
            Case::Dead => 1.0 / 0.3,
            Case::Quiet if now < START => 0.1,
            _ => 1.0,
        };
        if share == 0.0 {
            return Micros::MAX / 4;
        }
        now + (-(1.0 - self.rng.f64()).ln() / (even * share) * S as f64) as Micros
    }

    fn act(&mut self, process: usize, now: Micros, actions: &[Action]) {
        for action in actions {
            if let Action::Send { request, endpoint: backend, .. } = action {
                let id = backend.0;
                let warm = 50.0 + 20.0 * self.rng.f64();
                let slow = self.servers[id as usize].up_since.map_or(1.0, |up| 1.0 / part(now - up));
                let took = (warm * slow) as Micros * MS;
                self.arrived(id, now);
                let made = self.made.entry((process, request.0)).or_default();
                let attempt = *made;
                *made += 1;
                let ends = What::Ends { process, request: request.0, attempt, backend: id, took };
                self.at(now + took, ends);
            }
        }
    }

    /// Something came to a server: is it more than the window bears?
    fn arrived(&mut self, id: u32, now: Micros) {
        let Some(up) = self.servers[id as usize].up_since.filter(|up| now - up < COLD_TIME) else { return };
        let came = &mut self.came[id as usize];
        came.push_back(now);
        while came.front().is_some_and(|at| *at <= now - FALL) {
            came.pop_front();
        }
        // What it can do in the window, by its age in the middle of it.
        let allowed = MULTIPLE * CAPACITY * part(now - FALL / 2 - up) * FALL as f64 / S as f64;
        let count = came.len() as f64;
        self.used = self.used.max(count / allowed);
        self.over = self.over.max((count - allowed) / (2.0 * allowed.sqrt() + 2.0));
    }

    fn play(&mut self) {
        while let Some(std::cmp::Reverse((now, _, what))) = self.coming.pop() {
            if now >= END {
                return;
            }
            match what {
                What::Arrives(process) => {
                    let next = self.gap(process, now);
                    self.at(next, What::Arrives(process));
                    let proxy = &mut self.processes[process];
                    proxy.wait_until(now);
                    let (_, actions) = proxy.request(0);
                    self.act(process, now, &actions);
                }
                What::Ends { process, request, attempt, backend, took } => {
                    let fails = self.case == Case::Errors && attempt == 0 && self.rng.u8(0..3) == 0;
                    let outcome = if fails { Outcome::Error } else { Outcome::Ok };
                    let proxy = &mut self.processes[process];
                    proxy.wait_until(now);
                    let actions =
                        proxy.outcome(RequestId(request), attempt, EndpointId(backend), outcome, took);
                    self.act(process, now, &actions);
                }
                What::Starts(id) => {
                    self.servers[id as usize].up_since = Some(now);
                    self.came[id as usize].clear();
                    let servers = self.servers.clone();
                    for proxy in &mut self.processes {
                        proxy.wait_until(now);
                        proxy.tell(Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &servers });
                    }
                    if self.case == Case::Again && now == START {
                        // Killed at once and back two seconds later.
                        self.at(now + 2 * S, What::Starts(id));
                    }
                }
                What::Restarts(rank) => {
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
fn the_sum_of_a_fleet_keeps_within_what_a_cold_server_bears() {
    let asked = std::env::var("COLD_SEEDS").ok().and_then(|n| n.parse().ok());
    let seeds = asked.unwrap_or(3_u64);
    let play = |case: Case| {
        for count in [1, 5, 20, 30, 300] {
            let plays = if count == 300 { seeds / 10 } else { seeds };
            if plays == 0 {
                continue;
            }
            let (mut used, mut worst, mut broken) = (Vec::new(), f64::MIN, 0);
            for seed in 0..plays {
                let mut world = World::of(case, count, seed);
                world.play();
                used.push(world.used);
                worst = worst.max(world.over);
                broken += usize::from(world.over > 1.0);
            }
            used.sort_unstable_by(f64::total_cmp);
            println!(
                "{case:?}, {count} processes: {broken} of {plays} over; fullest window {:.2} of the allowance in the median, {:.2} at most; \
                 {worst:.2} of what is put down to chance at most",
                used[used.len() / 2],
                used[used.len() - 1]
            );
            assert_eq!(broken, 0, "{case:?}, {count} processes");
        }
    };
    std::thread::scope(|scope| {
        CASES.map(|case| scope.spawn(move || play(case))).into_iter().for_each(|case| {
            case.join().expect("within what they bear");
        })
    });
}
