//! The loop: events in the order of their times, and what each does to whom.

use std::collections::{BTreeMap, VecDeque};

use decide::Balancer;
use decide::{
    Action, Endpoint, EndpointId, EndpointState, Event, Micros, NewRequest, Outcome, RequestId, UpdateScope,
};
use fastrand::Rng;
use membership::{CallId, DiscoveryWatch};

use crate::discovery::{Discovery, End};
use crate::node::{Node, CORES, WORK};
use crate::{notification, Fleet, Report, MS, S};

pub const AIM: Micros = S;
pub const DEADLINE: Micros = 2_500 * MS;
pub const GRACE: Micros = 500 * MS;
pub const MUST_ASK: Micros = 10 * S;
const KEEPALIVE: Micros = 7_500 * MS;
/// One way between a proxy and a node.
const WAY: Micros = 300;
/// What a new connection takes.
const HANDSHAKE: Micros = 3 * MS;
/// A client's tries, and its pause between them at most.
const TRIES: u8 = 3;
const BACKOFF: Micros = 400 * MS;
/// A node that is replaced finishes for so long.
const DRAINS: Micros = 5 * S;

#[derive(Clone, Copy)]
pub enum What {
    /// A request, of a client that has asked so often.
    Arrives(Asked),
    /// A timer of a proxy, in its n-th life: its token.
    Timer(usize, u32, u64),
    /// An attempt of a proxy ends: request, attempt, outcome.
    Ends(usize, u64, usize, Outcome),
    Wake(usize),
    /// A call of a proxy ends, in its n-th life.
    Call(usize, u32, u64, Ending),
    /// Proxies are killed.
    Kill,
    /// A proxy that was killed starts again.
    Start(usize),
    Replace,
    /// A node has gone.
    Gone(u32),
}

#[derive(Clone, Copy)]
pub enum Ending {
    Whole(usize),
    Broken,
    Failed,
}

#[derive(Clone, Copy)]
pub struct Asked {
    /// When the client asked first.
    first: Micros,
    class: usize,
    tries: u8,
    work: Micros,
}

pub struct Open {
    asked: Asked,
    /// Nodes of the attempts, and when they were sent; None once ended.
    attempts: Vec<(EndpointId, Option<Micros>)>,
    answered: bool,
}

pub struct Proxy {
    pub balancer: Balancer,
    pub watch: DiscoveryWatch,
    /// How often it has started, and when it did last; None while it is killed.
    pub life: u32,
    pub started: Option<Micros>,
    /// When it is to be woken next.
    pub wakes: Option<Micros>,
    pub open: BTreeMap<u64, Open>,
    /// Idle connections by node, with when each was used last.
    pub idle: BTreeMap<u32, Vec<Micros>>,
    /// The version of its list, and when it had its last answer.
    pub seen: usize,
    pub answered: Option<Micros>,
    /// What counts as told of nodes that leave, whether it was heard or not.
    pub told: BTreeMap<u32, Micros>,
    pub unheard: Vec<(Micros, usize)>,
    /// A call fell silent since the last answer: what it misses counts as known then, if that is later.
    pub silent: Option<Micros>,
}

pub struct World<'a> {
    pub fleet: &'a Fleet,
    pub rng: Rng,
    pub now: Micros,
    /// What is to come, by its time and the order in which it was put.
    queue: BTreeMap<(Micros, u64), What>,
    numbers: u64,
    nodes: BTreeMap<u32, Node>,
    /// In the order in which they are replaced.
    line: VecDeque<u32>,
    pub discovery: Discovery,
    pub proxies: Vec<Proxy>,
    /// The part of the last tries, some hundreds, that got no answer.
    lost: f64,
    report: Report,
}

