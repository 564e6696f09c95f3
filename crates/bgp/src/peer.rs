//! A router that is spoken to: its one or two connections, which of them stays, and what it has been told.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::IpNet;

use crate::machine::{Action, Event, Machine, Settings, State, Timer};
use crate::message::{Kind, Notification};
use crate::open::Open;
use crate::table::{Attributes, Speaker, Table};
use crate::update::{scan, SessionParameters};
use crate::{write, Micros};

/// Who has opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// We have.
    Outbound,
    /// The peer has.
    Inbound,
}

const DIRECTIONS: [Direction; 2] = [Direction::Outbound, Direction::Inbound];

impl Direction {
    fn other(self) -> Direction {
        match self {
            Direction::Outbound => Direction::Inbound,
            Direction::Inbound => Direction::Outbound,
        }
    }
}

/// What happens to a peer.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// It is to be spoken to.
    Start,
    /// It is not, and is told why.
    Stop(Notification),
    /// A connection stands, of which this is our end.
    Connected(Direction, IpAddr),
    /// There is none, or no longer.
    Failed(Direction),
    /// A message, without its header.
    Message(Direction, Kind, &'a [u8]),
    /// Something that is none.
    HeaderError(Direction, Notification),
}

/// What is to be done for it, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAction {
    /// Dial it.
    Connect,
    /// Write these octets.
    Write(Direction, Vec<u8>),
    /// Close a connection, once all is written.
    Close(Direction),
    /// A line for the log.
    Log(String),
}

/// How a peer is set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Our AS.
    pub asn: u32,
    /// Our identifier.
    pub id: Ipv4Addr,
    /// Its AS.
    pub peer_asn: u32,
    /// The hold time that is proposed, in seconds; 3 at least.
    pub hold_s: u16,
    /// The next hop to tell, where it is not our end of the connection.
    pub next_hop_v4: Option<Ipv4Addr>,
    /// The same for IPv6.
    pub next_hop_v6: Option<Ipv6Addr>,
    /// For the machines.
    pub machine: Settings,
}

/// Messages by kind, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Counts {
    pub updates: u64,
    pub keepalives: u64,
    pub notifications: u64,
    pub refreshes: u64,
}

/// What an operator is told of a peer.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Of the connection that is further.
    pub state: State,
    /// When it came into that.
    pub since: Micros,
    /// The hold time agreed on.
    pub hold: Micros,
    /// How often a session came to stand.
    pub established: u64,
    /// Its identifier, once told.
    pub id: Option<Ipv4Addr>,
    /// IPv6 unicast is spoken.
    pub ipv6: bool,
    /// What came.
    pub received: Counts,
    /// What was sent.
    pub sent: Counts,
    /// Prefixes that it announced and withdrew, all dropped.
    pub prefixes: (u64, u64),
    /// UPDATEs of its that were malformed and passed over.
    pub malformed: u64,
    /// The last NOTIFICATION: when, whether it was ours, and what it said.
    pub last: Option<(Micros, bool, Notification)>,
    /// Prefixes that it has been told.
    pub told: Vec<IpNet>,
}

struct Connection {
    machine: Machine,
    local: Option<IpAddr>,
    open: Option<Open>,
}

/// A router that is spoken to.
pub struct Peer {
    name: String,
    settings: PeerSettings,
    connections: [Connection; 2],
    /// Connections that it opens are turned away until then.
    refuse_until: Micros,
    stopped: bool,
    wanted: BTreeMap<IpNet, Attributes>,
    table: Table,
    established: u64,
    received: Counts,
    sent: Counts,
    prefixes: (u64, u64),
    malformed: u64,
    last: Option<(Micros, bool, Notification)>,
    actions: Vec<Action>,
}

impl Peer {
    /// One that is not spoken to yet.
    #[must_use]
    pub fn new(name: String, settings: PeerSettings, seed: u64) -> Peer {
        let connection = |passive, seed| Connection {
            machine: Machine::new(Settings { passive, ..settings.machine }, seed),
            local: None,
            open: None,
        };
        let connections = [connection(settings.machine.passive, seed), connection(true, seed ^ 1)];
        Peer {
            name,
            settings,
            connections,
            refuse_until: Micros::MIN,
            stopped: true,
            wanted: BTreeMap::new(),
            table: Table::default(),
            established: 0,
            received: Counts::default(),
            sent: Counts::default(),
            prefixes: (0, 0),
            malformed: 0,
            last: None,
            actions: Vec::new(),
        }
    }

