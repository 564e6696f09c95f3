//! Fifty sites that announce one address to two routers, in simulated time: faults, announcements, and where
//! requests go. The announcer is the real one; endpoints, routers and clients are modelled.
//!
//! Each router spreads the requests of its clients evenly over the near sites that announce the address, or
//! over the far ones if no near site does. It acts on an announcement after 100 ms. A site observes its
//! endpoints with a delay of 350 ms.
#![allow(dead_code)]

use std::collections::BTreeMap;

use bgp::{
    Address, AnnouncementLevel, Announcer, Attributes, Damping, EndpointHealth, Micros, PoolHealth,
    ProcessHealth, Thresholds, SECOND,
};

pub const SITES: usize = 50;
const ENDPOINTS: usize = 10;
const STEP: Micros = SECOND / 20;
/// The delay in steps until a site observes a change of its endpoints.
const HEALTH_DELAY_STEPS: usize = 7;
/// The delay in steps until a router acts on a change of an announcement.
const ROUTE_DELAY_STEPS: usize = 2;
const HEALTHY_PROCESS: ProcessHealth =
    ProcessHealth { accepting: true, alive: true, memory_limit_exceeded: false };

/// How sites announce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Always announces the address.
    Static,
    /// Announces and withdraws without a hold-up time, and counts endpoints of stale lists as failed.
    Undamped,
    /// Announces as the program does, with route flap damping.
    Damped,
}

/// A fault of sites, endpoint lists or clients.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// All endpoints of a site fail.
    SiteDown(usize),
    /// All endpoints of a group of ten sites fail.
    GroupDown(usize),
    /// The endpoints of a site fail and recover in turn, each time for this duration.
    SiteFlaps(usize, Micros),
    /// The endpoint lists of all sites are stale.
    StaleLists,
    /// The load is multiplied by this factor.
    LoadPeak(f64),
}

/// A fault and the time during which it lasts.
pub struct ScheduledFault {
    pub from: Micros,
    pub until: Micros,
    pub fault: Fault,
}

/// Returns random faults of each kind over the duration.
pub fn random_faults(seed: u64, duration: Micros) -> Vec<ScheduledFault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut now = 60 * SECOND;
    while now < duration {
        let (fault, duration_s) = match rng.u8(0..10) {
            0..=3 => (Fault::SiteDown(rng.usize(0..SITES)), rng.i64(20..400)),
            4 => (Fault::GroupDown(rng.usize(0..SITES / 10)), rng.i64(30..300)),
            5..=7 => {
                (Fault::SiteFlaps(rng.usize(0..SITES), rng.i64(SECOND / 5..12 * SECOND)), rng.i64(30..180))
            }
            8 => (Fault::StaleLists, rng.i64(60..400)),
            _ => (Fault::LoadPeak(1.2 + rng.f64()), rng.i64(30..200)),
        };
        faults.push(ScheduledFault { from: now, until: now + duration_s * SECOND, fault });
        now += rng.i64(10..90) * SECOND;
    }
    faults
}

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The fraction of requests that are sent to a site without a responding endpoint.
    pub sent_to_failed_sites: f64,
    /// The fraction of requests that reach an endpoint with free capacity.
    pub served: f64,
    /// The number of announcements after the initial ones.
    pub announcements: usize,
    /// The maximum number of announcements of one site in a minute.
    pub max_announcements_per_minute: usize,
    /// The total time in seconds during which no site announced the address.
    pub seconds_without_site: f64,
}

struct Site {
    announcer: Announcer,
    /// The number of responding endpoints after each step, the latest last.
    responding: Vec<usize>,
    level: AnnouncementLevel,
    announced_at: Vec<Micros>,
    /// Whether the address was announced after each step, the latest last.
    announced: Vec<bool>,
    health: BTreeMap<String, PoolHealth>,
}

fn address(policy: Policy) -> Address {
    let damping = match policy {
        Policy::Damped => Damping { hold_up: 5 * SECOND, max_hold_up: 120 * SECOND, half_life: 60 * SECOND },
        _ => Damping { hold_up: 1, max_hold_up: 1, half_life: 1 },
    };
    Address {
        prefix: "192.0.2.1/32".parse().expect("a prefix"),
        pools: vec!["p".to_owned()],
        thresholds: Thresholds { announce: 0.5, withdraw: 0.25, degrade: 0.0, min_endpoints: 1 },
        damping,
        attributes: Attributes::default(),
        degraded: Attributes::default(),
    }
}

fn health(responding: usize, stale: bool) -> PoolHealth {
    let endpoint = |i| EndpointHealth { weight: 1.0, ready: true, warm: true, healthy: Some(i < responding) };
    PoolHealth { endpoints: Some((0..ENDPOINTS).map(endpoint).collect()), stale }
}

