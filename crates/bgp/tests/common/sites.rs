//! Fifty sites that announce one address to two routers, in simulated time: what fails, what is announced,
//! and where requests go. The announcer is the real one; nodes, routers and clients are a model.
//!
//! Each router sends what its clients ask evenly to the sites near it that announce, and to the far ones
//! where none of those does. It acts on what it is told after 100 ms. A site knows of its nodes what they
//! were 350 ms before.
#![allow(dead_code)]

use std::collections::BTreeMap;

use bgp::{
    Address, AnnouncementLevel, Announcer, Attributes, Damping, EndpointHealth, Micros, PoolHealth,
    ProcessHealth, Thresholds, SECOND,
};

pub const SITES: usize = 50;
const NODES: usize = 10;
const STEP: Micros = SECOND / 20;
/// Steps after which a site knows of its nodes, and a router of a site.
const SEEN: usize = 7;
const TOLD: usize = 2;
const WELL: ProcessHealth = ProcessHealth { accepting: true, alive: true, memory_full: false };

/// How sites announce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Always, whatever happens.
    Never,
    /// What is ready at this moment, and by fresh lists only.
    Hasty,
    /// As the program does.
    Calm,
}

/// What happens to the sites, and when.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// A site is gone.
    Dead(usize),
    /// A group of ten is gone.
    Group(usize),
    /// The nodes of a site come and go, each so often.
    Flaps(usize, Micros),
    /// No list of nodes is fresh anywhere.
    Lists,
    /// Clients ask for so many times as much.
    Peak(f64),
}

pub struct Event {
    pub from: Micros,
    pub until: Micros,
    pub trouble: Trouble,
}

/// A day's troubles by chance, of each sort.
pub fn troubles(seed: u64, length: Micros) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut events = Vec::new();
    let mut now = 60 * SECOND;
    while now < length {
        let (trouble, lasts) = match rng.u8(0..10) {
            0..=3 => (Trouble::Dead(rng.usize(0..SITES)), rng.i64(20..400)),
            4 => (Trouble::Group(rng.usize(0..SITES / 10)), rng.i64(30..300)),
            5..=7 => {
                (Trouble::Flaps(rng.usize(0..SITES), rng.i64(SECOND / 5..12 * SECOND)), rng.i64(30..180))
            }
            8 => (Trouble::Lists, rng.i64(60..400)),
            _ => (Trouble::Peak(1.2 + rng.f64()), rng.i64(30..200)),
        };
        events.push(Event { from: now, until: now + lasts * SECOND, trouble });
        now += rng.i64(10..90) * SECOND;
    }
    events
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Of all requests, those sent to a site of which no node answers.
    pub dead: f64,
    /// Those that found a node with room.
    pub served: f64,
    /// Announcements after the first ones.
    pub announcements: usize,
    /// The most that one site made in a minute.
    pub most_a_minute: usize,
    /// Times in seconds in which no site announced at all.
    pub none: f64,
}

struct Site {
    announcer: Announcer,
    /// The nodes that answer, as they were at the last steps.
    answering: Vec<usize>,
    level: AnnouncementLevel,
    announced_at: Vec<Micros>,
    /// As the routers know it, the newest last.
    known: Vec<bool>,
    health: BTreeMap<String, PoolHealth>,
}

