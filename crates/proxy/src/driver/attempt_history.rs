//! What the ends of a request's attempts prove. Pure: no I/O, no clock.

use decide::Outcome;

use crate::inbox::AttemptTarget;

/// The attempts of one request in one pool.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    attempts: Vec<AttemptRecord>,
    last_timed_out: bool,
    /// An attempt ended in a way that does not prove that nothing was executed.
    may_have_run: bool,
}

#[derive(Debug)]
struct AttemptRecord {
    target: AttemptTarget,
    is_running: bool,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningAttempt {
    /// Its number, from 0.
    pub number: usize,
    /// Where and when it was sent.
    pub target: AttemptTarget,
}

impl AttemptHistory {
    /// The number of attempts so far, and so the number of the next.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Records an attempt that starts.
    pub fn start(&mut self, target: AttemptTarget) {
        self.attempts.push(AttemptRecord { target, is_running: true });
    }

    /// Records the end of an attempt, and returns its target. None if there is no such attempt or it had ended.
    pub fn end(&mut self, number: usize, outcome: Outcome) -> Option<AttemptTarget> {
        let attempt = self.attempts.get_mut(number).filter(|attempt| attempt.is_running)?;
        attempt.is_running = false;
        self.last_timed_out = outcome == Outcome::Timeout;
        self.may_have_run |= !outcome.never_ran();
        Some(attempt.target)
    }

    /// Whether this attempt exists and has not ended.
    pub fn is_running(&self, number: usize) -> bool {
        self.attempts.get(number).is_some_and(|attempt| attempt.is_running)
    }

    /// The attempts that have not ended, by number.
    pub fn running(&self) -> impl Iterator<Item = RunningAttempt> + '_ {
        self.attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| attempt.is_running)
            .map(|(number, attempt)| RunningAttempt { number, target: attempt.target })
    }

    /// Whether no attempt can have been executed: none runs, and the ends of all prove it.
    pub fn never_ran(&self) -> bool {
        !self.may_have_run && self.running().next().is_none()
    }

    /// Whether the last attempt that ended ran out of time.
    pub fn last_timed_out(&self) -> bool {
        self.last_timed_out
    }
}
