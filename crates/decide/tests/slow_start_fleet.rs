//! Slow start in a fleet of balancer processes. The requests that arrive at a warming endpoint from all
//! processes are counted in each overload window and compared with the number that the settings allow, plus
//! two standard deviations and two requests for chance.
//!
//! `COLD_SEEDS` sets the number of seeds of each case; without it there are three.

mod common;

use std::collections::{BinaryHeap, VecDeque};

use common::{settings, Proxy};
use decide::{Action, Endpoint, EndpointId, Event, Micros, Outcome, RequestId, Settings, UpdateScope};
use fastrand::Rng;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
/// The capacity of a warm endpoint in requests per second; it is low, so that chance matters.
const CAPACITY: f64 = 25.0;
/// The load as a fraction of the capacity of all endpoints.
const LOAD: f64 = 0.7;
const OVERLOAD_WINDOW: Micros = 1_500 * MILLISECOND;
const OVERLOAD_MULTIPLE: f64 = 2.5;
const MIN_CAPACITY: f64 = 0.15;
const SLOW_START_DURATION: Micros = 20 * SECOND;
/// The time of the first endpoint start, when the processes have learned the latencies of the others.
const START: Micros = 10 * SECOND;
const END: Micros = 17 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    OneStarts,
    /// A tenth of the processes get five times the mean number of requests.
    UnevenLoad,
    /// Half of the processes have just restarted without learned state.
    ProcessesRestarted,
    /// Seven in ten processes are dead; the others get all requests.
    MostProcessesDead,
    /// Twelve endpoints start within seven seconds, one after the other.
    OneByOne,
    /// An endpoint starts, and starts again two seconds later with the same id.
    EndpointRestarts,
    AllWarming,
    /// One in three first attempts ends in an error, so that there are retries.
    Errors,
    /// The load is a tenth until the start, so that the warming endpoint has had no request for long.
    LowLoadBefore,
}

const CASES: [Case; 9] = [
    Case::OneStarts,
    Case::UnevenLoad,
    Case::ProcessesRestarted,
    Case::MostProcessesDead,
    Case::OneByOne,
    Case::EndpointRestarts,
    Case::AllWarming,
    Case::Errors,
    Case::LowLoadBefore,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    RequestArrives(usize),
    AttemptEnds { process: usize, request: u64, attempt: usize, endpoint: u32, took: Micros },
    EndpointStarts(u32),
    ProcessRestarts(usize),
}

struct Fleet {
    case: Case,
    rng: Rng,
    processes: Vec<Proxy>,
    endpoints: Vec<Endpoint>,
    schedule: BinaryHeap<std::cmp::Reverse<(Micros, u64, Scheduled)>>,
    scheduled_count: u64,
    /// The number of attempts of each request, by process and request.
    attempts_made: std::collections::HashMap<(usize, u64), usize>,
    /// The arrival times of requests in the last overload window, for each endpoint.
    arrivals: Vec<VecDeque<Micros>>,
    process_count: usize,
    /// The largest number of requests in a window, as a multiple of the number allowed.
    fullest_window: f64,
    /// The largest excess over the number allowed, as a multiple of the margin for chance; above 1 the test
    /// fails.
    excess: f64,
}

/// The capacity of an endpoint at an age, as a fraction of that of a warm one.
fn capacity_fraction(age: Micros) -> f64 {
    MIN_CAPACITY + (1.0 - MIN_CAPACITY) * (age.max(0) as f64 / SLOW_START_DURATION as f64).min(1.0)
}

impl Fleet {
    fn new(case: Case, count: usize, seed: u64) -> Fleet {
        let number = (count as u32 / 4).max(12);
        let endpoints =
            (0..number).map(|id| Endpoint { id: EndpointId(id), ..Endpoint::default() }).collect();
        let mut fleet = Fleet {
            case,
            rng: Rng::with_seed(seed),
            processes: Vec::new(),
            endpoints,
            schedule: BinaryHeap::new(),
            scheduled_count: 0,
            attempts_made: std::collections::HashMap::new(),
            arrivals: vec![VecDeque::new(); number as usize],
            process_count: count,
            fullest_window: 0.0,
            excess: 0.0,
        };
        if case == Case::AllWarming {
            fleet.endpoints.iter_mut().for_each(|s| s.up_since = Some(START));
        }
        for rank in 0..count {
            let process = fleet.new_process(rank, count, seed);
            fleet.processes.push(process);
            let since = if case == Case::AllWarming { START } else { 0 };
            let at = fleet.next_arrival(rank, since);
            fleet.schedule(at, Scheduled::RequestArrives(rank));
            if case == Case::ProcessesRestarted && rank.is_multiple_of(2) {
                let at = START - fleet.rng.i64(0..500 * MILLISECOND);
                fleet.schedule(at, Scheduled::ProcessRestarts(rank));
            }
        }
        match case {
            Case::OneByOne => {
                for id in 0..12 {
                    fleet.schedule(
                        START + Micros::from(id) * 580 * MILLISECOND,
                        Scheduled::EndpointStarts(id),
                    );
                }
            }
            Case::AllWarming => {}
            _ => fleet.schedule(START, Scheduled::EndpointStarts(0)),
        }
        fleet
    }

