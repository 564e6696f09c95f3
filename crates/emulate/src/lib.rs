//! Fleets in simulated time: many instances of the real decisions and of the real watch of discovery, among modelled
//! clients, nodes and one discovery. No sockets, no clock; a run follows from its seed alone.
//!
//! The first slice of an emulator: one tier, and troubles of membership (rolling releases, a discovery that is swamped,
//! falls silent or breaks off). [`run`] plays a [`Fleet`] and gives its [`Report`].
#![warn(missing_docs)]

mod discovery;
mod node;
mod notification;
mod restart;
mod world;

use decide::Micros;

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const S: Micros = 1_000 * MS;

/// Proxies that are killed in one instant, and start again together with the list that each had.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// When they are killed.
    pub at: Micros,
    /// The part of all proxies that are.
    pub share: f64,
    /// They start again so much later.
    pub downtime: Micros,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Proxies, each with a share of the clients by chance.
    pub proxies: usize,
    /// Nodes, of two cores each.
    pub nodes: usize,
    /// Requests' work over what warm nodes can do.
    pub load: f64,
    /// For how long requests come.
    pub length: Micros,
    /// A release: from when, how often a node is replaced, and until when.
    pub release: Option<(Micros, Micros, Micros)>,
    /// A node that starts can do this part of what it can do when warm,
    pub cold_from: f64,
    /// and is told to be warm after this, evenly.
    pub cold: Micros,
    /// In truth it is after this, or sooner.
    pub warms: Micros,
    /// Discovery can answer one call of every proxy, and of eight where there are fewer, in this time.
    pub all_calls: Micros,
    /// The part of its answers that it writes and that break off.
    pub breaks: f64,
    /// The part of its calls that fall silent.
    pub silent: f64,
    /// Discovery is down from the first moment to the second: calls end in errors after their turn, watches at once.
    pub outage: Option<(Micros, Micros)>,
    /// Proxies that are killed and start again.
    pub restart: Option<Restart>,
    /// Callers shed: of what they would ask, the part is left out that was lately refused or failed.
    pub callers_shed: bool,
    /// Feeds all chance.
    pub seed: u64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            proxies: 10,
            nodes: 40,
            load: 0.6,
            length: 60 * S,
            release: None,
            cold_from: 0.2,
            cold: 15 * S,
            warms: 15 * S,
            all_calls: 4 * S,
            breaks: 0.0,
            silent: 0.0,
            outage: None,
            restart: None,
            callers_shed: false,
            seed: 1,
        }
    }
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// First tries, those included that callers shed.
    pub asked: u64,
    /// Answered within their aim, by whichever try.
    pub served: u64,
    /// Tries.
    pub tries: u64,
    /// Tries that were refused.
    pub refused: u64,
    /// Sends to a node later than its grace after its drain counts as told.
    pub late_sends: u64,
    /// Attempts that were not sent because the list in hand was older than it may be.
    pub withheld: u64,
    /// Cold nodes that were pushed over.
    pub pushed_over: u64,
    /// Connections made to nodes.
    pub handshakes: u64,
    /// Calls of discovery that had to wait their turn.
    pub list_calls: u64,
    /// Calls of discovery that waited for too long and were turned away.
    pub turned_away: u64,
    /// Most sends of the whole fleet to one node within 100 ms.
    pub herd: u64,
}

/// Plays a fleet to its end.
#[must_use]
pub fn run(fleet: &Fleet) -> Report {
    world::World::new(fleet).play()
}