/// Simulates this duration. `load` is the offered load as a fraction of the capacity of all sites.
pub fn simulate(policy: Policy, faults: &[ScheduledFault], duration: Micros, load: f64) -> Outcome {
    let mut sites: Vec<Site> = (0..SITES)
        .map(|_| {
            let mut announcer = Announcer::default();
            announcer.set(0, &[address(policy)]);
            Site {
                announcer,
                responding: vec![ENDPOINTS; HEALTH_DELAY_STEPS],
                level: AnnouncementLevel::Withdrawn,
                announced_at: Vec::new(),
                announced: vec![false; ROUTE_DELAY_STEPS],
                health: BTreeMap::new(),
            }
        })
        .collect();
    let mut outcome = Outcome::default();
    let (mut offered, mut sent_to_failed_sites, mut served) = (0.0, 0.0, 0.0);
    let mut site_load = [load; SITES];
    let start = 10 * SECOND;
    for step in 0..duration / STEP {
        let now = step * STEP;
        let mut down = [false; SITES];
        let (mut lists_stale, mut load_factor) = (false, 1.0);
        for active in faults.iter().filter(|f| f.from <= now && now < f.until) {
            match active.fault {
                Fault::SiteDown(site) => down[site] = true,
                Fault::GroupDown(group) => down[group * 10..][..10].fill(true),
                Fault::SiteFlaps(site, period) => down[site] |= ((now - active.from) / period) % 2 == 0,
                Fault::StaleLists => lists_stale = true,
                Fault::LoadPeak(factor) => load_factor = factor,
            }
        }
        for (index, (site, down)) in sites.iter_mut().zip(down).enumerate() {
            // Endpoints far above their capacity stop responding, one after the other.
            let overloaded =
                ((site_load[index] - 1.5) * ENDPOINTS as f64).clamp(0.0, ENDPOINTS as f64 - 1.0) as usize;
            let responding = if down { 0 } else { ENDPOINTS - overloaded };
            site.responding.push(responding);
            let observed = site.responding[site.responding.len() - 1 - HEALTH_DELAY_STEPS];
            // The undamped policy counts the endpoints of a stale list as failed.
            let pool_health = if lists_stale && policy == Policy::Undamped {
                health(0, false)
            } else {
                health(observed, lists_stale)
            };
            let changed = site.health.get("p") != Some(&pool_health);
            if changed {
                site.health.insert("p".to_owned(), pool_health);
            }
            if policy == Policy::Static {
                site.level = AnnouncementLevel::Normal;
            } else if changed || site.announcer.next_decision(now).is_some_and(|at| at <= now) {
                site.announcer.decide(now, HEALTHY_PROCESS, &site.health);
                let level =
                    site.announcer.views(now).next().map_or(AnnouncementLevel::Withdrawn, |v| v.level);
                if site.level == AnnouncementLevel::Withdrawn
                    && level != AnnouncementLevel::Withdrawn
                    && now > start
                {
                    site.announced_at.push(now);
                }
                site.level = level;
            }
            site.announced.push(site.level != AnnouncementLevel::Withdrawn);
        }
        let announces = |site: &Site| site.announced[site.announced.len() - 1 - ROUTE_DELAY_STEPS];
        site_load = [0.0; SITES];
        for router in 0..2 {
            let near = |i: &usize| i % 2 == router;
            let announcing: Vec<usize> = (0..SITES).filter(|i| announces(&sites[*i])).collect();
            let near_sites: Vec<usize> = announcing.iter().copied().filter(near).collect();
            let targets = if near_sites.is_empty() { &announcing } else { &near_sites };
            let load_per_site = load * load_factor * SITES as f64 / 2.0 / targets.len().max(1) as f64;
            targets.iter().for_each(|i| site_load[*i] += load_per_site);
        }
        if now < start {
            continue;
        }
        offered += load * load_factor * SITES as f64;
        if site_load.iter().sum::<f64>() == 0.0 {
            outcome.seconds_without_site += STEP as f64 / SECOND as f64;
        }
        for (site, site_load) in sites.iter().zip(site_load) {
            let responding = site.responding[site.responding.len() - 1];
            if responding == 0 {
                sent_to_failed_sites += site_load;
            }
            served += site_load.min(responding as f64 / ENDPOINTS as f64);
        }
    }
    outcome.sent_to_failed_sites = sent_to_failed_sites / offered;
    outcome.served = served / offered;
    for site in &sites {
        outcome.announcements += site.announced_at.len();
        let in_next_minute =
            |at: &Micros| site.announced_at.iter().filter(|t| (*at..*at + 60 * SECOND).contains(t)).count();
        let max_per_minute = site.announced_at.iter().map(in_next_minute).max().unwrap_or(0);
        outcome.max_announcements_per_minute = outcome.max_announcements_per_minute.max(max_per_minute);
    }
    outcome
}
