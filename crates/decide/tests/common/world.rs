//! A simulation of endpoints with queues and of balancers that share them: the same run from the same seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use decide::Balancer;
use decide::{
    Action, Endpoint, EndpointId, Event, Micros, NewRequest, Outcome, RequestId, Settings, UpdateScope,
};

use super::digest::Digest;
use super::ready_endpoint;
use super::recorded_form::recorded_form;

/// An endpoint: serves as many attempts at once as it has slots, the others wait.
#[derive(Clone, Debug)]
pub struct SimulatedEndpoint {
    pub slots: usize,
    /// The mean time that an attempt takes, in microseconds.
    pub service_time: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive(usize),
    Timer(usize, u64),
    /// An endpoint has served an attempt.
    Done(usize, u64),
    /// The deadline of an attempt.
    Late(u64),
}

struct Call {
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
    /// Requests a second at each balancer; 0 for one that gets none yet.
    pub rate: Vec<f64>,
    settings: Settings,
    random: fastrand::Rng,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    count: u64,
    calls: BTreeMap<u64, Call>,
    busy: Vec<usize>,
    waiting: Vec<VecDeque<u64>>,
    attempts: BTreeMap<(usize, RequestId), Vec<u64>>,
    landed_at: BTreeMap<(usize, RequestId), Micros>,
    next: u64,
    /// For each balancer: when the requests that were served within their objective had arrived.
    pub served: Vec<Vec<Micros>>,
    /// For each balancer: when it sent, and where to.
    pub sent: Vec<Vec<(Micros, usize)>>,
    /// All actions, as one hash.
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
            due: BinaryHeap::new(),
            count: 0,
            calls: BTreeMap::new(),
            busy: vec![0; endpoints.len()],
            waiting: vec![VecDeque::new(); endpoints.len()],
            attempts: BTreeMap::new(),
            landed_at: BTreeMap::new(),
            next: 0,
            served: vec![Vec::new(); balancers],
            sent: vec![Vec::new(); balancers],
            digest: Digest::new(),
            endpoints,
        };
        for rank in 0..balancers {
            let own = Settings { rank: rank as u32, ..settings.clone() };
            world.balancers.push(Balancer::new(own, seed.wrapping_mul(31).wrapping_add(rank as u64)));
        }
        (0..balancers).for_each(|b| world.start(b));
        world
    }

    /// Gives a balancer its endpoints, and lets requests arrive at it.
    fn start(&mut self, b: usize) {
        self.list(b);
        self.plan(self.now, Due::Arrive(b));
    }

    fn list(&mut self, b: usize) {
        let entries: Vec<Endpoint> = (0..self.endpoints.len()).map(|i| ready_endpoint(i as u32, 0)).collect();
        self.handle(b, Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &entries });
    }

    /// Replaces a balancer by a new process; what it had in flight is dropped.
    pub fn restart(&mut self, b: usize, seed: u64) {
        let own = Settings { rank: b as u32, ..self.settings.clone() };
        self.balancers[b] = Balancer::new(own, seed);
        self.attempts.retain(|(of, _), _| *of != b);
        self.landed_at.retain(|(of, _), _| *of != b);
        self.due = self
            .due
            .drain()
            .filter(|Reverse((_, _, due))| !matches!(due, Due::Timer(of, _) if *of == b))
            .collect();
        self.list(b);
    }

    fn plan(&mut self, at: Micros, due: Due) {
        self.count += 1;
        self.due.push(Reverse((at, self.count, due)));
    }

    /// Advances the clock by this time.
    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(Reverse((at, _, due))) = self.due.peek().copied() {
            if at > end {
                break;
            }
            self.due.pop();
            self.now = self.now.max(at);
            self.process(due);
        }
        self.now = end;
    }

    fn process(&mut self, due: Due) {
        match due {
            Due::Arrive(b) => {
                let gap =
                    if self.rate[b] > 0.0 { -self.random.f64().max(1e-9).ln() / self.rate[b] } else { 0.1 };
                self.plan(self.now + (gap * 1e6) as Micros, Due::Arrive(b));
                if self.rate[b] > 0.0 {
                    self.next += 1;
                    let class = self.random.usize(0..self.settings.classes.len());
                    let id = RequestId(self.next);
                    self.landed_at.insert((b, id), self.now);
                    let time_left = self.settings.classes[class].deadline;
                    let request = NewRequest { id, class, time_left, ..NewRequest::default() };
                    self.handle(b, Event::Request(request));
                }
            }
            Due::Timer(b, token) => self.handle(b, Event::Timer(token)),
            Due::Done(endpoint, call) => {
                self.busy[endpoint] -= 1;
                if let Some(next) = self.waiting[endpoint].pop_front() {
                    self.start_service(endpoint, next);
                }
                self.end(call, Outcome::Ok);
            }
            Due::Late(call) => {
                if let Some(late) = self.calls.get(&call) {
                    let endpoint = late.endpoint;
                    self.waiting[endpoint].retain(|c| *c != call);
                    self.end(call, Outcome::Timeout);
                }
            }
        }
    }

    fn start_service(&mut self, endpoint: usize, call: u64) {
        self.busy[endpoint] += 1;
        if let Some(started) = self.calls.get_mut(&call) {
            started.running = true;
        }
        let service_time = self.endpoints[endpoint].service_time as f64 * (0.6 + 0.8 * self.random.f64());
        self.plan(self.now + service_time as Micros, Due::Done(endpoint, call));
    }

    fn end(&mut self, call: u64, outcome: Outcome) {
        let Some(Call { balancer, request, attempt, endpoint, sent, .. }) = self.calls.remove(&call) else {
            return;
        };
        // Of a process that was replaced, or of a request that has its answer.
        if !self.attempts.contains_key(&(balancer, request)) {
            return;
        }
        let is_final = outcome == Outcome::Ok;
        if is_final {
            if let Some(landed_at) = self.landed_at.remove(&(balancer, request)) {
                if self.now - landed_at <= self.settings.classes[0].latency_objective {
                    self.served[balancer].push(landed_at);
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
                Action::Send { request, endpoint, deadline } => {
                    let endpoint = endpoint.0 as usize;
                    self.count += 1;
                    let call = self.count;
                    let of = self.attempts.entry((b, request)).or_default();
                    let attempt = of.len();
                    of.push(call);
                    let sent = self.now;
                    self.sent[b].push((sent, endpoint));
                    self.calls
                        .insert(call, Call { balancer: b, request, attempt, endpoint, sent, running: false });
                    self.plan(deadline, Due::Late(call));
                    if self.busy[endpoint] < self.endpoints[endpoint].slots {
                        self.start_service(endpoint, call);
                    } else {
                        self.waiting[endpoint].push_back(call);
                    }
                }
                Action::Timer { at, token } => self.plan(at, Due::Timer(b, token)),
                Action::Reject { request, .. } | Action::Fail(request) => {
                    self.landed_at.remove(&(b, request));
                }
                _ => {}
            }
        }
    }

    /// Requests that arrived at a balancer in a span of time and were served within their objective.
    pub fn served_in(&self, b: usize, from: Micros, to: Micros) -> usize {
        self.served[b].iter().filter(|at| (from..to).contains(*at)).count()
    }
}
