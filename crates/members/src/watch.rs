//! One proxy's watch of discovery: the calls that are out, what to do when one fails, breaks off or says nothing, and
//! the moment after which the list that is held may no longer be sent by.
//!
//! Two ways in which a call can go wrong must be told apart:
//!
//! - **It fails** in so many words: it is refused, reset, or answered with an error. Then nothing was told; but what
//!   discovery had while it [could be reached](Failure) counts as told six seconds later all the same. The list is relied
//!   on until then, and the watch asks again by itself, often enough to hear of it in time.
//! - **Something may have been told that was not heard**: an answer broke off, cannot be read, or does not come
//!   although the time that the call asked to wait is over. Then the proxy [owes](Watch::hold) the news from a known moment
//!   on, whether it has them or not, and asks again by itself at once.
//!
//! Where nothing says in which time drains must be kept a failure ends the watch ([`Action::Ended`]), the list is relied on
//! for as long as it takes, and asking again is for whoever began it.

use fastrand::Rng;

/// Microseconds on a monotonic clock.
pub type Micros = i64;

const MS: Micros = 1_000;
const S: Micros = 1_000 * MS;

/// The waits that a watch asks for are drawn from here. Guards against a discovery that says nothing behind an open
/// connection: until the call is given up nothing is known. Shorter costs discovery a call each time and proxy. Drawn
/// over as long as a discovery takes at most to answer one call of every proxy, by the platform's page, so that
/// proxies that started together, or were told of one change together, do not come back all at once.
const WAITS: std::ops::Range<Micros> = 2 * S..10 * S;
/// What a call asks to wait that is to show whether anything was missed.
const SHORT_WAIT: Micros = 250 * MS;
/// An answer is late when it has not begun by this time after the wait that was asked for.
const LATE: Micros = 250 * MS;
/// Discovery takes calls in turn and turns away one that would wait for longer than this, by the platform's page.
const IN_TURN: Micros = 2 * S;
/// An error that comes sooner was not waited for.
const AT_ONCE: Micros = 100 * MS;
/// An answer that has begun is to be whole after this.
const REST: Micros = S;
/// Whatever discovery has to tell counts as told this long after the wait of a call is over, by the platform's page,
/// whether it arrived or not.
const TOLD: Micros = 2 * S;
/// What discovery had, and could be reached for, counts as told this long after, whatever became of the calls for it.
const TOLD_ANYHOW: Micros = 6 * S;
/// An answer without news that comes sooner is not followed by the next call at once: guards against a discovery that
/// does not wait. Far under the 200 ms within which the next call goes on with the same watch.
const SHORTEST_WATCH: Micros = 100 * MS;
/// A call that comes this soon after an answer goes on with the same watch, by the platform's page.
const WATCH_KEPT: Micros = 200 * MS;
/// Pause before a call that is to make up for one that was of no use, at most: for the first time, and then; it is drawn from
/// the upper three quarters. Shorter ones swamp a discovery that comes back, and all hear of it later; with longer ones the next
/// call may come after the time after which news count as told.
const PAUSES: [Micros; 2] = [200 * MS, 2 * S];
/// The moment of a first call where no list is known is drawn from this, and so are the pauses until there is one: guards
/// against a fleet that starts as one.
const FIRST_CALL: Micros = S;
/// Calls that are out at once: one that says nothing, and one beside it.
const MOST_CALLS: usize = 2;

/// Numbers the calls of one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What is owed once something may have been told that was not heard.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// From when it counts as told, sends must end within this.
    pub grace: Micros,
    /// They end this much sooner, for what is under way.
    pub margin: Micros,
    /// No longer than this: by then what drained has gone, and refuses by itself what is sent there.
    pub most: Micros,
    /// A discovery whose errors take their time is believed to be down for so long: from outside, one that is down and one
    /// that has come back, and has too many callers, say the same.
    pub outage: Micros,
}

/// How a watch behaves.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Discovery is a service that answers each call when its wait is over. Where lists are pushed to an agent beside the
    /// proxy, one that says nothing has nothing to say.
    pub answers_each: bool,
    /// None: the list is relied on for as long as it takes.
    pub hold: Option<Hold>,
}

/// How a call failed, and so what is known of whether discovery could be reached meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The kernel of its machine refused the connection: nobody could reach it at that moment.
    Refused,
    /// It answered with an error: it could be reached, and the connection stood until then.
    Answered,
    /// It took the connection, which then broke with no answer: it may have been silent before.
    Cut,
    /// No connection came about: it may be there for others, and for the next call.
    Unreached,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The list is to be watched.
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
    /// Close the connection of a call. Nothing of it is to be told any more.
    Drop(CallId),
    /// The watch has ended; it goes on with the next [`Event::Begin`].
    Ended,
}

struct Call {
    id: CallId,
    asked: Micros,
    wait: Micros,
    heard: Option<Micros>,
    /// It has been found late, and another is to make up for it.
    late: bool,
    /// It goes on with the watch of the last answer, with no turn to wait for.
    goes_on: bool,
}

