//! One proxy's watch of discovery: when it is asked, the calls that are out, and what to do when one fails, breaks off or says
//! nothing. For how long the list may be sent by meanwhile is the matter of its [lease](crate::lease).
//!
//! Two ways in which a call can go wrong are told apart:
//!
//! - **It fails** in so many words: it is refused, reset, or answered with an error. Then nothing was notified; but what discovery
//!   had while it [could be reached](Failure) counts as notified six seconds later all the same.
//! - **Something may have been notified that was not heard**: an answer broke off, cannot be read, or does not come although the
//!   time that the call asked to wait is over.
//!
//! In both cases the watch asks again by itself. Where no terms bound the list a failure ends the watch ([`Action::Ended`]), and
//! asking again is for whoever began it.

use fastrand::Rng;

use crate::call::{Call, CallId, LATE, QUEUE_LIMIT};
use crate::lease::{Expiry, Failure, InitialList, Lease, LeaseTerms};
use crate::time::{Micros, MS, S};

/// The waits that a watch asks for are drawn from here. Guards against a discovery that says nothing behind an open
/// connection: until the call is given up nothing is known. Shorter costs discovery a call each time and proxy. Drawn
/// over as long as a discovery takes at most to answer one call of every proxy, by the platform's page, so that
/// proxies that started together, or heard of one change together, do not come back all at once.
const WAITS: std::ops::Range<Micros> = 2 * S..10 * S;
/// What a call asks to wait that is to show whether anything was missed.
const SHORT_WAIT: Micros = 250 * MS;
/// What a call asks to wait that is to confirm the list of a process that has just started: none, as far as the wire allows.
const CONFIRMING_WAIT: Micros = MS;
/// An answer without news that comes sooner, and sooner than its call asked to wait, is not followed by the next call at once:
/// guards against a discovery that does not wait. Far under the 200 ms within which the next call goes on with the same watch.
const SHORTEST_WATCH: Micros = 100 * MS;
/// A call that comes this soon after an answer goes on with the same watch, by the platform's page.
const WATCH_CONTINUES: Micros = 200 * MS;
/// Pause before a retry, at most: for the first time, and then; it is drawn from the upper three quarters. Shorter ones swamp a
/// discovery that comes back, and all hear of it later; with longer ones the next call may come after news count as notified.
const RETRY_PAUSES: [Micros; 2] = [200 * MS, 2 * S];
/// Pause before a retry, at most, where discovery turned the call away: the fleet's calls together are more than it can answer, and
/// each that it turns away costs it work. Shorter ones let it answer ever fewer. The retry is in time for the lease all the same.
const BACKOFF: Micros = 8 * S;
/// The same where nothing may be sent meanwhile.
const BACKOFF_EXPIRED: Micros = 4 * S;
/// The first call of a process that has no list is drawn from this, and the pauses of one that was never answered are at most
/// this: guards against a fleet that starts as one.
const FIRST_CALL: Micros = S;
/// Calls that are out at once: one that says nothing, and one beside it.
const MOST_CALLS: usize = 2;

/// How a watch behaves.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Discovery is a service that answers each call when its wait is over. Where lists are pushed to an agent beside the
    /// proxy, one that says nothing has nothing to say.
    pub answers_each: bool,
    /// None: the list is relied on for as long as it takes.
    pub lease: Option<LeaseTerms>,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The list is to be watched. A watch whose list has a lease begins by itself.
    Begin,
    /// Discovery is at another address: what is out is dropped, and the new one asked.
    Moved,
    /// The head of an answer has come.
    Heard(CallId),
    /// An answer has come whole and was taken in; did it change anything?
    Answered(CallId, bool),
    /// An answer broke off after it had begun, or cannot be read.
    Broke(CallId),
    /// It failed in so many words.
    Failed(CallId, Failure),
    /// Nothing: the time of [`Watch::wake_at`] has come.
    Wake,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask for what is newer than the list that is held, and let discovery wait this long for news; 0: ask for all of it.
    Ask(CallId, Micros),
    /// Close the connection of a call. Nothing of it is to be reported any more.
    Drop(CallId),
    /// The watch has ended; it goes on with the next [`Event::Begin`].
    Ended,
}

