//! One balancer: owns the state of all decisions and passes each event to the modules that handle it.
//!
//! It contains no decision rule. The lifecycle of a request is in [`dispatch`](crate::dispatch), the work of
//! each control period in [`control_period`](crate::control_period).

use fastrand::Rng;

use crate::admission::Admission;
use crate::attempts::{PendingRequest, PendingRequests};
use crate::discovery::DiscoveryPoller;
use crate::endpoint_table::EndpointTable;
use crate::gossip::{GossipMessage, LoadSignal};
use crate::index::EndpointIndex;
use crate::retry::{RetryBudget, RetryPolicy};
use crate::selection::candidates::ReadyEndpoints;
use crate::selection::latency::LatencyModel;
use crate::selection::locality::Locality;
use crate::selection::outlier;
use crate::slow_start::SlowStart;
use crate::throughput::Throughput;
use crate::time::{Micros, ObservationWindow, TIME_LIMIT};
use crate::{Action, Endpoint, EndpointId, Event, LoadReport, Settings, UpdateScope};

/// The number of control periods in the shortest latency objective.
const PERIODS_PER_OBJECTIVE: i64 = 4;
/// The shortest control period, as a multiple of the timer resolution.
const MIN_PERIOD_TIMER_RESOLUTIONS: i64 = 4;
/// The shortest control period, in microseconds.
const MIN_PERIOD_US: Micros = 1000;
/// The time constant of measurements, as a multiple of the shortest latency objective.
const OBJECTIVES_PER_WINDOW: f64 = 4.0;
/// The token of the timer of the control period.
pub(crate) const PERIOD_TIMER: u64 = 0;
/// The token of the timer of discovery polls.
const POLL_TIMER: u64 = 1;

/// The decisions of one balancer.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rng,
    pub(crate) started: bool,
    /// The time of the last event.
    pub(crate) now: Micros,
    pub(crate) window: ObservationWindow,
    /// The control period, in microseconds.
    pub(crate) period: Micros,
    pub(crate) endpoints: EndpointTable,
    pub(crate) ready: ReadyEndpoints,
    pub(crate) requests: PendingRequests,
    pub(crate) throughput: Throughput,
    pub(crate) admission: Admission,
    pub(crate) latency: LatencyModel,
    pub(crate) locality: Locality,
    pub(crate) slow_start: SlowStart,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) retry_policy: RetryPolicy,
    discovery: DiscoveryPoller,
}