    fn new_process(&self, rank: usize, count: usize, seed: u64) -> Proxy {
        let settings = Settings {
            balancers: count as u32,
            rank: rank as u32,
            slow_start_min_capacity: MIN_CAPACITY,
            slow_start_duration: SLOW_START_DURATION,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window: OVERLOAD_WINDOW,
            ..settings()
        };
        let mut proxy = Proxy::with_seed(settings, &[], seed.wrapping_mul(1_000).wrapping_add(rank as u64));
        proxy.now = if self.case == Case::AllWarming { START } else { 0 };
        proxy.handle(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &self.endpoints });
        proxy
    }

    fn schedule(&mut self, at: Micros, due: Scheduled) {
        self.scheduled_count += 1;
        self.schedule.push(std::cmp::Reverse((at, self.scheduled_count, due)));
    }

    /// The arrival time of the next request at a process.
    fn next_arrival(&mut self, process: usize, now: Micros) -> Micros {
        let total_rate = LOAD * CAPACITY * self.endpoints.len() as f64;
        let mean_rate = total_rate / self.process_count as f64;
        let share = match self.case {
            Case::UnevenLoad if process.is_multiple_of(10) => 5.0,
            Case::UnevenLoad => 5.0 / 9.0,
            Case::MostProcessesDead if process * 10 < self.process_count * 7 => 0.0,
            Case::MostProcessesDead => 1.0 / 0.3,
            Case::LowLoadBefore if now < START => 0.1,
            _ => 1.0,
        };
        if share == 0.0 {
            return Micros::MAX / 4;
        }
        now + (-(1.0 - self.rng.f64()).ln() / (mean_rate * share) * SECOND as f64) as Micros
    }

    fn execute(&mut self, process: usize, now: Micros, actions: &[Action]) {
        for action in actions {
            if let Action::Send { request, endpoint, .. } = action {
                let id = endpoint.0;
                let warm = 50.0 + 20.0 * self.rng.f64();
                let slow =
                    self.endpoints[id as usize].up_since.map_or(1.0, |up| 1.0 / capacity_fraction(now - up));
                let took = (warm * slow) as Micros * MILLISECOND;
                self.count_arrival(id, now);
                let attempts_made = self.attempts_made.entry((process, request.0)).or_default();
                let attempt = *attempts_made;
                *attempts_made += 1;
                let end = Scheduled::AttemptEnds { process, request: request.0, attempt, endpoint: id, took };
                self.schedule(now + took, end);
            }
        }
    }

    /// Counts a request that arrives at an endpoint, and compares the requests in the window with the number
    /// allowed.
    fn count_arrival(&mut self, id: u32, now: Micros) {
        let Some(up) = self.endpoints[id as usize].up_since.filter(|up| now - up < SLOW_START_DURATION)
        else {
            return;
        };
        let arrivals = &mut self.arrivals[id as usize];
        arrivals.push_back(now);
        while arrivals.front().is_some_and(|at| *at <= now - OVERLOAD_WINDOW) {
            arrivals.pop_front();
        }
        // The number allowed in the window, by the age of the endpoint in the middle of the window.
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
        while let Some(std::cmp::Reverse((now, _, due))) = self.schedule.pop() {
            if now >= END {
                return;
            }
            match due {
                Scheduled::RequestArrives(process) => {
                    let next = self.next_arrival(process, now);
                    self.schedule(next, Scheduled::RequestArrives(process));
                    let proxy = &mut self.processes[process];
                    proxy.advance_to(now);
                    let (_, actions) = proxy.request(0);
                    self.execute(process, now, &actions);
                }
                Scheduled::AttemptEnds { process, request, attempt, endpoint, took } => {
                    let fails = self.case == Case::Errors && attempt == 0 && self.rng.u8(0..3) == 0;
                    let outcome = if fails { Outcome::Error } else { Outcome::Ok };
                    let proxy = &mut self.processes[process];
                    proxy.advance_to(now);
                    let actions =
                        proxy.outcome(RequestId(request), attempt, EndpointId(endpoint), outcome, took);
                    self.execute(process, now, &actions);
                }
                Scheduled::EndpointStarts(id) => {
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
                        // Killed at once and started again two seconds later.
                        self.schedule(now + 2 * SECOND, Scheduled::EndpointStarts(id));
                    }
                }
                Scheduled::ProcessRestarts(rank) => {
                    let count = self.processes.len();
                    let mut process = self.new_process(rank, count, self.scheduled_count);
                    process.now = now;
                    self.processes[rank] = process;
                }
            }
        }
    }
}

/// Guards against balancers that each keep within a budget and together overload a warming endpoint.
#[test]
fn fleet_keeps_within_the_slow_start_budget() {
    let requested = std::env::var("COLD_SEEDS").ok().and_then(|n| n.parse().ok());
    let seeds = requested.unwrap_or(3_u64);
    let run = |case: Case| {
        for count in [1, 5, 20, 30, 300] {
            let runs = if count == 300 { seeds / 10 } else { seeds };
            if runs == 0 {
                continue;
            }
            let (mut fullest_window, mut worst, mut violations) = (Vec::new(), f64::MIN, 0);
            for seed in 0..runs {
                let mut fleet = Fleet::new(case, count, seed);
                fleet.run();
                fullest_window.push(fleet.fullest_window);
                worst = worst.max(fleet.excess);
                violations += usize::from(fleet.excess > 1.0);
            }
            fullest_window.sort_unstable_by(f64::total_cmp);
            println!(
                "{case:?}, {count} processes: {violations} of {runs} runs over the bound; fullest window: median {:.2} \
                 and maximum {:.2} of the number allowed; largest excess: {worst:.2} of the margin for chance",
                fullest_window[fullest_window.len() / 2],
                fullest_window[fullest_window.len() - 1]
            );
            assert_eq!(violations, 0, "{case:?}, {count} processes");
        }
    };
    std::thread::scope(|scope| {
        CASES.map(|case| scope.spawn(move || run(case))).into_iter().for_each(|case| {
            case.join().expect("no run of the case over the bound");
        })
    });
}
