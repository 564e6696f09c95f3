//! Every decision of the load balancer. Settings, events and actions are defined in `interface.rs`.
//!
//! The ordinary path is the cursor table of Villen-Altamirano (ITC 11, section 3.3): each period the pool's
//! load moves a cursor over a table of queue thresholds, a call that meets its threshold is refused at once,
//! and an admitted call goes to the best ranked server. `docs/design.md` lists what departs from the paper.

mod learned;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{
    Action, Class, DeduplicationGroup, Endpoint, EndpointFilter, EndpointId, EndpointState, Event,
    LoadReport, Micros, NewRequest, Outcome, RequestId, Semantics, Settings, UpdateScope, TIME_LIMIT,
};

/// n: slots that hold T1. More of them forgive longer peaks, and act later in a real overload.
const FIRST_SLOTS: usize = 3;
/// m: steps in which one row falls from T1 to its end. More are smoother and slower.
const STEPS: usize = 6;
/// Periods P in an aim. Shorter periods act sooner on fewer, noisier figures.
const PERIODS_PER_AIM: i64 = 4;
/// T1 as a part of the calls in flight at which an answer takes its whole aim. Higher admits longer peaks,
/// and lets servers hold the crowd that makes them slow down for long.
const T1_OF_AIM: f64 = 0.45;
/// T1 is at least this in the first slots, so that a balancer that sees little does not refuse by chance. Not
/// past them: there the floors of many small balancers would add up to far more than the pool can do.
const T1_LEAST: f64 = 8.0;
/// But at most this many of its roots above T1: by about that a number of calls spreads by chance.
const T1_CHANCE: f64 = 1.5;
/// T1 for each server, shared evenly by the balancers, until there are figures. Higher admits longer peaks.
const T1_START: f64 = 10.0;
/// What the highest row keeps at the right end, so that the cursor can see the overload end.
const TOP_ROW_END: f64 = 0.15;
/// Each lower row starts this much under the row above it: a sudden peak takes low worth first.
const ROW_LEAD: f64 = 0.2;
/// Target for reported utilisation. Higher serves more and leaves less for bursts.
const TARGET_UTILISATION: f64 = 0.92;
/// Target for latency, as the way from its quiet baseline to the aim, at the front and deeper: what a deeper
/// tier refuses wastes the work above it, so the front is to step first. Higher serves more and later.
const TARGET_LATENCY: [f64; 2] = [0.4, 0.6];
/// Periods without figures for which the cursor holds before it steps left.
const HOLD_PERIODS: u32 = 4;
/// With less than this part of T1 in flight the cursor steps left, whatever the figures say: where they are
/// own answers, and where they are what servers report, which is later, noisier, and of others' calls too.
/// Higher refuses less for a crowd long gone, and lets a new one grow unseen.
const DRAINED: [f64; 2] = [0.25, 0.45];
/// Further attempts per request: more saves answers, and feeds an overload.
const RETRY_SHARE: f64 = 0.15;
/// A call with less than this part of what its class takes left is refused at once: guards against work that
/// no client waits for. Higher spares more work, and refuses some that a fast server would have served.
const HOPELESS: f64 = 0.5;
/// Connections that stay free for the highest worth where callers get no new ones, and one more for each row
/// under it. Fewer serve more at once, and more often leave a caller with none.
const WAYS_KEPT: usize = 3;
/// But at most this part of them.
const WAYS_KEPT_OF: usize = 4;
/// The part of the cold budget that is used at most; the rest is for uneven instances.
const COLD_SAFETY: f64 = 0.5;
/// The part of the calls that may go to a cold server only because it has had none for long. More of them
/// warm returning servers that would else stand by until others are crowded, and give more slow answers.
const TRIAL_SHARE: f64 = 0.1;
/// So long without a call is long, in memories.
const TRIAL_EVERY: f64 = 0.5;
/// Pools up to this size are ranked whole; in larger ones half as many are drawn beside the own part.
const SAMPLE: usize = 12;
/// And so many more are drawn one by one if none of them may be sent to.
const FURTHER: usize = 24;
/// What a broken attempt adds to the time that it took, in aims. Higher leaves a failing server sooner, and
/// reads more into errors that a deeper tier sent up through a sound one.
const BROKEN: f64 = 2.0;
/// Servers in this balancer's own part of the pool, as a multiple of servers over balancers. Fewer make its
/// own calls in flight tell more of a server's queue; more spread a sudden excess of this balancer's.
const SUBSET_OVERLAP: f64 = 2.0;
/// The part holds at least this many.
const SUBSET_LEAST: usize = 4;
/// How much worse a server outside the part ranks: its queue is mostly other balancers' calls.
const OUTSIDE: f64 = 2.0;
/// How much a price weighs in the ranking. Higher stays at home until home is this much slower.
const PRICE_WEIGHT: f64 = 25.0;
/// How much the part of calls lost in another zone weighs in the ranking of its servers.
const ZONE_LOSS_WEIGHT: f64 = 30.0;

/// Balancers of a tier that discovery is usually built for.
const USUAL_FLEET: i64 = 8;
/// How fast what a warm server carries is followed upwards and downwards, in parts a period. Slow downwards:
/// what is refused for want of warm servers must not make them look smaller than they are.
const CARRIED: [f64; 2] = [0.1, 0.003];
/// A figure on load that balancers tell each other counts these parts of an aim, up to 253 of them.
const FIGURES_PER_AIM: f64 = 64.0;
/// The figures of a call that was turned away as full, and of one that got an error.
const FULL: u8 = 255;
const FAILED: u8 = 254;

type Out = Vec<Action>;

const PERIOD: u64 = 0;
const ASK: u64 = 1;

/// A mean over the recent past, or (by `n`) a count of it.
#[derive(Clone, Copy, Default)]
struct Ewma {
    sum: f64,
    n: f64,
    at: Micros,
}

