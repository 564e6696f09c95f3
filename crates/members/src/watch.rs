//! One proxy's watch of discovery: the calls that are out, what to do when one fails, breaks off or says nothing, and
//! the moment after which the list that is held may no longer be sent by.
//!
//! Two ways in which a call can go wrong must be told apart:
//!
//! - **It fails** in so many words: it is refused, reset, or answered with an error. Then nothing was told, and the list
//!   goes on to be relied on: an outage of discovery must not become one of the proxies. The watch [ends](Action::Ended),
//!   and asking again is for whoever began it.
//! - **Something may have been told that was not heard**: an answer broke off, cannot be read, or does not come
//!   although the time that the call asked to wait is over. Then the proxy [owes](Watch::hold) the news from a known moment
//!   on, whether it has them or not, and asks again by itself at once.

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
/// An answer that has begun is to be whole after this.
const REST: Micros = S;
/// Whatever discovery has to tell counts as told this long after the wait of a call is over, by the platform's page,
/// whether it arrived or not.
const TOLD: Micros = 2 * S;
/// The same for a call that does not wait.
const TOLD_PLAIN: Micros = 6 * S;
/// An answer without news that comes sooner is not followed by the next call at once: guards against a discovery that
/// does not wait. Far under the 200 ms within which the next call goes on with the same watch.
const SHORTEST_WATCH: Micros = 100 * MS;
/// Pause before a call that is to make up for a broken one, at most: it is drawn from the upper three quarters. Once
/// calls in a row were no use it is longer: discovery may be swamped, by these very calls.
const PAUSES: [Micros; 4] = [200 * MS, 2 * S, 4 * S, 8 * S];
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
    Failed(CallId),
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
}

impl Call {
    fn due(&self) -> Micros {
        self.heard.map_or(self.asked + self.wait.max(IN_TURN) + LATE, |heard| heard + REST)
    }

    /// When what it was to bring counts as told.
    fn told(&self) -> Micros {
        let silent = self.asked + if self.wait > 0 { self.wait + TOLD } else { TOLD_PLAIN };
        self.heard.map_or(silent, |heard| silent.min(heard + TOLD))
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
    calls: Vec<Call>,
    next: Option<Micros>,
    /// From when on something counts as told that was not heard.
    owed: Option<Micros>,
    /// Calls in a row that were to make up for others, and did not.
    tries: usize,
}

impl Watch {
    /// A watch that has not begun; is there a list already?
    #[must_use]
    pub fn new(policy: Policy, listed: bool, seed: u64) -> Watch {
        let (rng, calls) = (Rng::with_seed(seed), Vec::new());
        Watch { policy, rng, last: 0, on: false, listed, calls, next: None, owed: None, tries: 0 }
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
        let (hold, owed) = (self.policy.hold?, self.owed?);
        let from = owed + hold.grace - hold.margin;
        Some((from, from + hold.most))
    }

    /// Takes in one event and appends what to do about it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Begin if self.on => {}
            Event::Begin => self.ask(now, out),
            Event::Moved => {
                // It may count its versions in its own way: only a whole list says where it is.
                self.listed = false;
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
                (self.listed, self.owed, self.tries) = (true, None, 0);
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
            Event::Failed(id) => {
                if self.take(id).is_some() {
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

    fn ask(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.calls.len() >= MOST_CALLS {
            out.push(Action::Drop(self.calls.remove(0).id));
        }
        self.last += 1;
        let id = CallId(self.last);
        let wait = match (self.listed, self.owed) {
            (false, _) => 0,
            (true, Some(_)) => SHORT_WAIT,
            (true, None) => self.rng.i64(WAITS),
        };
        self.calls.push(Call { id, asked: now, wait, heard: None, late: false });
        (self.on, self.next) = (true, None);
        out.push(Action::Ask(id, wait));
    }

    /// Another call is to bring what one did not; it waits for none that is still out in time.
    fn make_up(&mut self, now: Micros) {
        if self.next.is_some() || self.calls.iter().any(|c| !c.late) {
            return;
        }
        let most = PAUSES[self.tries.min(PAUSES.len() - 1)];
        self.tries += 1;
        self.next = Some(now + self.rng.i64(most / 4..=most));
    }

    fn failed(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.owed.is_some() {
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
                let first = self.owed.is_none();
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