impl Call {
    fn due(&self) -> Micros {
        self.heard.map_or(self.asked + self.wait.max(IN_TURN) + LATE, |heard| heard + REST)
    }

    /// When what it was to bring counts as told.
    fn told(&self) -> Micros {
        let silent = self.asked + if self.wait > 0 { self.wait + TOLD } else { TOLD_ANYHOW };
        self.heard.map_or(silent, |heard| silent.min(heard + TOLD))
    }

    /// Is this the time after which discovery turns away a call that has not come to its turn?
    fn was_in_turn(&self, now: Micros) -> bool {
        (now - self.asked - IN_TURN).abs() <= LATE
    }

    /// Was it watching, as far as its time tells?
    fn watched(&self, now: Micros) -> bool {
        self.goes_on || now > self.asked + IN_TURN + LATE
    }
}

/// The state of one proxy's watch.
pub struct Watch {
    policy: Policy,
    rng: Rng,
    last: u64,
    on: bool,
    /// There is a list that changes can be told to.
    listed: bool,
    /// There has never been one.
    is_blank: bool,
    calls: Vec<Call>,
    next: Option<Micros>,
    /// From when on something counts as told that was not heard.
    owed: Option<Micros>,
    /// From when on whatever discovery has counts as told, since calls fail.
    missed: Option<Micros>,
    /// Discovery may have been reached by others since, and may have had something then.
    was_there: bool,
    /// Nobody could reach it last time.
    was_refused: bool,
    /// Since when it is believed to be down.
    down: Option<Micros>,
    /// When an answer came last.
    answered: Option<Micros>,
    /// Calls in a row that were to make up for others, and did not.
    tries: usize,
}

impl Watch {
    /// A watch that has not begun; is there a list already?
    #[must_use]
    pub fn new(policy: Policy, listed: bool, seed: u64) -> Watch {
        let (rng, calls) = (Rng::with_seed(seed), Vec::new());
        Watch {
            policy,
            rng,
            last: 0,
            on: false,
            listed,
            is_blank: !listed,
            calls,
            next: None,
            owed: None,
            missed: None,
            was_there: false,
            was_refused: false,
            down: None,
            answered: None,
            tries: 0,
        }
    }

    /// The next moment at which it wants [`Event::Wake`].
    #[must_use]
    pub fn wake_at(&self) -> Option<Micros> {
        let late = self.calls.iter().filter(|c| !c.late).map(Call::due);
        late.chain(self.next).min()
    }

    /// The time in which nothing new may be sent to any node, if there is one as things stand: from its begin until its
    /// end, or until an answer has come. Earlier is kept where several calls went wrong.
    #[must_use]
    pub fn hold(&self) -> Option<(Micros, Micros)> {
        let (hold, first) = (self.policy.hold?, self.owed()?);
        let last = self.owed.max(self.missed).unwrap_or(first);
        let begins = |owed: Micros| owed + hold.grace - hold.margin;
        Some((begins(first), begins(last) + hold.most))
    }

    /// From when on anything counts as told that was not heard.
    fn owed(&self) -> Option<Micros> {
        self.owed.into_iter().chain(self.missed).min()
    }

