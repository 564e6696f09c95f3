//! For how long the list in hand may be sent by: a lease.
//!
//! Its one bound is the moment from which on a change that this process has not heard of may count as notified. Each state has
//! one, the states in which no call has been made or none has failed included:
//!
//! | state | counts as notified from | what ends it |
//! | --- | --- | --- |
//! | unconfirmed: the list came with the configuration, and nothing proves its age | the start of the process | an answer; a kernel that refuses |
//! | confirmed, a call is out | two seconds after its wait, six after the call where it asks for the whole list | an answer |
//! | confirmed, no call is out | six seconds after the last answer | the next call |
//! | a call failed | by [`Failure`], six seconds after the first of them unless nobody could reach discovery | an answer |
//! | an answer broke off, or did not come | two seconds after the wait of its call | an answer |
//!
//! Sends end when the grace for drains, less a margin, is over after that moment.

use crate::call::Call;
use crate::time::{Micros, MS, S};

/// Whatever discovery has to tell counts as notified this long after the wait of a call is over, by the platform's page, whether
/// it arrived or not.
pub(crate) const NOTIFIED_AFTER_WAIT: Micros = 2 * S;
/// What discovery had, and could be reached for, counts as notified this long after, whatever became of the calls for it.
pub(crate) const NOTIFIED_ANYHOW: Micros = 6 * S;
/// An error that comes sooner was not waited for.
const AT_ONCE: Micros = 100 * MS;
/// An agent beside the proxy that has news answers well within this.
const AGENT_ANSWERS: Micros = 250 * MS;

/// What bounds the use of a list.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    /// From when a drain counts as notified, sends must end within this.
    pub drain_grace: Micros,
    /// They end this much sooner, for what is under way.
    pub margin: Micros,
    /// They go on after this: by then what drained has gone, and refuses by itself what is sent there.
    pub longest_stop: Micros,
    /// A discovery that ends a standing watch with an error is believed to be down for so long: from outside, one that is down
    /// and one that has come back, and has too many callers, say the same.
    pub believed_outage: Micros,
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

/// The list that a process begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialList {
    /// None.
    Absent,
    /// One whose age nothing proves, as from a configuration.
    Unconfirmed,
}

/// Why nothing may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpiryCause {
    /// Discovery has not confirmed the list that the process started with.
    Unconfirmed,
    /// Calls to discovery failed.
    CallsFailed,
    /// An answer of discovery broke off, or did not come.
    AnswerMissing,
}

/// The time in which nothing new may be sent to any endpoint, unless an answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expiry {
    /// The first moment of it.
    pub from: Micros,
    /// The moment after its last.
    pub until: Micros,
    /// What led to it.
    pub cause: ExpiryCause,
}

/// What is known of the age of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    /// There is no list.
    Absent,
    /// Nothing has proven it since this moment, the start of the process.
    Unconfirmed { since: Micros },
    /// Nothing has proven it, and nobody could reach discovery when it was asked.
    Unreachable,
    /// By an answer of discovery, or a watch that stood, it was true then.
    Confirmed { at: Micros },
}

/// What calls that fail say of discovery as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    None,
    /// The last call was refused by the kernel.
    Refused,
    /// It is believed to be down since then.
    Believed {
        since: Micros,
    },
}

fn ends_at_once(now: Micros, call: &Call) -> bool {
    now - call.asked_at < AT_ONCE
}

/// The state of the lease on one list.
pub(crate) struct Lease {
    terms: Option<LeaseTerms>,
    /// Discovery is a service that answers each call; otherwise an agent beside the proxy, whose silence says that there is
    /// nothing to say.
    answers_each: bool,
    proof: Proof,
    /// From when on what an answer should have brought counts as notified.
    answer_missing_from: Option<Micros>,
    /// From when on whatever discovery has counts as notified, since calls fail.
    calls_failed_from: Option<Micros>,
    /// The longest stop is counted from here at the earliest.
    stop_counts_from: Option<Micros>,
    /// Discovery may have been reached by others since the calls began to fail, and may have had something then.
    others_reached_it: bool,
    outage: Outage,
}

