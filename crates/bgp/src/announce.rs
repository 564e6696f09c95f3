//! Which addresses are announced, and how: by what is known of the pools behind them, calmly.
//!
//! An address is withdrawn at once when it cannot serve, and announced only when all behind it has been truly ready for
//! a hold-up time without a break. Each withdrawal doubles the next hold-up, to a bound; in calm it shrinks again. A
//! withdrawal is never delayed.
//!
//! What is not known decides nothing by itself: a list of nodes that is old withdraws no address that is announced, and
//! announces none that is not. Nodes that are seen not to answer are known, however old the list.

use std::collections::BTreeMap;

use ipnet::IpNet;

use crate::table::Attributes;
use crate::Micros;

/// Addresses that one process announces at most.
pub const MOST_ADDRESSES: usize = 1024;
/// Community GRACEFUL_SHUTDOWN (RFC 8326).
const GRACEFUL_SHUTDOWN: u32 = 0xffff_0000;
/// Preference within the AS: as usual, and of what is about to go (RFC 8326).
const LOCAL_PREF: u32 = 100;

/// A node, as it is listed and as it answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointHealth {
    /// Its part of its pool's capacity, against the other nodes'.
    pub weight: f64,
    /// It is listed as ready, not as draining.
    pub ready: bool,
    /// It has been up for long enough to take its part.
    pub warm: bool,
    /// Its last probes were answered, or were not; nothing before there were any.
    pub answers: Option<bool>,
}

/// What is known of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolHealth {
    /// The nodes of the last list; none before there was one.
    pub endpoints: Option<Vec<EndpointHealth>>,
    /// The list is older than it may be.
    pub stale: bool,
}

/// What is known of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessHealth {
    /// Its listeners accept.
    pub accepting: bool,
    /// Its data plane moves on.
    pub alive: bool,
    /// It is short of memory.
    pub memory_full: bool,
}

/// Parts of a pool's capacity, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Announced where at least this part is ready, warm and answers.
    pub announce: f64,
    /// Withdrawn where less than this part can be had; at most `announce`.
    pub withdraw: f64,
    /// Announced as worse where less than this part can be had; from `withdraw` up. 0 never does.
    pub degrade: f64,
    /// And at least so many nodes, for both.
    pub least_nodes: usize,
}

/// How calmly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damping {
    /// Ready without a break for so long before it is announced.
    pub hold_up: Micros,
    /// The longest that this grows to.
    pub most: Micros,
    /// Half of what flaps have added is forgotten in this time.
    pub half_life: Micros,
}

/// An address that can be announced.
#[derive(Clone, Debug, PartialEq)]
pub struct Address {
    /// The prefix.
    pub prefix: IpNet,
    /// The pools that must all be able to serve.
    pub pools: Vec<String>,
    /// When they are.
    pub thresholds: Thresholds,
    /// How calmly.
    pub damping: Damping,
    /// What is announced with it.
    pub attributes: Attributes,
    /// The same while it is worse than usual.
    pub degraded: Attributes,
}

/// Why an address is in its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateReason {
    /// All is well.
    Ready,
    /// It is ready, and not yet for long enough.
    HoldUp,
    /// An operator holds it down.
    HeldByOperator,
    /// The process ends.
    ShuttingDown,
    /// No listener accepts.
    NotAccepting,
    /// The data plane does not move on.
    DataPlaneStalled,
    /// The process is short of memory.
    MemoryLimitExceeded,
    /// There is no pool of this name.
    UnknownPool(String),
    /// Its nodes have not been told.
    NoEndpointList(String),
    /// Its list of nodes is old.
    StaleEndpointList(String),
    /// None of its nodes can be had.
    NoEndpointAvailable(String),
    /// Too few of them can: so many in a hundred of its capacity.
    InsufficientCapacity(String, u8),
    /// Enough can, but are not warm or have not answered yet.
    WarmingUp(String),
}

