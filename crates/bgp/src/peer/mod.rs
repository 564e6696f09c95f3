//! The session to one peer: up to two connections, the collision detection between them (RFC 4271 section
//! 6.8), and the prefixes advertised to the peer.
//!
//! Inputs are the events of the connections and the prefixes to announce; times are in microseconds. Routes
//! of the peer are counted and discarded, so memory is bounded by the announced prefixes.

mod interface;
mod receive;
mod view;

use std::collections::BTreeMap;
use std::net::IpAddr;

use ipnet::IpNet;

use crate::machine::{Action, Event, Machine, MachineSettings, State, Timer};
use crate::message::Notification;
use crate::open::Open;
use crate::table::{Attributes, EncodingParameters, Table};
use crate::update::SessionParameters;
use crate::{write, Micros};

use interface::DIRECTIONS;
pub use interface::{Direction, PeerAction, PeerInput, PeerSettings};
pub use view::{MessageCounts, NotificationOrigin, NotificationRecord, PeerView, PrefixCounts};

/// Code and subcode of a Cease for connection collision resolution (RFC 4486).
const CEASE: u8 = 6;
const COLLISION_RESOLUTION: u8 = 7;

/// A connection, or the machine that waits for one.
struct Connection {
    machine: Machine,
    /// The local address; `None` while there is no TCP connection.
    local: Option<IpAddr>,
    /// The peer's OPEN, once it has arrived.
    open: Option<Open>,
}

/// A BGP peer.
pub struct Peer {
    name: String,
    settings: PeerSettings,
    /// Indexed by [`Direction`].
    connections: [Connection; 2],
    /// Inbound connections are rejected until this time.
    reject_inbound_until: Micros,
    stopped: bool,
    /// The prefixes to announce, with their path attributes.
    desired: BTreeMap<IpNet, Attributes>,
    table: Table,
    sessions_established: u64,
    received: MessageCounts,
    sent: MessageCounts,
    prefixes: PrefixCounts,
    malformed_updates: u64,
    last_notification: Option<NotificationRecord>,
    /// A buffer that is reused for the actions of the state machines.
    actions: Vec<Action>,
}

