//! Plays a seeded sequence of events against one balancer: endpoints that answer, fail, slow down, come and go, and
//! events that make no sense among them.

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
/// Load swings by this time: calm at first, then a busy part.
const CYCLE: Micros = 4_000_000;
const CALM: Micros = 2_500_000;
/// How much more often requests come, and how much longer endpoints take, while it is busy.
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
    /// What an idle endpoint takes.
    pub service_time: Micros,
    /// The part of the attempts that are not served.
    pub failures: f64,
    /// Endpoints report their load.
    pub reports: bool,
    /// Endpoints restart, and say when they did.
    pub endpoint_restarts: bool,
    /// How often a new balancer takes the place of the one before and learns from it.
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
    /// Events after which endpoints were ejected.
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
    /// Attempts that have not ended, and the endpoints they went to.
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
}
