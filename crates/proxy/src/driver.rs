//! The one owner of the decisions: turns what happens on sockets into events, and carries out the actions.
//!
//! I/O tasks tell it what they saw through a [`Handle`]; it takes these inputs one at a time and in order,
//! so events never nest and nothing here needs a lock.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

use decide::Balancer;
use decide::{Action, EndpointId, Event, LoadReport, Micros, Outcome, RequestId, Settings, UpdateScope};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};

use crate::clock::Clock;
use crate::exchange::{Answer, Attempts, Client, Ended, Message, Patience};
use crate::gossip::GossipSocket;
use crate::inbox::{DriverHandle, DriverInput};
use crate::log::say;
use crate::upstream::{AttemptRequest, Upstreams};

/// A request that is owed an answer.
struct Open {
    message: Rc<Message>,
    client: Client,
    answer: oneshot::Sender<Answer>,
    begun: Attempts,
    attempts: Vec<Attempt>,
    /// The last attempt that ended ran out of time.
    timed_out: bool,
    /// An attempt ended in a way that does not prove that nothing ran.
    may_have_run: bool,
}

struct Attempt {
    backend: EndpointId,
    sent: Micros,
    /// While it runs.
    task: Option<AbortHandle>,
    /// A byte of it may have been written.
    begun: Rc<Cell<bool>>,
}

impl Attempt {
    /// What it comes to when it is called off.
    fn called_off(&self) -> Outcome {
        if self.begun.get() {
            Outcome::Cancelled
        } else {
            Outcome::NotSent
        }
    }
}

pub struct Driver {
    clock: Clock,
    settings: Settings,
    seed: u64,
    balancer: Balancer,
    open: BTreeMap<RequestId, Open>,
    backends: Rc<Upstreams>,
    peers: Option<Rc<GossipSocket>>,
    subscribe: Rc<Notify>,
    handle: DriverHandle,
    arriving: mpsc::UnboundedReceiver<DriverInput>,
    /// What followed from the last input at once; it comes before what arrives.
    following: VecDeque<DriverInput>,
}

