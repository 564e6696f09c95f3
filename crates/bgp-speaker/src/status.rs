//! The status of the speaker as operators read it (JSON). Times are in seconds before now.

use bgp::{AddressView, Counts, Micros, NotificationOrigin, NotificationRecord, PeerView, SECOND};
use serde::Serialize;

/// The status of the speaker.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// Only decides: there is no session to any peer.
    pub dry_run: bool,
    /// The speaker is shutting down.
    #[serde(rename = "ending")]
    pub shutting_down: bool,
    /// Connections from addresses that belong to no peer; they were closed.
    #[serde(rename = "strangers")]
    pub unknown_peer_connections: u64,
    /// The peers.
    pub peers: Vec<PeerStatus>,
    /// The addresses.
    pub addresses: Vec<AddressStatus>,
}

/// A peer.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its AS number.
    #[serde(rename = "as")]
    pub asn: u32,
    /// Its state, by its name in RFC 4271.
    pub state: &'static str,
    /// How long it has been in this state.
    pub for_s: f64,
    /// Sessions established since the start.
    pub established: u64,
    /// The negotiated hold time; none without a session.
    #[serde(rename = "hold_s")]
    pub hold_time_s: Option<f64>,
    /// IPv6 unicast was negotiated.
    pub ipv6: bool,
    /// Messages received.
    pub received: Messages,
    /// Messages sent.
    pub sent: Messages,
    /// Prefixes that it announced; they are discarded.
    pub prefixes_announced: u64,
    /// Prefixes that it withdrew.
    pub prefixes_withdrawn: u64,
    /// Malformed UPDATEs that did not end the session.
    pub malformed: u64,
    /// The last NOTIFICATION.
    pub last_notification: Option<LastNotification>,
    /// The prefixes announced to it.
    #[serde(rename = "told")]
    pub advertised_prefixes: Vec<String>,
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
    #[serde(rename = "what")]
    pub description: String,
}

/// An address.
#[derive(Clone, Debug, Serialize)]
pub struct AddressStatus {
    /// The prefix.
    pub prefix: String,
    /// `announced`, `degraded`, `leaving` or `withdrawn`.
    pub state: &'static str,
    /// Why it is in this state.
    #[serde(rename = "why")]
    pub reason: String,
    /// How long it has been in this state.
    pub for_s: f64,
    /// Withdrawals because it could not serve, since the start.
    pub flaps: u64,
    /// The hold-up time that would apply now.
    pub hold_up_s: f64,
    /// How long it has been ready, while its hold-up time runs.
    pub ready_for_s: Option<f64>,
}

/// Seconds, rounded to milliseconds.
fn seconds(time: Micros) -> f64 {
    let rounded_ms = (time as f64 / 1e3).round();
    rounded_ms / 1e3
}

fn messages(counts: Counts) -> Messages {
    let Counts { updates, keepalives, notifications, refreshes } = counts;
    Messages { updates, keepalives, notifications, refreshes }
}

fn last_notification(now: Micros, record: &NotificationRecord) -> LastNotification {
    LastNotification {
        ago_s: seconds(now - record.at),
        direction: match record.origin {
            NotificationOrigin::Sent => "sent",
            NotificationOrigin::Received => "received",
        },
        description: record.notification.to_string(),
    }
}

/// The status of a peer.
pub(crate) fn peer(now: Micros, peer: &config::BgpPeer, view: PeerView) -> PeerStatus {
    PeerStatus {
        name: peer.name.clone(),
        address: peer.address.to_string(),
        asn: peer.settings.peer_asn,
        state: view.state.name(),
        for_s: seconds(now - view.since),
        established: view.sessions_established,
        hold_time_s: (view.hold_time > 0).then(|| view.hold_time as f64 / SECOND as f64),
        ipv6: view.ipv6,
        received: messages(view.received),
        sent: messages(view.sent),
        prefixes_announced: view.prefixes.announced,
        prefixes_withdrawn: view.prefixes.withdrawn,
        malformed: view.malformed_updates,
        last_notification: view.last_notification.map(|record| last_notification(now, &record)),
        advertised_prefixes: view.advertised.iter().map(ToString::to_string).collect(),
    }
}

/// The status of an address.
pub(crate) fn address(now: Micros, view: &AddressView) -> AddressStatus {
    AddressStatus {
        prefix: view.prefix.to_string(),
        state: view.level.name(),
        reason: view.reason.to_string(),
        for_s: seconds(now - view.since),
        flaps: view.flaps,
        hold_up_s: seconds(view.hold_up),
        ready_for_s: view.ready_since.map(|since| seconds(now - since)),
    }
}
