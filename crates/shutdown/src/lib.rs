//! The end of a process: until when it takes connections and requests, how long a request may still take, which
//! connections close when, and when the process may leave.
//!
//! Pure: no I/O and no clock; times are microseconds on a monotonic clock. One [`Shutdown`] belongs to one listener. An
//! only proxy, one of many, and one that shares its listening socket with its successor are cases of the same machine.
//!
//! ```text
//! told   accepts and serves        closes what is idle         only answers that are out
//!   |------------------------------|---------------------------|------------------------------> killed
//!   0                              serves_until                answers_by                       kill
//! ```
#![warn(missing_docs)]

/// Microseconds on a monotonic clock.
pub type Micros = i64;

const MS: Micros = 1_000;

/// Connections are accepted for at least this long after the word to end: a front takes up to 400 ms to notice.
const STILL_ACCEPTING: Micros = 500 * MS;
/// No kill follows the word to end sooner than this and the longest time that a client waits.
const KILL: Micros = 700 * MS;
/// No longer wait than this counts towards it.
const MOST_OF_WAIT: Micros = 3_000 * MS;
/// Requests are taken until this much before the kill: most answers take less.
const LAST_REQUESTS: Micros = 1_200 * MS;
/// And where callers have nowhere else to go until this much before: what is hopeless is refused at once.
const LAST_REQUESTS_ALONE: Micros = 500 * MS;
/// Answers are out this much before the kill, and three times the process's own lateness if that is more: the word to
/// end may be heard late, the time that is up seen late, and the answer written late.
const MARGIN: Micros = 200 * MS;
/// But at most this part of the time until the kill goes to that.
const MARGIN_OF: Micros = 4;
/// Whoever comes later still has this long: enough to be refused in so many words.
const LEAST: Micros = 50 * MS;
/// A caller is expected to send its first request within this time of its connection.
const NEW: Micros = 250 * MS;
/// Half a request is waited for so long once nothing new is taken, where no kill cuts that short.
const LAST_WORDS: Micros = 1_000 * MS;
/// The part of a lateness that still counts after another look.
const LATENESS_KEPT: f64 = 0.95;

/// What stands before the word to end comes.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The longest time that a client may wait for its answer.
    pub longest_wait: Micros,
    /// The process is killed soon after that time, whatever it still holds: all is answered before.
    pub is_killed: bool,
    /// Callers may have nowhere else to go meanwhile.
    pub is_alone: bool,
    /// Another process has the listening socket as well, and goes on with it.
    pub is_shared: bool,
}

/// What is known of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// A request on it has no answer yet.
    pub is_busy: bool,
    /// It has had a request.
    pub has_asked: bool,
    /// A part of its next request has come.
    pub has_begun: bool,
    /// Its start or its last answer.
    pub used: Micros,
}

impl Connection {
    /// Has it just come, so that its first request is on its way?
    #[must_use]
    pub fn is_new(&self, now: Micros) -> bool {
        !self.has_asked && now < self.used + NEW
    }
}

/// What becomes of a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It stays as it is.
    Keep,
    /// It ends with the answer to the request that is on it or on its way; until then it stays.
    AfterAnswer,
    /// It is closed.
    Close,
}

/// The end of one listener's callers.
#[derive(Clone, Debug)]
pub struct Shutdown {
    terms: Terms,
    told: Option<Micros>,
    /// How late the process came round to what was due, lately, at most.
    lateness: Micros,
}

impl Shutdown {
    /// Nothing has been said yet.
    #[must_use]
    pub fn new(terms: Terms) -> Shutdown {
        Shutdown { terms, told: None, lateness: 0 }
    }

    /// A client was heard to wait for so long. Where the platform's own figures say when it kills, such words do not
    /// move that.
    pub fn waits(&mut self, patience: Micros) {
        if !self.terms.is_killed {
            self.terms.longest_wait = self.terms.longest_wait.max(patience);
        }
    }

