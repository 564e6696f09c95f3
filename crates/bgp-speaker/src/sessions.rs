//! The sessions to all configured peers: dials, accepts and closes their connections, passes events to the
//! state machines of the peers, and carries out the resulting actions.
//!
//! Each peer has at most one dial in progress and two connections, one in each direction.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use bgp::{Attributes, Direction, Micros, Notification, Peer, PeerAction, PeerInput};
use config::{Bgp, BgpPeer};
use ipnet::IpNet;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle};

use crate::clock::{duration, Clock};
use crate::connection::{self, ConnectionEvent, MAX_QUEUED_MESSAGES};
use crate::event::{ConnectionId, Event};
use crate::status::{self, PeerStatus};

/// The prefixes to announce, with their path attributes.
pub type Announcements = BTreeMap<IpNet, Attributes>;

/// Subcodes of the Cease NOTIFICATION (RFC 4486).
const CEASE_PEER_DECONFIGURED: u8 = 3;
const CEASE_CONFIGURATION_CHANGE: u8 = 6;
/// The multiplier of the linear congruential generator that derives the seeds of peers.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// An open connection; dropping it closes the connection once all queued messages are written.
struct Connection {
    id: ConnectionId,
    outgoing: mpsc::Sender<Vec<u8>>,
}

/// A connection attempt in progress.
struct Dial {
    id: ConnectionId,
    task: AbortHandle,
}

/// A peer with its connections, indexed by [`Direction`].
struct Session {
    config: BgpPeer,
    peer: Peer,
    dial: Option<Dial>,
    connections: [Option<Connection>; 2],
}

/// Counts a connection as open until the guard is dropped.
struct OpenConnectionGuard(Rc<Cell<usize>>);

