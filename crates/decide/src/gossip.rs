//! Gossip: the messages on load between the balancers of a tier, and how long they count.
//!
//! A message holds the number of attempts that its sender has in flight at one endpoint, and how its last
//! attempt there ended. The number is absolute and not a difference, so the next message replaces a lost one;
//! a lost load signal is not sent again. A message has six bytes: endpoint id (little endian), in flight,
//! load signal. All other payloads are ignored.

use std::collections::BTreeMap;

use crate::time::Micros;
use crate::EndpointId;

/// The number of latency units in one latency objective.
const LATENCY_UNITS_PER_OBJECTIVE: f64 = 64.0;
/// The highest latency of a signal, in its units.
const MAX_LATENCY_UNITS: f64 = 253.0;
/// The wire byte of [`LoadSignal::None`].
const NONE_BYTE: u8 = 0;
/// The wire byte of [`LoadSignal::Failed`].
const FAILED_BYTE: u8 = 254;
/// The wire byte of [`LoadSignal::Rejected`].
const REJECTED_BYTE: u8 = 255;

/// The load that the end of an attempt indicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadSignal {
    /// No indication of load.
    None,
    /// The duration of the attempt in 64ths of its latency objective, from 1 to 253.
    Latency(u8),
    /// The attempt got an error.
    Failed,
    /// The endpoint rejected the attempt because it was full.
    Rejected,
}

impl LoadSignal {
    /// The signal of an attempt whose duration is this multiple of its latency objective.
    pub fn latency(objectives: f64) -> LoadSignal {
        LoadSignal::Latency((objectives * LATENCY_UNITS_PER_OBJECTIVE).clamp(1.0, MAX_LATENCY_UNITS) as u8)
    }

    /// The latency of a signal in units, converted to a multiple of the latency objective.
    pub fn latency_in_objectives(units: u8) -> f64 {
        f64::from(units) / LATENCY_UNITS_PER_OBJECTIVE
    }

    fn to_byte(self) -> u8 {
        match self {
            LoadSignal::None => NONE_BYTE,
            LoadSignal::Latency(units) => units,
            LoadSignal::Failed => FAILED_BYTE,
            LoadSignal::Rejected => REJECTED_BYTE,
        }
    }

    fn from_byte(byte: u8) -> LoadSignal {
        match byte {
            NONE_BYTE => LoadSignal::None,
            FAILED_BYTE => LoadSignal::Failed,
            REJECTED_BYTE => LoadSignal::Rejected,
            units => LoadSignal::Latency(units),
        }
    }
}

/// One message from one balancer to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GossipMessage {
    /// The endpoint that the message is about.
    pub endpoint: EndpointId,
    /// The number of attempts that the sender has in flight at the endpoint, at most 255.
    pub in_flight: u8,
    /// The load signal of the attempt of the sender that ended at the endpoint; [`LoadSignal::None`] if the
    /// message is sent at the start of an attempt.
    pub signal: LoadSignal,
}

impl GossipMessage {
    /// Encodes the message for the wire.
    pub fn encode(self) -> Vec<u8> {
        let mut payload = self.endpoint.0.to_le_bytes().to_vec();
        payload.extend([self.in_flight, self.signal.to_byte()]);
        payload
    }

    /// Decodes a message; returns `None` if the payload is not six bytes long.
    pub fn decode(payload: &[u8]) -> Option<GossipMessage> {
        let &[id_0, id_1, id_2, id_3, in_flight, signal] = payload else { return None };
        Some(GossipMessage {
            endpoint: EndpointId(u32::from_le_bytes([id_0, id_1, id_2, id_3])),
            in_flight,
            signal: LoadSignal::from_byte(signal),
        })
    }
}

/// The last message of one peer about one endpoint.
struct PeerReport {
    in_flight: u8,
    received_at: Micros,
}

/// The attempts in flight of the peers at one endpoint, by their rank.
#[derive(Default)]
pub(crate) struct PeerLoad {
    reports: BTreeMap<u32, PeerReport>,
}

impl PeerLoad {
    /// Records the message of a peer.
    pub fn record(&mut self, now: Micros, peer: u32, in_flight: u8) {
        self.reports.insert(peer, PeerReport { in_flight, received_at: now });
    }

    /// The number of attempts in flight of all peers whose last message is less than `max_age` (microseconds)
    /// old.
    pub fn in_flight(&self, now: Micros, max_age: Micros) -> u32 {
        let recent = self.reports.values().filter(|report| now - report.received_at < max_age);
        recent.map(|report| u32::from(report.in_flight)).sum()
    }
}

#[cfg(test)]
mod tests;