    /// Its settings.
    #[must_use]
    pub fn settings(&self) -> &PeerSettings {
        &self.settings
    }

    /// The connection whose session stands.
    fn standing(&self) -> Option<Direction> {
        DIRECTIONS.into_iter().find(|direction| self.state(*direction) == State::Established)
    }

    fn state(&self, direction: Direction) -> State {
        self.connections[direction as usize].machine.state()
    }

    /// Is a connection that it opens now to be taken? One that has said nothing yet makes room.
    #[must_use]
    pub fn takes(&self, now: Micros) -> bool {
        !self.stopped && now >= self.refuse_until && self.state(Direction::Inbound) <= State::OpenSent
    }

    /// What an operator is told.
    #[must_use]
    pub fn view(&self) -> PeerView {
        let direction = if self.state(Direction::Inbound) > self.state(Direction::Outbound) {
            Direction::Inbound
        } else {
            Direction::Outbound
        };
        let connection = &self.connections[direction as usize];
        PeerView {
            state: connection.machine.state(),
            since: connection.machine.since(),
            hold: connection.machine.hold(),
            established: self.established,
            id: connection.open.as_ref().map(|o| o.id),
            ipv6: connection.open.as_ref().is_some_and(|o| o.ipv6),
            received: self.received,
            sent: self.sent,
            prefixes: self.prefixes,
            malformed: self.malformed,
            last: self.last.clone(),
            told: self.table.told().copied().collect(),
        }
    }