impl OpenConnectionGuard {
    fn new(open_connections: &Rc<Cell<usize>>) -> OpenConnectionGuard {
        open_connections.set(open_connections.get() + 1);
        OpenConnectionGuard(Rc::clone(open_connections))
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The sessions to all configured peers.
pub struct Sessions {
    /// The sessions by the name of the peer.
    sessions: BTreeMap<String, Session>,
    clock: Clock,
    seed: u64,
    log: fn(&str),
    events: mpsc::Sender<Event>,
    last_id: u64,
    open_connections: Rc<Cell<usize>>,
    unknown_peer_connections: u64,
    /// Connections that failed while actions of their peer were carried out. Handled after these actions.
    failed: Vec<(String, Direction)>,
}

impl Sessions {
    /// Creates an empty set of sessions. `events` receives the events of dials and connections, `log` the log
    /// lines.
    pub fn new(clock: Clock, seed: u64, events: mpsc::Sender<Event>, log: fn(&str)) -> Sessions {
        Sessions {
            sessions: BTreeMap::new(),
            clock,
            seed,
            log,
            events,
            last_id: 0,
            open_connections: Rc::default(),
            unknown_peer_connections: 0,
            failed: Vec::new(),
        }
    }

    /// Ends the sessions to peers that are no longer configured, or are configured differently.
    pub fn stop_changed(&mut self, config: &Bgp) {
        let is_unchanged = |session: &Session| !config.dry_run && config.peers.contains(&session.config);
        let sessions = self.sessions.iter();
        let stopping: Vec<String> =
            sessions.filter(|(_, session)| !is_unchanged(session)).map(|(name, _)| name.clone()).collect();
        for name in stopping {
            let is_configured = config.peers.iter().any(|peer| peer.name == name);
            let subcode = if is_configured { CEASE_CONFIGURATION_CHANGE } else { CEASE_PEER_DECONFIGURED };
            self.handle(&name, PeerInput::Stop(Notification::cease(subcode, "")));
            self.sessions.remove(&name);
        }
    }

    /// Adds a peer with these announcements unless there is one of the same name. Its session is started only
    /// if `start` is set.
    pub fn add(&mut self, config: &BgpPeer, announcements: &Announcements, start: bool) {
        if self.sessions.contains_key(&config.name) {
            return;
        }
        self.seed = self.seed.wrapping_mul(SEED_MULTIPLIER).wrapping_add(1);
        let peer = Peer::new(config.name.clone(), config.settings.clone(), self.seed);
        let session = Session { config: config.clone(), peer, dial: None, connections: [None, None] };
        self.sessions.insert(config.name.clone(), session);
        self.run(&config.name, |peer, actions| peer.announce(announcements, actions));
        if start {
            self.handle(&config.name, PeerInput::Start);
        }
    }

    /// Replaces the announcements to all peers.
    pub fn announce(&mut self, announcements: &Announcements) {
        for name in self.names() {
            self.run(&name, |peer, actions| peer.announce(announcements, actions));
        }
    }

    /// Ends all sessions with this NOTIFICATION.
    pub fn stop_all(&mut self, notification: &Notification) {
        for name in self.names() {
            self.handle(&name, PeerInput::Stop(notification.clone()));
        }
    }

    /// Returns when the next timer of a peer expires; `None` if no timer is running.
    pub fn next_timer(&self) -> Option<Micros> {
        self.sessions.values().filter_map(|session| session.peer.next_timer()).min()
    }

    /// Expires the timers that are due at `now`.
    pub fn tick(&mut self, now: Micros) {
        let is_due = |session: &Session| session.peer.next_timer().is_some_and(|at| at <= now);
        let sessions = self.sessions.iter();
        let due: Vec<String> =
            sessions.filter(|(_, session)| is_due(session)).map(|(name, _)| name.clone()).collect();
        for name in due {
            self.run(&name, |peer, actions| peer.tick(now, actions));
        }
    }

    /// Returns whether all connections are closed and all queued messages are written.
    pub fn all_closed(&self) -> bool {
        self.open_connections.get() == 0
    }

    /// Returns the number of connections since the start from addresses that belong to no peer.
    pub fn unknown_peer_connections(&self) -> u64 {
        self.unknown_peer_connections
    }

    /// Returns the status of each session.
    pub fn status(&self, now: Micros) -> Vec<PeerStatus> {
        let sessions = self.sessions.values();
        sessions.map(|session| status::peer(now, &session.config, session.peer.view())).collect()
    }

    /// Handles the result of a dial; ignored if it is no longer the current dial of the peer.
    pub fn on_dialed(&mut self, name: &str, id: ConnectionId, result: std::io::Result<TcpStream>) {
        let Some(session) = self.sessions.get_mut(name) else { return };
        if session.dial.take_if(|dial| dial.id == id).is_none() {
            return;
        }
        match result {
            Ok(stream) => self.connected(name, Direction::Outbound, stream),
            Err(_) => self.handle(name, PeerInput::Failed(Direction::Outbound)),
        }
    }

    /// Handles an event of a connection; ignored if it is no longer the current connection of the peer in
    /// this direction.
    pub fn on_connection_event(
        &mut self,
        name: &str,
        direction: Direction,
        id: ConnectionId,
        event: ConnectionEvent,
    ) {
        let Some(session) = self.sessions.get_mut(name) else { return };
        let connection = &mut session.connections[direction as usize];
        if connection.as_ref().is_none_or(|connection| connection.id != id) {
            return;
        }
        match event {
            ConnectionEvent::Message(kind, body) => {
                self.handle(name, PeerInput::Message(direction, kind, &body));
            }
            ConnectionEvent::Malformed(notification) => {
                self.handle(name, PeerInput::HeaderError(direction, notification));
            }
            ConnectionEvent::Closed => {
                *connection = None;
                self.handle(name, PeerInput::Failed(direction));
            }
        }
    }

    /// Handles an accepted connection, which is closed unless a peer with this address accepts it.
    pub fn on_accepted(&mut self, stream: TcpStream, remote: SocketAddr) {
        let now = self.clock.now();
        let address = remote.ip().to_canonical();
        let has_address = |session: &Session| session.config.address.ip().to_canonical() == address;
        let mut candidates = self.sessions.iter().filter(|(_, session)| has_address(session));
        let accepting =
            candidates.find(|(_, session)| session.peer.accepts_inbound(now)).map(|(name, _)| name.clone());
        if let Some(name) = accepting {
            return self.connected(&name, Direction::Inbound, stream);
        }
        if !self.sessions.values().any(has_address) {
            self.unknown_peer_connections += 1;
        }
    }

    fn names(&self) -> Vec<String> {
        self.sessions.keys().cloned().collect()
    }

    fn next_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        ConnectionId(self.last_id)
    }

    fn connected(&mut self, name: &str, direction: Direction, stream: TcpStream) {
        let Ok(local) = stream.local_addr() else {
            return self.handle(name, PeerInput::Failed(direction));
        };
        if !self.sessions.contains_key(name) {
            return;
        }
        let connection = self.serve(name, direction, stream);
        if let Some(session) = self.sessions.get_mut(name) {
            // Replaces a connection on which the peer has sent nothing yet.
            session.connections[direction as usize] = Some(connection);
        }
        let local: IpAddr = local.ip().to_canonical();
        self.handle(name, PeerInput::Connected(direction, local));
    }

    /// Spawns the task that reads and writes a connection.
    fn serve(&mut self, name: &str, direction: Direction, stream: TcpStream) -> Connection {
        let id = self.next_id();
        let peer = name.to_owned();
        let events = self.events.clone();
        let open_connection = OpenConnectionGuard::new(&self.open_connections);
        let (outgoing, queued) = mpsc::channel(MAX_QUEUED_MESSAGES);
        spawn_local(async move {
            let _open_connection = open_connection;
            let report = async |event| {
                let _ = events.send(Event::Connection { peer: peer.clone(), direction, id, event }).await;
            };
            connection::serve(stream, queued, report).await;
        });
        Connection { id, outgoing }
    }

    /// Passes an input to a peer and carries out the resulting actions.
    fn handle(&mut self, name: &str, input: PeerInput<'_>) {
        let now = self.clock.now();
        self.run(name, |peer, actions| peer.handle(now, input, actions));
    }

    /// Calls `step` on a peer and carries out the actions that it appends.
    fn run(&mut self, name: &str, step: impl FnOnce(&mut Peer, &mut Vec<PeerAction>)) {
        let mut actions = Vec::new();
        let Some(session) = self.sessions.get_mut(name) else { return };
        step(&mut session.peer, &mut actions);
        for action in actions {
            self.carry_out(name, action);
        }
        while let Some((name, direction)) = self.failed.pop() {
            self.handle(&name, PeerInput::Failed(direction));
        }
    }

    fn carry_out(&mut self, name: &str, action: PeerAction) {
        match action {
            PeerAction::Connect => self.dial(name),
            PeerAction::Write(direction, message) => self.write(name, direction, message),
            PeerAction::Close(direction) => self.close(name, direction),
            PeerAction::Log(line) if self.sessions.contains_key(name) => (self.log)(&format!("bgp: {line}")),
            PeerAction::Log(_) => {}
        }
    }

    fn dial(&mut self, name: &str) {
        let id = self.next_id();
        let events = self.events.clone();
        let Some(session) = self.sessions.get_mut(name) else { return };
        let peer = name.to_owned();
        let address = session.config.address;
        let source = session.config.source;
        let connect_timeout = duration(session.config.settings.machine.connect_retry_time);
        let task = spawn_local(async move {
            let result = connection::dial(address, source, connect_timeout).await;
            let _ = events.send(Event::Dialed { peer, id, result }).await;
        });
        if let Some(previous) = session.dial.replace(Dial { id, task: task.abort_handle() }) {
            previous.task.abort();
        }
    }

    /// Queues a message. If the queue is full or the task of the connection has ended, the connection has
    /// failed.
    fn write(&mut self, name: &str, direction: Direction, message: Vec<u8>) {
        let Some(session) = self.sessions.get_mut(name) else { return };
        let slot = &mut session.connections[direction as usize];
        let Some(connection) = slot else { return };
        if connection.outgoing.try_send(message).is_err() {
            *slot = None;
            self.failed.push((name.to_owned(), direction));
        }
    }

    fn close(&mut self, name: &str, direction: Direction) {
        let Some(session) = self.sessions.get_mut(name) else { return };
        session.connections[direction as usize] = None;
        if direction != Direction::Outbound {
            return;
        }
        if let Some(dial) = session.dial.take() {
            dial.task.abort();
        }
    }
}