impl<'a> World<'a> {
    pub fn new(fleet: &'a Fleet) -> World<'a> {
        let nodes: BTreeMap<u32, Node> = (0..fleet.nodes as u32).map(|id| (id, Node::new(None))).collect();
        World {
            fleet,
            rng: Rng::with_seed(fleet.seed),
            now: 0,
            queue: BTreeMap::new(),
            numbers: 0,
            line: nodes.keys().copied().collect(),
            nodes,
            discovery: Discovery::new(fleet),
            proxies: (0..fleet.proxies).map(|rank| Proxy::running(fleet, rank)).collect(),
            lost: 0.0,
            report: Report::default(),
        }
    }

    pub fn play(mut self) -> Report {
        for p in 0..self.proxies.len() {
            self.begin(p);
        }
        if let Some(restart) = self.fleet.restart {
            self.at(restart.at, What::Kill);
        }
        if let Some((from, ..)) = self.fleet.release {
            self.at(from, What::Replace);
        }
        let first = self.client();
        let asked = Asked { first, ..self.asked() };
        self.at(first, What::Arrives(asked));
        while let Some(((at, _), what)) = self.queue.pop_first() {
            if at > self.fleet.length + 5 * S {
                break;
            }
            self.now = at;
            self.take(what);
        }
        self.report.herd = self.nodes.values().map(|n| n.herd).max().unwrap_or(0);
        self.report.pushed_over = self.nodes.values().filter(|n| n.fell).count() as u64;
        self.report.list_calls = self.discovery.in_turn;
        self.report.turned_away = self.discovery.turned_away;
        self.report
    }

    pub fn at(&mut self, at: Micros, what: What) {
        self.numbers += 1;
        self.queue.insert((at, self.numbers), what);
    }

    fn exponential(&mut self, mean: f64) -> Micros {
        (-self.rng.f64().max(1e-12).ln() * mean) as Micros
    }

    /// When the next client comes.
    fn client(&mut self) -> Micros {
        let most = (self.fleet.nodes * CORES) as f64 / WORK as f64;
        self.now + self.exponential(1.0 / (most * self.fleet.load))
    }

    fn asked(&mut self) -> Asked {
        let class = usize::from(self.rng.f64() > 0.15);
        Asked { first: self.now, class, tries: 0, work: self.exponential(WORK as f64).clamp(MS, 8 * WORK) }
    }

    pub fn entry(&self, id: u32, stage: EndpointState) -> Endpoint {
        let up_since = self.nodes.get(&id).and_then(|n| n.started);
        Endpoint { id: EndpointId(id), state: stage, weight: 1.0, up_since, ..Endpoint::default() }
    }

    fn take(&mut self, what: What) {
        match what {
            What::Arrives(asked) => self.arrives(asked),
            What::Timer(p, life, token) if self.proxies[p].life == life => {
                self.decide(p, Event::Timer(token));
            }
            What::Ends(p, request, nth, outcome) => self.ends(p, request, nth, outcome),
            // One that was put before another moment was asked for is passed over.
            What::Wake(p) if self.proxies[p].wakes == Some(self.now) => {
                self.proxies[p].wakes = None;
                self.watch(p, membership::WatchEvent::TimerDue);
            }
            What::Wake(_) => {}
            What::Call(p, life, id, ending) if self.proxies[p].life == life => {
                self.call_ends(p, CallId(id), ending);
            }
            // Of a process that was killed.
            What::Timer(..) | What::Call(..) => {}
            What::Kill => self.kill(),
            What::Start(p) => self.start_again(p),
            What::Replace => self.replace(),
            What::Gone(id) => {
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.gone = true;
                }
            }
        }
    }

    // ---- Clients ----

    fn arrives(&mut self, asked: Asked) {
        if asked.tries == 0 {
            self.report.asked += 1;
            let next = self.client();
            if next < self.fleet.length {
                let asked = Asked { first: next, ..self.asked() };
                self.at(next, What::Arrives(asked));
            }
            if self.fleet.callers_shed && self.rng.f64() < self.lost {
                // They go on trying a little, or would never see it end.
                self.lost *= 0.999;
                return;
            }
        }
        self.report.tries += 1;
        self.numbers += 1;
        let id = self.numbers;
        let Some(p) = self.any_ready() else { return };
        let asked = Asked { tries: asked.tries + 1, ..asked };
        let time_left = asked.first + DEADLINE - self.now;
        self.proxies[p].open.insert(id, Open { asked, attempts: Vec::new(), answered: false });
        let request = NewRequest {
            id: RequestId(id),
            class: asked.class,
            time_left,
            is_retry: asked.tries > 1,
            ..NewRequest::default()
        };
        self.decide(p, Event::Request(request));
    }