impl Driver {
    /// `subscribe` is notified when the decisions ask for the list of backends.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        backends: Rc<Upstreams>,
        peers: Option<Rc<GossipSocket>>,
        subscribe: Rc<Notify>,
    ) -> Driver {
        let (handle, arriving) = DriverHandle::new();
        Driver {
            clock,
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            seed,
            open: BTreeMap::new(),
            backends,
            peers,
            subscribe,
            handle,
            arriving,
            following: VecDeque::new(),
        }
    }

    pub fn handle(&self) -> DriverHandle {
        self.handle.clone()
    }

    /// Takes inputs, one at a time, for as long as it is polled.
    pub async fn run(mut self) {
        while let Some(input) = self.arriving.recv().await {
            self.following.push_back(input);
            while let Some(input) = self.following.pop_front() {
                // A new balancer that panics on the very list does not get it again.
                let relisted = matches!(input, DriverInput::Backends(UpdateScope::Cached, _));
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
            self.following.push_back(DriverInput::Backends(UpdateScope::Cached, self.backends.entries()));
        }
    }

    // ---- Events ----

    fn take(&mut self, input: DriverInput) {
        match input {
            DriverInput::Backends(scope, entries) => {
                self.decide(Event::EndpointUpdate { scope, endpoints: &entries })
            }
            DriverInput::Request(new, message, client, begun, answer) => {
                let attempts = Vec::new();
                let open =
                    Open { message, client, answer, begun, attempts, timed_out: false, may_have_run: false };
                if let Some(flow) = open.message.body().streaming() {
                    let (handle, id) = (self.handle(), new.id);
                    flow.on_complete(move || handle.tell(DriverInput::Came(id)));
                }
                self.open.insert(new.id, open);
                self.decide(Event::Request(new));
            }
            DriverInput::Came(id) => self.decide(Event::BodyReceived(id)),
            DriverInput::Ended(id, nth, ended) => self.ended(id, nth, ended),
            DriverInput::Dropped(id, nth, made, outcome) => self.outcome(id, nth, made, outcome, true, None),
            DriverInput::ClientGone(id) => self.client_gone(id),
            // A timer of a balancer that has gone would set off a second round of them in the new one.
            DriverInput::Timer(seed, token) if seed == self.seed => self.decide(Event::Timer(token)),
            DriverInput::Timer(..) => {}
            DriverInput::Told(from, payload) => {
                self.decide(Event::GossipReceived { from, payload: &payload })
            }
            DriverInput::Probed { backend, sent, ended } => {
                let (took, report) = (self.clock.now() - sent, ended.report);
                self.decide(Event::HealthChecked { endpoint: backend, outcome: ended.outcome, took, report });
            }
            DriverInput::Learn(told) => self.balancer.import_learned_state(self.clock.now(), &told),
            DriverInput::Avoided(asked) => {
                let _ = asked.send(self.balancer.ejected_count(self.clock.now()));
            }
            DriverInput::State(asked) => {
                // Who asked may have gone.
                let _ = asked.send(self.balancer.learned_state(self.clock.now()));
            }
        }
    }

    fn client_gone(&mut self, id: RequestId) {
        if let Some(open) = self.open.remove(&id) {
            self.decide(Event::ClientDisconnected(id));
            self.drop_attempts(id, open.attempts);
        }
    }

    /// An attempt has its outcome; one that was called off has had it already.
    fn ended(&mut self, id: RequestId, nth: usize, ended: Ended) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(nth).filter(|a| a.task.is_some()) else { return };
        attempt.task = None;
        let (backend, sent) = (attempt.backend, attempt.sent);
        open.timed_out = ended.outcome == Outcome::Timeout;
        open.may_have_run |= !ended.outcome.never_ran();
        if ended.answer.is_none() && open.client.has_left() {
            // Its end is not heard of yet. Nothing further is to be begun for it.
            self.client_gone(id);
        }
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
        (backend, sent): (EndpointId, Micros),
        outcome: Outcome,
        is_final: bool,
        report: Option<LoadReport>,
    ) {
        let took = self.clock.now() - sent;
        self.decide(Event::AttemptEnded {
            request,
            attempt,
            endpoint: backend,
            outcome,
            took,
            is_final,
            report,
        });
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
            Action::Send { request, endpoint: backend, deadline: until } => {
                self.send(request, backend, until)
            }
            Action::Reject { request, retry_after } => {
                let never_ran = self
                    .open
                    .get(&request)
                    .is_some_and(|o| !o.may_have_run && o.attempts.iter().all(|a| a.task.is_none()));
                self.answer(request, Answer::Refused { retry_after, never_ran });
            }
            Action::Fail(id) => {
                let late = self.open.get(&id).is_some_and(|o| o.timed_out);
                self.answer(id, if late { Answer::TimedOut } else { Answer::Failed });
            }
            Action::Cancel { request, attempt } => {
                let made = self.open.get(&request).and_then(|o| o.attempts.get(attempt));
                if let Some((made, task)) = made.and_then(|made| Some((made, made.task.as_ref()?))) {
                    task.abort();
                    let called_off = made.called_off();
                    self.following.push_back(DriverInput::Ended(request, attempt, called_off.into()));
                }
            }
            Action::Timer { at, token } => {
                let (handle, at, seed) = (self.handle(), self.clock.instant(at), self.seed);
                spawn_local(async move {
                    tokio::time::sleep_until(at).await;
                    handle.tell(DriverInput::Timer(seed, token));
                });
            }
            Action::PollDiscovery => self.subscribe.notify_one(),
            Action::HealthCheck(backend) => {
                let (handle, backends, sent) = (self.handle(), self.backends.clone(), self.clock.now());
                spawn_local(async move {
                    let ended = backends.health_check(backend).await;
                    handle.tell(DriverInput::Probed { backend, sent, ended });
                });
            }
            Action::SendGossip { to, payload } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &payload);
                }
            }
            Action::Log(text) => say(format_args!("{text}")),
        }
    }

    fn send(&mut self, request: RequestId, backend: EndpointId, until: Micros) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let attempt = open.attempts.len();
        open.begun.begin();
        let mut ending = Ending { handle: self.handle.clone(), request, attempt, said: false };
        let patience = open.message.extensions().get::<Patience>().map(|p| p.0);
        let until = self.clock.instant(until);
        let begun = Rc::<Cell<bool>>::default();
        let order = AttemptRequest {
            backend,
            message: open.message.clone(),
            client: open.client.clone(),
            until,
            patience,
            begun: Rc::clone(&begun),
        };
        let backends = self.backends.clone();
        let task = spawn_local(async move {
            let (ended, link) = backends.attempt(&order).await;
            ending.say(ended);
            backends.reuse(backend, link).await;
        });
        let sent = self.clock.now();
        open.attempts.push(Attempt { backend, sent, task: Some(task.abort_handle()), begun });
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
            if let Some(task) = &attempt.task {
                task.abort();
                let made = (attempt.backend, attempt.sent);
                self.following.push_back(DriverInput::Dropped(id, nth, made, attempt.called_off()));
            }
        }
    }
}

