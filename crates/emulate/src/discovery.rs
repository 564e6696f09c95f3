//! One discovery for all proxies: it takes calls in turn, turns away what would wait for too long, and may break off or
//! fall silent. What it begins to write counts as told two seconds later at the latest, whether it arrives or not.

use decide::{EndpointId, EndpointState, Micros};

use crate::{Fleet, MS, S};

/// It turns away a call that would wait for longer than this.
const PATIENCE: Micros = 2 * S;
/// It is built for this many proxies at least.
const USUAL: usize = 8;
/// A call goes on with the same watch if it comes within this of the last answer.
const GOES_ON: Micros = 200 * MS;
/// The way of an answer.
const WAY: Micros = 2 * MS;

/// How a call ends, and when that is known to the proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// With the changes up to a version.
    Whole(Micros, usize),
    Broken(Micros),
    TurnedAway(Micros),
    /// Never; what it misses counts as known from then on.
    Silent(Micros),
}

pub struct Discovery {
    /// What changes over the whole run, in order, and when discovery knows.
    pub changes: Vec<(Micros, EndpointId, EndpointState)>,
    free: Micros,
    pub in_turn: u64,
    pub turned_away: u64,
}

impl Discovery {
    /// A discovery that will tell of the fleet's release: the oldest node drains, and a new one takes its place.
    pub fn new(fleet: &Fleet) -> Discovery {
        let mut changes = Vec::new();
        if let Some((from, every, until)) = fleet.release {
            let times = (0..).map(|step| from + every * step).take_while(|at| *at < until.max(from + 1));
            for (at, old) in times.zip(0_u32..) {
                changes.push((at, EndpointId(old + fleet.nodes as u32), EndpointState::Ready));
                changes.push((at, EndpointId(old), EndpointState::Draining));
            }
        }
        Discovery { changes, free: 0, in_turn: 0, turned_away: 0 }
    }

    /// How many changes are known at a time.
    fn version(&self, at: Micros) -> usize {
        self.changes.partition_point(|(known, ..)| *known <= at)
    }

    /// A call for what is newer than `seen`, whose proxy had its last answer at `last`: how it ends, and up to which version
    /// what it brings counts as told, and when, if it does so without being heard.
    pub fn call(
        &mut self,
        fleet: &Fleet,
        rng: &mut fastrand::Rng,
        now: Micros,
        (seen, wait, last): (usize, Micros, Option<Micros>),
    ) -> (End, Option<(Micros, usize)>) {
        let mut from = now;
        let is_down = |at: Micros| fleet.outage.is_some_and(|(begin, end)| (begin..end).contains(&at));
        if is_down(now) {
            self.turned_away += 1;
            return (End::TurnedAway(now + PATIENCE), None);
        }
        if last.is_none_or(|at| now > at + GOES_ON) {
            self.in_turn += 1;
            let turn = self.free.max(now) + fleet.all_calls / fleet.proxies.max(USUAL) as Micros;
            if turn > now + PATIENCE {
                self.turned_away += 1;
                return (End::TurnedAway(now + PATIENCE), None);
            }
            (self.free, from) = (turn, turn);
        }
        let over = now + wait;
        let news = self.changes.get(seen).map_or(over.max(from), |(known, ..)| (*known).max(from));
        let ends = news.min(over.max(from));
        if let Some((begin, _)) = fleet.outage.filter(|(begin, _)| (from..=ends).contains(begin)) {
            return (End::TurnedAway(begin), None);
        }
        let version = self.version(ends);
        let drawn = rng.f64();
        let unheard = |at: Micros| (version > seen).then_some((at, version));
        if drawn < fleet.silent {
            (End::Silent(over + 2 * S), unheard(over + 2 * S))
        } else if drawn < fleet.silent + fleet.breaks {
            (End::Broken(ends + WAY), unheard(ends + 2 * S))
        } else {
            (End::Whole(ends + WAY, version), None)
        }
    }
}