    /// When it has to be ticked next.
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        self.connections.iter().filter_map(|c| c.machine.next()).min()
    }

    /// Lets its timers expire that are due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        for direction in DIRECTIONS {
            let mut actions = std::mem::take(&mut self.actions);
            self.connections[direction as usize].machine.tick(now, &mut actions);
            self.carry_out(now, direction, actions, out);
        }
    }

    /// These are to be announced from now on.
    pub fn announce(&mut self, wanted: &BTreeMap<IpNet, Attributes>, out: &mut Vec<PeerAction>) {
        self.wanted.clone_from(wanted);
        if let Some(direction) = self.standing() {
            let speaker = self.speaker(direction);
            let messages = self.table.change(&self.wanted, &speaker);
            self.write_updates(direction, messages, out);
        }
    }

    /// Takes in what happens.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, out: &mut Vec<PeerAction>) {
        match input {
            Input::Start => {
                self.stopped = false;
                // Two that are started together would dial each other at the same moment, and one of the two
                // connections would be lost: sometimes, as RFC 4271 leaves it, the one that already stands.
                self.connections[0].machine.begin_soon(now);
            }
            Input::Stop(why) => {
                self.stopped = true;
                for direction in DIRECTIONS {
                    self.event(now, direction, Event::Stop(why.clone()), out);
                }
            }
            Input::Connected(direction, local) => self.connected(now, direction, local, out),
            Input::Failed(direction) => self.event(now, direction, Event::Failed, out),
            Input::HeaderError(direction, why) => self.event(now, direction, Event::HeaderError(why), out),
            Input::Message(direction, kind, body) => self.message(now, direction, kind, body, out),
        }
    }

    fn connected(&mut self, now: Micros, direction: Direction, local: IpAddr, out: &mut Vec<PeerAction>) {
        if direction == Direction::Inbound {
            if !self.takes(now) {
                return;
            }
            // The one before has said nothing; its machine begins anew.
            self.connections[1].machine = self.waiting(now);
            self.event(now, direction, Event::Start, out);
        }
        self.connections[direction as usize].local = Some(local);
        self.connections[direction as usize].open = None;
        self.event(now, direction, Event::Connected, out);
    }

    fn message(
        &mut self,
        now: Micros,
        direction: Direction,
        kind: Kind,
        body: &[u8],
        out: &mut Vec<PeerAction>,
    ) {
        match kind {
            Kind::Open => match Open::read(body).and_then(|open| self.accept(open)) {
                Ok(open) => self.opened(now, direction, open, out),
                Err(why) => self.event(now, direction, Event::OpenError(why), out),
            },
            Kind::Keepalive => {
                self.received.keepalives += 1;
                self.event(now, direction, Event::Keepalive, out);
            }
            Kind::Notification => {
                self.received.notifications += 1;
                let why = Notification::read(body);
                let event = if why.is_version_error() { Event::VersionError } else { Event::Notification };
                out.push(PeerAction::Log(format!("peer `{}` ends: {why}", self.name)));
                self.last = Some((now, false, why));
                self.event(now, direction, event, out);
            }
            Kind::Update => {
                self.received.updates += 1;
                let session = self.session(direction);
                match scan(body, &session) {
                    Ok(seen) => {
                        self.prefixes.0 += u64::from(seen.announced);
                        self.prefixes.1 += u64::from(seen.withdrawn);
                        self.malformed += u64::from(seen.treated_as_withdraw || seen.discarded > 0);
                        self.event(now, direction, Event::Update, out);
                    }
                    // Only where UPDATEs may come does it matter what is wrong with one.
                    Err(_) if self.state(direction) != State::Established => {
                        self.event(now, direction, Event::Update, out);
                    }
                    Err(why) => self.event(now, direction, Event::UpdateError(why), out),
                }
            }
            Kind::RouteRefresh => {
                self.received.refreshes += 1;
                self.event(now, direction, Event::Update, out);
                // A family that is not spoken is passed over (RFC 2918), and so are RFC 7313's marks.
                if let (State::Established, &[0, family @ (1 | 2), 0, 1]) = (self.state(direction), body) {
                    let messages = self.table.again(&self.speaker(direction), family == 2);
                    self.write_updates(direction, messages, out);
                }
            }
        }
    }

    /// Is it the one that was expected?
    fn accept(&self, open: Open) -> Result<Open, Notification> {
        if open.asn != self.settings.peer_asn {
            return Err(Notification::new(2, 2, &[]));
        }
        if open.id == self.settings.id && open.asn == self.settings.asn {
            return Err(Notification::new(2, 3, &[]));
        }
        Ok(open)
    }

    fn opened(&mut self, now: Micros, direction: Direction, open: Open, out: &mut Vec<PeerAction>) {
        let other = direction.other();
        // RFC 4271 section 6.8, with RFC 6286 for equal identifiers: the one that the higher side opened stays.
        let ours = (self.settings.id, self.settings.asn) > (open.id, open.asn);
        let kept = if ours { Direction::Outbound } else { Direction::Inbound };
        let hold_s = open.hold_s.min(self.settings.hold_s);
        if self.state(direction) == State::OpenSent {
            let loses = match self.state(other) {
                State::Established => true,
                State::OpenConfirm => kept == other,
                _ => false,
            };
            if loses {
                return self.event(now, direction, Event::Collision, out);
            }
            if self.state(other) == State::OpenConfirm {
                self.event(now, other, Event::Collision, out);
            }
            self.connections[direction as usize].open = Some(open);
        }
        self.event(now, direction, Event::Open(hold_s), out);
    }

    fn event(&mut self, now: Micros, direction: Direction, event: Event, out: &mut Vec<PeerAction>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.connections[direction as usize].machine.handle(now, event, &mut actions);
        self.carry_out(now, direction, actions, out);
    }

    fn carry_out(
        &mut self,
        now: Micros,
        direction: Direction,
        mut actions: Vec<Action>,
        out: &mut Vec<PeerAction>,
    ) {
        let closes = actions.contains(&Action::Close);
        let mut stands = false;
        for action in actions.drain(..) {
            match action {
                Action::Connect => out.push(PeerAction::Connect),
                Action::SendOpen => {
                    let s = &self.settings;
                    out.push(PeerAction::Write(direction, write::open_message(s.asn, s.hold_s, s.id)));
                }
                Action::SendKeepalive => {
                    self.sent.keepalives += 1;
                    out.push(PeerAction::Write(direction, write::keepalive()));
                }
                Action::Send(why) => {
                    self.sent.notifications += 1;
                    out.push(PeerAction::Write(direction, write::notification(&why)));
                    if (why.code, why.subcode) != (6, 7) {
                        out.push(PeerAction::Log(format!("peer `{}`: ended by us: {why}", self.name)));
                        self.last = Some((now, true, why));
                    }
                }
                Action::Close => out.push(PeerAction::Close(direction)),
                Action::Up => stands = true,
                Action::Down => {
                    self.table = Table::default();
                    out.push(PeerAction::Log(format!("peer `{}`: down", self.name)));
                }
            }
        }
        self.actions = actions;
        if stands {
            self.stands(now, direction, out);
        }
        let over = if direction == Direction::Inbound { State::Active } else { State::Idle };
        if closes && self.state(direction) <= over {
            self.ended(now, direction);
        }
    }

    fn stands(&mut self, now: Micros, direction: Direction, out: &mut Vec<PeerAction>) {
        self.established += 1;
        self.table = Table::default();
        let words = if self.established == 1 { "up" } else { "up again" };
        out.push(PeerAction::Log(format!("peer `{}`: {words}", self.name)));
        self.event(now, direction.other(), Event::Collision, out);
        let messages = self.table.change(&self.wanted, &self.speaker(direction));
        self.write_updates(direction, messages, out);
    }

    /// A connection has ended. What the peer opens is turned away for as long as we would wait ourselves.
    fn ended(&mut self, now: Micros, direction: Direction) {
        let until = self.connections[direction as usize].machine.next();
        let was_there = self.connections[direction as usize].local.take().is_some();
        if direction == Direction::Inbound {
            self.connections[1].machine = self.waiting(now);
        }
        if self.stopped || self.standing().is_some() {
            return;
        }
        let own = &mut self.connections[0].machine;
        match (direction, until) {
            // Two that turned each other away after each dial that failed would never meet.
            (Direction::Outbound, Some(until)) if was_there => self.refuse_until = until,
            // Ours is what begins again, where it does not go on anyway.
            (Direction::Inbound, Some(until)) => {
                own.count_failure();
                let wait = own.wait().max(until - now);
                self.refuse_until = now + wait;
                own.begin_after(now, wait);
            }
            (Direction::Inbound, None) if own.timer(Timer::IdleHold).is_none() => {
                let wait = own.wait();
                own.begin_after(now, wait);
            }
            // The one that stays after a collision goes on.
            _ => {}
        }
    }

    /// A machine for a connection that the peer opens.
    fn waiting(&self, now: Micros) -> Machine {
        Machine::new(Settings { passive: true, ..self.settings.machine }, now as u64)
    }

    fn write_updates(&mut self, direction: Direction, messages: Vec<Vec<u8>>, out: &mut Vec<PeerAction>) {
        self.sent.updates += messages.len() as u64;
        out.extend(messages.into_iter().map(|octets| PeerAction::Write(direction, octets)));
    }

    fn session(&self, direction: Direction) -> SessionParameters {
        let open = self.connections[direction as usize].open.as_ref();
        SessionParameters {
            asn: self.settings.asn,
            internal: self.settings.asn == self.settings.peer_asn,
            four_octet: open.is_some_and(|o| o.four_octet),
            ipv6: open.is_some_and(|o| o.ipv6),
        }
    }

    fn speaker(&self, direction: Direction) -> Speaker {
        let connection = &self.connections[direction as usize];
        let (v4, v6) = connection.local.map_or((None, None), write::next_hops);
        let open = connection.open.as_ref();
        let SessionParameters { asn, internal, four_octet, .. } = self.session(direction);
        Speaker {
            asn,
            internal,
            four_octet,
            next_hop_v4: self.settings.next_hop_v4.or(v4).filter(|_| open.is_some_and(|o| o.ipv4)),
            next_hop_v6: self.settings.next_hop_v6.or(v6).filter(|_| open.is_some_and(|o| o.ipv6)),
        }
    }
}