impl std::fmt::Display for StateReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StateReason::Ready => write!(f, "ready"),
            StateReason::HoldUp => write!(f, "ready, waiting out its hold-up"),
            StateReason::HeldByOperator => write!(f, "held by an operator"),
            StateReason::ShuttingDown => write!(f, "the process ends"),
            StateReason::NotAccepting => write!(f, "no listener accepts"),
            StateReason::DataPlaneStalled => write!(f, "the data plane does not move on"),
            StateReason::MemoryLimitExceeded => write!(f, "short of memory"),
            StateReason::UnknownPool(pool) => write!(f, "there is no pool `{pool}`"),
            StateReason::NoEndpointList(pool) => write!(f, "pool `{pool}` has had no list of nodes"),
            StateReason::StaleEndpointList(pool) => write!(f, "pool `{pool}` has an old list of nodes"),
            StateReason::NoEndpointAvailable(pool) => write!(f, "pool `{pool}` has no node that answers"),
            StateReason::InsufficientCapacity(pool, part) => {
                write!(f, "pool `{pool}` has {part} % of its capacity")
            }
            StateReason::WarmingUp(pool) => write!(f, "pool `{pool}` is not warm, or has not answered yet"),
        }
    }
}

/// How an address is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementLevel {
    /// Not at all.
    Withdrawn,
    /// With the attributes of one that is worse.
    Degraded,
    /// As usual.
    Normal,
    /// With GRACEFUL_SHUTDOWN: it is about to go.
    GracefulShutdown,
}

impl AnnouncementLevel {
    /// Its name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            AnnouncementLevel::Withdrawn => "withdrawn",
            AnnouncementLevel::Degraded => "degraded",
            AnnouncementLevel::Normal => "announced",
            AnnouncementLevel::GracefulShutdown => "leaving",
        }
    }
}

/// What an operator is told of an address.
#[derive(Clone, Debug)]
pub struct AddressView {
    /// The prefix.
    pub prefix: IpNet,
    /// How it is announced.
    pub level: AnnouncementLevel,
    /// Why.
    pub why: StateReason,
    /// Since when it is announced so.
    pub since: Micros,
    /// Withdrawals for want of service, since the start.
    pub flaps: u64,
    /// The hold-up that it would have to wait out now.
    pub hold_up: Micros,
    /// It is ready since then.
    pub ready_since: Option<Micros>,
}

#[derive(Clone, Debug)]
struct Entry {
    address: Address,
    level: AnnouncementLevel,
    since: Micros,
    why: StateReason,
    /// Ready, or better than degraded, without a break since then.
    better_since: Option<Micros>,
    held: bool,
    flaps: u64,
    penalty: f64,
    penalty_at: Micros,
}

/// What a pool gives.
enum Verdict {
    /// It cannot serve.
    Must(StateReason),
    /// It can go on as it is, and not more.
    May(StateReason),
    /// It is truly ready, by this part.
    Ready(f64),
}

/// All addresses.
#[derive(Clone, Debug, Default)]
pub struct Announcer {
    entries: BTreeMap<IpNet, Entry>,
    ending: bool,
    /// While it ends, addresses are announced as leaving until then.
    leave_until: Micros,
}

impl Announcer {
    /// These are the addresses from now on. Those that were there before go on as they were.
    pub fn set(&mut self, now: Micros, addresses: &[Address]) {
        self.entries.retain(|prefix, _| addresses.iter().any(|a| a.prefix == *prefix));
        for address in addresses.iter().take(MOST_ADDRESSES) {
            let entry = self.entries.entry(address.prefix).or_insert_with(|| Entry {
                address: address.clone(),
                level: AnnouncementLevel::Withdrawn,
                since: now,
                why: StateReason::HoldUp,
                better_since: None,
                held: false,
                flaps: 0,
                penalty: 0.0,
                penalty_at: now,
            });
            entry.address = address.clone();
        }
    }

    /// An operator holds an address down, or lets go of it. False where there is none.
    pub fn hold(&mut self, prefix: IpNet, held: bool) -> bool {
        self.entries.get_mut(&prefix).map(|entry| entry.held = held).is_some()
    }

    /// The process ends: what is announced is announced as leaving for this time, and then not at all.
    pub fn leave(&mut self, now: Micros, time: Micros) {
        if !self.ending {
            (self.ending, self.leave_until) = (true, now + time);
        }
    }

    /// What is left of that time is over.
    pub fn hurry(&mut self, now: Micros) {
        self.leave_until = self.leave_until.min(now);
    }

    /// When something may change though nothing is told.
    #[must_use]
    pub fn next(&self, now: Micros) -> Option<Micros> {
        if self.ending {
            return self
                .entries
                .values()
                .any(|e| e.level != AnnouncementLevel::Withdrawn)
                .then_some(self.leave_until);
        }
        let waiting = self.entries.values().filter_map(|e| Some(e.better_since? + e.hold_up(now)));
        waiting.min()
    }

