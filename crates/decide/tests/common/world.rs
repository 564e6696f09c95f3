//! A simulation of balancers that share endpoints with queues. The same seed gives the same run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use decide::Balancer;
use decide::{
    Action, Endpoint, EndpointId, Event, Micros, NewRequest, Outcome, RequestId, Settings, UpdateScope,
};

use super::digest::Digest;
use super::ready_endpoint;
use super::recorded_form::recorded_form;

/// An endpoint that serves up to `slots` attempts at once and queues the others.
#[derive(Clone, Debug)]
pub struct SimulatedEndpoint {
    pub slots: usize,
    /// The mean service time of an attempt, in microseconds.
    pub service_time: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    /// A request arrives at a balancer.
    RequestArrives(usize),
    /// A timer of a balancer, by its token, is due.
    Timer(usize, u64),
    /// An endpoint, by index, has served an attempt.
    ServiceDone(usize, u64),
    /// The deadline of an attempt has passed.
    DeadlinePassed(u64),
}

struct Attempt {
    balancer: usize,
    request: RequestId,
    attempt: usize,
    endpoint: usize,
    sent: Micros,
    running: bool,
}

pub struct World {
    pub now: Micros,
    pub balancers: Vec<Balancer>,
    pub endpoints: Vec<SimulatedEndpoint>,
    /// Requests per second at each balancer; 0 means none.
    pub rate: Vec<f64>,
    settings: Settings,
    random: fastrand::Rng,
    schedule: BinaryHeap<Reverse<(Micros, u64, Scheduled)>>,
    last_number: u64,
    open_attempts: BTreeMap<u64, Attempt>,
    /// The number of attempts that each endpoint is serving.
    busy: Vec<usize>,
    /// The attempts that wait at each endpoint.
    queues: Vec<VecDeque<u64>>,
    /// The attempts of each request, by balancer and request.
    attempts: BTreeMap<(usize, RequestId), Vec<u64>>,
    arrived_at: BTreeMap<(usize, RequestId), Micros>,
    next: u64,
    /// For each balancer, the arrival times of the requests that were served within their latency objective.
    pub served: Vec<Vec<Micros>>,
    /// For each balancer, the time and the endpoint of each attempt.
    pub sent: Vec<Vec<(Micros, usize)>>,
    /// The digest of all actions.
    pub digest: Digest,
}

impl World {
    pub fn new(settings: &Settings, endpoints: Vec<SimulatedEndpoint>, rate: f64, seed: u64) -> World {
        let balancers = settings.balancers as usize;
        let mut world = World {
            now: 1_000_000,
            balancers: Vec::new(),
            rate: vec![rate; balancers],
            settings: settings.clone(),
            random: fastrand::Rng::with_seed(seed),
            schedule: BinaryHeap::new(),
            last_number: 0,
            open_attempts: BTreeMap::new(),
            busy: vec![0; endpoints.len()],
            queues: vec![VecDeque::new(); endpoints.len()],
            attempts: BTreeMap::new(),
            arrived_at: BTreeMap::new(),
            next: 0,
            served: vec![Vec::new(); balancers],
            sent: vec![Vec::new(); balancers],
            digest: Digest::new(),
            endpoints,
        };
        for rank in 0..balancers {
            let settings = Settings { rank: rank as u32, ..settings.clone() };
            world.balancers.push(Balancer::new(settings, seed.wrapping_mul(31).wrapping_add(rank as u64)));
        }
        (0..balancers).for_each(|b| world.start(b));
        world
    }

    /// Sends a balancer its endpoints and schedules its first request.
    fn start(&mut self, b: usize) {
        self.update_endpoints(b);
        self.schedule(self.now, Scheduled::RequestArrives(b));
    }

