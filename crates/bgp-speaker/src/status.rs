//! What operators are told. Times are in seconds before now.

use bgp::{Counts, Micros, PeerView, View, SECOND};
use serde::Serialize;

/// All of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// Nothing is said to anybody.
    pub dry_run: bool,
    /// The process ends.
    pub ending: bool,
    /// Connections that came from nobody who is configured, and were closed.
    pub strangers: u64,
    /// The routers.
    pub peers: Vec<PeerStatus>,
    /// The addresses.
    pub addresses: Vec<AddressStatus>,
}

/// A router.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its AS.
    #[serde(rename = "as")]
    pub asn: u32,
    /// A state of RFC 4271.
    pub state: &'static str,
    /// For how long.
    pub for_s: f64,
    /// How often a session came to stand.
    pub established: u64,
    /// The hold time agreed on; none without a session.
    pub hold_s: Option<f64>,
    /// IPv6 unicast is spoken.
    pub ipv6: bool,
    /// Messages that came.
    pub received: Messages,
    /// Messages that were sent.
    pub sent: Messages,
    /// Prefixes that it announced, all dropped.
    pub prefixes_announced: u64,
    /// Prefixes that it withdrew.
    pub prefixes_withdrawn: u64,
    /// UPDATEs that were malformed and passed over.
    pub malformed: u64,
    /// The last NOTIFICATION.
    pub last_notification: Option<LastNotification>,
    /// The prefixes that it has been told.
    pub told: Vec<String>,
}

/// Messages by kind.
#[derive(Clone, Copy, Debug, Serialize)]
#[allow(missing_docs)]
pub struct Messages {
    pub updates: u64,
    pub keepalives: u64,
    pub notifications: u64,
    pub refreshes: u64,
}

/// A NOTIFICATION.
#[derive(Clone, Debug, Serialize)]
pub struct LastNotification {
    /// How long ago.
    pub ago_s: f64,
    /// `sent` or `received`.
    pub direction: &'static str,
    /// Its meaning, codes, and text.
    pub what: String,
}

/// An address.
#[derive(Clone, Debug, Serialize)]
pub struct AddressStatus {
    /// The prefix.
    pub prefix: String,
    /// `announced`, `degraded`, `leaving` or `withdrawn`.
    pub state: &'static str,
    /// Why.
    pub why: String,
    /// For how long it is in this state.
    pub for_s: f64,
    /// How often it was withdrawn for want of service.
    pub flaps: u64,
    /// The hold-up that it would have to wait out now.
    pub hold_up_s: f64,
    /// For how long it has been ready, while it waits out its hold-up.
    pub ready_for_s: Option<f64>,
}

fn seconds(time: Micros) -> f64 {
    // Milliseconds are enough for a reader.
    (time as f64 / 1e3).round() / 1e3
}

fn messages(counts: Counts) -> Messages {
    let Counts { updates, keepalives, notifications, refreshes } = counts;
    Messages { updates, keepalives, notifications, refreshes }
}

pub(crate) fn peer(now: Micros, peer: &config::BgpPeer, view: PeerView) -> PeerStatus {
    PeerStatus {
        name: peer.name.clone(),
        address: peer.address.to_string(),
        asn: peer.settings.peer_asn,
        state: view.state.name(),
        for_s: seconds(now - view.since),
        established: view.established,
        hold_s: (view.hold > 0).then(|| view.hold as f64 / SECOND as f64),
        ipv6: view.ipv6,
        received: messages(view.received),
        sent: messages(view.sent),
        prefixes_announced: view.prefixes.0,
        prefixes_withdrawn: view.prefixes.1,
        malformed: view.malformed,
        last_notification: view.last.map(|(at, ours, what)| LastNotification {
            ago_s: seconds(now - at),
            direction: if ours { "sent" } else { "received" },
            what: what.to_string(),
        }),
        told: view.told.iter().map(ToString::to_string).collect(),
    }
}

pub(crate) fn address(now: Micros, view: &View) -> AddressStatus {
    AddressStatus {
        prefix: view.prefix.to_string(),
        state: view.level.name(),
        why: view.why.to_string(),
        for_s: seconds(now - view.since),
        flaps: view.flaps,
        hold_up_s: seconds(view.hold_up),
        ready_for_s: view.ready_since.map(|since| seconds(now - since)),
    }
}
