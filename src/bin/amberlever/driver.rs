//! The one owner of the decisions: turns what happens on sockets into events, and carries out the actions.
//!
//! I/O tasks tell it what they saw through a [`Handle`]; it takes these inputs one at a time and in order,
//! so events never nest and nothing here needs a lock.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use amberlever::interface::*;
use amberlever::Balancer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

use crate::backend::{Backends, Order};
use crate::peers::Peers;
use crate::say;

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

/// How an attempt or a probe ended.
pub struct Ended {
    pub outcome: Outcome,
    pub report: Option<Report>,
    /// With an attempt's [`Outcome::Ok`]: the answer.
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
    pub fn new() -> Clock {
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

    /// What the clock read at a time in Unix milliseconds; 0 stands for no time.
    pub fn at_unix_ms(&self, ms: f64) -> Option<Micros> {
        (ms != 0.0).then(|| ((ms * 1000.0) as Micros).saturating_sub(self.unix_start))
    }
}

/// Something that happened, as it waits for its turn.
enum Input {
    Backends(ListScope, Vec<BackendEntry>),
    Request(NewRequest, Message, oneshot::Sender<Answer>),
    Ended(RequestId, usize, Ended),
    /// An attempt of a request that is over was called off: where to, and when it was sent.
    Dropped(RequestId, usize, BackendId, Micros),
    ClientGone(RequestId),
    /// Set by the balancer of this seed, with this token.
    Timer(u64, u64),
    Told(u32, Vec<u8>),
    Probed {
        backend: BackendId,
        sent: Micros,
        ended: Ended,
    },
}

/// What the I/O tasks tell the driver by.
#[derive(Clone)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
    last_id: Rc<Cell<u64>>,
}

impl Handle {
    /// Hands over a request. Its answer comes at once or later; a receiver that is closed means that it failed.
    pub fn request(&self, mut new: NewRequest, message: Message) -> (RequestId, oneshot::Receiver<Answer>) {
        new.id = RequestId(self.last_id.get() + 1);
        self.last_id.set(new.id.0);
        let (id, (sender, receiver)) = (new.id, oneshot::channel());
        self.tell(Input::Request(new, message, sender));
        (id, receiver)
    }

    /// Nobody waits for this request any more: nothing is owed or sent for it from here on.
    pub fn client_gone(&self, id: RequestId) {
        self.tell(Input::ClientGone(id));
    }

    pub fn backends(&self, scope: ListScope, entries: Vec<BackendEntry>) {
        self.tell(Input::Backends(scope, entries));
    }

    /// A message from the peer of this rank.
    pub fn told(&self, from: u32, message: Vec<u8>) {
        self.tell(Input::Told(from, message));
    }

    fn tell(&self, input: Input) {
        // The driver ends only with the process.
        let _ = self.inputs.send(input);
    }
}

/// Runs a future to its end; None if it panics. Guards against a panic that would take more with it than
/// what it happened in.
pub async fn caught<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    poll_fn(|cx| match catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(cx))) {
        Ok(poll) => poll.map(Some),
        Err(_) => Poll::Ready(None),
    })
    .await
}

/// A request that is owed an answer.
struct Open {
    message: Rc<Message>,
    answer: oneshot::Sender<Answer>,
    attempts: Vec<Attempt>,
    /// The last attempt that ended ran out of time.
    timed_out: bool,
}

struct Attempt {
    backend: BackendId,
    sent: Micros,
    /// While it runs.
    task: Option<AbortHandle>,
}

pub struct Driver {
    clock: Clock,
    settings: Settings,
    seed: u64,
    balancer: Balancer,
    open: BTreeMap<RequestId, Open>,
    backends: Rc<Backends>,
    peers: Option<Rc<Peers>>,
    subscribe: Rc<Notify>,
    handle: Handle,
    arriving: mpsc::UnboundedReceiver<Input>,
    /// What followed from the last input at once; it comes before what arrives.
    following: VecDeque<Input>,
}

