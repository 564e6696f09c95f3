//! Plays a seeded sequence of events against one balancer: servers that answer, fail, slow down, come and go, and
//! events that make no sense among them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use decide::learned::LearnedState;
use decide::Balancer;
use decide::{
    Action, DownstreamConnections, Endpoint, EndpointFilter, EndpointId, EndpointState, Event, LoadReport,
    Micros, NewRequest, Outcome, RequestId, Settings, UpdateScope, TIME_LIMIT,
};

use super::digest::Digest;
use super::recorded_form::{recorded_form, recorded_form_of_learned};

const START: Micros = 1_000_000;
/// Load swings by this time: calm at first, then a busy part.
const CYCLE: Micros = 4_000_000;
const CALM: Micros = 2_500_000;
/// How much more often requests come, and how much longer servers take, while it is busy.
const BUSY_RATE: f64 = 2.0;
const BUSY_SLOWNESS: f64 = 12.0;
const LIST_GAP: Micros = 400_000;
const GOSSIP_GAP: Micros = 20_000;
const GARBAGE_GAP: Micros = 60_000;
const HEALTH_CHECK_GAP: Micros = 150_000;
/// Events between two looks at what the balancer has learned.
const LEARNED_EVERY: usize = 250;
const KINDS: usize = 3;
const CELLS: u64 = 4;
const ATTEMPT_FAILURES: [Outcome; 7] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// What a sequence is played with.
#[derive(Clone)]
pub struct Scenario {
    pub settings: Settings,
    pub endpoints: usize,
    pub zones: usize,
    /// The mean time between two requests while it is calm.
    pub request_gap: Micros,
    /// What an idle server takes.
    pub service_time: Micros,
    /// The part of the attempts that are not served.
    pub failures: f64,
    /// Servers report their load.
    pub reports: bool,
    /// Servers restart, and say when they did.
    pub endpoint_restarts: bool,
    /// How often a fresh balancer takes the place of the one before and learns from it.
    pub handovers: usize,
    pub events: usize,
}

/// What was seen of a sequence.
pub struct Played {
    pub digest: u64,
    /// Actions by the first word of their recorded form.
    pub actions: BTreeMap<String, usize>,
    /// Events by kind.
    pub events: BTreeMap<&'static str, usize>,
    /// Outcomes of attempts that were open.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// Log lines that say that shedding begins, and that it ends.
    pub shedding: [usize; 2],
    /// Samples in which servers were avoided.
    pub ejected: usize,
    pub learned: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive,
    Timer(u64),
    End { request: u64, attempt: usize, endpoint: u32, failure: Option<usize> },
    BodyReceived(u64),
    StreamStarted(u64),
    ClientDisconnected(u64),
    List,
    Gossip,
    Garbage,
    HealthCheck,
}

pub fn play(scenario: &Scenario, seed: u64) -> Played {
    let mut player = Player::new(scenario.clone(), seed);
    player.run();
    player.played.digest = player.digest.value();
    player.played
}

struct Player {
    scenario: Scenario,
    random: fastrand::Rng,
    balancer: Balancer,
    now: Micros,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    planned: u64,
    endpoints: Vec<Endpoint>,
    in_flight: Vec<u32>,
    next_request: u64,
    /// Attempts of each request so far.
    attempts: BTreeMap<u64, usize>,
    /// Attempts that have not ended, and the servers they went to.
    open: BTreeMap<(u64, usize), u32>,
    event_count: usize,
    digest: Digest,
    exported: Vec<LearnedState>,
    played: Played,
}