impl Lease {
    pub fn new(terms: Option<LeaseTerms>, answers_each: bool, list: InitialList, now: Micros) -> Lease {
        let proof = match list {
            InitialList::Absent => Proof::Absent,
            InitialList::Unconfirmed => Proof::Unconfirmed { since: now },
        };
        Lease {
            terms,
            answers_each,
            proof,
            answer_missing_from: None,
            calls_failed_from: None,
            stop_counts_from: None,
            others_reached_it: false,
            outage: Outage::None,
        }
    }

    /// Has discovery ever answered?
    pub fn is_confirmed(&self) -> bool {
        matches!(self.proof, Proof::Confirmed { .. })
    }

    /// Does the list that the process started with still wait for its proof?
    pub fn is_unconfirmed(&self) -> bool {
        matches!(self.proof, Proof::Unconfirmed { .. })
    }

    /// Is discovery believed to be down?
    pub fn is_outage_believed(&self) -> bool {
        matches!(self.outage, Outage::Believed { .. })
    }

    /// Is an answer missing, or did calls fail?
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt_from().is_some()
    }

    fn in_doubt_from(&self) -> Option<Micros> {
        self.answer_missing_from.into_iter().chain(self.calls_failed_from).min()
    }

    /// When sends end, and for how long, as things stand with these calls out.
    pub fn expiry(&self, calls: &[Call]) -> Option<Expiry> {
        let terms = self.terms?;
        let unconfirmed = match self.proof {
            Proof::Unconfirmed { since } => Some(since),
            _ => None,
        };
        let causes = [
            (unconfirmed, ExpiryCause::Unconfirmed),
            (self.answer_missing_from, ExpiryCause::AnswerMissing),
            (self.calls_failed_from, ExpiryCause::CallsFailed),
            (self.standing_bound(calls), ExpiryCause::AnswerMissing),
        ];
        let bounds = causes.into_iter().filter_map(|(from, cause)| Some((from?, cause)));
        let (first, cause) = bounds.min_by_key(|(from, _)| *from)?;
        let last = self.answer_missing_from.max(self.stop_counts_from).unwrap_or(first).max(first);
        let stops_at = |notified: Micros| notified + terms.drain_grace - terms.margin;
        Some(Expiry { from: stops_at(first), until: stops_at(last) + terms.longest_stop, cause })
    }

    /// The bound while nothing has gone wrong. It is always in the future, unless the process itself stood still.
    fn standing_bound(&self, calls: &[Call]) -> Option<Micros> {
        // An agent that says nothing has nothing to say.
        if !self.answers_each || self.is_in_doubt() {
            return None;
        }
        let Proof::Confirmed { at } = self.proof else { return None };
        let out = calls.iter().map(Call::notified_at).min();
        Some(out.unwrap_or(at + NOTIFIED_ANYHOW))
    }

    /// An answer has come whole.
    pub fn confirm(&mut self, now: Micros) {
        self.proof = Proof::Confirmed { at: now };
        (self.answer_missing_from, self.calls_failed_from, self.stop_counts_from) = (None, None, None);
        (self.others_reached_it, self.outage) = (false, Outage::None);
    }

    /// What an answer should have brought counts as notified from this moment on.
    pub fn miss_answer(&mut self, from: Micros) {
        self.answer_missing_from = Some(self.answer_missing_from.map_or(from, |before| before.min(from)));
    }

    /// Discovery is at another address. The whole fleet moves with it: its first errors tell of a crowd, and of nothing that was
    /// there before.
    pub fn move_address(&mut self, now: Micros) {
        if self.is_confirmed() && !self.is_outage_believed() {
            self.outage = Outage::Believed { since: now };
        }
    }

    /// When an agent that has been asked at this moment, and is silent, has shown that it has nothing newer.
    pub fn silence_confirms_at(&self, asked_at: Micros) -> Option<Micros> {
        (!self.answers_each && self.is_unconfirmed()).then_some(asked_at + AGENT_ANSWERS)
    }

    /// A call failed: what discovery had meanwhile counts as notified some time, heard of or not.
    pub fn fail(&mut self, now: Micros, call: &Call, failure: Failure) {
        let Some(terms) = self.terms else { return };
        if failure == Failure::Refused && self.is_unconfirmed() {
            self.proof = Proof::Unreachable;
        }
        if self.answers_each {
            self.fail_service(now, call, failure, terms);
        } else {
            self.fail_agent(now, failure);
        }
    }

    fn fail_agent(&mut self, now: Micros, failure: Failure) {
        match failure {
            // What an agent has counts as notified at once.
            Failure::Answered | Failure::Cut => {
                self.calls_failed_from.get_or_insert(now);
            }
            // One that nobody can reach has nothing.
            Failure::Refused | Failure::Unreached => self.calls_failed_from = None,
        }
    }

    fn fail_service(&mut self, now: Micros, call: &Call, failure: Failure, terms: LeaseTerms) {
        let before = self.outage;
        let goes_down = self.goes_down(now, call, failure);
        self.outage = self.outage_after(now, call, failure, goes_down);
        let proven_until = self.proven_until(now, call, failure);
        if let Proof::Confirmed { at } = &mut self.proof {
            *at = proven_until.max(*at);
        }
        let from = match (failure, self.outage) {
            (Failure::Refused, _) => now + NOTIFIED_ANYHOW,
            (_, Outage::Believed { since }) => since + terms.believed_outage + NOTIFIED_ANYHOW,
            _ => proven_until + NOTIFIED_ANYHOW,
        };
        let is_believed = self.is_outage_believed();
        // The time counts anew from when nobody could reach it, unless others did in between; and where it may be down since.
        let went_down = before == Outage::Refused && is_believed;
        let is_anew = (failure == Failure::Refused || went_down) && !self.others_reached_it;
        let counts_anew = is_anew || goes_down;
        let earlier = self.calls_failed_from.filter(|_| !counts_anew);
        self.calls_failed_from = Some(earlier.map_or(from, |earlier| earlier.min(from)));
        // A gap before the call makes sends stop sooner, and go on no sooner.
        let gap = (call.asked_at - proven_until).max(0);
        self.stop_counts_from = self.stop_counts_from.filter(|_| !counts_anew).or(Some(from + gap));
        self.others_reached_it |= failure != Failure::Refused && !is_believed && !call.was_watching(now);
    }

    /// Up to when the list was proven, where a call brought nothing.
    fn proven_until(&self, now: Micros, call: &Call, failure: Failure) -> Micros {
        // What nobody could reach had nothing to say.
        if failure == Failure::Refused {
            return now;
        }
        // It may have been silent before it broke.
        if failure == Failure::Cut && call.was_watching(now) {
            let silent_from = call.asked_at + (call.wait + NOTIFIED_AFTER_WAIT - NOTIFIED_ANYHOW).max(0);
            return now.min(silent_from);
        }
        match self.proof {
            Proof::Confirmed { at } if !call.continues_watch => at.min(call.asked_at),
            _ => call.asked_at,
        }
    }

    /// What is believed of discovery after a failure.
    ///
    /// A crowd turns away calls that wait for their turn, at once or at the limit, and ends no watch. So it is a watch that ends
    /// with an error, or an error at any other moment, that says that discovery went down. A process that was never answered
    /// believes in no outage: what it holds proves nothing, whatever discovery does.
    fn outage_after(&self, now: Micros, call: &Call, failure: Failure, goes_down: bool) -> Outage {
        let is_at_limit = call.is_at_queue_limit(now);
        let may_be_crowd = is_at_limit && !call.continues_watch;
        match (failure, self.outage) {
            (Failure::Refused, _) => Outage::Refused,
            _ if goes_down => Outage::Believed { since: now },
            (_, Outage::Believed { since }) => Outage::Believed { since },
            (Failure::Answered, _) if self.is_confirmed() && !ends_at_once(now, call) && !may_be_crowd => {
                // One that is down gives calls up at the limit of their turn, and was so when they were made.
                Outage::Believed { since: if is_at_limit { call.asked_at } else { now } }
            }
            _ => Outage::None,
        }
    }

    /// Does a call end with an error at a moment at which no crowd ends one? Discovery went down in that moment, then, and what it
    /// had before counts anew, unless that counts as notified by now.
    fn goes_down(&self, now: Micros, call: &Call, failure: Failure) -> bool {
        let is_crowded = ends_at_once(now, call) || call.is_at_queue_limit(now);
        let Proof::Confirmed { at } = self.proof else { return false };
        failure == Failure::Answered && !is_crowded && now < at + NOTIFIED_ANYHOW
    }
}