    /// Takes in one event and appends what to do about it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Begin if self.on => {}
            Event::Begin if !self.listed && self.last == 0 => {
                // Nothing can be served before its answer.
                (self.on, self.next) = (true, Some(now + self.rng.i64(0..FIRST_CALL)));
            }
            Event::Begin => self.ask(now, out),
            Event::Moved => {
                // It may count its versions in its own way: only a whole list says where it is.
                self.listed = false;
                // The whole fleet moves with it: its first errors tell of a crowd, and of nothing that was there before.
                self.down.get_or_insert(now);
                self.drop_all(out);
                self.ask(now, out);
            }
            Event::Heard(id) => {
                if let Some(call) = self.calls.iter_mut().find(|c| c.id == id) {
                    call.heard.get_or_insert(now);
                }
            }
            Event::Answered(id, news) => {
                let Some(call) = self.take(id) else { return };
                // An older call's answer would say again what this one has said, or less.
                self.drop_all(out);
                (self.listed, self.owed, self.missed, self.tries) = (true, None, None, 0);
                (self.was_there, self.down, self.answered) = (false, None, Some(now));
                (self.is_blank, self.was_refused) = (false, false);
                let soonest = call.asked + if news { 0 } else { SHORTEST_WATCH };
                if soonest <= now {
                    self.ask(now, out);
                } else {
                    self.next = Some(soonest);
                }
            }
            Event::Broke(id) => {
                let Some(mut call) = self.take(id) else { return };
                call.heard.get_or_insert(now);
                self.owe(call.told());
                self.make_up(now);
            }
            Event::Failed(id, failure) => {
                if let Some(call) = self.take(id) {
                    self.miss(now, &call, failure);
                    self.failed(now, out);
                }
            }
            Event::Wake => self.wake(now, out),
        }
    }

    fn take(&mut self, id: CallId) -> Option<Call> {
        let place = self.calls.iter().position(|c| c.id == id)?;
        Some(self.calls.remove(place))
    }

    fn drop_all(&mut self, out: &mut Vec<Action>) {
        out.extend(self.calls.drain(..).map(|c| Action::Drop(c.id)));
        self.next = None;
    }

    fn owe(&mut self, from: Micros) {
        self.owed = Some(self.owed.map_or(from, |owed| owed.min(from)));
    }

    /// Takes note of a call that failed: what discovery had meanwhile counts as told some time, heard or not.
    fn miss(&mut self, now: Micros, call: &Call, failure: Failure) {
        let Some(hold) = self.policy.hold else { return };
        if !self.policy.answers_each {
            // What an agent has counts as told at once. One that nobody can reach has nothing.
            match failure {
                Failure::Answered | Failure::Cut => self.missed.get_or_insert(now),
                Failure::Refused | Failure::Unreached => return self.missed = None,
            };
            return;
        }
        let was_up = self.down.is_none();
        match failure {
            Failure::Refused => self.down = None,
            // It may be down: then calls are given up in their turn, with words or without, and watches end at any moment.
            Failure::Answered | Failure::Cut if call.was_in_turn(now) => {
                self.down.get_or_insert(call.asked);
            }
            Failure::Answered if now - call.asked >= AT_ONCE => {
                self.down.get_or_insert(now);
            }
            _ => {}
        }
        let told = match (failure, self.down) {
            (Failure::Refused, _) => now + TOLD_ANYHOW,
            (_, Some(since)) => since + hold.outage + TOLD_ANYHOW,
            // It may have been silent before it broke.
            (Failure::Cut, None) if call.watched(now) => {
                now.min(call.asked + (call.wait + TOLD - TOLD_ANYHOW).max(0)) + TOLD_ANYHOW
            }
            _ => call.asked + TOLD_ANYHOW,
        };
        // The time counts anew from when nobody could reach it, unless it was there in between; and where it may be down
        // since then.
        let goes_down = self.was_refused && was_up && self.down.is_some();
        let anew = (failure == Failure::Refused || goes_down) && !self.was_there;
        self.was_refused = failure == Failure::Refused;
        self.missed = Some(self.missed.filter(|_| !anew).map_or(told, |missed| missed.min(told)));
        self.was_there |= failure != Failure::Refused && self.down.is_none() && !call.watched(now);
    }

    fn ask(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.calls.len() >= MOST_CALLS {
            out.push(Action::Drop(self.calls.remove(0).id));
        }
        self.last += 1;
        let id = CallId(self.last);
        let wait = match (self.listed, self.owed()) {
            (false, _) => 0,
            (true, Some(_)) => SHORT_WAIT,
            (true, None) => self.rng.i64(WAITS),
        };
        let goes_on = wait > 0 && self.answered.is_some_and(|at| now <= at + WATCH_KEPT);
        self.calls.push(Call { id, asked: now, wait, heard: None, late: false, goes_on });
        (self.on, self.next) = (true, None);
        out.push(Action::Ask(id, wait));
    }

    /// Another call is to bring what one did not; it waits for none that is still out in time.
    fn make_up(&mut self, now: Micros) {
        if self.next.is_some() || self.calls.iter().any(|c| !c.late) {
            return;
        }
        // An agent beside the proxy bears any number of calls.
        let most = match PAUSES[usize::from(self.tries > 0 && self.policy.answers_each)] {
            // Nothing can be served before.
            most if self.is_blank => most.min(FIRST_CALL),
            most => most,
        };
        self.tries += 1;
        self.next = Some(now + self.rng.i64(most / 4..=most));
    }

    fn failed(&mut self, now: Micros, out: &mut Vec<Action>) {
        let asks_again = self.policy.hold.is_some() && self.policy.answers_each;
        if self.owed().is_some() || (asks_again && !self.listed) {
            self.make_up(now);
        } else if self.calls.is_empty() {
            (self.on, self.next) = (false, None);
            out.push(Action::Ended);
        }
    }

    fn wake(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut place = 0;
        while let Some(call) = self.calls.get_mut(place) {
            if call.late || call.due() > now {
                place += 1;
                continue;
            }
            let (told, begun) = (call.told(), call.heard.is_some());
            if self.policy.answers_each && !begun {
                // It stays open beside the one that makes up for it: it may only be slow.
                call.late = true;
                place += 1;
                let first = self.owed().is_none();
                self.owe(told);
                if first {
                    self.next = Some(now);
                } else {
                    self.make_up(now);
                }
                continue;
            }
            let call = self.calls.remove(place);
            out.push(Action::Drop(call.id));
            if begun {
                self.owe(told);
                self.make_up(now);
            } else {
                self.failed(now, out);
            }
        }
        if self.next.is_some_and(|at| at <= now) {
            self.ask(now, out);
        }
    }

    /// It has begun, and has not ended since.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.on
    }
}
