//! The attempts of a request and whether any of them may have been executed. Does no I/O and reads no clock.

use decide::Outcome;

use crate::inbox::AttemptTarget;

/// The attempts of one request in one pool.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    attempts: Vec<AttemptRecord>,
    last_timed_out: bool,
    /// Whether an attempt ended with an outcome that does not rule out its execution.
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
    /// The number of the attempt within its request, from 0.
    pub number: usize,
    /// The endpoint of the attempt and the time when it was started.
    pub target: AttemptTarget,
}

impl AttemptHistory {
    /// The number of attempts so far, which is also the number of the next attempt.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Records the start of an attempt.
    pub fn start(&mut self, target: AttemptTarget) {
        self.attempts.push(AttemptRecord { target, is_running: true });
    }

    /// Records the end of an attempt and returns its target. Returns `None` if there is no such attempt or it
    /// had already ended.
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

    /// Whether no attempt can have been executed: none is running, and every outcome rules out execution.
    pub fn never_ran(&self) -> bool {
        !self.may_have_run && self.running().next().is_none()
    }

    /// Whether the attempt that ended last timed out.
    pub fn last_timed_out(&self) -> bool {
        self.last_timed_out
    }
}