impl Player {
    fn new(scenario: Scenario, seed: u64) -> Player {
        let mut random = fastrand::Rng::with_seed(seed);
        let balancer = Balancer::new(scenario.settings.clone(), random.u64(..));
        let endpoints: Vec<Endpoint> = (0..scenario.endpoints)
            .map(|i| Endpoint {
                id: EndpointId(i as u32 * 3 + 1),
                weight: random.f64() * 4.0,
                up_since: scenario.endpoint_restarts.then(|| START - random.i64(0..60_000_000)),
                zone: random.usize(0..scenario.zones),
                machine_kind: random.usize(0..KINDS),
                cell: (random.f64() < 0.8).then(|| random.u64(0..CELLS)),
                ..Endpoint::default()
            })
            .collect();
        let played = Played {
            digest: 0,
            actions: BTreeMap::new(),
            events: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            shedding: [0; 2],
            ejected: 0,
            learned: 0,
        };
        Player {
            random,
            balancer,
            now: START,
            due: BinaryHeap::new(),
            planned: 0,
            in_flight: vec![0; endpoints.len()],
            endpoints,
            next_request: 0,
            attempts: BTreeMap::new(),
            open: BTreeMap::new(),
            event_count: 0,
            digest: Digest::new(),
            exported: Vec::new(),
            played,
            scenario,
        }
    }

    fn run(&mut self) {
        if self.random.bool() {
            // A request that comes before the first list.
            self.arrive();
        }
        self.list_all(UpdateScope::Cached);
        for due in [Due::Arrive, Due::List, Due::Gossip, Due::Garbage, Due::HealthCheck] {
            self.plan(START + 1, due);
        }
        let handover_every = self.scenario.events / (self.scenario.handovers + 1);
        let mut next_handover = handover_every;
        while self.event_count < self.scenario.events {
            if self.scenario.handovers > 0 && self.event_count >= next_handover {
                next_handover += handover_every;
                self.hand_over();
            }
            let Some(Reverse((at, _, due))) = self.due.pop() else { break };
            self.now = self.now.max(at);
            self.process(due);
        }
        self.look_at_learned();
    }

    fn plan(&mut self, at: Micros, due: Due) {
        self.planned += 1;
        self.due.push(Reverse((at, self.planned, due)));
    }

    fn plan_again(&mut self, mean_gap: Micros, due: Due) {
        let gap = self.random.i64(1..=2 * mean_gap);
        self.plan(self.now + gap, due);
    }

    fn chance(&mut self, part: f64) -> bool {
        self.random.f64() < part
    }

    fn busy(&self) -> bool {
        (self.now - START) % CYCLE >= CALM
    }

    fn process(&mut self, due: Due) {
        match due {
            Due::Arrive => {
                self.arrive();
                let gap = self.scenario.request_gap as f64 / if self.busy() { BUSY_RATE } else { 1.0 };
                self.plan_again((gap as Micros).max(1), Due::Arrive);
            }
            Due::Timer(token) => self.handle("Timer", Event::Timer(token)),
            Due::End { request, attempt, endpoint, failure } => self.end(request, attempt, endpoint, failure),
            Due::BodyReceived(request) => self.handle("Came", Event::BodyReceived(RequestId(request))),
            Due::StreamStarted(request) => {
                self.handle("StreamStarted", Event::StreamStarted { request: RequestId(request) });
            }
            Due::ClientDisconnected(request) => {
                self.handle("ClientGone", Event::ClientDisconnected(RequestId(request)))
            }
            Due::List => {
                self.change_endpoints();
                self.plan_again(LIST_GAP, Due::List);
            }
            Due::Gossip => {
                self.gossip();
                self.plan_again(GOSSIP_GAP, Due::Gossip);
            }
            Due::Garbage => {
                self.garbage();
                self.plan_again(GARBAGE_GAP, Due::Garbage);
            }
            Due::HealthCheck => {
                self.health_checked();
                self.plan_again(HEALTH_CHECK_GAP, Due::HealthCheck);
            }
        }
    }

    // ---- Events ----

