//! Gossip: what balancers of a tier send each other of load, and how long it counts.
//!
//! A message states how many attempts its sender has in flight at one endpoint and how its last one there
//! ended. It is a state and not a change, so a lost message is mended by the next. Messages are six bytes:
//! endpoint id (little endian), in flight, load signal. All other payloads are ignored.

use std::collections::BTreeMap;

use crate::time::Micros;
use crate::EndpointId;

/// Units of a latency signal in one latency objective.
const LATENCY_UNITS_PER_OBJECTIVE: f64 = 64.0;
/// The largest latency that a signal can state, in its units.
const MAX_LATENCY_UNITS: f64 = 253.0;
/// The wire byte of [`LoadSignal::None`].
const NONE_BYTE: u8 = 0;
/// The wire byte of [`LoadSignal::Failed`].
const FAILED_BYTE: u8 = 254;
/// The wire byte of [`LoadSignal::Rejected`].
const REJECTED_BYTE: u8 = 255;

/// What the end of an attempt says of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadSignal {
    /// Nothing.
    None,
    /// It took this long, in 64ths of its latency objective, from 1 to 253.
    Latency(u8),
    /// It got an error.
    Failed,
    /// The endpoint rejected it as full.
    Rejected,
}

impl LoadSignal {
    /// The signal of an attempt that took this multiple of its latency objective.
    pub fn latency(objectives: f64) -> LoadSignal {
        LoadSignal::Latency((objectives * LATENCY_UNITS_PER_OBJECTIVE).clamp(1.0, MAX_LATENCY_UNITS) as u8)
    }

    /// The latency that a signal's units stand for, as a multiple of the latency objective.
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
    /// The endpoint that it is about.
    pub endpoint: EndpointId,
    /// The sender's attempts in flight there, 255 at most.
    pub in_flight: u8,
    /// What the end of the sender's last attempt there said of load.
    pub signal: LoadSignal,
}

impl GossipMessage {
    /// The message on the wire.
    pub fn encode(self) -> Vec<u8> {
        let mut payload = self.endpoint.0.to_le_bytes().to_vec();
        payload.extend([self.in_flight, self.signal.to_byte()]);
        payload
    }

    /// Reads a message; `None` where the payload is none.
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

/// What the peers have in flight at one endpoint, by their rank.
#[derive(Default)]
pub(crate) struct PeerLoad {
    reports: BTreeMap<u32, PeerReport>,
}

impl PeerLoad {
    /// Takes in a peer's message.
    pub fn record(&mut self, now: Micros, peer: u32, in_flight: u8) {
        self.reports.insert(peer, PeerReport { in_flight, received_at: now });
    }

    /// The attempts in flight of all peers that sent a message within `max_age` (microseconds).
    pub fn in_flight(&self, now: Micros, max_age: Micros) -> u32 {
        let recent = self.reports.values().filter(|report| now - report.received_at < max_age);
        recent.map(|report| u32::from(report.in_flight)).sum()
    }
}

#[cfg(test)]
mod tests;