    fn refused(&mut self, p: usize, id: u64) {
        self.report.refused += 1;
        let Some(asked) = self.answer(p, id, false) else { return };
        let back = self.now + self.rng.i64(BACKOFF / 8..BACKOFF);
        if asked.tries < TRIES && back < asked.first + AIM {
            self.at(back, What::Arrives(asked));
        }
    }

    /// A request has its answer; its attempts that are out still end.
    fn answer(&mut self, p: usize, id: u64, served: bool) -> Option<Asked> {
        let open = self.proxies[p].open.get_mut(&id)?;
        open.answered = true;
        let asked = open.asked;
        self.lost += 0.005 * (f64::from(u8::from(!served)) - self.lost);
        if open.attempts.iter().all(|(_, sent)| sent.is_none()) {
            self.proxies[p].open.remove(&id);
        }
        Some(asked)
    }

    // ---- Attempts ----

    fn send(&mut self, p: usize, id: u64, to: EndpointId, until: Micros) {
        let now = self.now;
        let proxy = &mut self.proxies[p];
        let Some(open) = proxy.open.get_mut(&id) else { return };
        let (nth, work) = (open.attempts.len(), open.asked.work);
        open.attempts.push((to, Some(now)));
        if proxy.watch.expiry().is_some_and(|expiry| expiry.from <= now && now < expiry.until) {
            // The request is refused by whoever decides: nothing was sent.
            self.report.withheld += 1;
            return self.ends(p, id, nth, Outcome::NotSent);
        }
        proxy.unheard.retain(|(at, version)| {
            let due = *at <= now;
            if due {
                let left = self.discovery.changes[..*version].iter().filter(|c| c.2 != EndpointState::Ready);
                left.for_each(|(_, id, _)| {
                    proxy.told.entry(id.0).or_insert(*at);
                });
            }
            !due
        });
        let by_term = notification::latest(self.fleet, &self.discovery.changes, to, proxy.started);
        let by_term = by_term.map(|at| at.max(proxy.silent.unwrap_or(at)));
        let told = proxy.told.get(&to.0).copied().into_iter().chain(by_term).min();
        if told.is_some_and(|told| now > told + GRACE) {
            self.report.late_sends += 1;
        }
        let idle = proxy.idle.entry(to.0).or_default();
        idle.retain(|used| *used > now - KEEPALIVE);
        let fresh = idle.pop().is_none();
        self.report.handshakes += u64::from(fresh);
        let there = now + WAY + if fresh { HANDSHAKE } else { 0 };
        let node = self.nodes.get_mut(&to.0).filter(|n| !n.gone);
        let (ends, outcome) = match node.map(|n| n.take(self.fleet, there, work)) {
            None => (there, Outcome::ConnectFailed),
            Some(None) => (there + WAY, Outcome::Rejected),
            Some(Some(done)) if done.saturating_add(WAY) <= until => (done + WAY, Outcome::Ok),
            Some(Some(_)) => (until, Outcome::Timeout),
        };
        self.at(ends, What::Ends(p, id, nth, outcome));
    }

    fn ends(&mut self, p: usize, id: u64, nth: usize, outcome: Outcome) {
        let now = self.now;
        let proxy = &mut self.proxies[p];
        let Some(open) = proxy.open.get_mut(&id) else { return };
        let (node, sent) = open.attempts[nth];
        let Some(sent) = sent else { return };
        open.attempts[nth].1 = None;
        let is_final = outcome == Outcome::Ok && !open.answered;
        if outcome == Outcome::Ok {
            proxy.idle.entry(node.0).or_default().push(now);
        }
        if is_final {
            let asked = open.asked;
            self.report.served += u64::from(now <= asked.first + AIM);
            self.answer(p, id, true);
        } else if open.answered && open.attempts.iter().all(|(_, sent)| sent.is_none()) {
            proxy.open.remove(&id);
        }
        self.decide(
            p,
            Event::AttemptEnded {
                request: RequestId(id),
                attempt: nth,
                endpoint: node,
                outcome,
                took: now - sent,
                is_final,
                report: None,
            },
        );
    }

