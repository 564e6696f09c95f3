//! Which keyed requests are open, and what those that were served were answered: so that a key runs once, whichever
//! protocol it comes by.
//!
//! Pure: times are told, nothing is read or sent. Bounded in entries and in bytes of answers, and never at the cost of
//! the rule: where an answer finds no room any more its key stays, and is told to be done; where a key finds none it is
//! refused.
#![warn(missing_docs)]

use std::collections::{BTreeMap, HashMap};

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// What a table holds at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Keys, open or answered.
    pub entries: usize,
    /// Bytes of answers.
    pub bytes: usize,
}

impl Default for Bounds {
    /// 65,536 keys and 16 MiB of answers.
    fn default() -> Self {
        Bounds { entries: 1 << 16, bytes: 16 << 20 }
    }
}

/// What a key comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin<A> {
    /// Nobody has it: the request goes on, and its end is to be told.
    New(Ticket),
    /// A request with it is open.
    Open,
    /// One with it was served, with this answer.
    Answered(A),
    /// One with it was served, and its answer is not held any more.
    Done,
    /// There is no room for another key; there may be after this time.
    Full(Micros),
}

/// An open request with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A class, and a key of it.
type Name = (Box<str>, Box<str>);

#[derive(Debug)]
enum Entry<A> {
    Open,
    Served { answer: Option<(A, usize)> },
}

/// The table.
#[derive(Debug)]
pub struct Keys<A> {
    bounds: Bounds,
    last: u64,
    entries: HashMap<Name, Entry<A>>,
    open: HashMap<Ticket, Name>,
    /// The served ones, by when their time is over.
    served: BTreeMap<(Micros, Ticket), Name>,
    /// Of those, the ones that have their answer still.
    answers: BTreeMap<(Micros, Ticket), Name>,
    bytes: usize,
}

impl<A: Clone> Keys<A> {
    /// An empty one.
    #[must_use]
    pub fn new(bounds: Bounds) -> Keys<A> {
        Keys {
            bounds,
            last: 0,
            entries: HashMap::new(),
            open: HashMap::new(),
            served: BTreeMap::new(),
            answers: BTreeMap::new(),
            bytes: 0,
        }
    }

    /// Holds to other bounds from now on; what it knows stays until its time is over.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.make_room();
    }

    /// Keys and bytes of answers that it holds.
    #[must_use]
    pub fn held(&self) -> (usize, usize) {
        (self.entries.len(), self.bytes)
    }

    /// A request of this class comes with this key.
    pub fn begin(&mut self, now: Micros, class: &str, key: &str) -> Begin<A> {
        self.forget(now);
        let name: Name = (class.into(), key.into());
        match self.entries.get(&name) {
            Some(Entry::Open) => return Begin::Open,
            Some(Entry::Served { answer: Some((answer, _)) }) => return Begin::Answered(answer.clone()),
            Some(Entry::Served { answer: None }) => return Begin::Done,
            None => {}
        }
        if self.entries.len() >= self.bounds.entries {
            // Where all are open there is no telling when.
            let next = self.served.first_key_value().map_or(0, |((until, _), _)| until - now);
            return Begin::Full(next.max(0));
        }
        self.last += 1;
        let ticket = Ticket(self.last);
        self.open.insert(ticket, name.clone());
        self.entries.insert(name, Entry::Open);
        Begin::New(ticket)
    }

    /// It was served, with an answer of so many bytes. Its key is known for `window` from now on.
    pub fn served(&mut self, now: Micros, ticket: Ticket, answer: A, bytes: usize, window: Micros) {
        let Some(name) = self.open.remove(&ticket) else { return };
        let until = now.saturating_add(window.max(0));
        let kept = bytes <= self.bounds.bytes;
        if kept {
            self.bytes += bytes;
            self.answers.insert((until, ticket), name.clone());
        }
        self.served.insert((until, ticket), name.clone());
        let answer = kept.then_some((answer, bytes));
        self.entries.insert(name, Entry::Served { answer });
        self.make_room();
        self.forget(now);
    }

    /// Lets go of answers until the rest may be held. The one that is over soonest is asked for least.
    fn make_room(&mut self) {
        while self.bytes > self.bounds.bytes {
            let Some((_, name)) = self.answers.pop_first() else { break };
            if let Some(Entry::Served { answer }) = self.entries.get_mut(&name) {
                self.bytes -= answer.take().map_or(0, |(_, bytes)| bytes);
            }
        }
    }

    /// It ended in any other way, or nobody knows how: the next with its key is a new one.
    pub fn ended(&mut self, ticket: Ticket) {
        if let Some(name) = self.open.remove(&ticket) {
            self.entries.remove(&name);
        }
    }

    /// Forgets what is over.
    fn forget(&mut self, now: Micros) {
        while let Some(((until, _), _)) = self.served.first_key_value() {
            if *until > now {
                break;
            }
            let Some((at, name)) = self.served.pop_first() else { break };
            self.answers.remove(&at);
            if let Some(Entry::Served { answer: Some((_, bytes)) }) = self.entries.remove(&name) {
                self.bytes -= bytes;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn new(begin: &Begin<u32>) -> Ticket {
        let Begin::New(ticket) = begin else { panic!("not a new one: {begin:?}") };
        *ticket
    }

    #[test]
    fn a_key_is_open_then_answered_then_forgotten() {
        let mut keys = Keys::new(Bounds::default());
        let first = new(&keys.begin(0, "report", "k"));
        assert_eq!(keys.begin(1, "report", "k"), Begin::Open);
        // Another class's key of the same name is another.
        let other = new(&keys.begin(1, "close", "k"));
        keys.served(10, first, 7, 100, 50);
        assert_eq!(keys.begin(59, "report", "k"), Begin::Answered(7));
        let again = new(&keys.begin(60, "report", "k"));
        assert_ne!(again, first);
        // What comes late for the first is nobody's.
        keys.served(61, first, 8, 100, 50);
        keys.ended(first);
        assert_eq!(keys.begin(61, "report", "k"), Begin::Open);
        keys.ended(again);
        keys.ended(other);
        assert_eq!(keys.held(), (0, 0));
    }

    #[test]
    fn at_the_bounds_nothing_runs_twice() {
        let mut keys = Keys::new(Bounds { entries: 2, bytes: 100 });
        let (a, b) = (new(&keys.begin(0, "c", "a")), new(&keys.begin(0, "c", "b")));
        assert_eq!(keys.begin(0, "c", "c"), Begin::Full(0));
        keys.served(0, a, 1, 80, 1_000);
        keys.served(5, b, 2, 80, 1_000);
        // The older answer made room for the younger; its key is still known.
        assert_eq!(keys.begin(6, "c", "a"), Begin::Done);
        assert_eq!(keys.begin(6, "c", "b"), Begin::Answered(2));
        assert_eq!(keys.begin(6, "c", "c"), Begin::Full(994));
        assert_eq!(keys.held(), (2, 80));
        let c = new(&keys.begin(1_000, "c", "c"));
        keys.served(1_000, c, 3, 101, 1_000);
        assert_eq!(keys.begin(1_001, "c", "c"), Begin::Done, "larger than all that may be held");
        assert_eq!(keys.held(), (2, 80));
    }
}
