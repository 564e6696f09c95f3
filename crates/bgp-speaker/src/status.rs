//! The status of the speaker as shown to operators in JSON. Durations are in seconds.

use bgp::{AddressView, MessageCounts, Micros, NotificationOrigin, NotificationRecord, PeerView, SECOND};
use serde::Serialize;

/// The status of the speaker.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// Whether the speaker only decides, without a session to any peer.
    pub dry_run: bool,
    /// Whether the speaker is shutting down.
    #[serde(rename = "ending")]
    pub shutting_down: bool,
    /// The number of connections from addresses that belong to no peer, which were closed.
    #[serde(rename = "strangers")]
    pub unknown_peer_connections: u64,
    /// The peers.
    pub peers: Vec<PeerStatus>,
    /// The addresses.
    pub addresses: Vec<AddressStatus>,
}

/// The status of a peer.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// The name of the peer.
    pub name: String,
    /// The address of the peer.
    pub address: String,
    /// The AS number of the peer.
    #[serde(rename = "as")]
    pub asn: u32,
    /// The state of the session, by its name in RFC 4271.
    pub state: &'static str,
    /// The time since the session entered this state.
    pub for_s: f64,
    /// The number of sessions established since the start.
    pub established: u64,
    /// The negotiated hold time; `None` before it is negotiated.
    #[serde(rename = "hold_s")]
    pub hold_time_s: Option<f64>,
    /// Whether IPv6 unicast was negotiated.
    pub ipv6: bool,
    /// The received messages.
    pub received: Messages,
    /// The sent messages.
    pub sent: Messages,
    /// The number of prefixes that the peer announced; the prefixes are discarded.
    pub prefixes_announced: u64,
    /// The number of prefixes that the peer withdrew.
    pub prefixes_withdrawn: u64,
    /// The number of malformed UPDATEs that did not end the session.
    pub malformed: u64,
    /// The last NOTIFICATION, sent or received.
    pub last_notification: Option<LastNotification>,
    /// The prefixes announced to the peer.
    #[serde(rename = "told")]
    pub advertised_prefixes: Vec<String>,
}

/// The numbers of messages by type.
#[derive(Clone, Copy, Debug, Serialize)]
#[allow(missing_docs)]
pub struct Messages {
    pub updates: u64,
    pub keepalives: u64,
    pub notifications: u64,
    pub refreshes: u64,
}

/// The last NOTIFICATION.
#[derive(Clone, Debug, Serialize)]
pub struct LastNotification {
    /// The time since it was sent or received.
    pub ago_s: f64,
    /// `sent` or `received`.
    pub direction: &'static str,
    /// The name of the error, its code and subcode, and the shutdown text.
    #[serde(rename = "what")]
    pub description: String,
}

/// The status of an address.
#[derive(Clone, Debug, Serialize)]
pub struct AddressStatus {
    /// The prefix.
    pub prefix: String,
    /// `announced`, `degraded`, `leaving` or `withdrawn`.
    pub state: &'static str,
    /// The reason for the state.
    #[serde(rename = "why")]
    pub reason: String,
    /// The time since the address entered this state.
    pub for_s: f64,
    /// The number of withdrawals since the start because the address could not be served.
    pub flaps: u64,
    /// The hold-up time that would apply now.
    pub hold_up_s: f64,
    /// The time since the hold-up time of a withdrawn address began; `None` if it is not running.
    pub ready_for_s: Option<f64>,
}

/// Converts microseconds to seconds, rounded to milliseconds.
fn seconds(micros: Micros) -> f64 {
    let rounded_ms = (micros as f64 / 1e3).round();
    rounded_ms / 1e3
}

fn messages(counts: MessageCounts) -> Messages {
    let MessageCounts { updates, keepalives, notifications, refreshes } = counts;
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

/// Returns the status of a peer.
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

/// Returns the status of an address.
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
