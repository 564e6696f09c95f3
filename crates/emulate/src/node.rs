//! A node: two cores, a short queue, slow after its start, and pushed over when it is sent too much meanwhile.

use std::collections::VecDeque;

use decide::Micros;

use crate::Fleet;

pub const CORES: usize = 2;
/// The mean work of a request on one core.
pub const WORK: Micros = 100_000;
/// Requests that wait for a core; further ones are turned away.
const QUEUE: usize = 12;
/// The rule on cold nodes: sent more than this multiple of what it can do for this long, it falls over.
pub const FALL: (f64, Micros) = (4.0, 1_500_000);
/// Sends of the fleet within this time are a herd.
const HERD: Micros = 100_000;

pub struct Node {
    pub gone: bool,
    /// None: long ago.
    pub started: Option<Micros>,
    pub fell: bool,
    /// When each core is free.
    free: [Micros; CORES],
    ends: VecDeque<Micros>,
    /// Work sent lately while cold.
    sent: VecDeque<(Micros, Micros)>,
    together: VecDeque<Micros>,
    pub herd: u64,
}

impl Node {
    pub fn new(started: Option<Micros>) -> Node {
        Node {
            gone: false,
            started,
            fell: false,
            free: [Micros::MIN; CORES],
            ends: VecDeque::new(),
            sent: VecDeque::new(),
            together: VecDeque::new(),
            herd: 0,
        }
    }

    fn part(&self, fleet: &Fleet, now: Micros) -> f64 {
        let done = self.started.map_or(1.0, |at| (now - at) as f64 / fleet.warms.max(1) as f64);
        fleet.cold_from + (1.0 - fleet.cold_from) * done.min(1.0)
    }

    /// A request arrives: when it is done; None where it is turned away, and `Micros::MAX` where it is never done.
    pub fn take(&mut self, fleet: &Fleet, now: Micros, work: Micros) -> Option<Micros> {
        self.together.push_back(now);
        while self.together.front().is_some_and(|at| *at <= now - HERD) {
            self.together.pop_front();
        }
        self.herd = self.herd.max(self.together.len() as u64);
        let part = self.part(fleet, now);
        if part < 1.0 {
            self.sent.push_back((now, work));
            while self.sent.front().is_some_and(|(at, _)| *at <= now - FALL.1) {
                self.sent.pop_front();
            }
            let all: Micros = self.sent.iter().map(|(_, work)| work).sum();
            // A little slack for chance, as the rule has it: one large request is no push.
            let most = FALL.0 * part * CORES as f64 * FALL.1 as f64 + 3.0 * WORK as f64;
            self.fell |= all as f64 > most;
        }
        if self.fell {
            return Some(Micros::MAX);
        }
        self.ends.retain(|end| *end > now);
        if self.ends.len() >= CORES + QUEUE {
            return None;
        }
        let core = usize::from(self.free[1] < self.free[0]);
        let end = self.free[core].max(now) + (work as f64 / part) as Micros;
        self.free[core] = end;
        self.ends.push_back(end);
        Some(end)
    }
}
