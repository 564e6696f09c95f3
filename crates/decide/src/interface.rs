//! What goes into the decision module and what comes out of it: settings, events and actions.
//!
//! Times are whole microseconds on one monotonic clock with an arbitrary start. Zones, machine kinds,
//! classes and tenants are indexes; their names never reach the decisions.

use std::sync::Arc;

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// A request as its proxy knows it; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A server that requests can be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendId(pub u32);

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Semantics {
    /// Repeats do no harm.
    #[default]
    Idempotent,
    /// A group of backends discards repeats for a while.
    Deduplicated {
        /// Which backends share the memory of what ran.
        group: Group,
        /// How long they remember, from the first send that may have run.
        window: Micros,
    },
    /// Must never run twice.
    AtMostOnce,
}

/// Which backends discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every backend of the tier.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// An answer within this time has its full worth.
    pub aim: Micros,
    /// The longest a client waits.
    pub deadline: Micros,
    /// The worth of an answer.
    pub gain: f64,
    /// The part of the worth that an answer past the aim still has.
    pub late_value: f64,
    /// May it run again?
    pub semantics: Semantics,
}

/// A tenant's share.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second over all balancers that count as within its share.
    pub quota_per_s: f64,
}

/// What one balancer is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Balancers in this tier.
    pub balancers: u32,
    /// This balancer's number among them, from 0.
    pub rank: u32,
    /// The tier sent into, 0 at the front.
    pub tier: usize,
    /// How many tiers there are.
    pub tiers: usize,
    /// The zone this balancer stands in.
    pub zone: usize,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The tenants, by index.
    pub tenants: Vec<Tenant>,
    /// The price of an attempt that crosses zones, in worth of a request.
    pub cross_zone_price: f64,
    /// The list of backends comes only when asked for.
    pub ask_discovery: bool,
    /// Without a subscription, ask again within this time.
    pub must_ask_in: Micros,
    /// Attempts may be called off.
    pub can_cancel: bool,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Backends may be probed.
    pub can_probe: bool,
    /// Balancers of a tier may send each other short messages, which may be late or lost.
    pub peers: bool,
    /// Clients are told how long to wait after a refusal.
    pub retry_after: bool,
    /// The longest wait that clients obey.
    pub max_retry_after: Micros,
    /// Attempts a request may have.
    pub max_attempts: usize,
    /// The shortest gap between two moments of decision.
    pub tick: Micros,
    /// A fresh backend has at least this part of its capacity.
    pub cold_from: f64,
    /// And all of it after this time.
    pub cold_time: Micros,
    /// It falls over when sent more than this multiple of what it can do
    pub fall_multiple: f64,
    /// for this long.
    pub fall_time: Micros,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

/// Times outside of this, some 35 years either way, are cut off.
pub const TIME_LIMIT: Micros = 1 << 50;
const MOST_BALANCERS: u32 = 1_000_000;
/// So many balancers of a tier are away at once while they are restarted one after another: the next is told to end
/// before the one before is back and has been noticed.
const AWAY_AT_ONCE: u32 = 2;

impl Settings {
    /// May the callers of this balancer, while it ends, have nowhere else to go? Balancers do not know of each other's
    /// restarts, so this goes by their number alone.
    #[must_use]
    pub fn may_end_alone(&self) -> bool {
        self.balancers <= AWAY_AT_ONCE
    }

    /// Says what makes these settings unusable, if anything does. A balancer takes any settings without a
    /// panic; with unusable ones it refuses or decides badly.
    ///
    /// # Errors
    /// The first setting found that makes no sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fault = |text: String| Err(SettingsError(text));
        if self.classes.is_empty() {
            return fault("no classes".to_owned());
        }
        for (i, class) in self.classes.iter().enumerate() {
            if class.aim <= 0 || class.aim > TIME_LIMIT {
                return fault(format!("class {i}: the aim is no time to answer in: {} us", class.aim));
            }
            if !class.gain.is_finite() || class.gain < 0.0 {
                return fault(format!("class {i}: not a worth: {}", class.gain));
            }
            if let Semantics::Deduplicated { window, .. } = class.semantics {
                if window < 0 {
                    return fault(format!("class {i}: a window of less than nothing: {window} us"));
                }
            }
        }
        if self.balancers == 0 || self.balancers > MOST_BALANCERS {
            return fault(format!("not a number of balancers: {}", self.balancers));
        }
        if self.rank >= self.balancers {
            return fault(format!("rank {} of {} balancers", self.rank, self.balancers));
        }
        if self.tiers == 0 || self.tier >= self.tiers {
            return fault(format!("tier {} of {}", self.tier, self.tiers));
        }
        if self.max_attempts == 0 {
            return fault("no attempt is allowed".to_owned());
        }
        let spans = [
            ("must_ask_in", self.must_ask_in),
            ("max_retry_after", self.max_retry_after),
            ("tick", self.tick),
            ("cold_time", self.cold_time),
            ("fall_time", self.fall_time),
        ];
        if let Some((name, span)) = spans.iter().find(|(_, span)| !(0..=TIME_LIMIT).contains(span)) {
            return fault(format!("{name}: not a span of time: {span} us"));
        }
        let numbers = [
            ("cross_zone_price", self.cross_zone_price),
            ("cold_from", self.cold_from),
            ("fall_multiple", self.fall_multiple),
        ];
        match numbers.iter().find(|(_, x)| !x.is_finite() || *x < 0.0) {
            Some((name, x)) => fault(format!("{name}: not a number at or above 0: {x}")),
            None => Ok(()),
        }
    }

    /// These settings with every figure brought within what can be reckoned with.
    pub(crate) fn bounded(mut self) -> Self {
        let number = |x: &mut f64| *x = if x.is_finite() { x.clamp(0.0, 1e12) } else { 0.0 };
        for class in &mut self.classes {
            class.aim = class.aim.clamp(1, TIME_LIMIT);
            number(&mut class.gain);
            number(&mut class.late_value);
            if let Semantics::Deduplicated { window, .. } = &mut class.semantics {
                *window = (*window).clamp(0, TIME_LIMIT);
            }
        }
        self.tenants.iter_mut().for_each(|t| number(&mut t.quota_per_s));
        for x in [&mut self.cross_zone_price, &mut self.cold_from, &mut self.fall_multiple] {
            number(x);
        }
        let spans = [
            &mut self.must_ask_in,
            &mut self.max_retry_after,
            &mut self.tick,
            &mut self.cold_time,
            &mut self.fall_time,
        ];
        spans.into_iter().for_each(|span| *span = (*span).clamp(0, TIME_LIMIT));
        self.balancers = self.balancers.clamp(1, MOST_BALANCERS);
        self
    }
}