    /// Decides anew, by all that is known. True where something is to be told.
    pub fn decide(
        &mut self,
        now: Micros,
        process: ProcessHealth,
        pools: &BTreeMap<String, PoolHealth>,
    ) -> bool {
        let (ending, until) = (self.ending, self.leave_until);
        let mut changed = false;
        for entry in self.entries.values_mut() {
            let before = entry.level;
            let verdict = entry.verdict(process, pools);
            if ending {
                entry.end(now, until, &verdict);
            } else {
                entry.step(now, verdict);
            }
            if entry.level != before {
                entry.since = now;
                changed = true;
            }
        }
        changed
    }

    /// What is to be announced.
    #[must_use]
    pub fn wanted(&self) -> BTreeMap<IpNet, Attributes> {
        let attributes = |entry: &Entry| {
            let usual = |a: &Attributes| Attributes { local_pref: LOCAL_PREF, ..a.clone() };
            match entry.level {
                AnnouncementLevel::Withdrawn => None,
                AnnouncementLevel::Normal => Some(usual(&entry.address.attributes)),
                AnnouncementLevel::Degraded => Some(usual(&entry.address.degraded)),
                AnnouncementLevel::GracefulShutdown => {
                    let mut leaving = Attributes { local_pref: 0, ..entry.address.attributes.clone() };
                    leaving.communities.push(GRACEFUL_SHUTDOWN);
                    Some(leaving)
                }
            }
        };
        self.entries.iter().filter_map(|(prefix, entry)| Some((*prefix, attributes(entry)?))).collect()
    }

    /// What an operator is told.
    pub fn views(&self, now: Micros) -> impl Iterator<Item = AddressView> + '_ {
        self.entries.iter().map(move |(prefix, entry)| AddressView {
            prefix: *prefix,
            level: entry.level,
            why: entry.why.clone(),
            since: entry.since,
            flaps: entry.flaps,
            hold_up: entry.hold_up(now),
            ready_since: entry.better_since.filter(|_| entry.level == AnnouncementLevel::Withdrawn),
        })
    }
}

impl Entry {
    /// What was added by flaps, as it has faded by now.
    fn penalty(&self, now: Micros) -> f64 {
        let half_life = self.address.damping.half_life.max(1) as f64;
        self.penalty * (-((now - self.penalty_at).max(0) as f64) / half_life).exp2()
    }

    fn flap(&mut self, now: Micros) {
        let Damping { hold_up, most, .. } = self.address.damping;
        // More than it takes to reach the longest hold-up would only lengthen the way back.
        let enough = (most.max(1) as f64 / hold_up.max(1) as f64).log2().max(0.0) + 1.0;
        (self.penalty, self.penalty_at) = ((self.penalty(now) + 1.0).min(enough), now);
    }

    fn hold_up(&self, now: Micros) -> Micros {
        let Damping { hold_up, most, .. } = self.address.damping;
        ((hold_up as f64 * self.penalty(now).exp2()) as Micros).min(most).max(hold_up)
    }

    /// The worst of what its process and its pools say.
    fn verdict(&self, process: ProcessHealth, pools: &BTreeMap<String, PoolHealth>) -> Verdict {
        let fault = match process {
            _ if self.held => Some(StateReason::HeldByOperator),
            ProcessHealth { alive: false, .. } => Some(StateReason::DataPlaneStalled),
            ProcessHealth { accepting: false, .. } => Some(StateReason::NotAccepting),
            ProcessHealth { memory_full: true, .. } => Some(StateReason::MemoryLimitExceeded),
            _ => None,
        };
        if let Some(why) = fault {
            return Verdict::Must(why);
        }
        let mut worst = Verdict::Ready(1.0);
        for name in &self.address.pools {
            let verdict = match pools.get(name) {
                None => Verdict::Must(StateReason::UnknownPool(name.clone())),
                Some(health) => assess(name, health, &self.address.thresholds),
            };
            worst = match (worst, verdict) {
                (Verdict::Must(why), _) | (_, Verdict::Must(why)) => return Verdict::Must(why),
                (Verdict::May(why), _) | (_, Verdict::May(why)) => Verdict::May(why),
                (Verdict::Ready(a), Verdict::Ready(b)) => Verdict::Ready(a.min(b)),
            };
        }
        worst
    }