impl Peer {
    /// Creates a peer whose session is not started. `seed` is the seed of the jitter of its timers.
    #[must_use]
    pub fn new(name: String, settings: PeerSettings, seed: u64) -> Peer {
        let connection = |passive, seed| Connection {
            machine: Machine::new(MachineSettings { passive, ..settings.machine }, seed),
            local: None,
            open: None,
        };
        let connections = [connection(settings.machine.passive, seed), connection(true, seed ^ 1)];
        Peer {
            name,
            settings,
            connections,
            reject_inbound_until: Micros::MIN,
            stopped: true,
            desired: BTreeMap::new(),
            table: Table::default(),
            sessions_established: 0,
            received: MessageCounts::default(),
            sent: MessageCounts::default(),
            prefixes: PrefixCounts::default(),
            malformed_updates: 0,
            last_notification: None,
            actions: Vec::new(),
        }
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &PeerSettings {
        &self.settings
    }

    /// Returns whether an inbound connection is accepted now. It replaces an inbound connection on which the
    /// peer has sent nothing yet.
    #[must_use]
    pub fn accepts_inbound(&self, now: Micros) -> bool {
        !self.stopped && now >= self.reject_inbound_until && self.state(Direction::Inbound) <= State::OpenSent
    }

    /// Returns the state as shown to operators.
    #[must_use]
    pub fn view(&self) -> PeerView {
        let inbound_leads = self.state(Direction::Inbound) > self.state(Direction::Outbound);
        let direction = if inbound_leads { Direction::Inbound } else { Direction::Outbound };
        let connection = self.connection(direction);
        PeerView {
            state: connection.machine.state(),
            since: connection.machine.since(),
            hold_time: connection.machine.hold_time(),
            sessions_established: self.sessions_established,
            id: connection.open.as_ref().map(|open| open.id),
            ipv6: connection.open.as_ref().is_some_and(|open| open.ipv6),
            received: self.received,
            sent: self.sent,
            prefixes: self.prefixes,
            malformed_updates: self.malformed_updates,
            last_notification: self.last_notification.clone(),
            advertised: self.table.advertised().copied().collect(),
        }
    }

    /// Returns when the next timer expires; `None` if no timer is running.
    #[must_use]
    pub fn next_timer(&self) -> Option<Micros> {
        self.connections.iter().filter_map(|connection| connection.machine.next_timer()).min()
    }

    /// Expires the timers that are due and appends the resulting actions to `out`.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        for direction in DIRECTIONS {
            let mut actions = std::mem::take(&mut self.actions);
            self.connection_mut(direction).machine.tick(now, &mut actions);
            self.carry_out_all(now, direction, actions, out);
        }
    }

    /// Sets the prefixes to announce to the peer, and sends the difference if the session is established.
    pub fn announce(&mut self, desired: &BTreeMap<IpNet, Attributes>, out: &mut Vec<PeerAction>) {
        self.desired.clone_from(desired);
        if let Some(direction) = self.established_direction() {
            let parameters = self.encoding_parameters(direction);
            let messages = self.table.update(&self.desired, &parameters);
            self.write_updates(direction, messages, out);
        }
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, input: PeerInput<'_>, out: &mut Vec<PeerAction>) {
        match input {
            PeerInput::Start => {
                self.stopped = false;
                // With jitter, because two speakers started together would otherwise dial each other at the
                // same time and lose one of the two connections to collision detection.
                self.connection_mut(Direction::Outbound).machine.start_with_jitter(now);
            }
            PeerInput::Stop(notification) => {
                self.stopped = true;
                for direction in DIRECTIONS {
                    self.handle_event(now, direction, Event::Stop(notification.clone()), out);
                }
            }
            PeerInput::Connected(direction, local) => self.on_connected(now, direction, local, out),
            PeerInput::Failed(direction) => self.handle_event(now, direction, Event::ConnectionFailed, out),
            PeerInput::HeaderError(direction, notification) => {
                self.handle_event(now, direction, Event::HeaderError(notification), out);
            }
            PeerInput::Message(direction, kind, body) => self.on_message(now, direction, kind, body, out),
        }
    }

    fn connection(&self, direction: Direction) -> &Connection {
        &self.connections[direction as usize]
    }

    fn connection_mut(&mut self, direction: Direction) -> &mut Connection {
        &mut self.connections[direction as usize]
    }

    fn state(&self, direction: Direction) -> State {
        self.connection(direction).machine.state()
    }

    /// Returns the direction of the connection of the established session.
    fn established_direction(&self) -> Option<Direction> {
        DIRECTIONS.into_iter().find(|direction| self.state(*direction) == State::Established)
    }

    fn on_connected(&mut self, now: Micros, direction: Direction, local: IpAddr, out: &mut Vec<PeerAction>) {
        if direction == Direction::Inbound {
            if !self.accepts_inbound(now) {
                return;
            }
            // Replaces an inbound connection on which the peer has sent nothing yet.
            self.connection_mut(direction).machine = self.passive_machine(now);
            self.handle_event(now, direction, Event::Start, out);
        }
        let connection = self.connection_mut(direction);
        connection.local = Some(local);
        connection.open = None;
        self.handle_event(now, direction, Event::ConnectionEstablished, out);
    }

    fn handle_event(&mut self, now: Micros, direction: Direction, event: Event, out: &mut Vec<PeerAction>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.connection_mut(direction).machine.handle(now, event, &mut actions);
        self.carry_out_all(now, direction, actions, out);
    }

    fn carry_out_all(
        &mut self,
        now: Micros,
        direction: Direction,
        mut actions: Vec<Action>,
        out: &mut Vec<PeerAction>,
    ) {
        let closes = actions.contains(&Action::Close);
        let session_up = actions.contains(&Action::SessionUp);
        for action in actions.drain(..) {
            self.carry_out_action(now, direction, action, out);
        }
        self.actions = actions;
        if session_up {
            self.on_established(now, direction, out);
        }
        // The most advanced state of a machine that has no connection. An outbound machine in Connect or
        // Active continues to dial, so its connection does not count as closed.
        let last_closed_state = match direction {
            Direction::Inbound => State::Active,
            Direction::Outbound => State::Idle,
        };
        if closes && self.state(direction) <= last_closed_state {
            self.on_closed(now, direction);
        }
    }

    fn carry_out_action(
        &mut self,
        now: Micros,
        direction: Direction,
        action: Action,
        out: &mut Vec<PeerAction>,
    ) {
        match action {
            Action::Connect => out.push(PeerAction::Connect),
            Action::SendOpen => {
                let PeerSettings { asn, hold_s, id, .. } = self.settings;
                out.push(PeerAction::Write(direction, write::open_message(asn, hold_s, id)));
            }
            Action::SendKeepalive => {
                self.sent.keepalives += 1;
                out.push(PeerAction::Write(direction, write::keepalive()));
            }
            Action::SendNotification(notification) => {
                self.send_notification(now, direction, notification, out);
            }
            Action::Close => out.push(PeerAction::Close(direction)),
            // Handled after all other actions.
            Action::SessionUp => {}
            Action::SessionDown => {
                self.table = Table::default();
                out.push(PeerAction::Log(format!("peer `{}`: session down", self.name)));
            }
        }
    }

    fn send_notification(
        &mut self,
        now: Micros,
        direction: Direction,
        notification: Notification,
        out: &mut Vec<PeerAction>,
    ) {
        self.sent.notifications += 1;
        out.push(PeerAction::Write(direction, write::notification(&notification)));
        if (notification.code, notification.subcode) == (CEASE, COLLISION_RESOLUTION) {
            return;
        }
        out.push(PeerAction::Log(format!(
            "peer `{}`: sent NOTIFICATION, closing the connection: {notification}",
            self.name
        )));
        let origin = NotificationOrigin::Sent;
        self.last_notification = Some(NotificationRecord { at: now, origin, notification });
    }

    fn on_established(&mut self, now: Micros, direction: Direction, out: &mut Vec<PeerAction>) {
        self.sessions_established += 1;
        self.table = Table::default();
        let state = if self.sessions_established == 1 { "established" } else { "re-established" };
        out.push(PeerAction::Log(format!("peer `{}`: session {state}", self.name)));
        self.handle_event(now, direction.opposite(), Event::CollisionLost, out);
        let messages = self.table.update(&self.desired, &self.encoding_parameters(direction));
        self.write_updates(direction, messages, out);
    }

    /// Handles the end of a connection. Inbound connections are rejected for as long as this speaker waits
    /// before it dials again.
    fn on_closed(&mut self, now: Micros, direction: Direction) {
        let restart_at = self.connection(direction).machine.next_timer();
        let was_connected = self.connection_mut(direction).local.take().is_some();
        if direction == Direction::Inbound {
            self.connection_mut(direction).machine = self.passive_machine(now);
        }
        if self.stopped || self.established_direction().is_some() {
            return;
        }
        let outbound = &mut self.connections[Direction::Outbound as usize].machine;
        match (direction, restart_at) {
            // Inbound connections are not rejected after a failed dial, because two speakers that reject each
            // other after each failed dial would never connect.
            (Direction::Outbound, Some(restart_at)) if was_connected => {
                self.reject_inbound_until = restart_at;
            }
            // The outbound machine restarts unless it is already running.
            (Direction::Inbound, Some(restart_at)) => {
                outbound.count_failure();
                let wait = outbound.idle_hold_time().max(restart_at - now);
                self.reject_inbound_until = now + wait;
                outbound.start_after(now, wait);
            }
            // The inbound connection has lost a collision or has ended before the peer's OPEN, which does not
            // count as a failure.
            (Direction::Inbound, None) if outbound.timer(Timer::IdleHold).is_none() => {
                let wait = outbound.idle_hold_time();
                outbound.start_after(now, wait);
            }
            // The other connection of a collision continues.
            _ => {}
        }
    }

    /// Creates the state machine of an inbound connection.
    fn passive_machine(&self, now: Micros) -> Machine {
        Machine::new(MachineSettings { passive: true, ..self.settings.machine }, now as u64)
    }

    fn write_updates(&mut self, direction: Direction, messages: Vec<Vec<u8>>, out: &mut Vec<PeerAction>) {
        self.sent.updates += messages.len() as u64;
        out.extend(messages.into_iter().map(|octets| PeerAction::Write(direction, octets)));
    }

    fn session_parameters(&self, direction: Direction) -> SessionParameters {
        let open = self.connection(direction).open.as_ref();
        SessionParameters {
            asn: self.settings.asn,
            internal: self.settings.asn == self.settings.peer_asn,
            four_octet: open.is_some_and(|open| open.four_octet),
            ipv6: open.is_some_and(|open| open.ipv6),
        }
    }

    fn encoding_parameters(&self, direction: Direction) -> EncodingParameters {
        let connection = self.connection(direction);
        let (local_v4, local_v6) = connection.local.map_or((None, None), write::next_hops);
        let next_hop_v4 = self.settings.next_hop_v4.or(local_v4);
        let next_hop_v6 = self.settings.next_hop_v6.or(local_v6);
        let open = connection.open.as_ref();
        let SessionParameters { asn, internal, four_octet, .. } = self.session_parameters(direction);
        EncodingParameters {
            asn,
            internal,
            four_octet,
            next_hop_v4: next_hop_v4.filter(|_| open.is_some_and(|open| open.ipv4)),
            next_hop_v6: next_hop_v6.filter(|_| open.is_some_and(|open| open.ipv6)),
        }
    }
}
