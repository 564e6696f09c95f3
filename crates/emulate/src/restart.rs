//! Processes: how one starts, is killed, and starts again with the list that it had.

use std::collections::BTreeMap;

use decide::Balancer;
use decide::{Class, EndpointId, EndpointState, Event, Micros, Semantics, Settings, UpdateScope};
use membership::{DiscoveryMode, DiscoveryWatch, InitialList, LeaseTerms, WatchPolicy};

use crate::node::FALL;
use crate::world::{Proxy, What, World, AIM, DEADLINE, GRACE, MUST_ASK};
use crate::{Fleet, MS, S};

/// A process whose list is not confirmed says that it is ready after this.
const READY_UNCONFIRMED: Micros = 5 * S;
/// The watch ends its sends this much before the grace is over.
const MARGIN: Micros = 150 * MS;

fn settings(fleet: &Fleet, rank: usize) -> Settings {
    let class = |gain: f64, semantics| Class {
        latency_objective: AIM,
        deadline: DEADLINE,
        priority_weight: gain,
        late_answer_value: 0.0,
        semantics,
    };
    Settings {
        balancers: fleet.proxies as u32,
        rank: rank as u32,
        tiers: 1,
        classes: vec![class(12.0, Semantics::Idempotent), class(1.0, Semantics::AtMostOnce)],
        poll_discovery: true,
        max_poll_interval: MUST_ASK,
        can_cancel: true,
        hedging_allowed: true,
        max_attempts: 3,
        timer_resolution: 5 * MS,
        slow_start_min_capacity: fleet.cold_from,
        slow_start_duration: fleet.cold,
        overload_multiple: FALL.0,
        overload_window: FALL.1,
        ..Settings::default()
    }
}

fn watch(seed: u64, now: Micros) -> DiscoveryWatch {
    let terms = LeaseTerms {
        drain_grace: GRACE,
        margin: MARGIN,
        max_suspension: 4 * MUST_ASK,
        presumed_outage: MUST_ASK * 4 / 5,
    };
    let policy = WatchPolicy { mode: DiscoveryMode::Polled, lease: Some(terms) };
    DiscoveryWatch::new(policy, InitialList::Unconfirmed, now, seed)
}

impl Proxy {
    /// A process that has been running for a while: discovery has just confirmed its list.
    pub fn running(fleet: &Fleet, rank: usize) -> Proxy {
        let mut proxy = Proxy::start(fleet, rank, 0, 0);
        let mut actions = Vec::new();
        proxy.watch.handle(0, membership::WatchEvent::TimerDue, &mut actions);
        for action in actions {
            if let membership::WatchAction::Poll { call: id, .. } = action {
                proxy.watch.handle(
                    0,
                    membership::WatchEvent::ResponseCompleted { call: id, changed: false },
                    &mut Vec::new(),
                );
            }
        }
        proxy.answered = Some(0);
        proxy
    }

    /// May its callers use it? A process that has just started says so when its list is confirmed, or after a while.
    fn is_ready(&self, now: Micros) -> bool {
        self.started.is_some_and(|at| !self.watch.is_unconfirmed() || now >= at + READY_UNCONFIRMED)
    }

    /// A process that starts now, for the n-th time, and knows nothing.
    pub fn start(fleet: &Fleet, rank: usize, life: u32, now: Micros) -> Proxy {
        let seed = fleet.seed.wrapping_mul(1_000_003).wrapping_add(rank as u64) ^ u64::from(life) << 48;
        Proxy {
            balancer: Balancer::new(settings(fleet, rank), seed),
            watch: watch(seed, now),
            life,
            started: Some(now),
            wakes: None,
            open: BTreeMap::new(),
            idle: BTreeMap::new(),
            seen: 0,
            answered: None,
            told: BTreeMap::new(),
            unheard: Vec::new(),
            silent: None,
        }
    }
}

impl World<'_> {
    /// A process takes up the list that it was given.
    pub fn begin(&mut self, p: usize) {
        let mut stages: BTreeMap<EndpointId, EndpointState> =
            (0..self.fleet.nodes as u32).map(|id| (EndpointId(id), EndpointState::Ready)).collect();
        for (_, id, stage) in &self.discovery.changes[..self.proxies[p].seen] {
            stages.insert(*id, *stage);
        }
        let entries: Vec<_> = stages.iter().map(|(id, stage)| self.entry(id.0, *stage)).collect();
        self.decide(p, Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &entries });
        self.plan_wake(p);
    }

    pub fn kill(&mut self) {
        let Some(restart) = self.fleet.restart else { return };
        let count = (restart.share * self.proxies.len() as f64) as usize;
        for p in 0..count {
            let proxy = &mut self.proxies[p];
            (proxy.started, proxy.wakes) = (None, None);
            proxy.life += 1;
            proxy.open.clear();
            self.at(self.now + restart.downtime, What::Start(p));
        }
    }

    pub fn start_again(&mut self, p: usize) {
        let (seen, life) = (self.proxies[p].seen, self.proxies[p].life);
        self.proxies[p] = Proxy { seen, ..Proxy::start(self.fleet, p, life, self.now) };
        self.begin(p);
    }

    /// A proxy that is ready, by chance; one that is not, where none is.
    pub fn any_ready(&mut self) -> Option<usize> {
        let all = |is_in: &dyn Fn(&Proxy) -> bool| -> Vec<usize> {
            (0..self.proxies.len()).filter(|p| is_in(&self.proxies[*p])).collect()
        };
        let ready = all(&|proxy| proxy.is_ready(self.now));
        let candidates = if ready.is_empty() { all(&|proxy| proxy.started.is_some()) } else { ready };
        (!candidates.is_empty()).then(|| candidates[self.rng.usize(0..candidates.len())])
    }
}