impl Balancer {
    /// Creates a balancer without endpoints and measurements; all its randomness is derived from `seed`.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = settings.bounded();
        let latency = LatencyModel::new(&settings);
        let shortest_objective = latency.shortest_objective();
        let period = (shortest_objective as Micros / PERIODS_PER_OBJECTIVE)
            .max(MIN_PERIOD_TIMER_RESOLUTIONS * settings.timer_resolution)
            .max(MIN_PERIOD_US);
        Balancer {
            rng: Rng::with_seed(seed),
            started: false,
            now: -TIME_LIMIT,
            window: ObservationWindow {
                time_constant: shortest_objective * OBJECTIVES_PER_WINDOW,
                started_at: 0,
            },
            period,
            endpoints: EndpointTable::default(),
            ready: ReadyEndpoints::default(),
            requests: PendingRequests::default(),
            throughput: Throughput::default(),
            admission: Admission::new(&settings),
            latency,
            locality: Locality::new(&settings),
            slow_start: SlowStart::new(&settings),
            retry_budget: RetryBudget::new(),
            retry_policy: RetryPolicy::new(&settings),
            discovery: DiscoveryPoller::new(&settings),
            settings,
        }
    }

    /// The number of ready endpoints that are ejected, because attempts there failed or because they rejected
    /// an attempt. An ejected endpoint gets a request only if no other candidate may get it, or if most of
    /// the candidates' pool is ejected.
    #[must_use]
    pub fn ejected_count(&self, now: Micros) -> usize {
        outlier::ejected_count(now, &self.ready.all, &self.endpoints)
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        // A clock that steps back or exceeds its bounds must not corrupt the values computed from it.
        self.now = now.clamp(self.now, TIME_LIMIT);
        let now = self.now;
        self.start(now, actions);
        match event {
            Event::EndpointUpdate { scope, endpoints } => {
                self.on_endpoint_update(now, scope, endpoints, actions);
            }
            Event::Request(request) => self.on_request(now, &request, actions),
            Event::StreamStarted { request } => self.requests.set_streaming(request),
            Event::BodyReceived(id) => {
                self.requests.on_body_received(now, id, &mut self.endpoints, self.window);
            }
            Event::AttemptEnded { request, attempt, endpoint, outcome, is_final, report, .. } => {
                self.on_report(now, endpoint, report);
                if self.on_attempt_ended(now, request, attempt, outcome, actions) {
                    self.answer_or_retry(now, request, outcome, is_final, actions);
                }
            }
            Event::ClientDisconnected(id) => {
                if self.requests.get(id).is_some_and(PendingRequest::has_attempt_in_flight) {
                    self.admission.load.record_disconnect();
                }
                self.requests.finish(id, self.settings.can_cancel, actions);
            }
            Event::GossipReceived { from, payload } => self.on_gossip(now, from, payload),
            Event::Timer(PERIOD_TIMER) => self.on_period(now, actions),
            Event::Timer(POLL_TIMER) => {
                if self.discovery.on_timer() {
                    actions.push(Action::PollDiscovery);
                }
            }
            Event::Timer(_) => {}
            Event::HealthChecked { endpoint, report, .. } => self.on_report(now, endpoint, report),
        }
    }

    /// Sets the first timers at random times, so that the control periods of the balancers are not
    /// synchronised. If all balancers adjusted admission at the same times by the same late samples, it would
    /// oscillate.
    fn start(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.started {
            return;
        }
        self.started = true;
        self.window.started_at = now;
        let first_period = now + self.rng.i64(1..=self.period);
        actions.push(Action::Timer { at: first_period, token: PERIOD_TIMER });
        let first_poll = self.discovery.first_poll_at(now, &mut self.rng);
        actions.extend(first_poll.map(|at| Action::Timer { at, token: POLL_TIMER }));
    }

    fn on_endpoint_update(
        &mut self,
        now: Micros,
        scope: UpdateScope,
        entries: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        if scope == UpdateScope::Failed {
            let next_poll = self.discovery.on_failure(now, &mut self.rng);
            actions.extend(next_poll.map(|at| Action::Timer { at, token: POLL_TIMER }));
            return;
        }
        if scope != UpdateScope::Delta {
            self.endpoints.mark_all_removed();
        }
        self.discovery.on_update(scope);
        for entry in entries {
            self.endpoints.update(now, entry, self.settings.classes.len());
        }
        let ready_before = self.ready.all.len();
        self.ready.rebuild(&self.endpoints, &self.settings);
        let ready = self.ready.all.len();
        self.admission.threshold.on_pool_change(ready_before, ready, &mut self.throughput);
    }

    fn on_report(&mut self, now: Micros, id: EndpointId, report: Option<LoadReport>) {
        if let (Some(index), Some(report)) = (self.endpoints.find(id), report) {
            self.endpoints[index].load_report.update(now, &report);
        }
    }

    fn on_gossip(&mut self, now: Micros, from: u32, payload: &[u8]) {
        let Some(message) = GossipMessage::decode(payload) else { return };
        let Some(index) = self.endpoints.find(message.endpoint) else { return };
        if self.ready.gossip_peers.contains(&from) {
            self.endpoints[index].peer_load.record(now, from, message.in_flight);
            self.on_load_signal(now, index, message.signal);
        }
    }

    /// Records the load signal of an attempt of this balancer or of a peer.
    pub(crate) fn on_load_signal(&mut self, now: Micros, index: EndpointIndex, signal: LoadSignal) {
        self.admission.load.record(signal);
        if signal == LoadSignal::Rejected {
            let wait = self.latency.pool_typical();
            self.endpoints[index].ejection.eject_full(now, wait, &mut self.rng);
        }
    }
}