/// The state of one proxy's watch.
pub struct Watch {
    policy: Policy,
    rng: Rng,
    last_id: u64,
    is_on: bool,
    /// There is a list that discovery can tell changes to.
    has_version: bool,
    lease: Lease,
    calls: Vec<Call>,
    next_call_at: Option<Micros>,
    answered_at: Option<Micros>,
    /// Retries in a row that brought nothing.
    retries: usize,
    /// The last call that failed was answered with an error.
    was_turned_away: bool,
}

impl Watch {
    /// The watch of a process that starts now, with this list in hand.
    #[must_use]
    pub fn new(policy: Policy, list: InitialList, now: Micros, seed: u64) -> Watch {
        let mut rng = Rng::with_seed(seed);
        let has_version = list != InitialList::Absent;
        // A list that proves no age is of use only once it is confirmed; without one nothing can be served at all.
        let first_call_at = if has_version { now } else { now + rng.i64(0..FIRST_CALL) };
        let is_on = policy.lease.is_some();
        Watch {
            policy,
            rng,
            last_id: 0,
            is_on,
            has_version,
            lease: Lease::new(policy.lease, policy.answers_each, list, now),
            calls: Vec::new(),
            next_call_at: is_on.then_some(first_call_at),
            answered_at: None,
            retries: 0,
            was_turned_away: false,
        }
    }

    /// The next moment at which it wants [`Event::Wake`].
    #[must_use]
    pub fn wake_at(&self) -> Option<Micros> {
        let late = self.calls.iter().filter(|c| !c.is_late).map(Call::due_at);
        late.chain(self.next_call_at).chain(self.silence_confirms_at()).min()
    }

    fn silence_confirms_at(&self) -> Option<Micros> {
        self.calls.first().and_then(|call| self.lease.silence_confirms_at(call.asked_at))
    }

    /// The time in which nothing new may be sent to any endpoint, if there is one as things stand: from its begin until its
    /// end, or until an answer has come.
    #[must_use]
    pub fn expiry(&self) -> Option<Expiry> {
        self.lease.expiry(&self.calls)
    }

    /// Does the list that the process started with still wait for its first proof?
    #[must_use]
    pub fn is_unconfirmed(&self) -> bool {
        self.lease.is_unconfirmed()
    }