    /// Hands an event over, and takes in and records what is done about it.
    fn handle(&mut self, kind: &'static str, event: Event<'_>) {
        self.event_count += 1;
        *self.played.events.entry(kind).or_default() += 1;
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            let form = recorded_form(action);
            self.digest.write(&format!("{} {form}\n", self.event_count));
            let word = form.split([' ', '(']).next().unwrap_or_default();
            *self.played.actions.entry(word.to_owned()).or_default() += 1;
        }
        actions.into_iter().for_each(|action| self.execute(action));
        let ejected = self.balancer.ejected_count(self.now);
        self.played.ejected += usize::from(ejected > 0);
        self.digest.write(&format!("{} avoided {ejected}\n", self.event_count));
        if self.event_count.is_multiple_of(LEARNED_EVERY) {
            self.look_at_learned();
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, deadline } => self.sent(request.0, endpoint.0, deadline),
            Action::Timer { at, token } => self.plan(at, Due::Timer(token)),
            Action::Cancel { request, attempt } => {
                let cancelled = ATTEMPT_FAILURES.iter().position(|o| *o == Outcome::Cancelled);
                let late = self.random.i64(0..20_000);
                let endpoint = self.open.get(&(request.0, attempt)).copied().unwrap_or_default();
                self.plan(
                    self.now + late,
                    Due::End { request: request.0, attempt, endpoint, failure: cancelled },
                );
            }
            Action::PollDiscovery => {
                if self.chance(0.7) {
                    self.list_all(UpdateScope::Full);
                } else {
                    self.handle(
                        "Failed",
                        Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] },
                    );
                }
            }
            Action::Log(line) => {
                self.played.shedding[0] += usize::from(line.contains("begins"));
                self.played.shedding[1] += usize::from(line.contains("ends"));
            }
            _ => {}
        }
    }

    fn sent(&mut self, request: u64, endpoint: u32, deadline: Micros) {
        let count = self.attempts.entry(request).or_default();
        let attempt = *count;
        *count += 1;
        self.open.insert((request, attempt), endpoint);
        let index = self.endpoint_index(endpoint);
        self.in_flight[index] += 1;
        let slowness = if self.busy() { BUSY_SLOWNESS } else { 1.0 };
        let crowd = 1.0 + f64::from(self.in_flight[index]) / 4.0;
        let noise = 0.4 + 1.2 * self.random.f64();
        let service_time = (self.scenario.service_time as f64 * slowness * crowd * noise) as Micros;
        let fails = self.chance(self.scenario.failures);
        let failure = fails.then(|| self.random.usize(0..ATTEMPT_FAILURES.len()));
        let (at, failure) = match failure {
            Some(kind) => (self.now + self.random.i64(0..=service_time.max(1)), Some(kind)),
            None if self.now + service_time >= deadline => {
                (deadline, ATTEMPT_FAILURES.iter().position(|o| *o == Outcome::Timeout))
            }
            None => (self.now + service_time, None),
        };
        self.plan(at, Due::End { request, attempt, endpoint, failure });
        if self.chance(0.03) {
            let early = self.random.i64(0..=service_time.max(1));
            self.plan(self.now + early, Due::StreamStarted(request));
        }
        if self.chance(0.05) {
            let early = self.random.i64(0..=service_time.max(1));
            self.plan(self.now + early, Due::ClientDisconnected(request));
        }
    }

    fn endpoint_index(&self, id: u32) -> usize {
        self.endpoints.iter().position(|endpoint| endpoint.id.0 == id).unwrap_or(0)
    }

    fn arrive(&mut self) {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let settings = &self.scenario.settings;
        let class = self.random.usize(0..settings.classes.len());
        let deadline = settings.classes[class].deadline;
        let tenants = settings.tenants.len();
        let time_left = match self.random.usize(0..20) {
            0 => self.random.i64(0..=deadline.clamp(1, TIME_LIMIT)),
            1 => deadline / 8,
            _ => deadline,
        };
        let with_tenant = tenants > 0 && self.chance(0.8);
        let tenant = with_tenant.then(|| self.random.usize(0..=tenants));
        let body_pending = if self.chance(0.1) { self.random.i64(1..300_000) } else { 0 };
        let request = NewRequest {
            id,
            class,
            tenant,
            time_left,
            work: self.random.bool().then_some(20_000),
            is_retry: self.chance(0.1),
            endpoint_filter: self.endpoint_filter(),
            max_attempts: if self.chance(0.1) { self.random.usize(1..4) } else { 0 },
            body_pending,
            downstream_connections: self.connections(),
        };
        if body_pending > 0 {
            let at = self.now + self.random.i64(0..body_pending);
            self.plan(at, Due::BodyReceived(id.0));
        }
        self.handle("Request", Event::Request(request));
    }

    fn endpoint_filter(&mut self) -> Option<Arc<EndpointFilter>> {
        if !self.chance(0.12) {
            return None;
        }
        let mut endpoint_filter = EndpointFilter::default();
        match self.random.usize(0..5) {
            0 => endpoint_filter.zones = vec![self.random.usize(0..self.scenario.zones)],
            1 => endpoint_filter.machine_kinds = vec![self.random.usize(0..KINDS), KINDS],
            2 => endpoint_filter.cells = vec![self.random.u64(0..CELLS), self.random.u64(0..CELLS)],
            3 => {
                endpoint_filter.zones = vec![0];
                endpoint_filter.machine_kinds = vec![0, 1];
            }
            _ => {}
        }
        Some(Arc::new(endpoint_filter))
    }

    fn connections(&mut self) -> Option<DownstreamConnections> {
        if !self.chance(0.1) {
            return None;
        }
        let all = self.random.usize(0..40);
        Some(DownstreamConnections { idle: self.random.usize(0..=all), open: all })
    }

    fn end(&mut self, request: u64, attempt: usize, endpoint: u32, failure: Option<usize>) {
        let outcome = failure.map_or(Outcome::Ok, |kind| ATTEMPT_FAILURES[kind]);
        if self.open.remove(&(request, attempt)).is_some() {
            *self.played.outcomes.entry(outcome_name(outcome)).or_default() += 1;
            let index = self.endpoint_index(endpoint);
            self.in_flight[index] = self.in_flight[index].saturating_sub(1);
        }
        let is_final = if outcome == Outcome::Ok { !self.chance(0.02) } else { self.chance(0.05) };
        let report = self.report(endpoint);
        let took = self.random.i64(0..100_000);
        self.handle(
            "Outcome",
            Event::AttemptEnded {
                request: RequestId(request),
                attempt,
                endpoint: EndpointId(endpoint),
                outcome,
                took,
                is_final,
                report,
            },
        );
    }

    fn report(&mut self, endpoint: u32) -> Option<LoadReport> {
        if !self.scenario.reports || self.chance(0.2) {
            return None;
        }
        let in_flight = f64::from(self.in_flight[self.endpoint_index(endpoint)]);
        let utilisation = if self.busy() { 0.8 + 0.4 * self.random.f64() } else { 0.6 * self.random.f64() };
        let odd = [f64::NAN, -1.0, f64::INFINITY, 0.0][self.random.usize(0..4)];
        let mut report = LoadReport {
            in_flight: self.random.bool().then_some(in_flight),
            queued: self.random.bool().then_some((in_flight - 2.0).max(0.0)),
            utilisation: self.chance(0.8).then_some(utilisation),
            service_ms: Some(20.0),
            requests_per_s: Some(50.0),
            errors_per_s: Some(0.0),
        };
        match self.random.usize(0..30) {
            0 => report.in_flight = Some(odd),
            1 => report.utilisation = Some(odd),
            2 => (report.in_flight, report.queued) = (None, Some(odd)),
            _ => {}
        }
        Some(report)
    }

    fn health_checked(&mut self) {
        let endpoint = self.random.usize(0..self.endpoints.len());
        let endpoint = self.endpoints[endpoint].id;
        let report = self.report(endpoint.0);
        let outcome = ATTEMPT_FAILURES[self.random.usize(0..ATTEMPT_FAILURES.len())];
        self.handle("Probed", Event::HealthChecked { endpoint, outcome, took: 1_000, report });
    }

    // ---- Discovery and peers ----

    fn list_all(&mut self, scope: UpdateScope) {
        let entries = self.endpoints.clone();
        self.handle(scope_name(scope), Event::EndpointUpdate { scope, endpoints: &entries });
    }

    fn change_endpoints(&mut self) {
        let changes = self.random.usize(1..=1 + self.endpoints.len() / 6);
        let mut changed = Vec::new();
        for _ in 0..changes {
            let index = self.random.usize(0..self.endpoints.len());
            self.change_endpoint(index);
            changed.push(self.endpoints[index].clone());
        }
        match self.random.usize(0..20) {
            0 => self
                .handle("Failed", Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &changed }),
            1 => self.list_all(UpdateScope::Cached),
            2..=4 => self.list_all(UpdateScope::Full),
            5 => {
                // Servers that are on no other list.
                let id = EndpointId(1_000_000 + self.random.u32(0..3));
                let entries = [Endpoint { id, state: EndpointState::Draining, ..Endpoint::default() }];
                self.handle(
                    "Delta",
                    Event::EndpointUpdate { scope: UpdateScope::Delta, endpoints: &entries },
                );
            }
            _ => {
                self.handle("Delta", Event::EndpointUpdate { scope: UpdateScope::Delta, endpoints: &changed })
            }
        }
    }

    fn change_endpoint(&mut self, index: usize) {
        let zone = self.random.usize(0..self.scenario.zones);
        let up_since = match self.random.usize(0..6) {
            0 => None,
            1 => Some(self.now + 5_000_000),
            2 => Some(self.now - 600_000_000),
            3 => Some(self.now - self.random.i64(0..5_000_000)),
            _ => Some(self.now),
        };
        let endpoint = &mut self.endpoints[index];
        match self.random.usize(0..10) {
            0 => endpoint.state = EndpointState::Draining,
            1 => endpoint.state = EndpointState::Removed,
            2 => endpoint.zone = zone,
            3 => endpoint.weight += 1.0,
            _ => {
                endpoint.state = EndpointState::Ready;
                if self.scenario.endpoint_restarts {
                    endpoint.up_since = up_since;
                }
            }
        }
    }

    fn gossip(&mut self) {
        let balancers = self.scenario.settings.balancers;
        let from = self.random.u32(0..=balancers.min(64));
        let endpoint = self.endpoints[self.random.usize(0..self.endpoints.len())].id.0;
        let mut payload = endpoint.to_le_bytes().to_vec();
        payload.push(self.random.u8(0..8));
        payload.push(match self.random.usize(0..8) {
            0 => 255,
            1 => 254,
            2 | 3 => 0,
            _ => self.random.u8(if self.busy() { 60..=253 } else { 1..=20 }),
        });
        self.handle("Told", Event::GossipReceived { from, payload: &payload });
    }

    // ---- Events that make no sense ----

    fn garbage(&mut self) {
        match self.random.usize(0..14) {
            0 => self.handle("Timer", Event::Timer(2)),
            1 => self.handle("Timer", Event::Timer(u64::MAX)),
            2 => self.handle("Came", Event::BodyReceived(RequestId(u64::MAX))),
            3 => self.handle("ClientGone", Event::ClientDisconnected(RequestId(u64::MAX))),
            4 => self.handle("StreamStarted", Event::StreamStarted { request: RequestId(u64::MAX) }),
            5 => self.unknown_outcome(),
            6 => self.repeated_request(),
            7 => self.odd_request(),
            8 => self.odd_gossip(),
            9 => self.clock_back(),
            10 => self.handle("Delta", Event::EndpointUpdate { scope: UpdateScope::Delta, endpoints: &[] }),
            11 => {
                let report = Some(LoadReport { utilisation: Some(0.5), ..LoadReport::default() });
                let endpoint = EndpointId(u32::MAX);
                self.handle(
                    "Probed",
                    Event::HealthChecked { endpoint, outcome: Outcome::Ok, took: Micros::MIN, report },
                );
            }
            12 => {
                let request = self.random.u64(0..=self.next_request);
                self.handle("StreamStarted", Event::StreamStarted { request: RequestId(request) });
            }
            _ => {
                let request = self.random.u64(0..=self.next_request);
                self.handle("Came", Event::BodyReceived(RequestId(request)));
            }
        }
    }

    /// Ends an attempt that never was, or one that has ended, in any way.
    fn unknown_outcome(&mut self) {
        let request = RequestId(self.random.u64(0..=self.next_request + 1));
        let attempt = self.random.usize(5..9);
        let outcome = ATTEMPT_FAILURES[self.random.usize(0..ATTEMPT_FAILURES.len())];
        let endpoint = EndpointId(self.random.u32(..));
        let report = Some(LoadReport { in_flight: Some(3.0), ..LoadReport::default() });
        let is_final = self.random.bool();
        self.handle(
            "Outcome",
            Event::AttemptEnded { request, attempt, endpoint, outcome, took: -1, is_final, report },
        );
    }

    fn repeated_request(&mut self) {
        let id = self.open.keys().next().map_or(RequestId(0), |(request, _)| RequestId(*request));
        let request = NewRequest { id, time_left: 1_000_000, ..NewRequest::default() };
        self.handle("Request", Event::Request(request));
    }

    fn odd_request(&mut self) {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let odd = match self.random.usize(0..4) {
            0 => NewRequest { id, class: usize::MAX, time_left: 1_000_000, ..NewRequest::default() },
            1 => {
                NewRequest { id, time_left: Micros::MAX, body_pending: Micros::MAX, ..NewRequest::default() }
            }
            2 => {
                NewRequest { id, time_left: Micros::MIN, body_pending: Micros::MIN, ..NewRequest::default() }
            }
            _ => NewRequest { id, tenant: Some(usize::MAX), time_left: 800_000, ..NewRequest::default() },
        };
        self.handle("Request", Event::Request(odd));
    }

    fn odd_gossip(&mut self) {
        let length = self.random.usize(0..9);
        let payload: Vec<u8> = (0..length).map(|_| self.random.u8(..)).collect();
        let from = self.random.u32(0..=self.scenario.settings.balancers.min(64));
        let from = if self.random.bool() { from } else { u32::MAX };
        self.handle("Told", Event::GossipReceived { from, payload: &payload });
    }

    /// An event whose clock is behind that of the event before.
    fn clock_back(&mut self) {
        let now = self.now;
        self.now -= self.random.i64(0..2_000_000);
        self.arrive();
        self.now = now;
    }

    // ---- What is learned ----

    fn look_at_learned(&mut self) {
        let learned = self.balancer.learned_state(self.now);
        self.digest.write(&format!("learned {}\n", recorded_form_of_learned(&learned)));
        self.played.learned += 1;
    }

    /// A fresh balancer takes over: it knows its servers, and learns from those before it and from one that
    /// says what cannot be.
    fn hand_over(&mut self) {
        self.exported.push(self.balancer.learned_state(self.now));
        let seed = self.random.u64(..);
        self.balancer = Balancer::new(self.scenario.settings.clone(), seed);
        self.due = self.due.drain().filter(|Reverse((_, _, due))| !matches!(due, Due::Timer(_))).collect();
        self.attempts.clear();
        self.open.clear();
        self.now += 300_000;
        self.list_all(UpdateScope::Cached);
        let mut exported: Vec<LearnedState> = self.exported.iter().rev().take(3).cloned().collect();
        exported.iter_mut().for_each(|learned| learned.age = 300_000);
        if let Some(first) = exported.first().cloned() {
            match self.exported.len() {
                2 => exported.push(nonsense(first)),
                4 => exported = vec![nonsense(first)],
                _ => {}
            }
        }
        let now = self.now;
        self.balancer.import_learned_state(now, &[]);
        self.balancer.import_learned_state(now, &exported);
        self.look_at_learned();
    }
}