    /// What was due came so much late.
    pub fn was_late(&mut self, by: Micros) {
        self.lateness = by.max((self.lateness as f64 * LATENESS_KEPT) as Micros);
    }

    /// The word to end. Said again it changes nothing.
    pub fn tell(&mut self, now: Micros) {
        self.told.get_or_insert(now);
    }

    /// Was it told to end?
    #[must_use]
    pub fn is_told(&self) -> bool {
        self.told.is_some()
    }

    /// From the word to end to the earliest kill.
    fn until_kill(&self) -> Micros {
        self.terms.longest_wait.clamp(0, MOST_OF_WAIT) + KILL
    }

    /// From the word to end until nothing more is taken.
    ///
    /// Guards against a time with no proxy at all: while others of the tier restart too, or die, callers can often go
    /// nowhere else. Who meets a closed port takes the proxy for dead and leaves the connections as well.
    #[must_use]
    pub fn serves_on(&self) -> Micros {
        let last = if self.terms.is_alone { LAST_REQUESTS_ALONE } else { LAST_REQUESTS };
        STILL_ACCEPTING.max(self.until_kill() - last)
    }

    /// From the word to end until all that was taken has its answer.
    fn answers_within(&self) -> Micros {
        let margin = MARGIN.max(3 * self.lateness).min(self.until_kill() / MARGIN_OF);
        self.until_kill() - margin
    }

    /// When nothing more is taken, once it was told to end.
    #[must_use]
    pub fn serves_until(&self) -> Option<Micros> {
        Some(self.told? + self.serves_on())
    }

    /// When what is still open fails, and what is still half read is let go. The second alone where nobody kills.
    #[must_use]
    pub fn answers_by(&self) -> Option<Micros> {
        let told = self.told?;
        Some(if self.terms.is_killed {
            // Short waits: the first connections still come when the last answers are due.
            told + self.answers_within().max(self.serves_on())
        } else {
            told + self.serves_on() + LAST_WORDS
        })
    }

    /// Are new connections taken?
    #[must_use]
    pub fn accepts(&self, now: Micros) -> bool {
        self.serves_until().is_none_or(|until| now < until && !self.terms.is_shared)
    }

    /// Is the time up of what is still open?
    #[must_use]
    pub fn is_time_up(&self, now: Micros) -> bool {
        self.terms.is_killed && self.answers_by().is_some_and(|by| by <= now)
    }

    /// The time that a request may take which has come now, and whose client waits for so long.
    #[must_use]
    pub fn time_for(&self, now: Micros, patience: Micros) -> Micros {
        let left = self.told.map(|told| (told + self.answers_within() - now).max(LEAST));
        left.map_or(patience, |left| patience.min(left))
    }

    /// What becomes of a connection.
    #[must_use]
    pub fn fate(&self, now: Micros, connection: &Connection) -> Fate {
        let (Some(until), Some(by)) = (self.serves_until(), self.answers_by()) else { return Fate::Keep };
        if now < until {
            // With a successor at the same address callers go there as soon as they can.
            return if self.terms.is_shared { Fate::AfterAnswer } else { Fate::Keep };
        }
        // Guards against a connection that is closed unheard: its first request is on its way, and half a request is
        // one that was taken a moment later.
        let comes = connection.has_begun || connection.is_new(now);
        if connection.is_busy || (comes && now < by) {
            Fate::AfterAnswer
        } else {
            Fate::Close
        }
    }

    /// May the process leave, with so many connections of which so many are busy? Who is busy past the last answers has one
    /// on its way that cannot be hurried: the kill ends that, or its end.
    #[must_use]
    pub fn may_leave(&self, now: Micros, open: usize, busy: usize) -> bool {
        let over = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        let is_done = over(self.serves_until()) || (self.terms.is_shared && self.is_told());
        is_done && (open == 0 || (busy == 0 && over(self.answers_by())))
    }
}