    fn end(&mut self, now: Micros, until: Micros, verdict: &Verdict) {
        let serves = !matches!(verdict, Verdict::Must(_));
        self.better_since = None;
        if self.level != AnnouncementLevel::Withdrawn && serves && now < until {
            self.level = AnnouncementLevel::GracefulShutdown;
        } else {
            self.level = AnnouncementLevel::Withdrawn;
        }
        self.why = StateReason::ShuttingDown;
    }

    fn step(&mut self, now: Micros, verdict: Verdict) {
        let degrade = self.address.thresholds.degrade;
        match (self.level, verdict) {
            (level, Verdict::Must(why)) => {
                if level != AnnouncementLevel::Withdrawn && why != StateReason::HeldByOperator {
                    self.flaps += 1;
                    self.flap(now);
                }
                (self.level, self.why, self.better_since) = (AnnouncementLevel::Withdrawn, why, None);
            }
            // Not ready breaks the hold-up, and leaves what is announced as it is.
            (AnnouncementLevel::Withdrawn, Verdict::May(why)) => (self.why, self.better_since) = (why, None),
            (_, Verdict::May(why)) => (self.why, self.better_since) = (why, None),
            (AnnouncementLevel::Normal | AnnouncementLevel::GracefulShutdown, Verdict::Ready(part)) => {
                self.why = StateReason::Ready;
                self.level = AnnouncementLevel::Normal;
                if part < degrade {
                    self.flap(now);
                    (self.level, self.better_since) = (AnnouncementLevel::Degraded, None);
                }
            }
            (AnnouncementLevel::Degraded, Verdict::Ready(part)) => {
                self.why = StateReason::Ready;
                if part < degrade {
                    self.better_since = None;
                } else if self.waited(now) {
                    (self.level, self.better_since) = (AnnouncementLevel::Normal, None);
                }
            }
            (AnnouncementLevel::Withdrawn, Verdict::Ready(part)) => {
                self.why = StateReason::HoldUp;
                if self.waited(now) {
                    self.level =
                        if part < degrade { AnnouncementLevel::Degraded } else { AnnouncementLevel::Normal };
                    (self.why, self.better_since) = (StateReason::Ready, None);
                }
            }
        }
    }

    /// Has it been better for as long as it has to be?
    fn waited(&mut self, now: Micros) -> bool {
        let since = *self.better_since.get_or_insert(now);
        now - since >= self.hold_up(now)
    }
}

/// What a pool gives an address with these thresholds.
fn assess(name: &str, health: &PoolHealth, thresholds: &Thresholds) -> Verdict {
    let Some(nodes) = &health.endpoints else {
        // Nothing is known. What was announced before a reload, say, is not given up for that.
        return Verdict::May(StateReason::NoEndpointList(name.to_owned()));
    };
    let weight = |which: &dyn Fn(&EndpointHealth) -> bool| {
        let chosen = nodes.iter().filter(|n| which(n));
        chosen.fold((0.0, 0usize), |(sum, count), n| (sum + n.weight.max(0.0), count + 1))
    };
    let (all, _) = weight(&|_| true);
    let part = |sum: f64| if all > 0.0 { sum / all } else { 0.0 };
    // An old list does not tell any more who is ready; who answers can be seen.
    let (had, count) = weight(&|n| (n.ready || health.stale) && n.answers != Some(false));
    let enough =
        |part: f64, count: usize, least: f64| part >= least && count >= thresholds.least_nodes.max(1);
    if count == 0 {
        return Verdict::Must(StateReason::NoEndpointAvailable(name.to_owned()));
    }
    if !enough(part(had), count, thresholds.withdraw) {
        return Verdict::Must(StateReason::InsufficientCapacity(name.to_owned(), (part(had) * 100.0) as u8));
    }
    if health.stale {
        return Verdict::May(StateReason::StaleEndpointList(name.to_owned()));
    }
    let (sure, sure_count) = weight(&|n| n.ready && n.warm && n.answers == Some(true));
    if enough(part(sure), sure_count, thresholds.announce) {
        // By what can be had, not by what is sure: a node that is cold is not a reason to call the rest worse.
        Verdict::Ready(part(had))
    } else if enough(part(had), count, thresholds.announce) {
        Verdict::May(StateReason::WarmingUp(name.to_owned()))
    } else {
        Verdict::May(StateReason::InsufficientCapacity(name.to_owned(), (part(had) * 100.0) as u8))
    }
}