    fn update_endpoints(&mut self, b: usize) {
        let entries: Vec<Endpoint> = (0..self.endpoints.len()).map(|i| ready_endpoint(i as u32, 0)).collect();
        self.handle(b, Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &entries });
    }

    /// Replaces a balancer by a new process; its requests in flight are dropped.
    pub fn restart(&mut self, b: usize, seed: u64) {
        let settings = Settings { rank: b as u32, ..self.settings.clone() };
        self.balancers[b] = Balancer::new(settings, seed);
        self.attempts.retain(|(balancer, _), _| *balancer != b);
        self.arrived_at.retain(|(balancer, _), _| *balancer != b);
        self.schedule = self
            .schedule
            .drain()
            .filter(|Reverse((_, _, due))| !matches!(due, Scheduled::Timer(balancer, _) if *balancer == b))
            .collect();
        self.update_endpoints(b);
    }

    fn schedule(&mut self, at: Micros, due: Scheduled) {
        self.last_number += 1;
        self.schedule.push(Reverse((at, self.last_number, due)));
    }

    /// Runs the simulation for a duration.
    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(Reverse((at, _, due))) = self.schedule.peek().copied() {
            if at > end {
                break;
            }
            self.schedule.pop();
            self.now = self.now.max(at);
            self.process(due);
        }
        self.now = end;
    }

    fn process(&mut self, due: Scheduled) {
        match due {
            Scheduled::RequestArrives(b) => {
                let gap =
                    if self.rate[b] > 0.0 { -self.random.f64().max(1e-9).ln() / self.rate[b] } else { 0.1 };
                self.schedule(self.now + (gap * 1e6) as Micros, Scheduled::RequestArrives(b));
                if self.rate[b] > 0.0 {
                    self.next += 1;
                    let class = self.random.usize(0..self.settings.classes.len());
                    let id = RequestId(self.next);
                    self.arrived_at.insert((b, id), self.now);
                    let time_left = self.settings.classes[class].deadline;
                    let request = NewRequest { id, class, time_left, ..NewRequest::default() };
                    self.handle(b, Event::Request(request));
                }
            }
            Scheduled::Timer(b, token) => self.handle(b, Event::Timer(token)),
            Scheduled::ServiceDone(endpoint, id) => {
                self.busy[endpoint] -= 1;
                if let Some(next) = self.queues[endpoint].pop_front() {
                    self.start_service(endpoint, next);
                }
                self.end_attempt(id, Outcome::Ok);
            }
            Scheduled::DeadlinePassed(id) => {
                if let Some(overdue) = self.open_attempts.get(&id) {
                    let endpoint = overdue.endpoint;
                    self.queues[endpoint].retain(|queued| *queued != id);
                    self.end_attempt(id, Outcome::Timeout);
                }
            }
        }
    }

    fn start_service(&mut self, endpoint: usize, id: u64) {
        self.busy[endpoint] += 1;
        if let Some(started) = self.open_attempts.get_mut(&id) {
            started.running = true;
        }
        let service_time = self.endpoints[endpoint].service_time as f64 * (0.6 + 0.8 * self.random.f64());
        self.schedule(self.now + service_time as Micros, Scheduled::ServiceDone(endpoint, id));
    }

    fn end_attempt(&mut self, id: u64, outcome: Outcome) {
        let Some(Attempt { balancer, request, attempt, endpoint, sent, .. }) = self.open_attempts.remove(&id)
        else {
            return;
        };
        // The attempt belongs to a process that was replaced.
        if !self.attempts.contains_key(&(balancer, request)) {
            return;
        }
        let is_final = outcome == Outcome::Ok;
        if is_final {
            if let Some(arrived_at) = self.arrived_at.remove(&(balancer, request)) {
                if self.now - arrived_at <= self.settings.classes[0].latency_objective {
                    self.served[balancer].push(arrived_at);
                }
            }
        }
        let (endpoint, took) = (EndpointId(endpoint as u32), self.now - sent);
        self.handle(
            balancer,
            Event::AttemptEnded { request, attempt, endpoint, outcome, took, is_final, report: None },
        );
    }

    fn handle(&mut self, b: usize, event: Event<'_>) {
        let mut out = Vec::new();
        self.balancers[b].handle(self.now, event, &mut out);
        for action in out {
            self.digest.write(&format!("{b} {}", recorded_form(&action)));
            match action {
                Action::Send { request, endpoint, deadline, .. } => {
                    let endpoint = endpoint.0 as usize;
                    self.last_number += 1;
                    let id = self.last_number;
                    let attempts = self.attempts.entry((b, request)).or_default();
                    let attempt = attempts.len();
                    attempts.push(id);
                    let sent = self.now;
                    self.sent[b].push((sent, endpoint));
                    self.open_attempts.insert(
                        id,
                        Attempt { balancer: b, request, attempt, endpoint, sent, running: false },
                    );
                    self.schedule(deadline, Scheduled::DeadlinePassed(id));
                    if self.busy[endpoint] < self.endpoints[endpoint].slots {
                        self.start_service(endpoint, id);
                    } else {
                        self.queues[endpoint].push_back(id);
                    }
                }
                Action::Timer { at, token } => self.schedule(at, Scheduled::Timer(b, token)),
                Action::Reject { request, .. } | Action::Fail(request) => {
                    self.arrived_at.remove(&(b, request));
                }
                _ => {}
            }
        }
    }

    /// The number of requests that arrived at a balancer from `from` until before `to` and were served within
    /// their latency objective.
    pub fn served_in(&self, b: usize, from: Micros, to: Micros) -> usize {
        self.served[b].iter().filter(|at| (from..to).contains(*at)).count()
    }
}