impl Driver {
    /// `subscribe` is notified when the decisions ask for the list of backends.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        backends: Rc<Backends>,
        peers: Option<Rc<Peers>>,
        subscribe: Rc<Notify>,
    ) -> Driver {
        let (inputs, arriving) = mpsc::unbounded_channel();
        Driver {
            clock,
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            seed,
            open: BTreeMap::new(),
            backends,
            peers,
            subscribe,
            handle: Handle { inputs, last_id: Rc::default() },
            arriving,
            following: VecDeque::new(),
        }
    }

    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Takes inputs, one at a time, for as long as it is polled.
    pub async fn run(mut self) {
        while let Some(input) = self.arriving.recv().await {
            self.following.push_back(input);
            while let Some(input) = self.following.pop_front() {
                // A new balancer that panics on the very list does not get it again.
                let relisted = matches!(input, Input::Backends(ListScope::Cached, _));
                if catch_unwind(AssertUnwindSafe(|| self.take(input))).is_err() {
                    self.start_anew(!relisted);
                }
            }
        }
    }

    /// Guards against a panic: what the decisions held may be half changed, so all that is open fails, and a
    /// new balancer goes on from the list as it stands.
    fn start_anew(&mut self, with_list: bool) {
        say(format_args!("the decisions panicked: failing what is open and starting anew"));
        self.following.clear();
        for open in std::mem::take(&mut self.open).into_values() {
            open.attempts.iter().filter_map(|a| a.task.as_ref()).for_each(AbortHandle::abort);
            let _ = open.answer.send(Answer::Failed);
        }
        self.seed = self.seed.wrapping_add(1);
        self.balancer = Balancer::new(self.settings.clone(), self.seed);
        if with_list {
            self.following.push_back(Input::Backends(ListScope::Cached, self.backends.entries()));
        }
    }

    // ---- Events ----

    fn take(&mut self, input: Input) {
        match input {
            Input::Backends(scope, entries) => self.decide(Event::Backends { scope, entries: &entries }),
            Input::Request(new, message, answer) => {
                let open = Open { message: Rc::new(message), answer, attempts: Vec::new(), timed_out: false };
                self.open.insert(new.id, open);
                self.decide(Event::Request(new));
            }
            Input::Ended(id, nth, ended) => self.ended(id, nth, ended),
            Input::Dropped(id, nth, backend, sent) => {
                self.outcome(id, nth, (backend, sent), Outcome::Cancelled, true, None);
            }
            Input::ClientGone(id) => {
                if let Some(open) = self.open.remove(&id) {
                    self.decide(Event::ClientGone(id));
                    self.drop_attempts(id, open.attempts);
                }
            }
            // A timer of a balancer that has gone would set off a second round of them in the new one.
            Input::Timer(seed, token) if seed == self.seed => self.decide(Event::Timer(token)),
            Input::Timer(..) => {}
            Input::Told(from, payload) => self.decide(Event::Told { from, payload: &payload }),
            Input::Probed { backend, sent, ended } => {
                let (took, report) = (self.clock.now() - sent, ended.report);
                self.decide(Event::Probed { backend, outcome: ended.outcome, took, report });
            }
        }
    }

    /// An attempt has its outcome; one that was called off has had it already.
    fn ended(&mut self, id: RequestId, nth: usize, ended: Ended) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(nth).filter(|a| a.task.is_some()) else { return };
        attempt.task = None;
        let (backend, sent) = (attempt.backend, attempt.sent);
        open.timed_out = ended.outcome == Outcome::Timeout;
        let is_final = ended.answer.is_some();
        if let Some((headers, body)) = ended.answer {
            self.answer(id, Answer::Served(headers, body));
        }
        self.outcome(id, nth, (backend, sent), ended.outcome, is_final, ended.report);
    }

    fn outcome(
        &mut self,
        request: RequestId,
        attempt: usize,
        (backend, sent): (BackendId, Micros),
        outcome: Outcome,
        is_final: bool,
        report: Option<Report>,
    ) {
        let took = self.clock.now() - sent;
        self.decide(Event::Outcome { request, attempt, backend, outcome, took, is_final, report });
    }

    /// One event to the decisions, and their actions carried out in order.
    fn decide(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.clock.now(), event, &mut actions);
        actions.into_iter().for_each(|action| self.carry_out(action));
    }

    // ---- Actions ----

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, backend, until } => self.send(request, backend, until),
            Action::Refuse { request, retry_after } => self.answer(request, Answer::Refused(retry_after)),
            Action::Fail(id) => {
                let late = self.open.get(&id).is_some_and(|o| o.timed_out);
                self.answer(id, if late { Answer::TimedOut } else { Answer::Failed });
            }
            Action::Cancel { request, attempt } => {
                let running = self.open.get(&request).and_then(|o| o.attempts.get(attempt)?.task.as_ref());
                if let Some(task) = running {
                    task.abort();
                    self.following.push_back(Input::Ended(request, attempt, Outcome::Cancelled.into()));
                }
            }
            Action::Timer { at, token } => {
                let (handle, at, seed) = (self.handle(), self.clock.instant(at), self.seed);
                spawn_local(async move {
                    tokio::time::sleep_until(at).await;
                    handle.tell(Input::Timer(seed, token));
                });
            }
            Action::Subscribe => self.subscribe.notify_one(),
            Action::Probe(backend) => {
                let (handle, backends, sent) = (self.handle(), self.backends.clone(), self.clock.now());
                spawn_local(async move {
                    let ended = backends.probe(backend).await;
                    handle.tell(Input::Probed { backend, sent, ended });
                });
            }
            Action::Tell { to, payload } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &payload);
                }
            }
            Action::Log(text) => say(format_args!("{text}")),
        }
    }

    fn send(&mut self, request: RequestId, backend: BackendId, until: Micros) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let attempt = open.attempts.len();
        let mut ending = Ending { handle: self.handle.clone(), request, attempt, said: false };
        let order = Order { backend, message: open.message.clone(), until: self.clock.instant(until) };
        let backends = self.backends.clone();
        let task = spawn_local(async move {
            let (ended, link) = backends.attempt(&order).await;
            ending.say(ended);
            backends.reuse(backend, link).await;
        });
        let sent = self.clock.now();
        open.attempts.push(Attempt { backend, sent, task: Some(task.abort_handle()) });
    }

    /// Gives a request its final answer; nothing more is sent for it.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(open) = self.open.remove(&id) else { return };
        // The caller may have gone in this very moment.
        let _ = open.answer.send(answer);
        self.drop_attempts(id, open.attempts);
    }

    /// Calls off the attempts of a request that is over. The decisions still get an outcome for each.
    fn drop_attempts(&mut self, id: RequestId, attempts: Vec<Attempt>) {
        for (nth, attempt) in attempts.into_iter().enumerate() {
            if let Some(task) = attempt.task {
                task.abort();
                self.following.push_back(Input::Dropped(id, nth, attempt.backend, attempt.sent));
            }
        }
    }
}

