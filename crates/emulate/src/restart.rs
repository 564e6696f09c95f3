//! Processes: how one starts, is killed, and starts again with the list that it had.

use std::collections::BTreeMap;

use decide::interface::*;
use decide::Balancer;
use members::{Hold, Policy, Watch};

use crate::node::FALL;
use crate::world::{Proxy, What, World, AIM, DEADLINE, GRACE, MUST_ASK};
use crate::{Fleet, MS};

/// The watch ends its sends this much before the grace is over.
const MARGIN: Micros = 150 * MS;

fn settings(fleet: &Fleet, rank: usize) -> Settings {
    let class =
        |gain: f64, semantics| Class { aim: AIM, deadline: DEADLINE, gain, late_value: 0.0, semantics };
    Settings {
        balancers: fleet.proxies as u32,
        rank: rank as u32,
        tiers: 1,
        classes: vec![class(12.0, Semantics::Idempotent), class(1.0, Semantics::AtMostOnce)],
        ask_discovery: true,
        must_ask_in: MUST_ASK,
        can_cancel: true,
        second_copies: true,
        max_attempts: 3,
        tick: 5 * MS,
        cold_from: fleet.cold_from,
        cold_time: fleet.cold,
        fall_multiple: FALL.0,
        fall_time: FALL.1,
        ..Settings::default()
    }
}

fn watch(seed: u64, _now: Micros) -> Watch {
    let hold = Hold { grace: GRACE, margin: MARGIN, most: 4 * MUST_ASK, outage: MUST_ASK * 4 / 5 };
    Watch::new(Policy { answers_each: true, hold: Some(hold) }, true, seed)
}

impl Proxy {
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
        let mut stages: BTreeMap<BackendId, Stage> =
            (0..self.fleet.nodes as u32).map(|id| (BackendId(id), Stage::Ready)).collect();
        for (_, id, stage) in &self.discovery.changes[..self.proxies[p].seen] {
            stages.insert(*id, *stage);
        }
        let entries: Vec<_> = stages.iter().map(|(id, stage)| self.entry(id.0, *stage)).collect();
        self.decide(p, Event::Backends { scope: ListScope::Cached, entries: &entries });
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

    /// A proxy that is running, by chance.
    pub fn any_running(&mut self) -> Option<usize> {
        let running: Vec<usize> =
            (0..self.proxies.len()).filter(|p| self.proxies[*p].started.is_some()).collect();
        (!running.is_empty()).then(|| running[self.rng.usize(0..running.len())])
    }
}
