//! One call of discovery that is out: when it is late, and when what it was to bring counts as notified.

use crate::lease::{NOTIFIED_AFTER_WAIT, NOTIFIED_ANYHOW};
use crate::time::{Micros, MS, S};

/// An answer is late when it has not begun by this time after the wait that was asked for.
pub(crate) const LATE: Micros = 250 * MS;
/// Discovery takes calls in turn and turns away one that would wait for longer than this, by the platform's page.
pub(crate) const QUEUE_LIMIT: Micros = 2 * S;
/// A call that ends this long after it was made was turned away at the limit.
const TURNED_AWAY: std::ops::Range<Micros> = QUEUE_LIMIT - 20 * MS..QUEUE_LIMIT + 150 * MS;
/// An answer that has begun is to be whole after this.
const BODY_LIMIT: Micros = S;

/// Numbers the calls of one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

pub(crate) struct Call {
    pub id: CallId,
    pub asked_at: Micros,
    /// How long discovery may wait for news; 0: it is asked for the whole list.
    pub wait: Micros,
    pub answer_began_at: Option<Micros>,
    /// It has been found late, and another is to make up for it.
    pub is_late: bool,
    /// It goes on with the watch of the last answer, with no turn to wait for.
    pub continues_watch: bool,
}

impl Call {
    /// When it is late.
    pub fn due_at(&self) -> Micros {
        let begins_by = self.asked_at + self.wait.max(QUEUE_LIMIT) + LATE;
        self.answer_began_at.map_or(begins_by, |began| began + BODY_LIMIT)
    }

    /// When what it was to bring counts as notified, whether it arrived or not.
    pub fn notified_at(&self) -> Micros {
        let after = if self.wait > 0 { self.wait + NOTIFIED_AFTER_WAIT } else { NOTIFIED_ANYHOW };
        let without_answer = self.asked_at + after;
        self.answer_began_at.map_or(without_answer, |began| without_answer.min(began + NOTIFIED_AFTER_WAIT))
    }

    /// Is this the time at which discovery turns away a call that has not come to its turn?
    pub fn is_at_queue_limit(&self, now: Micros) -> bool {
        TURNED_AWAY.contains(&(now - self.asked_at))
    }

    /// Was it watching, as far as its time tells?
    pub fn was_watching(&self, now: Micros) -> bool {
        self.continues_watch || now > self.asked_at + QUEUE_LIMIT + LATE
    }
}
