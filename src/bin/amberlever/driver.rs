//! The one owner of the decisions: turns what happens on sockets into events, and carries out the actions.
//!
//! Everything here is synchronous. I/O tasks call in with what they saw; what follows from it at once (an
//! attempt called off, one that cannot start) is queued behind, so events never nest.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use amberlever::interface::*;
use amberlever::settings::Names;
use amberlever::Balancer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

use crate::backend::{Backends, Order};
use crate::config::Config;
use crate::discovery;

/// A request as it goes to a backend.
pub type Message = Request<Full<Bytes>>;

/// The final answer to a caller.
#[derive(Debug)]
pub enum Answer {
    /// A backend's answer, whole.
    Served(HeaderMap, Bytes),
    /// Not done, and trying again is harmless; after this time, if it is not 0.
    Refused(Micros),
    /// Not served, and nothing is promised.
    Failed,
    /// The same, because time ran out.
    TimedOut,
}

/// How an attempt ended.
pub struct Ended {
    pub outcome: Outcome,
    pub report: Option<Report>,
    /// With [`Outcome::Ok`]: the answer.
    pub answer: Option<(HeaderMap, Bytes)>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, report: None, answer: None }
    }
}

/// The monotonic clock of the decisions, and where Unix time stands on it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Micros,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start: unix.as_micros() as Micros }
    }

    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The instant at which the clock reads `at`.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.clamp(0, TIME_LIMIT) as u64)
    }

    /// A time in Unix milliseconds; 0 stands for none.
    pub fn at_unix_ms(&self, ms: f64) -> Option<Micros> {
        (ms != 0.0).then(|| ((ms * 1000.0) as Micros).saturating_sub(self.unix_start))
    }
}

/// Something that happened, as it waits for its turn.
enum Input {
    Backends(ListScope, Vec<BackendEntry>),
    Request(NewRequest),
    /// An attempt ended by itself.
    Ended(RequestId, usize, Ended),
    /// An attempt of a request that is over was called off.
    Dropped(RequestId, usize, BackendId, Micros),
    ClientGone(RequestId),
    Timer(u64),
    Probed(BackendId, Outcome, Micros, Option<Report>),
}

/// A request that is owed an answer.
struct Open {
    message: Rc<Message>,
    deadline: Instant,
    answer: oneshot::Sender<Answer>,
    attempts: Vec<Attempt>,
    timed_out: bool,
}

struct Attempt {
    backend: BackendId,
    sent: Micros,
    /// While it runs.
    task: Option<AbortHandle>,
}

pub struct Driver {
    pub clock: Clock,
    pub backends: Backends,
    pub names: RefCell<Names>,
    pub settings: Settings,
    discovery: discovery::Watch,
    seed: Cell<u64>,
    balancer: RefCell<Balancer>,
    open: RefCell<BTreeMap<RequestId, Open>>,
    last_id: Cell<u64>,
    inputs: RefCell<VecDeque<Input>>,
    /// An input is being handled, somewhere up the stack.
    busy: Cell<bool>,
}

impl Driver {
    pub fn new(config: Config) -> Driver {
        let clock = Clock::new();
        Driver {
            clock,
            backends: Backends::new(config.site.transport, config.sockets - config.sockets / 2),
            names: RefCell::new(config.site.names),
            balancer: RefCell::new(Balancer::new(config.site.settings.clone(), config.seed)),
            settings: config.site.settings,
            discovery: discovery::Watch::new(config.discovery, config.known),
            seed: Cell::new(config.seed),
            open: RefCell::default(),
            last_id: Cell::new(0),
            inputs: RefCell::default(),
            busy: Cell::new(false),
        }
    }

    /// Hands over the list as last known; the decisions ask for what they want from there on.
    pub fn start(self: &Rc<Self>) {
        self.backends.sweep_regularly();
        self.discovery.start(self);
    }

    // ---- What the I/O tasks call ----