/// A backend's place in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has.
    Draining,
    /// Taken away.
    Gone,
}

/// A backend as discovery lists it.
#[derive(Clone, Debug, Default)]
pub struct BackendEntry {
    /// Its id.
    pub id: BackendId,
    /// Its stage.
    pub stage: Stage,
    /// A size to set against the others'.
    pub weight: f64,
    /// Its last start; absent for the distant past.
    pub up_since: Option<Micros>,
    /// Its zone.
    pub zone: usize,
    /// Its machine kind.
    pub kind: usize,
    /// Its cell, for deduplication.
    pub cell: Option<u64>,
}

/// What a list from discovery holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only what changed.
    Delta,
    /// Everything.
    Full,
    /// Everything, as last known; maybe out of date.
    Cached,
    /// Nothing: asking failed, or the subscription broke.
    Failed,
}

/// A backend's own account of its load; what a site does not report is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Requests it holds.
    pub inflight: Option<f64>,
    /// Requests that wait there.
    pub queue: Option<f64>,
    /// Part of its processors in use.
    pub utilisation: Option<f64>,
    /// Recent service time without waiting, in milliseconds.
    pub service_ms: Option<f64>,
    /// Requests served a second.
    pub rate: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// Never connected.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// True where the outcome proves that nothing ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// The servers that a request may go to; an empty list asks nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Allowed {
    /// Any one of these zones.
    pub zones: Vec<usize>,
    /// Any one of these machine kinds.
    pub kinds: Vec<usize>,
    /// Any one of these cells.
    pub cells: Vec<u64>,
}

impl Allowed {
    /// May it go there?
    #[must_use]
    pub fn allows(&self, entry: &BackendEntry) -> bool {
        (self.zones.is_empty() || self.zones.contains(&entry.zone))
            && (self.kinds.is_empty() || self.kinds.contains(&entry.kind))
            && (self.cells.is_empty() || entry.cell.is_some_and(|cell| self.cells.contains(&cell)))
    }
}

/// A request that landed on this balancer.
#[derive(Clone, Debug, Default)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any.
    pub tenant: Option<usize>,
    /// Time until its client gives this try up.
    pub time_left: Micros,
    /// Expected work on a standard core, where known.
    pub work: Option<Micros>,
    /// The client says that this is a repeat.
    pub is_retry: bool,
    /// The servers that it may go to, where not to all.
    pub allowed: Option<Arc<Allowed>>,
    /// The attempts that it may have, where that is less than the settings say; 0 says nothing.
    pub attempts: usize,
    /// Its body is still on its way, for this long at most; its time counts from then.
    pub coming: Micros,
    /// The connections that callers have left, where they get no new ones.
    pub ways_in: Option<WaysIn>,
}

/// The connections of callers to a balancer that gets no new ones, as while it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaysIn {
    /// Those that wait for a request.
    pub free: usize,
    /// All that are open.
    pub all: usize,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// News from discovery.
    Backends {
        /// What the entries are.
        scope: ListScope,
        /// The entries.
        entries: &'a [BackendEntry],
    },
    /// A request landed and is owed one answer.
    Request(NewRequest),
    /// The body of a request, of which [`NewRequest::coming`] spoke, has come whole.
    Came(RequestId),
    /// A streamed answer began; the client owns the attempt now.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
        /// Where it went.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Micros,
        /// The request has its final answer.
        is_final: bool,
        /// The backend's report, if one came along.
        report: Option<Report>,
    },
    /// The client left; nothing more is owed.
    ClientGone(RequestId),
    /// A message from another balancer of the tier.
    Told {
        /// Its sender's rank.
        from: u32,
        /// Its bytes, which nobody vouches for.
        payload: &'a [u8],
    },
    /// A timer set by the module is due.
    Timer(u64),
    /// A probe ended.
    Probed {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Micros,
        /// The backend's report, if one came along.
        report: Option<Report>,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        backend: BackendId,
        /// When to give the attempt up.
        until: Micros,
    },
    /// Final answer: not done, a retry does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait; 0 says nothing.
        retry_after: Micros,
    },
    /// Final answer: not served, and nothing is promised.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
    },
    /// Wake the module.
    Timer {
        /// When.
        at: Micros,
        /// What comes back with the event.
        token: u64,
    },
    /// Subscribe to the list of backends.
    Subscribe,
    /// Probe a backend.
    Probe(BackendId),
    /// Send a message to another balancer of the tier.
    Tell {
        /// Its rank.
        to: u32,
        /// At most 256 bytes.
        payload: Vec<u8>,
    },
    /// A line for the operators.
    Log(String),
}