/// A telling with figures that cannot be.
fn nonsense(mut learned: LearnedState) -> LearnedState {
    learned.age = -5;
    learned.cursor_position = f64::NAN;
    learned.baseline_latency = Some(f64::INFINITY);
    learned.threshold_per_endpoint = 1e9;
    learned.pool_latency.sum = f64::NAN;
    for endpoint in &mut learned.endpoints {
        endpoint.ejected_for = Micros::MAX;
        endpoint.uptime = endpoint.uptime.map(|_| Micros::MAX);
        endpoint.classes.iter_mut().for_each(|mean| mean.weight = -1.0);
    }
    learned.latency_by_machine_kind.push((usize::MAX, learned.pool_latency));
    learned
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "Ok",
        Outcome::Error => "Error",
        Outcome::Rejected => "Full",
        Outcome::Timeout => "Timeout",
        Outcome::ConnectFailed => "ConnectFailed",
        Outcome::Reset => "Reset",
        Outcome::Cancelled => "Cancelled",
        Outcome::NotSent => "Moot",
    }
}

fn scope_name(scope: UpdateScope) -> &'static str {
    match scope {
        UpdateScope::Delta => "Delta",
        UpdateScope::Full => "FullList",
        UpdateScope::Cached => "Cached",
        UpdateScope::Failed => "Failed",
    }
}