/// Sees to it that an attempt has an outcome, also if its task panics: then it may have run.
struct Ending {
    handle: Handle,
    request: RequestId,
    attempt: usize,
    said: bool,
}

impl Ending {
    fn say(&mut self, ended: Ended) {
        self.said = true;
        self.handle.tell(Input::Ended(self.request, self.attempt, ended));
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        if !self.said {
            self.say(Outcome::Reset.into());
        }
    }
}

#[cfg(test)]
mod tests {
    use amberlever::settings::Transport;
    use tokio::task::LocalSet;
    use tokio::time::timeout;

    use super::*;

    fn local(test: impl Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, test);
    }

    fn driver() -> Driver {
        let class = Class { aim: 500_000, deadline: 2_000_000, gain: 1.0, ..Class::default() };
        let settings =
            Settings { balancers: 1, tiers: 1, classes: vec![class], max_attempts: 3, ..Settings::default() };
        let backends =
            Rc::new(Backends::new(Transport { keepalive: 0, connect_timeout: 0, drain_grace: 0 }, 9));
        Driver::new(settings, 7, Clock::new(), backends, None, Rc::default())
    }

    #[test]
    fn what_is_open_when_the_decisions_panic_fails_at_once() {
        local(async {
            let mut driver = driver();
            let (answer, receiver) = oneshot::channel();
            let open = Open { message: Rc::default(), answer, attempts: Vec::new(), timed_out: false };
            driver.open.insert(RequestId(1), open);
            let seed = driver.seed;
            driver.start_anew(true);
            assert!(matches!(receiver.await, Ok(Answer::Failed)));
            let Some(list @ Input::Backends(ListScope::Cached, _)) = driver.following.pop_front() else {
                panic!("no list")
            };
            // The new balancer starts its own timers, and those of the old one come to nothing.
            driver.take(list);
            let Some(Input::Timer(new, token)) = driver.arriving.recv().await else { panic!("no timer") };
            assert_ne!(new, seed);
            driver.take(Input::Timer(seed, token));
            assert!(timeout(Duration::from_secs(1), driver.arriving.recv()).await.is_err());
            driver.take(Input::Timer(new, token));
            assert!(matches!(driver.arriving.recv().await, Some(Input::Timer(..))));
        });
    }

    #[test]
    fn an_attempt_whose_task_panics_may_have_run() {
        local(async {
            let mut driver = driver();
            let ending = Ending { handle: driver.handle(), request: RequestId(1), attempt: 2, said: false };
            let task = spawn_local(async move {
                let _ending = ending;
                panic!("on purpose");
            });
            assert!(task.await.is_err());
            let Some(Input::Ended(RequestId(1), 2, ended)) = driver.arriving.recv().await else {
                panic!("no outcome")
            };
            assert_eq!(ended.outcome, Outcome::Reset);
        });
    }

    #[test]
    fn unix_time_stands_on_the_monotonic_clock() {
        let clock = Clock { start: Instant::now(), unix_start: 1_700_000_000_000_000 };
        assert_eq!(clock.at_unix_ms(0.0), None, "0 is long ago");
        assert_eq!(clock.at_unix_ms(1_700_000_000_250.0), Some(250_000));
        assert_eq!(clock.at_unix_ms(1_699_999_999_000.0), Some(-1_000_000), "before this proxy's start");
        assert_eq!(clock.instant(250_000), clock.start + Duration::from_millis(250));
    }

    #[test]
    fn a_panic_is_caught() {
        local(async {
            assert_eq!(caught(async { 5 }).await, Some(5));
            assert_eq!(caught(async { panic!("on purpose") }).await, None::<()>);
        });
    }
}
