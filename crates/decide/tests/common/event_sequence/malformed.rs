//! Malformed events: unknown ids, values out of range and times in the past.

use decide::{EndpointId, Event, LoadReport, Micros, NewRequest, Outcome, RequestId, UpdateScope};

use super::{Player, ATTEMPT_FAILURES};

impl Player {
    pub(super) fn malformed_event(&mut self) {
        match self.random.usize(0..14) {
            0 => self.handle("Timer", Event::Timer(2)),
            1 => self.handle("Timer", Event::Timer(u64::MAX)),
            2 => self.handle("Came", Event::BodyReceived(RequestId(u64::MAX))),
            3 => self.handle("ClientGone", Event::ClientDisconnected(RequestId(u64::MAX))),
            4 => self.handle("StreamStarted", Event::StreamStarted { request: RequestId(u64::MAX) }),
            5 => self.unknown_outcome(),
            6 => self.repeated_request(),
            7 => self.malformed_request(),
            8 => self.malformed_gossip(),
            9 => self.event_in_the_past(),
            10 => self.handle("Delta", Event::EndpointUpdate { scope: UpdateScope::Delta, endpoints: &[] }),
            11 => {
                let report = Some(LoadReport { utilisation: Some(0.5), ..LoadReport::default() });
                let endpoint = EndpointId(u32::MAX);
                self.handle(
                    "Probed",
                    Event::HealthChecked { endpoint, outcome: Outcome::Ok, took: Micros::MIN, report },
                );
            }
            12 => {
                let request = self.random.u64(0..=self.next_request);
                self.handle("StreamStarted", Event::StreamStarted { request: RequestId(request) });
            }
            _ => {
                let request = self.random.u64(0..=self.next_request);
                self.handle("Came", Event::BodyReceived(RequestId(request)));
            }
        }
    }

    /// Ends an attempt that does not exist, with any outcome that is a failure.
    pub(super) fn unknown_outcome(&mut self) {
        let request = RequestId(self.random.u64(0..=self.next_request + 1));
        let attempt = self.random.usize(5..9);
        let outcome = ATTEMPT_FAILURES[self.random.usize(0..ATTEMPT_FAILURES.len())];
        let endpoint = EndpointId(self.random.u32(..));
        let report = Some(LoadReport { in_flight: Some(3.0), ..LoadReport::default() });
        let is_final = self.random.bool();
        self.handle(
            "Outcome",
            Event::AttemptEnded { request, attempt, endpoint, outcome, took: -1, is_final, report },
        );
    }

    pub(super) fn repeated_request(&mut self) {
        let id = self.open.keys().next().map_or(RequestId(0), |(request, _)| RequestId(*request));
        let request = NewRequest { id, time_left: 1_000_000, ..NewRequest::default() };
        self.handle("Request", Event::Request(request));
    }

    pub(super) fn malformed_request(&mut self) {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let malformed = match self.random.usize(0..4) {
            0 => NewRequest { id, class: usize::MAX, time_left: 1_000_000, ..NewRequest::default() },
            1 => {
                NewRequest { id, time_left: Micros::MAX, body_pending: Micros::MAX, ..NewRequest::default() }
            }
            2 => {
                NewRequest { id, time_left: Micros::MIN, body_pending: Micros::MIN, ..NewRequest::default() }
            }
            _ => NewRequest { id, tenant: Some(usize::MAX), time_left: 800_000, ..NewRequest::default() },
        };
        self.handle("Request", Event::Request(malformed));
    }

    pub(super) fn malformed_gossip(&mut self) {
        let length = self.random.usize(0..9);
        let payload: Vec<u8> = (0..length).map(|_| self.random.u8(..)).collect();
        let from = self.random.u32(0..=self.scenario.settings.balancers.min(64));
        let from = if self.random.bool() { from } else { u32::MAX };
        self.handle("Told", Event::GossipReceived { from, payload: &payload });
    }

    /// A request whose time is before that of the previous event.
    pub(super) fn event_in_the_past(&mut self) {
        let now = self.now;
        self.now -= self.random.i64(0..2_000_000);
        self.receive_request();
        self.now = now;
    }
}