    /// It has begun, and has not ended since.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.is_on
    }

    /// Takes in one event and appends what to do about it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Begin => self.begin(now, out),
            Event::Moved => {
                // It may count its versions in its own way: only a whole list says where it is.
                self.has_version = false;
                self.lease.move_address(now);
                self.drop_all(out);
                self.ask(now, out);
            }
            Event::Heard(id) => {
                if let Some(call) = self.calls.iter_mut().find(|c| c.id == id) {
                    call.answer_began_at.get_or_insert(now);
                }
            }
            Event::Answered(id, news) => self.answered(now, id, news, out),
            Event::Broke(id) => {
                let Some(mut call) = self.take(id) else { return };
                call.answer_began_at.get_or_insert(now);
                self.lease.miss_answer(call.notified_at());
                self.plan_retry(now);
            }
            Event::Failed(id, failure) => {
                if let Some(call) = self.take(id) {
                    self.lease.fail(now, &call, failure);
                    self.was_turned_away = failure == Failure::Answered;
                    self.failed(now, out);
                }
            }
            Event::Wake => self.wake(now, out),
        }
    }

    fn begin(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.is_on {
            return self.ask_if_due(now, out);
        }
        if !self.has_version && self.last_id == 0 {
            // Nothing can be served before its answer.
            self.is_on = true;
            self.next_call_at = Some(now + self.rng.i64(0..FIRST_CALL));
            return;
        }
        self.ask(now, out);
    }

    fn answered(&mut self, now: Micros, id: CallId, news: bool, out: &mut Vec<Action>) {
        let Some(call) = self.take(id) else { return };
        // An older call's answer would say again what this one has said, or less.
        self.drop_all(out);
        self.lease.confirm(now);
        (self.has_version, self.retries, self.was_turned_away) = (true, 0, false);
        self.answered_at = Some(now);
        let soonest = call.asked_at + if news { 0 } else { call.wait.min(SHORTEST_WATCH) };
        if soonest <= now {
            self.ask(now, out);
        } else {
            self.next_call_at = Some(soonest);
        }
    }

    fn take(&mut self, id: CallId) -> Option<Call> {
        let place = self.calls.iter().position(|c| c.id == id)?;
        Some(self.calls.remove(place))
    }

    fn drop_all(&mut self, out: &mut Vec<Action>) {
        out.extend(self.calls.drain(..).map(|c| Action::Drop(c.id)));
        self.next_call_at = None;
    }

    fn ask(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.calls.len() >= MOST_CALLS {
            out.push(Action::Drop(self.calls.remove(0).id));
        }
        self.last_id += 1;
        let id = CallId(self.last_id);
        let wait = self.draw_wait();
        let continues_watch = wait > 0 && self.answered_at.is_some_and(|at| now <= at + WATCH_CONTINUES);
        self.calls.push(Call {
            id,
            asked_at: now,
            wait,
            answer_began_at: None,
            is_late: false,
            continues_watch,
        });
        (self.is_on, self.next_call_at) = (true, None);
        out.push(Action::Ask(id, wait));
    }

    fn draw_wait(&mut self) -> Micros {
        if !self.has_version {
            0
        } else if self.policy.answers_each && self.lease.is_unconfirmed() {
            CONFIRMING_WAIT
        } else if self.lease.is_in_doubt() {
            SHORT_WAIT
        } else {
            self.rng.i64(WAITS)
        }
    }

    /// Another call is to bring what one did not; it waits for none that is still out in time.
    fn plan_retry(&mut self, now: Micros) {
        if self.next_call_at.is_some() || self.calls.iter().any(|c| !c.is_late) {
            return;
        }
        let longest = self.longest_pause(now);
        self.retries += 1;
        self.next_call_at = Some(now + self.rng.i64(longest / 4..=longest));
    }

    /// Before a retry, by what became of the last call.
    fn longest_pause(&self, now: Micros) -> Micros {
        // An agent beside the proxy bears any number of calls.
        if !self.policy.answers_each {
            return RETRY_PAUSES[0];
        }
        let usual = RETRY_PAUSES[usize::from(self.retries > 0)];
        if !self.lease.is_confirmed() && !self.has_version {
            return usual.min(FIRST_CALL);
        }
        // The end of an outage may be at any moment, and the calls after it have to be in time.
        if !self.was_turned_away || self.lease.is_outage_believed() {
            return usual;
        }
        match self.expiry() {
            Some(expiry) if now < expiry.from => {
                let in_time = expiry.from - now - QUEUE_LIMIT - LATE;
                in_time.clamp(usual, BACKOFF)
            }
            _ => BACKOFF_EXPIRED,
        }
    }

    fn failed(&mut self, now: Micros, out: &mut Vec<Action>) {
        let asks_by_itself = self.policy.lease.is_some() && self.policy.answers_each;
        if self.lease.is_in_doubt() || (asks_by_itself && !self.has_version) {
            self.plan_retry(now);
        } else if self.calls.is_empty() {
            (self.is_on, self.next_call_at) = (false, None);
            out.push(Action::Ended);
        }
    }

    fn wake(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.silence_confirms_at().is_some_and(|at| at <= now) {
            self.lease.confirm(now);
        }
        let mut place = 0;
        while let Some(call) = self.calls.get_mut(place) {
            if call.is_late || call.due_at() > now {
                place += 1;
                continue;
            }
            let (notified, begun) = (call.notified_at(), call.answer_began_at.is_some());
            if self.policy.answers_each && !begun {
                // It stays open beside its retry: it may only be slow.
                call.is_late = true;
                place += 1;
                let first = !self.lease.is_in_doubt();
                self.lease.miss_answer(notified);
                if first {
                    self.next_call_at = Some(now);
                } else {
                    self.plan_retry(now);
                }
                continue;
            }
            let call = self.calls.remove(place);
            out.push(Action::Drop(call.id));
            if begun {
                self.lease.miss_answer(notified);
                self.plan_retry(now);
            } else {
                self.failed(now, out);
            }
        }
        self.ask_if_due(now, out);
    }

    fn ask_if_due(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.next_call_at.is_some_and(|at| at <= now) {
            self.ask(now, out);
        }
    }
}