/// Sees to it that an attempt has an outcome, also if its task panics: then it may have run.
struct Ending {
    handle: DriverHandle,
    request: RequestId,
    attempt: usize,
    said: bool,
}

impl Ending {
    fn say(&mut self, ended: Ended) {
        self.said = true;
        self.handle.tell(DriverInput::Ended(self.request, self.attempt, ended));
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
    use std::future::Future;
    use std::time::Duration;

    use decide::platform_settings::Transport;
    use tokio::task::LocalSet;
    use tokio::time::timeout;

    use super::*;

    fn local(test: impl Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, test);
    }

    fn driver() -> Driver {
        let class = decide::Class {
            latency_objective: 500_000,
            deadline: 2_000_000,
            priority_weight: 1.0,
            ..decide::Class::default()
        };
        let settings =
            Settings { balancers: 1, tiers: 1, classes: vec![class], max_attempts: 3, ..Settings::default() };
        let backends =
            Rc::new(Upstreams::new(Transport { keepalive: 0, connect_timeout: 0, drain_grace: 0 }, 9));
        Driver::new(settings, 7, Clock::new(), backends, None, Rc::default())
    }

    #[test]
    fn what_is_open_when_the_decisions_panic_fails_at_once() {
        local(async {
            let mut driver = driver();
            let (answer, receiver) = oneshot::channel();
            let open = Open {
                message: Rc::default(),
                client: Client::default(),
                answer,
                begun: Attempts::default(),
                attempts: Vec::new(),
                timed_out: false,
                may_have_run: false,
            };
            driver.open.insert(RequestId(1), open);
            let seed = driver.seed;
            driver.start_anew(true);
            assert!(matches!(receiver.await, Ok(Answer::Failed)));
            let Some(list @ DriverInput::Backends(UpdateScope::Cached, _)) = driver.following.pop_front()
            else {
                panic!("no list")
            };
            // The new balancer starts its own timers, and those of the old one come to nothing.
            driver.take(list);
            let Some(DriverInput::Timer(new, token)) = driver.arriving.recv().await else {
                panic!("no timer")
            };
            assert_ne!(new, seed);
            driver.take(DriverInput::Timer(seed, token));
            assert!(timeout(Duration::from_secs(1), driver.arriving.recv()).await.is_err());
            driver.take(DriverInput::Timer(new, token));
            assert!(matches!(driver.arriving.recv().await, Some(DriverInput::Timer(..))));
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
            let Some(DriverInput::Ended(RequestId(1), 2, ended)) = driver.arriving.recv().await else {
                panic!("no outcome")
            };
            assert_eq!(ended.outcome, Outcome::Reset);
        });
    }
}