impl Ewma {
    fn fade(&mut self, now: Micros, tau: f64) {
        if now > self.at {
            let kept = (-((now - self.at) as f64) / tau).exp();
            (self.sum, self.n, self.at) = (self.sum * kept, self.n * kept, now);
        }
    }

    fn add(&mut self, now: Micros, tau: f64, x: f64) {
        self.fade(now, tau);
        self.sum += x;
        self.n += 1.0;
    }

    /// Time that brought no answer: it counts, and nothing for it.
    fn wait(&mut self, now: Micros, tau: f64, x: f64) {
        self.fade(now, tau);
        self.sum += x;
    }

    /// The mean, drawn to `prior` as strongly as `k` samples: who sees little trusts the many.
    fn mean(&self, prior: f64, k: f64) -> f64 {
        (self.sum + prior * k) / (self.n + k)
    }
}

/// The calls of one class at one server.
#[derive(Clone, Copy, Default)]
struct Spent {
    /// Time spent for each good answer, as a multiple of what the class takes in the pool.
    mean: Ewma,
    inflight: u32,
    /// The sum of the times, since this balancer's start, at which the calls in flight were sent.
    sent_sum: f64,
}

struct Backend {
    entry: Endpoint,
    inflight: u32,
    /// What peers said they hold here, and when.
    others: BTreeMap<u32, (u8, Micros)>,
    classes: Vec<Spent>,
    reported: f64,
    report_at: Micros,
    sent_since: u32,
    /// When this balancer sent it something last.
    used_at: Micros,
    utilisation: Option<f64>,
    fails: u32,
    out_until: Micros,
    cold_tokens: f64,
    cold_at: Micros,
}

struct Attempt {
    backend: usize,
    sent: Micros,
    running: bool,
    may_have_run: bool,
}

struct Request {
    class: usize,
    allowed: Option<Arc<EndpointFilter>>,
    most_attempts: usize,
    until: Micros,
    streaming: bool,
    /// Its body is on its way: no server works on it, and nothing counts it.
    coming: bool,
    /// It has its final answer, and only its attempts are still to end.
    answered: bool,
    attempts: Vec<Attempt>,
}

/// One balancer's decisions.
pub struct Balancer {
    s: Settings,
    rng: fastrand::Rng,
    started: bool,
    now: Micros,
    start: Micros,
    period: Micros,
    memory: f64,
    aims: Vec<f64>,
    class_rows: Vec<usize>,
    table: Vec<Vec<f64>>,
    cursor: usize,
    t1: f64,
    backends: Vec<Backend>,
    index: BTreeMap<EndpointId, usize>,
    ready: Vec<usize>,
    local: Vec<usize>,
    subset: Vec<usize>,
    peers: Vec<u32>,
    kinds: BTreeMap<usize, Ewma>,
    /// How long good answers take, by class.
    usual: Vec<Ewma>,
    /// The part of the calls into each zone that got no answer.
    zones: BTreeMap<usize, Ewma>,
    pool: Ewma,
    requests: BTreeMap<RequestId, Request>,
    inflight: u32,
    arrivals: Ewma,
    served: Ewma,
    /// Good answers of warm servers.
    served_warm: Ewma,
    /// Good answers a microsecond that one warm server gives this balancer.
    carried: Option<f64>,
    samples: Vec<f64>,
    baseline: Option<f64>,
    answers: f64,
    turned_away: f64,
    silent_periods: u32,
    retry_tokens: f64,
    trials: f64,
    tenants: Vec<Ewma>,
    subscribed: bool,
    ask_wait: Micros,
}