    /// Takes a request. Its answer comes at once or later, unless the client leaves before.
    pub fn request(
        self: &Rc<Self>,
        mut new: NewRequest,
        message: Message,
    ) -> (RequestId, oneshot::Receiver<Answer>) {
        new.id = RequestId(self.last_id.get() + 1);
        self.last_id.set(new.id.0);
        let id = new.id;
        let (answer, receiver) = oneshot::channel();
        let deadline = self.clock.instant(self.clock.now() + new.time_left);
        let open =
            Open { message: Rc::new(message), deadline, answer, attempts: Vec::new(), timed_out: false };
        self.open.borrow_mut().insert(id, open);
        self.input(Input::Request(new));
        (id, receiver)
    }

    /// The caller has gone, or has its answer from elsewhere: nothing more is owed or sent.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        self.input(Input::ClientGone(id));
    }

    pub fn attempt_ended(self: &Rc<Self>, id: RequestId, attempt: usize, ended: Ended) {
        self.input(Input::Ended(id, attempt, ended));
    }

    pub fn list(self: &Rc<Self>, scope: ListScope, entries: Vec<BackendEntry>) {
        self.input(Input::Backends(scope, entries));
    }

    pub fn discovery(&self) -> &discovery::Watch {
        &self.discovery
    }

    pub fn is_open(&self, id: RequestId) -> bool {
        self.open.borrow().contains_key(&id)
    }

    // ---- Events ----

    fn input(self: &Rc<Self>, input: Input) {
        self.inputs.borrow_mut().push_back(input);
        if self.busy.replace(true) {
            return;
        }
        loop {
            let Some(input) = self.inputs.borrow_mut().pop_front() else { break };
            self.take(input);
        }
        self.busy.set(false);
    }

    fn take(self: &Rc<Self>, input: Input) {
        match input {
            Input::Backends(scope, entries) => self.decide(Event::Backends { scope, entries: &entries }),
            Input::Request(new) => self.decide(Event::Request(new)),
            Input::Ended(id, nth, ended) => self.ended(id, nth, ended),
            Input::Dropped(request, attempt, backend, sent) => self.decide(Event::Outcome {
                request,
                attempt,
                backend,
                outcome: Outcome::Cancelled,
                took: self.clock.now() - sent,
                is_final: true,
                report: None,
            }),
            Input::ClientGone(id) => {
                if let Some(open) = self.open.borrow_mut().remove(&id) {
                    self.drop_attempts(id, open.attempts);
                    self.decide(Event::ClientGone(id));
                }
            }
            Input::Timer(token) => self.decide(Event::Timer(token)),
            Input::Probed(backend, outcome, took, report) => {
                self.decide(Event::Probed { backend, outcome, took, report });
            }
        }
    }

    /// An attempt has its outcome; one that was called off before has had it already.
    fn ended(self: &Rc<Self>, id: RequestId, nth: usize, ended: Ended) {
        let mut all = self.open.borrow_mut();
        let Some(open) = all.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(nth).filter(|a| a.task.is_some()) else { return };
        attempt.task = None;
        let (backend, sent) = (attempt.backend, attempt.sent);
        open.timed_out = ended.outcome == Outcome::Timeout;
        drop(all);
        let is_final = ended.answer.is_some();
        if let Some((headers, body)) = ended.answer {
            self.answer(id, Answer::Served(headers, body));
        }
        self.decide(Event::Outcome {
            request: id,
            attempt: nth,
            backend,
            outcome: ended.outcome,
            took: self.clock.now() - sent,
            is_final,
            report: ended.report,
        });
    }

    /// One event to the decisions, and their actions carried out in order.
    fn decide(self: &Rc<Self>, event: Event<'_>) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        let mut balancer = self.balancer.borrow_mut();
        let decided = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions)));
        drop(balancer);
        match decided {
            Ok(()) => actions.into_iter().for_each(|action| self.carry_out(action)),
            Err(_) => self.start_anew(),
        }
    }

    /// Guards against a panic in the decisions: what they held may be half changed, so all open requests
    /// fail, and a new balancer goes on from the list as it stands.
    fn start_anew(self: &Rc<Self>) {
        eprintln!("the decisions panicked; failing what is open and starting anew");
        self.inputs.borrow_mut().retain(|i| !matches!(i, Input::Dropped(..) | Input::Timer(_)));
        let open = std::mem::take(&mut *self.open.borrow_mut());
        for request in open.into_values() {
            request.attempts.iter().filter_map(|a| a.task.as_ref()).for_each(AbortHandle::abort);
            let _ = request.answer.send(Answer::Failed);
        }
        self.seed.set(self.seed.get().wrapping_add(1));
        *self.balancer.borrow_mut() = Balancer::new(self.settings.clone(), self.seed.get());
        self.discovery.stop();
        let known = Input::Backends(ListScope::Cached, self.backends.entries());
        self.inputs.borrow_mut().push_front(known);
    }

    // ---- Actions ----

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { request, backend, until } => self.send(request, backend, until),
            Action::Refuse { request, retry_after } => self.answer(request, Answer::Refused(retry_after)),
            Action::Fail(id) => {
                let late = self.open.borrow().get(&id).is_some_and(|o| o.timed_out);
                self.answer(id, if late { Answer::TimedOut } else { Answer::Failed });
            }
            Action::Cancel { request, attempt } => {
                let mut all = self.open.borrow_mut();
                let Some(open) = all.get_mut(&request) else { return };
                let Some(attempt_of) = open.attempts.get_mut(attempt) else { return };
                let Some(task) = attempt_of.task.as_ref() else { return };
                task.abort();
                drop(all);
                self.inputs.borrow_mut().push_back(Input::Ended(request, attempt, Outcome::Cancelled.into()));
            }
            Action::Timer { at, token } => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    tokio::time::sleep_until(driver.clock.instant(at)).await;
                    driver.input(Input::Timer(token));
                });
            }
            Action::Subscribe => self.discovery.subscribe(self),
            Action::Probe(backend) => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    let sent = driver.clock.now();
                    let ended = driver.backends.probe(&driver, backend).await;
                    let took = driver.clock.now() - sent;
                    driver.input(Input::Probed(backend, ended.outcome, took, ended.report));
                });
            }
            Action::Tell { .. } => {}
            Action::Log(text) => eprintln!("{text}"),
        }
    }

    fn send(self: &Rc<Self>, id: RequestId, backend: BackendId, until: Micros) {
        let sent = self.clock.now();
        let mut all = self.open.borrow_mut();
        let Some(open) = all.get_mut(&id) else { return };
        let attempt = open.attempts.len();
        let order = Order {
            request: id,
            backend,
            message: Rc::clone(&open.message),
            until: self.clock.instant(until).min(open.deadline),
        };
        let ending = Ending { driver: Rc::clone(self), request: id, attempt, said: false };
        let task = spawn_local(async move {
            let driver = Rc::clone(&ending.driver);
            driver.backends.attempt(&driver, order, ending).await;
        });
        open.attempts.push(Attempt { backend, sent, task: Some(task.abort_handle()) });
    }

    /// Gives a request its final answer; nothing more is sent for it.
    fn answer(self: &Rc<Self>, id: RequestId, answer: Answer) {
        let Some(open) = self.open.borrow_mut().remove(&id) else { return };
        // The caller may have gone in this very moment.
        let _ = open.answer.send(answer);
        self.drop_attempts(id, open.attempts);
    }

    fn drop_attempts(&self, id: RequestId, attempts: Vec<Attempt>) {
        for (nth, attempt) in attempts.into_iter().enumerate() {
            if let Some(task) = attempt.task {
                task.abort();
                let dropped = Input::Dropped(id, nth, attempt.backend, attempt.sent);
                self.inputs.borrow_mut().push_back(dropped);
            }
        }
    }
}

/// Sees to it that an attempt has exactly one outcome, also if its task panics: then it may have run.
pub struct Ending {
    driver: Rc<Driver>,
    request: RequestId,
    attempt: usize,
    said: bool,
}

impl Ending {
    pub fn say(&mut self, ended: Ended) {
        self.said = true;
        self.driver.attempt_ended(self.request, self.attempt, ended);
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        if !self.said {
            self.say(Outcome::Reset.into());
        }
    }
}
