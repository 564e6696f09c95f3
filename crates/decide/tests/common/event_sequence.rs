//! Plays a seeded sequence of events against one balancer. Endpoints answer, fail, slow down, are added and
//! removed; malformed events are mixed in.

mod discovery;
mod handover;
mod malformed;
mod traffic;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use decide::learned::LearnedState;
use decide::Balancer;
use decide::{Action, Endpoint, EndpointId, Event, Micros, Outcome, RequestId, Settings, UpdateScope};

use super::digest::Digest;
use super::recorded_form::recorded_form;

const START: Micros = 1_000_000;
/// The length of a load cycle: a calm part of length `CALM_PART`, then a busy one.
const LOAD_CYCLE: Micros = 4_000_000;
const CALM_PART: Micros = 2_500_000;
/// The factor on the rate of requests in the busy part.
const BUSY_RATE: f64 = 2.0;
/// The factor on the service time of endpoints in the busy part.
const BUSY_SLOWDOWN: f64 = 12.0;
// Mean intervals between two events of one kind.
const ENDPOINT_UPDATE_INTERVAL: Micros = 400_000;
const GOSSIP_INTERVAL: Micros = 20_000;
const MALFORMED_EVENT_INTERVAL: Micros = 60_000;
const HEALTH_CHECK_INTERVAL: Micros = 150_000;
/// The number of events between two records of the learned state.
const EVENTS_PER_LEARNED_STATE: usize = 250;
const MACHINE_KINDS: usize = 3;
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

/// The settings, endpoints and load of a sequence.
#[derive(Clone)]
pub struct Scenario {
    pub settings: Settings,
    pub endpoints: usize,
    pub zones: usize,
    /// The mean time between two requests in the calm part of the load cycle.
    pub request_interval: Micros,
    /// The base of the service time, which occupancy, the busy part of the load cycle and noise scale.
    pub service_time: Micros,
    /// The fraction of attempts that fail, 0 to 1.
    pub failure_fraction: f64,
    /// Whether endpoints report their load.
    pub load_reports: bool,
    /// Whether endpoints restart, with `up_since` set.
    pub endpoint_restarts: bool,
    /// The number of times that a new balancer replaces the previous one and imports its learned state.
    pub handovers: usize,
    /// The number of events after which the sequence ends.
    pub events: usize,
}

/// The digest and the counts of a sequence that has been played.
pub struct SequenceResult {
    pub digest: u64,
    /// Numbers of actions, by the first word of their recorded form.
    pub actions: BTreeMap<String, usize>,
    /// Numbers of events, by kind.
    pub events: BTreeMap<&'static str, usize>,
    /// Numbers of outcomes of open attempts, by kind.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// Numbers of log lines on the beginning and on the end of shedding.
    pub shedding: [usize; 2],
    /// The number of events after which at least one endpoint was ejected.
    pub events_with_ejections: usize,
    /// The number of times that the learned state was recorded.
    pub learned_states: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    RequestArrives,
    Timer(u64),
    AttemptEnds { request: u64, attempt: usize, endpoint: u32, failure: Option<usize> },
    BodyReceived(u64),
    StreamStarted(u64),
    ClientDisconnected(u64),
    EndpointUpdate,
    Gossip,
    MalformedEvent,
    HealthCheck,
}

pub fn play(scenario: &Scenario, seed: u64) -> SequenceResult {
    let mut player = Player::new(scenario.clone(), seed);
    player.run();
    player.result.digest = player.digest.value();
    player.result
}