fn address(policy: Policy) -> Address {
    let damping = match policy {
        Policy::Calm => Damping { hold_up: 5 * SECOND, max_hold_up: 120 * SECOND, half_life: 60 * SECOND },
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

fn health(answering: usize, stale: bool) -> PoolHealth {
    let node = |i| EndpointHealth { weight: 1.0, ready: true, warm: true, healthy: Some(i < answering) };
    PoolHealth { endpoints: Some((0..NODES).map(node).collect()), stale }
}

/// Plays so much time. `load` is what is asked for, as a part of what all sites can do together.
pub fn play(policy: Policy, events: &[Event], length: Micros, load: f64) -> Outcome {
    let mut sites: Vec<Site> = (0..SITES)
        .map(|_| {
            let mut announcer = Announcer::default();
            announcer.set(0, &[address(policy)]);
            Site {
                announcer,
                answering: vec![NODES; SEEN],
                level: AnnouncementLevel::Withdrawn,
                announced_at: Vec::new(),
                known: vec![false; TOLD],
                health: BTreeMap::new(),
            }
        })
        .collect();
    let mut outcome = Outcome::default();
    let (mut asked, mut dead, mut served) = (0.0, 0.0, 0.0);
    let mut pressure = [load; SITES];
    let start = 10 * SECOND;
    for step in 0..length / STEP {
        let now = step * STEP;
        let mut gone = [false; SITES];
        let (mut old, mut peak) = (false, 1.0);
        for event in events.iter().filter(|e| e.from <= now && now < e.until) {
            match event.trouble {
                Trouble::Dead(site) => gone[site] = true,
                Trouble::Group(group) => gone[group * 10..][..10].fill(true),
                Trouble::Flaps(site, every) => gone[site] |= ((now - event.from) / every) % 2 == 0,
                Trouble::Lists => old = true,
                Trouble::Peak(times) => peak = times,
            }
        }
        for (site, (this, gone)) in sites.iter_mut().zip(gone).enumerate() {
            // Nodes that are asked for far more than they can do stop answering, one after the other.
            let over = ((pressure[site] - 1.5) * NODES as f64).clamp(0.0, NODES as f64 - 1.0) as usize;
            let answering = if gone { 0 } else { NODES - over };
            this.answering.push(answering);
            let seen = this.answering[this.answering.len() - 1 - SEEN];
            // The hasty one takes what it has not heard of lately for gone.
            let known = if old && policy == Policy::Hasty { health(0, false) } else { health(seen, old) };
            let changed = this.health.get("p") != Some(&known);
            if changed {
                this.health.insert("p".to_owned(), known);
            }
            if policy == Policy::Never {
                this.level = AnnouncementLevel::Normal;
            } else if changed || this.announcer.next_decision(now).is_some_and(|at| at <= now) {
                this.announcer.decide(now, WELL, &this.health);
                let level =
                    this.announcer.views(now).next().map_or(AnnouncementLevel::Withdrawn, |v| v.level);
                if this.level == AnnouncementLevel::Withdrawn
                    && level != AnnouncementLevel::Withdrawn
                    && now > start
                {
                    this.announced_at.push(now);
                }
                this.level = level;
            }
            this.known.push(this.level != AnnouncementLevel::Withdrawn);
        }
        let announces = |site: &Site| site.known[site.known.len() - 1 - TOLD];
        pressure = [0.0; SITES];
        for router in 0..2 {
            let near = |i: &usize| i % 2 == router;
            let up: Vec<usize> = (0..SITES).filter(|i| announces(&sites[*i])).collect();
            let nearer: Vec<usize> = up.iter().copied().filter(near).collect();
            let to = if nearer.is_empty() { &up } else { &nearer };
            let each = load * peak * SITES as f64 / 2.0 / to.len().max(1) as f64;
            to.iter().for_each(|i| pressure[*i] += each);
        }
        if now < start {
            continue;
        }
        asked += load * peak * SITES as f64;
        if pressure.iter().sum::<f64>() == 0.0 {
            outcome.none += STEP as f64 / SECOND as f64;
        }
        for (site, pressure) in sites.iter().zip(pressure) {
            let answering = site.answering[site.answering.len() - 1];
            if answering == 0 {
                dead += pressure;
            }
            served += pressure.min(answering as f64 / NODES as f64);
        }
    }
    (outcome.dead, outcome.served) = (dead / asked, served / asked);
    for site in &sites {
        outcome.announcements += site.announced_at.len();
        let in_minute =
            |at: &Micros| site.announced_at.iter().filter(|t| (*at..*at + 60 * SECOND).contains(t)).count();
        let most = site.announced_at.iter().map(in_minute).max().unwrap_or(0);
        outcome.most_a_minute = outcome.most_a_minute.max(most);
    }
    outcome
}