impl Balancer {
    /// A balancer that knows nothing but its settings; `seed` feeds all its randomness.
    #[must_use]
    pub fn new(s: Settings, seed: u64) -> Self {
        let s = s.bounded();
        // A deeper call is owed its part of the way only: the tiers still ahead over all tiers.
        let part = 1.0 - s.tier.min(s.tiers.max(1) - 1) as f64 / s.tiers.max(1) as f64;
        let aims: Vec<f64> = s.classes.iter().map(|c| (c.latency_objective.max(1) as f64) * part).collect();
        let shortest = aims.iter().copied().fold(f64::INFINITY, f64::min).min(1e9);
        let mut gains: Vec<f64> = s.classes.iter().map(|c| c.priority_weight).collect();
        gains.sort_by(f64::total_cmp);
        gains.dedup();
        let row_of = |c: &Class| gains.iter().position(|g| *g == c.priority_weight).unwrap_or(0);
        let single = usize::from(gains.len() < 2);
        let class_rows: Vec<usize> = s.classes.iter().map(|c| row_of(c) + single).collect();
        let rows = gains.len().max(1) + single;
        let period = (shortest as Micros / PERIODS_PER_AIM).max(4 * s.timer_resolution).max(1000);
        let tenants = vec![Ewma::default(); s.tenants.len()];
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            started: false,
            now: -TIME_LIMIT,
            start: 0,
            period,
            memory: shortest * 4.0,
            aims,
            class_rows,
            table: table(rows),
            cursor: 0,
            t1: f64::INFINITY,
            backends: Vec::new(),
            index: BTreeMap::new(),
            ready: Vec::new(),
            local: Vec::new(),
            subset: Vec::new(),
            peers: Vec::new(),
            kinds: BTreeMap::new(),
            usual: vec![Ewma::default(); s.classes.len()],
            zones: BTreeMap::new(),
            pool: Ewma::default(),
            requests: BTreeMap::new(),
            inflight: 0,
            arrivals: Ewma::default(),
            served: Ewma::default(),
            served_warm: Ewma::default(),
            carried: None,
            samples: Vec::new(),
            baseline: None,
            answers: 0.0,
            turned_away: 0.0,
            silent_periods: 0,
            retry_tokens: 3.0,
            trials: 0.0,
            tenants,
            subscribed: !s.poll_discovery,
            ask_wait: 0,
            s,
        }
    }

    /// Takes in one event and appends what to do about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        // A clock that steps back or leaves all bounds must not upset what is reckoned from it.
        self.now = now.clamp(self.now, TIME_LIMIT);
        let now = self.now;
        if !self.started {
            self.started = true;
            self.start = now;
            // Out of step with the other instances: cursors that move together on late figures swing.
            out.push(Action::Timer { at: now + self.rng.i64(1..=self.period), token: PERIOD });
            if self.s.poll_discovery {
                // The more there are, the longer discovery takes to answer each: guards against its being
                // swamped by a fleet that starts. Does harm where lists are old.
                let all = i64::from(self.s.balancers).max(USUAL_FLEET) * self.s.max_poll_interval
                    / (8 * USUAL_FLEET);
                let spread = all.min(self.s.max_poll_interval * 3 / 4).max(1);
                out.push(Action::Timer { at: now + self.rng.i64(0..spread), token: ASK });
            }
        }
        match event {
            Event::EndpointUpdate { scope, endpoints } => self.on_backends(now, scope, endpoints, out),
            Event::Request(request) => self.on_request(now, &request, out),
            Event::StreamStarted { request } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming = true;
                }
            }
            Event::BodyReceived(id) => self.on_came(now, id),
            Event::AttemptEnded {
                request, attempt, endpoint: backend, outcome, is_final, report, ..
            } => {
                self.on_report(now, backend, report);
                if let Some((b, figure)) = self.on_end(now, request, attempt, outcome) {
                    self.tell(b, figure, out);
                    self.on_outcome(now, request, outcome, is_final, out);
                }
            }
            Event::ClientDisconnected(id) => {
                // Guards against clients with less patience than their aim says: to them this was too late.
                if self.requests.get(&id).is_some_and(|r| r.attempts.iter().any(|a| a.running)) {
                    self.samples.push(1.0);
                    self.answers += 1.0;
                }
                self.finish(id, out);
            }
            Event::GossipReceived { from, payload } => self.on_told(now, from, payload),
            Event::Timer(PERIOD) => self.on_period(now, out),
            Event::Timer(ASK) if !self.subscribed => self.ask(out),
            Event::Timer(_) => {}
            Event::HealthChecked { endpoint: backend, report, .. } => self.on_report(now, backend, report),
        }
    }

    /// How many servers that are ready get nothing for now, because calls to them failed.
    #[must_use]
    pub fn ejected_count(&self, now: Micros) -> usize {
        self.ready.iter().filter(|&&b| self.backends[b].out_until > now).count()
    }

    // ---- Fleet and discovery ----

    fn on_backends(&mut self, now: Micros, scope: UpdateScope, entries: &[Endpoint], out: &mut Out) {
        if scope == UpdateScope::Failed {
            self.subscribed = !self.s.poll_discovery;
            if !self.subscribed {
                out.push(Action::Timer { at: now + self.rng.i64(1..=self.ask_wait.max(1)), token: ASK });
            }
            return;
        }
        if scope == UpdateScope::Full || scope == UpdateScope::Cached {
            self.backends.iter_mut().for_each(|b| b.entry.state = EndpointState::Removed);
        }
        if scope != UpdateScope::Cached {
            self.ask_wait = 0;
        }
        for entry in entries {
            let b = *self.index.entry(entry.id).or_insert(self.backends.len());
            if b == self.backends.len() {
                self.backends.push(Backend::new(entry.clone(), self.s.classes.len()));
            }
            let mut entry = entry.clone();
            entry.up_since = entry.up_since.map(|t| t.clamp(-TIME_LIMIT, now));
            let known = &mut self.backends[b];
            if entry.up_since.is_some() && known.entry.up_since != entry.up_since {
                // A new process: what was learned of the old one says nothing of it.
                let (inflight, mut classes) = (known.inflight, std::mem::take(&mut known.classes));
                classes.iter_mut().for_each(|c| c.mean = Ewma::default());
                *known = Backend::new(entry.clone(), 0);
                (known.inflight, known.classes) = (inflight, classes);
            }
            known.entry = entry;
        }
        let before = self.ready.len();
        let is_ready = |b: &usize| self.backends[*b].entry.state == EndpointState::Ready;
        self.ready = self.index.values().copied().filter(is_ready).collect();
        let at_home = |b: &usize| self.backends[*b].entry.zone == self.s.zone;
        self.local = self.ready.iter().copied().filter(at_home).collect();
        // An even part of the pool: all balancers cut the same ring, in an order that means nothing.
        // At home where home is large enough: what crosses zones costs, and may be cut.
        let mut ring = if self.local.len() >= 2 * SUBSET_LEAST && !self.s.gossip_allowed {
            &self.local
        } else {
            &self.ready
        }
        .clone();
        ring.sort_by_key(|&b| mixed(self.backends[b].entry.id.0));
        let (n, all) = (ring.len(), self.s.balancers as usize);
        let size = ((SUBSET_OVERLAP * self.ready.len() as f64 / all as f64).ceil() as usize)
            .max(SUBSET_LEAST)
            .min(n);
        let rank = self.s.rank as usize % all;
        self.peers.clear();
        if self.s.gossip_allowed && n > 0 {
            // Guards against crowding where each sees too little: a group shares one part, and talks.
            let groups = (n / size).max(1);
            let group = |r: usize| r * groups / all;
            let own = group(rank);
            self.subset = ring[own * n / groups..(own + 1) * n / groups].to_vec();
            self.peers = (0..all).filter(|&r| r != rank && group(r) == own).map(|r| r as u32).collect();
        } else {
            let start = rank * n / all;
            self.subset = (0..size).map(|i| ring[(start + i) % n]).collect();
        }
        if self.t1.is_infinite() && !self.ready.is_empty() {
            // Guards against a start at full load: with no threshold its backlog outlives it by far.
            self.t1 = T1_START * self.ready.len() as f64 / f64::from(self.s.balancers);
        } else if before > 0 && !self.ready.is_empty() {
            // Guards against a threshold learned on another pool: too high, it crowds the servers left
            // till they fail; too low, as after a start from an old list, it leaves new ones idle. Does harm
            // where servers that come and go differ much from the rest.
            let part = self.ready.len() as f64 / before as f64;
            (self.t1, self.served.sum) = (self.t1 * part, self.served.sum * part);
        }
    }

    /// Asks for the list, and again later should that fail: sooner than a silent instance is taken as told.
    fn ask(&mut self, out: &mut Out) {
        self.subscribed = true;
        self.ask_wait =
            (self.ask_wait * 2).clamp(self.s.max_poll_interval / 5, self.s.max_poll_interval).max(1);
        out.push(Action::PollDiscovery);
    }

    // ---- Load and cursor ----

    fn on_report(&mut self, now: Micros, id: EndpointId, report: Option<LoadReport>) {
        let (Some(&b), Some(report)) = (self.index.get(&id), report) else { return };
        let sound = |x: &f64| x.is_finite() && *x >= 0.0;
        let backend = &mut self.backends[b];
        if let Some(held) = report.in_flight.or(report.queued).filter(sound) {
            (backend.reported, backend.report_at, backend.sent_since) = (held, now, 0);
        }
        if let Some(utilisation) = report.utilisation.filter(sound) {
            (backend.utilisation, backend.report_at) = (Some(utilisation), now);
        }
    }

    /// What another balancer holds at a server and how its last call there went; all else is passed over.
    fn on_told(&mut self, now: Micros, from: u32, payload: &[u8]) {
        let &[a, b, c, d, held, figure] = payload else { return };
        let server = EndpointId(u32::from_le_bytes([a, b, c, d]));
        if let (true, Some(&b)) = (self.peers.contains(&from), self.index.get(&server)) {
            self.backends[b].others.insert(from, (held, now));
            self.on_figure(now, b, figure);
        }
    }

    /// What the end of a call, be it this balancer's or one that a peer told of, says of load.
    fn on_figure(&mut self, now: Micros, b: usize, figure: u8) {
        self.answers += f64::from(u8::from(figure > 0));
        match figure {
            0 => {}
            // Deeper tiers answer what they refuse with an error.
            FULL | FAILED => self.turned_away += 1.0,
            figure => self.samples.push(f64::from(figure) / FIGURES_PER_AIM),
        }
        if figure == FULL {
            self.leave_alone(now, b);
        }
    }

    /// Tells the group what this balancer now holds at a server: a state, so a lost message mends itself.
    /// And what an ended call says of load: guards against cursors that stand still for want of figures.
    fn tell(&self, b: usize, figure: u8, out: &mut Out) {
        if self.subset.contains(&b) {
            let backend = &self.backends[b];
            let mut payload = backend.entry.id.0.to_le_bytes().to_vec();
            payload.extend([backend.inflight.min(255) as u8, figure]);
            out.extend(self.peers.iter().map(|&to| Action::SendGossip { to, payload: payload.clone() }));
        }
    }

    fn on_period(&mut self, now: Micros, out: &mut Out) {
        out.push(Action::Timer { at: now + self.period, token: PERIOD });
        self.served.fade(now, self.memory);
        self.usual.iter_mut().for_each(|u| u.fade(now, self.memory));
        let age = (now - self.start) as f64;
        if age > self.memory / 2.0 {
            // By Little's law the calls in flight at which an answer takes its aim, at the rate now served.
            let at_aim = self.served.sum / (self.memory * (1.0 - (-age / self.memory).exp()));
            let held = if self.t1.is_finite() { self.t1 * 0.995 } else { 0.0 };
            self.t1 = (at_aim * T1_OF_AIM).max(held);
        }
        self.served_warm.fade(now, self.memory);
        let warm = self.ready.iter().filter(|&&b| self.cold_part(now, b).is_none()).count();
        // Few warm servers are too few to tell: what is known of more goes on to count.
        if age > self.memory && 2 * warm >= self.ready.len().max(1) {
            let seconds = self.memory * (1.0 - (-age / self.memory).exp());
            let now_carried = self.served_warm.n / warm as f64 / seconds;
            let known = *self.carried.get_or_insert(now_carried);
            self.carried = Some(known + CARRIED[usize::from(now_carried < known)] * (now_carried - known));
        }
        let before = self.cursor;
        let (load, reported) = self.load(now);
        self.silent_periods = if load.is_some() { 0 } else { self.silent_periods + 1 };
        // Guards against answers that come late from a crowd long gone, or from one odd server, and turn away
        // all that the others could serve. Does harm where a few calls alone are more than a pool can do.
        // A group that talks hears figures of more than its own calls.
        let few = DRAINED[usize::from(reported)] * self.t1;
        let drained = self.peers.is_empty() && f64::from(self.inflight) < few;
        self.cursor = match load {
            Some(load) if load > 1.0 && !drained => (before + 1).min(self.table[0].len() - 1),
            // Late figures: hold. Missing ones: step left, or a cursor that refuses all would stay for good.
            None if self.silent_periods <= HOLD_PERIODS && self.inflight > 0 => before,
            _ => before.saturating_sub(1),
        };
        if (before < FIRST_SLOTS) != (self.cursor < FIRST_SLOTS) {
            let word = if self.cursor < FIRST_SLOTS { "ends" } else { "begins" };
            out.push(Action::Log(format!("shedding {word}: {} in flight, T1 {:.0}", self.inflight, self.t1)));
        }
        self.samples.clear();
        (self.answers, self.turned_away) = (0.0, 0.0);
    }

    /// This period's load over its target, or nothing where no figures came; and whether it is what servers
    /// report.
    fn load(&mut self, now: Micros) -> (Option<f64>, bool) {
        let recent = now - 2 * self.period;
        let heard = self.ready.iter().map(|&b| &self.backends[b]).filter(|b| b.report_at >= recent);
        let mut used: Vec<f64> = heard.filter_map(|b| b.utilisation).collect();
        let by_use = median(&mut used).map(|u| u / TARGET_UTILISATION);
        if self.samples.is_empty() {
            // Guards against balancers so small that late answers come long after they would have told.
            let due = self.requests.values().filter(|r| r.until > now);
            let out = due.flat_map(|r| r.attempts.iter().map(move |a| (r.class, a)));
            let ages = out.filter(|(_, a)| a.running).map(|(c, a)| (now - a.sent) as f64 / self.aims[c]);
            self.samples.extend(ages.filter(|x| *x > 1.0).max_by(f64::total_cmp));
        }
        // Utilisation says nothing of what waits in deeper tiers, so there latency counts as well.
        let deepest = self.s.tier + 1 >= self.s.tiers;
        let target = TARGET_LATENCY[usize::from(self.s.tier > 0)];
        let by_latency = median(&mut self.samples).map(|x| {
            let base = *self.baseline.get_or_insert(x);
            // Falls fast, rises slowly and only while nothing is shed: it must not learn the overload.
            let rise = if self.cursor == 0 { 0.002 } else { 0.0 };
            let base = base + if x < base { 0.2 } else { rise } * (x - base);
            self.baseline = Some(base);
            let base = base.min(0.6);
            let away = self.turned_away / self.answers.max(1.0);
            x / (base + target * (1.0 - base)) + away
        });
        match (by_use, by_latency) {
            (Some(u), Some(l)) if !deepest && l >= u => (Some(l), false),
            (Some(u), _) => (Some(u), true),
            (None, l) => (l, false),
        }
    }

    // ---- Admission ----

    fn on_request(&mut self, now: Micros, r: &NewRequest, out: &mut Out) {
        if self.requests.contains_key(&r.id) {
            return;
        }
        if r.class >= self.s.classes.len() {
            out.push(Action::Reject { request: r.id, retry_after: 0 });
            return;
        }
        self.arrivals.add(now, self.memory, 0.0);
        self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(10.0);
        self.trials = (self.trials + TRIAL_SHARE).min(1.0);
        let row = self.row(now, r);
        let class = &self.s.classes[r.class];
        let whole = now + r.body_pending.clamp(0, TIME_LIMIT);
        let deadline = whole + r.time_left.clamp(0, TIME_LIMIT);
        // Past its aim an answer is worth nothing here, and waiting longer only loads the servers.
        let until = if class.late_answer_value > 0.0 {
            deadline
        } else {
            deadline.min(whole + class.latency_objective)
        };
        let request = Request {
            class: r.class,
            allowed: r.endpoint_filter.clone(),
            most_attempts: if r.max_attempts == 0 { usize::MAX } else { r.max_attempts },
            until,
            streaming: false,
            coming: r.body_pending > 0,
            answered: false,
            attempts: Vec::new(),
        };
        self.requests.insert(r.id, request);
        let hopeless = (r.time_left as f64) < HOPELESS * self.usual(r.class);
        if self.last_ways_in(r, row) {
            // Clients come back to a connection that is free by then.
            self.refuse(r.id, self.usual(r.class) as Micros, out);
        } else if hopeless || self.full(now, row) || !self.dispatch(now, r.id, out) {
            self.refuse(r.id, 0, out);
        }
    }

    /// The body of a request is whole: its servers begin, and its time counts from here.
    fn on_came(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.coming) else { return };
        request.coming = false;
        for attempt in request.attempts.iter_mut().filter(|a| a.running) {
            attempt.sent = now;
            self.backends[attempt.backend].hold(request.class, now - self.start);
            self.inflight += 1;
        }
    }

    /// Is this call to leave its connection to the next one? Guards against callers that find none free while
    /// it ends and all others are away: they take it for dead and leave the others unused, too. Does harm
    /// where another is there after all, which would have taken this call.
    fn last_ways_in(&self, r: &NewRequest, row: usize) -> bool {
        let kept = WAYS_KEPT + self.table.len() - 1 - row;
        self.s.may_end_alone()
            && r.downstream_connections.is_some_and(|w| w.idle < kept.min(w.open / WAYS_KEPT_OF))
    }

    /// Does a call of this row meet the threshold under the cursor? Where a balancer's own T1 is too small
    /// to count in, a group that talks counts one queue against the sum of its T1: guards against many floors
    /// that together admit far more than the pool can do.
    fn full(&self, now: Micros, row: usize) -> bool {
        let (mut queue, mut t1) = (self.inflight, self.t1);
        if t1 < T1_LEAST {
            queue += self.subset.iter().map(|&b| self.backends[b].told(now, self.memory)).sum::<u32>();
            t1 *= (self.peers.len() + 1) as f64;
        }
        let floor = if self.cursor < FIRST_SLOTS { T1_LEAST.min(t1 + T1_CHANCE * t1.sqrt()) } else { 0.0 };
        f64::from(queue) >= t1.max(floor) * self.table[row][self.cursor]
    }

    /// The row by worth: repeats and what exceeds a tenant's share stand with the lowest class.
    fn row(&mut self, now: Micros, r: &NewRequest) -> usize {
        let mut over = false;
        if let Some(tenant) = r.tenant.filter(|&t| t < self.tenants.len()) {
            let share = self.s.tenants[tenant].quota_per_s / f64::from(self.s.balancers);
            let rate = &mut self.tenants[tenant];
            rate.add(now, 2e6, 0.0);
            over = share > 0.0 && rate.n > share * 2.0 * 1.3 + 2.0;
        }
        if over || r.is_retry {
            0
        } else {
            self.class_rows[r.class]
        }
    }

    // ---- Pick ----

    /// Sends a request to the best ranked server it may go to; false where there is none.
    fn dispatch(&mut self, now: Micros, id: RequestId, out: &mut Out) -> bool {
        let mut best: Option<(f64, usize)> = None;
        // Few requests name the servers that they may go to; for those these are the pool.
        let named = self.requests.get(&id).and_then(|r| r.allowed.clone()).map(|allowed| {
            let ready = self.ready.iter().copied();
            ready.filter(|&b| allowed.matches(&self.backends[b].entry)).collect::<Vec<usize>>()
        });
        let ready = named.as_ref().unwrap_or(&self.ready);
        let few = ready.len() <= SAMPLE;
        let out_count = ready.iter().filter(|&&b| self.backends[b].out_until > now).count();
        let drowned = 2 * out_count > ready.len();
        let own = if named.is_some() { 0 } else { self.subset.len() };
        let drawn = if named.is_some() { SAMPLE } else { SAMPLE / 2 };
        let further = if named.is_some() { 0 } else { FURTHER };
        for i in 0..if few { ready.len() } else { own + drawn + further } {
            // Guards against a refusal by chance where most servers are cold: few of them may be sent to.
            if !few && i >= own + drawn && best.is_some() {
                break;
            }
            let ready = named.as_ref().unwrap_or(&self.ready);
            let b = if few {
                ready[i]
            } else if named.is_some() {
                ready[self.rng.usize(0..ready.len())]
            } else if i < own {
                self.subset[i]
            } else if i % 2 == 0 && !self.local.is_empty() {
                self.local[self.rng.usize(0..self.local.len())]
            } else {
                self.ready[self.rng.usize(0..self.ready.len())]
            };
            if !self.may_send(now, id, b) || !self.cold_allows(now, b) {
                continue;
            }
            let mut score = self.rank(now, b, self.requests[&id].class);
            if !self.subset.contains(&b) {
                score *= OUTSIDE;
            }
            if self.trial_due(now, id, b) {
                score /= 1e3;
            }
            if self.backends[b].out_until > now && !drowned {
                score *= 1e6;
            }
            if self.requests[&id].attempts.iter().any(|a| a.backend == b) {
                score *= 1e3;
            }
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, b));
            }
        }
        match best {
            Some((_, b)) => {
                self.trials -= f64::from(u8::from(self.trial_due(now, id, b)));
                self.send(now, id, b, out);
                true
            }
            None => false,
        }
    }

    /// Guards against a cold server that ranks last, so gets no call while others bear them all, and stays
    /// cold till they no longer do. Only a first attempt that can wait for its answer is spent on that.
    fn trial_due(&self, now: Micros, id: RequestId, b: usize) -> bool {
        let long = now - self.backends[b].used_at > (TRIAL_EVERY * self.memory) as Micros;
        // Most servers are warm, or were used just now: they cost no look at the request.
        let Some(part) = self.cold_part(now, b).filter(|_| long && self.trials >= 1.0) else { return false };
        let Some(request) = self.requests.get(&id) else { return false };
        let in_time = (request.until - now) as f64 * part > self.usual(request.class);
        in_time && request.attempts.is_empty()
    }

    /// Smoothed latency times queue, dearer over a zone border or without a connection at hand.
    fn rank(&mut self, now: Micros, b: usize, class: usize) -> f64 {
        let latency = self.expected(now, b, class);
        let backend = &self.backends[b];
        let told = !self.peers.is_empty() && self.subset.contains(&b);
        let age = (now - backend.report_at) as f64;
        let fresh = if told { 0.0 } else { (-age / (4.0 * self.period as f64)).exp() };
        let own = f64::from(backend.inflight + backend.told(now, self.memory));
        let seen = (backend.reported + f64::from(backend.sent_since)).max(own);
        let queue = fresh * seen + (1.0 - fresh) * own;
        let mut score = latency * (queue + 1.0) * (1.0 + 0.1 * self.rng.f64());
        if backend.entry.zone != self.s.zone {
            score *= 1.0 + self.s.cross_zone_price * PRICE_WEIGHT;
            // Guards against a zone that is cut off: each of its servers failing once would cost too much.
            let lost = self.zones.get(&backend.entry.zone).map_or(0.0, |z| z.mean(0.0, 3.0));
            score *= 1.0 + ZONE_LOSS_WEIGHT * lost;
        }
        if let Some(part) = self.cold_part(now, b) {
            score /= part;
        }
        score
    }

    /// Guards against a full server that ranks first, as it answers at once and so holds nothing of ours. It
    /// is asked again by the time one of its calls may have ended.
    fn leave_alone(&mut self, now: Micros, b: usize) {
        let wait = self.pool.mean(1e4, 0.01) as Micros;
        let until = now + wait / 2 + self.rng.i64(0..=wait / 2);
        self.backends[b].out_until = self.backends[b].out_until.max(until);
    }

    /// What a good answer of a class takes in the pool.
    fn usual(&self, class: usize) -> f64 {
        self.usual[class].mean(self.aims[class] / 2.0, 1.0)
    }

    /// A server's smoothed latency for a class, as a multiple of the pool's; by its other classes and its
    /// kind where it has told little. It is the time spent there over the good answers got, calls still out,
    /// called off and broken included: guards against servers, or one class on them, that are silent, fail or
    /// slow down, which answers alone show late or never. Errors from deeper tiers raise all servers alike.
    fn expected(&self, now: Micros, b: usize, class: usize) -> f64 {
        let backend = &self.backends[b];
        let (mut own, mut all) = (Ewma::default(), Ewma::default());
        for (c, spent) in backend.classes.iter().enumerate() {
            let most = f64::from(spent.inflight) * (now - self.start) as f64;
            let mut mean = spent.mean;
            mean.fade(now, self.memory);
            mean.sum += (most - spent.sent_sum).clamp(0.0, most.max(0.0)) / self.usual(c);
            (all.sum, all.n) = (all.sum + mean.sum, all.n + mean.n);
            own = if c == class { mean } else { own };
        }
        let kind = self.kinds.get(&backend.entry.machine_kind).map_or(1.0, |k| k.mean(1.0, 3.0));
        own.mean(all.mean(kind, 2.0), 4.0)
    }

    // ---- Attempts and answers ----

    /// Books the end of an attempt: its server, and what it tells of load. None where it was never made or
    /// has ended before.
    fn on_end(&mut self, now: Micros, id: RequestId, nth: usize, outcome: Outcome) -> Option<(usize, u8)> {
        let request = self.requests.get_mut(&id)?;
        let a = request.attempts.get_mut(nth).filter(|a| a.running)?;
        a.running = false;
        a.may_have_run = !outcome.never_ran();
        let (b, class, sent, coming) = (a.backend, request.class, a.sent, request.coming);
        let took = (now - sent) as f64;
        let aim = self.aims[class];
        let backend = &mut self.backends[b];
        if !coming {
            self.inflight = self.inflight.saturating_sub(1);
            backend.inflight = backend.inflight.saturating_sub(1);
            let spent = &mut backend.classes[class];
            spent.inflight = spent.inflight.saturating_sub(1);
            spent.sent_sum =
                if spent.inflight == 0 { 0.0 } else { spent.sent_sum - (sent - self.start) as f64 };
        }
        let zone = self.zones.entry(backend.entry.zone).or_default();
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected => zone.add(now, self.memory, 0.0),
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                zone.add(now, self.memory, 1.0);
                backend.fails += 1;
                // An answer that can't be read may come from a sound server, which its next one shows.
                let enough = match outcome {
                    Outcome::Timeout => 3,
                    Outcome::Reset => 2,
                    _ => 1,
                };
                if backend.fails >= enough {
                    let wait = (self.memory as Micros) << (backend.fails - enough).min(3);
                    backend.out_until = now + wait / 2 + self.rng.i64(0..=wait / 2);
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        if outcome == Outcome::Ok {
            (backend.fails, backend.out_until) = (0, 0);
            self.pool.add(now, self.memory, took);
            self.usual[class].add(now, self.memory, took);
            self.served.add(now, self.memory, aim);
            if self.cold_part(now, b).is_none() {
                self.served_warm.add(now, self.memory, 0.0);
            }
        }
        let figure = match outcome {
            Outcome::Ok | Outcome::Timeout => (took / aim * FIGURES_PER_AIM).clamp(1.0, 253.0) as u8,
            Outcome::Rejected => FULL,
            Outcome::Error => FAILED,
            _ => 0,
        };
        self.on_figure(now, b, figure);
        let spent = match outcome {
            Outcome::Ok | Outcome::Cancelled => took,
            Outcome::Rejected | Outcome::NotSent => 0.0,
            _ => took + BROKEN * aim,
        } / self.usual(class);
        let backend = &mut self.backends[b];
        let kind = self.kinds.entry(backend.entry.machine_kind).or_default();
        for mean in [&mut backend.classes[class].mean, kind] {
            mean.wait(now, self.memory, spent);
            mean.n += f64::from(u8::from(outcome == Outcome::Ok));
        }
        Some((b, figure))
    }

    fn on_outcome(&mut self, now: Micros, id: RequestId, outcome: Outcome, is_final: bool, out: &mut Out) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if is_final {
            return self.finish(id, out);
        }
        if request.answered || request.streaming || request.attempts.iter().any(|a| a.running) {
            return;
        }
        let (class, left) = (request.class, (request.until - now) as f64);
        let time_enough = left > self.usual(class) / 2.0;
        if time_enough
            && outcome != Outcome::Timeout
            && self.retry_tokens >= 1.0
            && self.dispatch(now, id, out)
        {
            // A call that never connected cost no server anything: sending it elsewhere feeds no overload.
            if outcome != Outcome::ConnectFailed {
                self.retry_tokens -= 1.0;
            }
            return;
        }
        self.refuse(id, 0, out);
    }

    // ---- Rule guards ----

    /// Rules 1 to 3: may this request go to that server now?
    fn may_send(&self, now: Micros, id: RequestId, b: usize) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let backend = &self.backends[b].entry;
        if backend.state != EndpointState::Ready
            || request.allowed.as_ref().is_some_and(|allowed| !allowed.matches(backend))
            || request.streaming
            || request.answered
            || now >= request.until
            || request.attempts.len() >= self.s.max_attempts.max(1).min(request.most_attempts)
            || (!self.s.hedging_allowed && request.attempts.iter().any(|a| a.running))
        {
            return false;
        }
        let mut risky = request.attempts.iter().filter(|a| a.may_have_run);
        match self.s.classes[request.class].semantics {
            Semantics::Idempotent => true,
            Semantics::AtMostOnce => risky.next().is_none(),
            Semantics::Deduplicated { group, window } => risky.all(|a| {
                let other = &self.backends[a.backend].entry;
                let same = match group {
                    DeduplicationGroup::All => true,
                    DeduplicationGroup::Zone => other.zone == backend.zone,
                    DeduplicationGroup::Cell => other.cell.is_some() && other.cell == backend.cell,
                };
                same && now < a.sent + window
            }),
        }
    }

    /// The only place that sends.
    fn send(&mut self, now: Micros, id: RequestId, b: usize, out: &mut Out) {
        if !self.may_send(now, id, b) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let backend = &mut self.backends[b];
        request.attempts.push(Attempt { backend: b, sent: now, running: true, may_have_run: true });
        backend.sent_since += 1;
        backend.used_at = now;
        backend.cold_tokens = (backend.cold_tokens - 1.0).max(0.0);
        if !request.coming {
            backend.hold(request.class, now - self.start);
            self.inflight += 1;
        }
        out.push(Action::Send { request: id, endpoint: backend.entry.id, deadline: request.until });
        self.tell(b, 0, out);
    }

    /// The only place that refuses: where an attempt may have run and the class forbids it, it fails instead.
    fn refuse(&mut self, id: RequestId, wait: Micros, out: &mut Out) {
        let Some(request) = self.requests.get(&id) else { return };
        let may_have_run = request.attempts.iter().any(|a| a.may_have_run);
        let allowed = match self.s.classes[request.class].semantics {
            Semantics::Idempotent => true,
            Semantics::AtMostOnce => !may_have_run,
            Semantics::Deduplicated { group, .. } => !may_have_run || group == DeduplicationGroup::All,
        };
        if request.streaming || request.answered {
            return;
        }
        if allowed {
            // At the front, and while shedding, clients come back when this overload may have passed.
            let wait = if self.cursor >= FIRST_SLOTS { self.s.max_retry_after } else { wait };
            let advise = self.s.send_retry_after && self.s.tier == 0;
            let retry_after = if advise { wait.min(self.s.max_retry_after) } else { 0 };
            out.push(Action::Reject { request: id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.finish(id, out);
    }

    /// A request has its answer: calls off what is still out for it, and forgets it when all of that is back.
    fn finish(&mut self, id: RequestId, out: &mut Out) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let running = request.attempts.iter().enumerate().filter(|(_, a)| a.running);
        if self.s.can_cancel && !request.streaming && !request.answered {
            out.extend(running.clone().map(|(attempt, _)| Action::Cancel { request: id, attempt }));
        }
        let all_back = running.count() == 0;
        request.answered = true;
        if all_back {
            self.requests.remove(&id);
        }
    }

    /// The part of its capacity that a cold server surely has by now.
    fn cold_part(&self, now: Micros, b: usize) -> Option<f64> {
        let age = now - self.backends[b].entry.up_since?;
        let done = age.max(0) as f64 / self.s.slow_start_duration.max(1) as f64;
        (done < 1.0).then(|| {
            (self.s.slow_start_min_capacity + (1.0 - self.s.slow_start_min_capacity) * done).max(0.01)
        })
    }

    /// Rule 4: this instance's share of what a cold server takes, as if all others used theirs in full.
    fn cold_allows(&mut self, now: Micros, b: usize) -> bool {
        let Some(part) = self.cold_part(now, b) else { return true };
        let age = ((now - self.start) as f64 / self.memory).max(0.01);
        self.arrivals.fade(now, self.memory);
        let seconds = self.memory * (1.0 - (-age).exp());
        self.served.fade(now, self.memory);
        // By what warm servers were last seen to carry, or by what is served now, if that is more: shared by
        // those that are warm, or where none is by the part that each surely has.
        let ready = self.ready.len() as f64;
        let parts = self.ready.iter().map(|&o| self.cold_part(now, o));
        let warm = parts.clone().filter(Option::is_none).count() as f64;
        let shared = if warm > 0.0 { warm.max(ready / 8.0) } else { parts.flatten().sum::<f64>().max(0.01) };
        let carried = match self.carried {
            Some(known) => known.max(self.served.n / shared / seconds),
            None if warm > 0.0 => self.served.n / shared / seconds,
            None => self.arrivals.n / ready.max(1.0) / seconds,
        };
        // What all balancers may send within the window, less three roots for chance: guards against few
        // calls in a short window, where an even share of the budget is often overrun.
        let all = self.s.overload_multiple * part * carried * f64::from(self.s.balancers);
        let budget = all * self.s.overload_window as f64;
        let safe = (((9.0 + 4.0 * budget).sqrt() - 3.0) / 2.0).powi(2) / budget.max(1e-9);
        let rate = safe.min(COLD_SAFETY) * all / f64::from(self.s.balancers);
        let backend = &mut self.backends[b];
        let since = (now - backend.cold_at.max(backend.entry.up_since.unwrap_or(now))).max(0) as f64;
        let most = rate * self.s.overload_window as f64 / 2.0;
        backend.cold_tokens = (backend.cold_tokens + since * rate).min(most);
        backend.cold_at = now;
        // Less than one call is a chance of one, lost when not drawn: guards against hundreds of balancers
        // that each saved up a whole call, and send them at once when their warm servers fail.
        let drawn = self.rng.f64() < backend.cold_tokens;
        backend.cold_tokens *= f64::from(u8::from(drawn));
        drawn
    }
}

impl Backend {
    fn new(entry: Endpoint, classes: usize) -> Self {
        Backend {
            entry,
            inflight: 0,
            others: BTreeMap::new(),
            classes: vec![Spent::default(); classes],
            reported: 0.0,
            report_at: Micros::MIN / 4,
            sent_since: 0,
            used_at: Micros::MIN / 4,
            utilisation: None,
            fails: 0,
            out_until: 0,
            cold_tokens: 0.0,
            cold_at: Micros::MIN / 4,
        }
    }

    /// It has one more call to work on.
    fn hold(&mut self, class: usize, since_start: Micros) {
        self.inflight += 1;
        let spent = &mut self.classes[class];
        spent.inflight += 1;
        spent.sent_sum += since_start as f64;
    }

    /// What peers hold here, as far as they said so lately.
    fn told(&self, now: Micros, memory: f64) -> u32 {
        let lately = self.others.values().filter(|(_, at)| now - at < memory as Micros / 2);
        lately.map(|(held, _)| u32::from(*held)).sum()
    }
}

/// The table as parts of T1: FIRST_SLOTS of T1, then row after row falls from the lowest worth up.
fn table(rows: usize) -> Vec<Vec<f64>> {
    let row = |r: usize| {
        let lead = 1.0 - ROW_LEAD * (rows - 1 - r) as f64 / (rows - 1).max(1) as f64;
        let end = if r + 1 == rows { TOP_ROW_END } else { 0.0 };
        let fallen =
            move |c: usize| c.saturating_sub(FIRST_SLOTS - 1 + r * STEPS).min(STEPS) as f64 / STEPS as f64;
        (0..FIRST_SLOTS + rows * STEPS).map(move |c| lead * (1.0 - fallen(c) * (1.0 - end))).collect()
    };
    (0..rows).map(row).collect()
}

/// An order of ids that tells nothing and is the same for every balancer.
fn mixed(id: u32) -> u64 {
    let x = (u64::from(id) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len() / 2;
    (!values.is_empty()).then(|| *values.select_nth_unstable_by(middle, f64::total_cmp).1)
}
