//! Received messages of a peer: validation of its OPEN, collision detection, and the events that each message
//! causes.

use super::{Direction, NotificationOrigin, NotificationRecord, Peer, PeerAction};
use crate::machine::{Event, State};
use crate::message::{MessageType, Notification};
use crate::open::Open;
use crate::update::scan_update;
use crate::Micros;

/// Error code of an error in an OPEN, and its subcodes (RFC 4271 section 6.2).
const OPEN_ERROR: u8 = 2;
const BAD_PEER_AS: u8 = 2;
const BAD_BGP_IDENTIFIER: u8 = 3;
/// Address family numbers.
const AFI_IPV4: u8 = 1;
const AFI_IPV6: u8 = 2;

impl Peer {
    /// Handles a message; `body` is without the header.
    pub(super) fn on_message(
        &mut self,
        now: Micros,
        direction: Direction,
        kind: MessageType,
        body: &[u8],
        out: &mut Vec<PeerAction>,
    ) {
        match kind {
            MessageType::Open => match Open::read(body).and_then(|open| self.validate(open)) {
                Ok(open) => self.on_open(now, direction, open, out),
                Err(notification) => {
                    self.handle_event(now, direction, Event::OpenError(notification), out);
                }
            },
            MessageType::Keepalive => {
                self.received.keepalives += 1;
                self.handle_event(now, direction, Event::KeepaliveReceived, out);
            }
            MessageType::Notification => self.on_notification(now, direction, body, out),
            MessageType::Update => self.on_update(now, direction, body, out),
            MessageType::RouteRefresh => self.on_route_refresh(now, direction, body, out),
        }
    }

    /// Checks that an OPEN comes from the configured peer.
    fn validate(&self, open: Open) -> Result<Open, Notification> {
        if open.asn != self.settings.peer_asn {
            return Err(Notification::new(OPEN_ERROR, BAD_PEER_AS, &[]));
        }
        if open.id == self.settings.id && open.asn == self.settings.asn {
            return Err(Notification::new(OPEN_ERROR, BAD_BGP_IDENTIFIER, &[]));
        }
        Ok(open)
    }

    fn on_open(&mut self, now: Micros, direction: Direction, open: Open, out: &mut Vec<PeerAction>) {
        let hold_time_s = open.hold_s.min(self.settings.hold_s);
        if self.state(direction) == State::OpenSent {
            let opposite = direction.opposite();
            if self.loses_collision(direction, &open) {
                return self.handle_event(now, direction, Event::CollisionLost, out);
            }
            if self.state(opposite) == State::OpenConfirm {
                self.handle_event(now, opposite, Event::CollisionLost, out);
            }
            self.connection_mut(direction).open = Some(open);
        }
        self.handle_event(now, direction, Event::OpenReceived { hold_time_s }, out);
    }

    /// Returns whether collision detection closes the connection on which this OPEN arrived. Of two
    /// connections that are not established, the one opened by the speaker with the higher identifier is
    /// kept, or with the higher AS number if the identifiers are equal (RFC 6286).
    fn loses_collision(&self, direction: Direction, open: &Open) -> bool {
        let opposite = direction.opposite();
        let local_is_higher = (self.settings.id, self.settings.asn) > (open.id, open.asn);
        let winner = if local_is_higher { Direction::Outbound } else { Direction::Inbound };
        match self.state(opposite) {
            State::Established => true,
            State::OpenConfirm => winner == opposite,
            _ => false,
        }
    }

    fn on_notification(&mut self, now: Micros, direction: Direction, body: &[u8], out: &mut Vec<PeerAction>) {
        self.received.notifications += 1;
        let notification = Notification::read(body);
        let is_version_error = notification.is_version_error();
        out.push(PeerAction::Log(format!(
            "peer `{}`: received NOTIFICATION, closing the connection: {notification}",
            self.name
        )));
        let origin = NotificationOrigin::Received;
        self.last_notification = Some(NotificationRecord { at: now, origin, notification });
        let event = if is_version_error { Event::VersionErrorReceived } else { Event::NotificationReceived };
        self.handle_event(now, direction, event, out);
    }

    fn on_update(&mut self, now: Micros, direction: Direction, body: &[u8], out: &mut Vec<PeerAction>) {
        self.received.updates += 1;
        let event = match scan_update(body, &self.session_parameters(direction)) {
            Ok(summary) => {
                self.prefixes.announced += u64::from(summary.announced);
                self.prefixes.withdrawn += u64::from(summary.withdrawn);
                self.malformed_updates += u64::from(summary.treated_as_withdraw || summary.discarded > 0);
                Event::UpdateReceived
            }
            // In other states any UPDATE is an error, whatever it contains.
            Err(_) if self.state(direction) != State::Established => Event::UpdateReceived,
            Err(notification) => Event::UpdateError(notification),
        };
        self.handle_event(now, direction, event, out);
    }

    /// Handles a ROUTE-REFRESH by advertising the family again (RFC 2918). Families that are not in use, and
    /// the subtypes of RFC 7313, are ignored.
    fn on_route_refresh(
        &mut self,
        now: Micros,
        direction: Direction,
        body: &[u8],
        out: &mut Vec<PeerAction>,
    ) {
        self.received.refreshes += 1;
        self.handle_event(now, direction, Event::UpdateReceived, out);
        if self.state(direction) != State::Established {
            return;
        }
        if let &[0, family @ (AFI_IPV4 | AFI_IPV6), 0, 1] = body {
            let messages = self.table.refresh(&self.encoding_parameters(direction), family == AFI_IPV6);
            self.write_updates(direction, messages, out);
        }
    }
}