    // ---- Decisions and watches ----

    pub fn decide(&mut self, p: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.proxies[p].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, endpoint: backend, deadline: until } => {
                    self.send(p, request.0, backend, until)
                }
                Action::Reject { request, .. } => self.refused(p, request.0),
                Action::Fail(request) => drop(self.answer(p, request.0, false)),
                Action::Cancel { request, attempt } => self.ends(p, request.0, attempt, Outcome::Cancelled),
                Action::Timer { at, token } => {
                    self.at(at.max(self.now), What::Timer(p, self.proxies[p].life, token))
                }
                Action::PollDiscovery => self.watch(p, membership::WatchEvent::StartWatch),
                _ => {}
            }
        }
    }

    fn watch(&mut self, p: usize, event: membership::WatchEvent) {
        let mut actions = Vec::new();
        self.proxies[p].watch.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                membership::WatchAction::Poll { call: id, wait } => self.call(p, id, wait),
                // Its end is passed over by the watch.
                membership::WatchAction::CloseCall { .. } => {}
                membership::WatchAction::WatchEnded => {
                    self.decide(p, Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] });
                }
            }
        }
        self.plan_wake(p);
    }

    /// Has the watch woken when it wants to be.
    pub fn plan_wake(&mut self, p: usize) {
        let wakes = self.proxies[p].watch.wake_at().map(|at| at.max(self.now));
        if wakes != self.proxies[p].wakes {
            self.proxies[p].wakes = wakes;
            wakes.into_iter().for_each(|at| self.at(at, What::Wake(p)));
        }
    }

    fn call(&mut self, p: usize, id: CallId, wait: Micros) {
        let proxy = &mut self.proxies[p];
        let asked = (proxy.seen, wait, proxy.answered);
        let (end, unheard) = self.discovery.call(self.fleet, &mut self.rng, self.now, asked);
        self.proxies[p].unheard.extend(unheard);
        let (at, ending) = match end {
            End::Whole(at, version) => (at, Ending::Whole(version)),
            End::Broken(at) => (at, Ending::Broken),
            End::TurnedAway(at) => (at, Ending::Failed),
            End::Silent(counts) => {
                self.proxies[p].silent.get_or_insert(counts);
                return;
            }
        };
        self.at(at, What::Call(p, self.proxies[p].life, id.0, ending));
    }

    fn call_ends(&mut self, p: usize, id: CallId, ending: Ending) {
        let version = match ending {
            Ending::Whole(version) => version,
            Ending::Broken => return self.watch(p, membership::WatchEvent::ResponseTruncated { call: id }),
            Ending::Failed => {
                return self.watch(
                    p,
                    membership::WatchEvent::CallFailed {
                        call: id,
                        failure: membership::CallFailure::ErrorResponse,
                    },
                )
            }
        };
        let seen = self.proxies[p].seen;
        (self.proxies[p].answered, self.proxies[p].silent) = (Some(self.now), None);
        if version > seen {
            let changes = self.discovery.changes[seen..version].to_vec();
            for (_, id, stage) in &changes {
                if *stage != EndpointState::Ready {
                    self.proxies[p].told.entry(id.0).or_insert(self.now);
                }
            }
            let entries: Vec<_> = changes.iter().map(|(_, id, stage)| self.entry(id.0, *stage)).collect();
            self.proxies[p].seen = version;
            self.decide(p, Event::EndpointUpdate { scope: UpdateScope::Delta, endpoints: &entries });
        }
        self.watch(p, membership::WatchEvent::ResponseCompleted { call: id, changed: version > seen });
    }

    /// The oldest node drains, and a new one takes its place.
    fn replace(&mut self) {
        let Some((_, every, until)) = self.fleet.release else { return };
        let (new, now) = (self.nodes.len() as u32, self.now);
        self.nodes.insert(new, Node::new(Some(now)));
        self.line.push_back(new);
        if let Some(old) = self.line.pop_front() {
            self.at(now + DRAINS, What::Gone(old));
        }
        if now + every < until {
            self.at(now + every, What::Replace);
        }
    }
}
