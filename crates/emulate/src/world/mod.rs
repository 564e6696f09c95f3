//! The simulation: the queue of events and their handling.

mod attempts;
mod balancer;
mod clients;
mod membership;
mod processes;

use std::collections::{BTreeMap, VecDeque};

use decide::{Endpoint, EndpointId, EndpointState, Event, Micros, Outcome};
use fastrand::Rng;

use self::membership::CallResult;
use crate::discovery::Discovery;
use crate::endpoint::SimulatedEndpoint;
use crate::process::Proxy;
use crate::{Fleet, Report, SECOND};
use ::membership::{CallId, WatchEvent};

pub use clients::ClientRequest;

/// The time for which the simulation continues after the last request.
const COMPLETION_TIME: Micros = 5 * SECOND;
/// The time for which a replaced endpoint drains before it stops.
const DRAIN_TIME: Micros = 5 * SECOND;

/// One run of a proxy process, from a start to a kill.
#[derive(Clone, Copy, PartialEq)]
struct Incarnation {
    proxy: usize,
    incarnation: u32,
}

#[derive(Clone, Copy)]
enum SimulatedEvent {
    RequestArrives(ClientRequest),
    /// A timer of a balancer.
    BalancerTimer {
        process: Incarnation,
        token: u64,
    },
    AttemptEnds {
        proxy: usize,
        request: u64,
        attempt: usize,
        outcome: Outcome,
    },
    /// The timer of the discovery watch of a proxy.
    WatchTimer {
        proxy: usize,
    },
    CallEnds {
        process: Incarnation,
        call: CallId,
        result: CallResult,
    },
    /// The start of the fleet's restart.
    KillProxies,
    StartProxy {
        proxy: usize,
    },
    ReplaceEndpoint,
    EndpointGone {
        id: u32,
    },
}

/// The state of a simulation.
pub struct World<'a> {
    fleet: &'a Fleet,
    rng: Rng,
    now: Micros,
    /// Scheduled events, by time and by the order in which they were scheduled.
    queue: BTreeMap<(Micros, u64), SimulatedEvent>,
    /// The last number that was assigned to an event or a request.
    last_number: u64,
    endpoints: BTreeMap<u32, SimulatedEndpoint>,
    /// The endpoints in use, in the order in which they will be replaced.
    replacement_order: VecDeque<u32>,
    discovery: Discovery,
    proxies: Vec<Proxy>,
    /// The fraction of recent client attempts without a successful response, as a moving average over some
    /// hundreds of attempts.
    loss: f64,
    report: Report,
}

impl<'a> World<'a> {
    pub fn new(fleet: &'a Fleet) -> World<'a> {
        let ids = 0..fleet.endpoints as u32;
        World {
            fleet,
            rng: Rng::with_seed(fleet.seed),
            now: 0,
            queue: BTreeMap::new(),
            last_number: 0,
            replacement_order: ids.clone().collect(),
            endpoints: ids.map(|id| (id, SimulatedEndpoint::new(None))).collect(),
            discovery: Discovery::new(fleet),
            proxies: (0..fleet.proxies).map(|rank| Proxy::running(fleet, rank)).collect(),
            loss: 0.0,
            report: Report::default(),
        }
    }

    /// Simulates to the end of the run.
    pub fn run(mut self) -> Report {
        self.schedule_start();
        let end = self.fleet.duration + COMPLETION_TIME;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.report.max_burst = self.endpoints.values().map(|endpoint| endpoint.max_burst).max().unwrap_or(0);
        let failed = self.endpoints.values().filter(|endpoint| endpoint.has_failed);
        self.report.overloaded_endpoints = failed.count() as u64;
        self.report.queued_calls = self.discovery.queued_calls;
        self.report.rejected_calls = self.discovery.rejected_calls;
        self.report
    }

    fn schedule_start(&mut self) {
        for proxy in 0..self.proxies.len() {
            self.load_list(proxy);
        }
        if let Some(restart) = self.fleet.restart {
            self.schedule(restart.at, SimulatedEvent::KillProxies);
        }
        if let Some(release) = self.fleet.release {
            self.schedule(release.start, SimulatedEvent::ReplaceEndpoint);
        }
        let first_at = self.draw_next_arrival();
        self.schedule_request(first_at);
    }

    fn schedule(&mut self, at: Micros, event: SimulatedEvent) {
        let number = self.next_number();
        self.queue.insert((at, number), event);
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn incarnation(&self, proxy: usize) -> Incarnation {
        Incarnation { proxy, incarnation: self.proxies[proxy].incarnation }
    }

    /// Returns whether the process has not been killed since this incarnation.
    fn is_current(&self, process: Incarnation) -> bool {
        self.incarnation(process.proxy) == process
    }

    fn list_entry(&self, id: u32, state: EndpointState) -> Endpoint {
        let up_since = self.endpoints.get(&id).and_then(|endpoint| endpoint.started_at);
        Endpoint { id: EndpointId(id), state, weight: 1.0, up_since, ..Endpoint::default() }
    }

    fn handle(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::RequestArrives(request) => self.on_request(request),
            SimulatedEvent::BalancerTimer { process, token } => {
                if self.is_current(process) {
                    self.handle_event(process.proxy, Event::Timer(token));
                }
            }
            SimulatedEvent::AttemptEnds { proxy, request, attempt, outcome } => {
                self.on_attempt_end(proxy, request, attempt, outcome);
            }
            SimulatedEvent::WatchTimer { proxy } => self.on_watch_timer(proxy),
            SimulatedEvent::CallEnds { process, call, result } => {
                if self.is_current(process) {
                    self.on_call_end(process.proxy, call, result);
                }
            }
            SimulatedEvent::KillProxies => self.kill_proxies(),
            SimulatedEvent::StartProxy { proxy } => self.restart_proxy(proxy),
            SimulatedEvent::ReplaceEndpoint => self.replace_oldest_endpoint(),
            SimulatedEvent::EndpointGone { id } => {
                if let Some(endpoint) = self.endpoints.get_mut(&id) {
                    endpoint.is_gone = true;
                }
            }
        }
    }

    fn on_watch_timer(&mut self, proxy: usize) {
        // A timer is obsolete if another time was requested after it was scheduled.
        if self.proxies[proxy].wake_at == Some(self.now) {
            self.proxies[proxy].wake_at = None;
            self.handle_watch_event(proxy, WatchEvent::TimerDue);
        }
    }

    /// Starts to drain the oldest endpoint and starts a new one in its place.
    fn replace_oldest_endpoint(&mut self) {
        let Some(release) = self.fleet.release else { return };
        let new = self.endpoints.len() as u32;
        self.endpoints.insert(new, SimulatedEndpoint::new(Some(self.now)));
        self.replacement_order.push_back(new);
        if let Some(oldest) = self.replacement_order.pop_front() {
            self.schedule(self.now + DRAIN_TIME, SimulatedEvent::EndpointGone { id: oldest });
        }
        let next_at = self.now + release.interval;
        if next_at < release.end {
            self.schedule(next_at, SimulatedEvent::ReplaceEndpoint);
        }
    }
}