struct Player {
    scenario: Scenario,
    random: fastrand::Rng,
    balancer: Balancer,
    now: Micros,
    schedule: BinaryHeap<Reverse<(Micros, u64, Scheduled)>>,
    scheduled_count: u64,
    endpoints: Vec<Endpoint>,
    in_flight: Vec<u32>,
    next_request: u64,
    /// The number of attempts of each request so far.
    attempts: BTreeMap<u64, usize>,
    /// Endpoints of the attempts that have not ended, by request and attempt.
    open: BTreeMap<(u64, usize), u32>,
    event_count: usize,
    digest: Digest,
    exported: Vec<LearnedState>,
    result: SequenceResult,
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
                machine_kind: random.usize(0..MACHINE_KINDS),
                cell: (random.f64() < 0.8).then(|| random.u64(0..CELLS)),
                ..Endpoint::default()
            })
            .collect();
        let result = SequenceResult {
            digest: 0,
            actions: BTreeMap::new(),
            events: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            shedding: [0; 2],
            events_with_ejections: 0,
            learned_states: 0,
        };
        Player {
            random,
            balancer,
            now: START,
            schedule: BinaryHeap::new(),
            scheduled_count: 0,
            in_flight: vec![0; endpoints.len()],
            endpoints,
            next_request: 0,
            attempts: BTreeMap::new(),
            open: BTreeMap::new(),
            event_count: 0,
            digest: Digest::new(),
            exported: Vec::new(),
            result,
            scenario,
        }
    }

    fn run(&mut self) {
        if self.random.bool() {
            // A request before the first endpoint list.
            self.receive_request();
        }
        self.update_all_endpoints(UpdateScope::Cached);
        for due in [
            Scheduled::RequestArrives,
            Scheduled::EndpointUpdate,
            Scheduled::Gossip,
            Scheduled::MalformedEvent,
            Scheduled::HealthCheck,
        ] {
            self.schedule(START + 1, due);
        }
        let handover_every = self.scenario.events / (self.scenario.handovers + 1);
        let mut next_handover = handover_every;
        while self.event_count < self.scenario.events {
            if self.scenario.handovers > 0 && self.event_count >= next_handover {
                next_handover += handover_every;
                self.replace_balancer();
            }
            let Some(Reverse((at, _, due))) = self.schedule.pop() else { break };
            self.now = self.now.max(at);
            self.process(due);
        }
        self.record_learned_state();
    }

    fn schedule(&mut self, at: Micros, due: Scheduled) {
        self.scheduled_count += 1;
        self.schedule.push(Reverse((at, self.scheduled_count, due)));
    }

    fn schedule_next(&mut self, mean_interval: Micros, due: Scheduled) {
        let interval = self.random.i64(1..=2 * mean_interval);
        self.schedule(self.now + interval, due);
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.random.f64() < probability
    }

    fn busy(&self) -> bool {
        (self.now - START) % LOAD_CYCLE >= CALM_PART
    }

    fn process(&mut self, due: Scheduled) {
        match due {
            Scheduled::RequestArrives => {
                self.receive_request();
                let interval =
                    self.scenario.request_interval as f64 / if self.busy() { BUSY_RATE } else { 1.0 };
                self.schedule_next((interval as Micros).max(1), Scheduled::RequestArrives);
            }
            Scheduled::Timer(token) => self.handle("Timer", Event::Timer(token)),
            Scheduled::AttemptEnds { request, attempt, endpoint, failure } => {
                self.end_attempt(request, attempt, endpoint, failure)
            }
            Scheduled::BodyReceived(request) => self.handle("Came", Event::BodyReceived(RequestId(request))),
            Scheduled::StreamStarted(request) => {
                self.handle("StreamStarted", Event::StreamStarted { request: RequestId(request) });
            }
            Scheduled::ClientDisconnected(request) => {
                self.handle("ClientGone", Event::ClientDisconnected(RequestId(request)))
            }
            Scheduled::EndpointUpdate => {
                self.update_some_endpoints();
                self.schedule_next(ENDPOINT_UPDATE_INTERVAL, Scheduled::EndpointUpdate);
            }
            Scheduled::Gossip => {
                self.receive_gossip();
                self.schedule_next(GOSSIP_INTERVAL, Scheduled::Gossip);
            }
            Scheduled::MalformedEvent => {
                self.malformed_event();
                self.schedule_next(MALFORMED_EVENT_INTERVAL, Scheduled::MalformedEvent);
            }
            Scheduled::HealthCheck => {
                self.check_health();
                self.schedule_next(HEALTH_CHECK_INTERVAL, Scheduled::HealthCheck);
            }
        }
    }

    // ---- Events ----

    /// Passes an event to the balancer, then records and executes the resulting actions.
    fn handle(&mut self, kind: &'static str, event: Event<'_>) {
        self.event_count += 1;
        *self.result.events.entry(kind).or_default() += 1;
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            let form = recorded_form(action);
            self.digest.write(&format!("{} {form}\n", self.event_count));
            let word = form.split([' ', '(']).next().unwrap_or_default();
            *self.result.actions.entry(word.to_owned()).or_default() += 1;
        }
        actions.into_iter().for_each(|action| self.execute(action));
        let ejected = self.balancer.ejected_count(self.now);
        self.result.events_with_ejections += usize::from(ejected > 0);
        self.digest.write(&format!("{} avoided {ejected}\n", self.event_count));
        if self.event_count.is_multiple_of(EVENTS_PER_LEARNED_STATE) {
            self.record_learned_state();
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, deadline, .. } => {
                self.start_attempt(request.0, endpoint.0, deadline)
            }
            Action::Timer { at, token } => self.schedule(at, Scheduled::Timer(token)),
            Action::Cancel { request, attempt } => {
                let cancelled = ATTEMPT_FAILURES.iter().position(|o| *o == Outcome::Cancelled);
                let delay = self.random.i64(0..20_000);
                let endpoint = self.open.get(&(request.0, attempt)).copied().unwrap_or_default();
                self.schedule(
                    self.now + delay,
                    Scheduled::AttemptEnds { request: request.0, attempt, endpoint, failure: cancelled },
                );
            }
            Action::PollDiscovery => {
                if self.chance(0.7) {
                    self.update_all_endpoints(UpdateScope::Full);
                } else {
                    self.handle(
                        "Failed",
                        Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] },
                    );
                }
            }
            Action::Log(line) => {
                self.result.shedding[0] += usize::from(line.contains("begins"));
                self.result.shedding[1] += usize::from(line.contains("ends"));
            }
            _ => {}
        }
    }
}
