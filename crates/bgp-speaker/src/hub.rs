//! Where all comes together: commands, connections, probes and time go to the machines, and what these want is done.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bgp::{
    Announcer, Deed, Facts, Input, Listed, ListedNode, Micros, Node, Notification, Peer, PoolHealth, Prober,
    Process, Side,
};
use config::{Bgp, BgpPeer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, yield_now, AbortHandle};
use tokio::time::{sleep_until, Instant};

use crate::connection::{self, Heard, MOST_WAITING};
use crate::{probe, status, Command, Status};

/// Messages and results that wait to be taken in: connections are read no faster.
const MOST_INPUTS: usize = 256;
/// All that is known is looked at again after this time, whether or not something has changed.
const LOOK: Duration = Duration::from_millis(250);
/// Last words are waited for so long.
const LAST_WORDS: Duration = Duration::from_millis(1500);

/// What the hub's own tasks bring.
enum News {
    Dialed(String, u64, std::io::Result<TcpStream>),
    Heard(String, Side, u64, Heard),
    Probed(SocketAddr, bool),
}

/// A connection that is served.
struct Connection {
    id: u64,
    words: mpsc::Sender<Vec<u8>>,
}

/// A peer with what it has open.
struct Link {
    config: BgpPeer,
    peer: Peer,
    dial: Option<(u64, AbortHandle)>,
    connections: [Option<Connection>; 2],
}

struct Hub {
    config: Bgp,
    seed: u64,
    say: fn(&str),
    start: Instant,
    links: BTreeMap<String, Link>,
    announcer: Announcer,
    prober: Prober,
    pools: BTreeMap<String, (Instant, Listed)>,
    accepting: bool,
    facts_at: Instant,
    memory_full: bool,
    /// When memory was looked at; nothing where it has to be before anything is decided.
    looked_at: Option<Instant>,
    /// Something has changed that decisions stand on.
    dirty: bool,
    strangers: u64,
    news: mpsc::Sender<News>,
    ids: u64,
    serving: Rc<Cell<usize>>,
    ending: Vec<oneshot::Sender<()>>,
    stopped: Option<Instant>,
    /// Connections that have failed while something was done for their peer.
    failed: Vec<(String, Side)>,
}

/// Counts a connection for as long as it is served.
struct Served(Rc<Cell<usize>>);

impl Drop for Served {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Speaks until it is told to end.
pub async fn run(
    config: Bgp,
    seed: u64,
    listener: Option<std::net::TcpListener>,
    mut commands: mpsc::UnboundedReceiver<Command>,
    say: fn(&str),
) {
    let (news, mut heard) = mpsc::channel(MOST_INPUTS);
    let listener = listener.and_then(|l| TcpListener::from_std(l).ok());
    let mut hub = Hub::new(config.clone(), seed, news, say);
    hub.configure(config);
    loop {
        // What has come by now counts before any timer that runs out: the hold timer of a peer whose word has come in
        // time does not end its session because others were busy.
        yield_now().await;
        for _ in 0..MOST_INPUTS {
            match heard.try_recv() {
                Ok(news) => hub.take(news),
                Err(_) => break,
            }
        }
        hub.go_on();
        if hub.is_over() {
            for done in hub.ending.drain(..) {
                let _ = done.send(());
            }
            return;
        }
        let until = hub.next();
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => hub.obey(command),
                None => return,
            },
            Some(news) = heard.recv() => hub.take(news),
            (stream, from) = accept(listener.as_ref()) => hub.accepted(stream, from),
            () = sleep_until(until) => {}
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> (TcpStream, SocketAddr) {
    let Some(listener) = listener else { return std::future::pending().await };
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            // There is no descriptor left, say.
            Err(_) => tokio::time::sleep(LOOK).await,
        }
    }
}

impl Hub {
    fn new(config: Bgp, seed: u64, news: mpsc::Sender<News>, say: fn(&str)) -> Hub {
        let now = Instant::now();
        Hub {
            prober: Prober::new(config.probe),
            config,
            seed,
            say,
            start: now,
            links: BTreeMap::new(),
            announcer: Announcer::default(),
            pools: BTreeMap::new(),
            accepting: false,
            facts_at: now,
            memory_full: false,
            looked_at: None,
            dirty: true,
            strangers: 0,
            news,
            ids: 0,
            serving: Rc::default(),
            ending: Vec::new(),
            stopped: None,
            failed: Vec::new(),
        }
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn at(&self, micros: Micros) -> Instant {
        self.start + Duration::from_micros(micros.max(0) as u64)
    }

    // ---- Configuration and commands ----

    fn configure(&mut self, config: Bgp) {
        let now = self.now();
        let stays = |link: &Link| !config.dry_run && config.peers.contains(&link.config);
        let leaving: Vec<String> =
            self.links.iter().filter(|(_, link)| !stays(link)).map(|(name, _)| name.clone()).collect();
        for name in leaving {
            let changed = config.peers.iter().any(|p| p.name == name);
            let why = Notification::cease(if changed { 6 } else { 3 }, "");
            self.give(&name, Input::Stop(why));
            self.links.remove(&name);
        }
        self.announcer.set(now, &config.addresses);
        self.prober.adjust(config.probe);
        self.config = config;
        let wanted = self.announcer.wanted();
        let names: Vec<String> = self.links.keys().cloned().collect();
        for name in names {
            self.with(&name, |peer, deeds| peer.announce(&wanted, deeds));
        }
        let speaks_to = if self.config.dry_run { Vec::new() } else { self.config.peers.clone() };
        for peer in speaks_to {
            if self.links.contains_key(&peer.name) {
                continue;
            }
            let name = peer.name.clone();
            self.seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(1);
            let speaking = Peer::new(name.clone(), peer.settings.clone(), self.seed);
            let link = Link { config: peer, peer: speaking, dial: None, connections: [None, None] };
            self.links.insert(name.clone(), link);
            self.with(&name, |peer, deeds| peer.announce(&wanted, deeds));
            if self.ending.is_empty() {
                self.give(&name, Input::Start);
            }
        }
        self.list_nodes();
        (self.looked_at, self.dirty) = (None, true);
    }

    fn obey(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::Facts(facts) => self.learn(facts),
            Command::Config(config) => self.configure(*config),
            Command::Hold(prefix, held, answer) => {
                let _ = answer.send(self.announcer.hold(prefix, held));
                let word = if held { "held" } else { "released" };
                (self.say)(&format!("bgp: {prefix} is {word} by an operator"));
                self.dirty = true;
            }
            Command::Status(answer) => drop(answer.send(self.status())),
            Command::End(done) => {
                self.announcer.leave(now, self.config.leave.as_micros() as Micros);
                self.ending.push(done);
                self.dirty = true;
            }
            Command::EndNow => {
                self.announcer.hurry(now);
                self.dirty = true;
            }
        }
    }

    fn learn(&mut self, facts: Facts) {
        let now = Instant::now();
        self.dirty |= self.accepting != facts.accepting;
        (self.accepting, self.facts_at) = (facts.accepting, now);
        if let Some(pools) = facts.pools {
            self.pools = pools.into_iter().map(|(name, pool)| (name, (now, pool))).collect();
            self.list_nodes();
            self.dirty = true;
        }
    }

    /// The nodes that matter to an address are those that are asked.
    fn list_nodes(&mut self) {
        let matter = self.config.addresses.iter().flat_map(|a| &a.pools).filter_map(|p| self.pools.get(p));
        let nodes = matter.flat_map(|(_, pool)| pool.nodes.iter().map(|n| n.address));
        let now = self.start.elapsed().as_micros() as Micros;
        self.prober.set(now, nodes);
    }

    fn status(&self) -> Status {
        let now = self.now();
        let peers = self.links.values().map(|l| status::peer(now, &l.config, l.peer.view())).collect();
        let addresses = self.announcer.views(now).map(|view| status::address(now, &view)).collect();
        let (dry_run, ending) = (self.config.dry_run, !self.ending.is_empty());
        Status { dry_run, ending, strangers: self.strangers, peers, addresses }
    }

    // ---- Time ----

    fn next(&self) -> Instant {
        let now = self.now();
        let peers = self.links.values().filter_map(|link| link.peer.next());
        let others = [self.prober.next(), self.announcer.next(now)];
        let soonest = peers.chain(others.into_iter().flatten()).min();
        let look = self.looked_at.map_or_else(Instant::now, |at| at + LOOK);
        soonest.map_or(look, |at| self.at(at).min(look))
    }

    /// Does what is due.
    fn go_on(&mut self) {
        let now = self.now();
        let due: Vec<String> = self
            .links
            .iter()
            .filter(|(_, link)| link.peer.next().is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.with(&name, |peer, deeds| peer.tick(now, deeds));
        }
        let path = self.config.probe_path.clone();
        let within = Duration::from_micros(self.config.probe.timeout.max(0) as u64);
        for node in self.prober.begin(now) {
            let (news, path) = (self.news.clone(), path.clone());
            spawn_local(async move {
                let good = probe::ask(node, path.as_deref(), within).await;
                let _ = news.send(News::Probed(node, good)).await;
            });
        }
        if self.looked_at.is_none_or(|at| at.elapsed() >= LOOK) {
            self.looked_at = Some(Instant::now());
            self.memory_full = self.config.memory_bytes.is_some_and(|most| resident() > Some(most));
            self.dirty = true;
        }
        if self.dirty || self.announcer.next(now).is_some_and(|at| at <= now) {
            self.decide();
        }
        if !self.ending.is_empty() && self.stopped.is_none() && self.announcer.wanted().is_empty() {
            self.stopped = Some(Instant::now());
            let why = Notification::cease(2, &self.config.text);
            let names: Vec<String> = self.links.keys().cloned().collect();
            for name in names {
                self.give(&name, Input::Stop(why.clone()));
            }
        }
    }

    fn is_over(&self) -> bool {
        self.stopped.is_some_and(|at| self.serving.get() == 0 || at.elapsed() >= LAST_WORDS)
    }

    fn decide(&mut self) {
        self.dirty = false;
        let now = self.now();
        let process = Process {
            accepting: self.accepting,
            alive: self.facts_at.elapsed() < self.config.stuck,
            memory_full: self.memory_full,
        };
        let health = self.health();
        if !self.announcer.decide(now, process, &health) {
            return;
        }
        for view in self.announcer.views(now).filter(|view| view.since == now) {
            (self.say)(&format!("bgp: {} {}: {}", view.prefix, view.level.name(), view.why));
        }
        let wanted = self.announcer.wanted();
        let names: Vec<String> = self.links.keys().cloned().collect();
        for name in names {
            self.with(&name, |peer, deeds| peer.announce(&wanted, deeds));
        }
    }

    fn health(&self) -> BTreeMap<String, PoolHealth> {
        let of = |(at, pool): &(Instant, Listed)| {
            let node = |node: &ListedNode| Node {
                weight: node.weight,
                ready: node.ready,
                warm: node.warm,
                answers: self.prober.answers(&node.address),
            };
            let old = pool.silent.is_some_and(|silent| silent + at.elapsed() > self.config.list_old);
            PoolHealth { nodes: pool.told.then(|| pool.nodes.iter().map(node).collect()), old }
        };
        let matter = self.config.addresses.iter().flat_map(|a| &a.pools);
        matter.filter_map(|name| Some((name.clone(), of(self.pools.get(name)?)))).collect()
    }

    // ---- Peers ----

    fn give(&mut self, name: &str, input: Input<'_>) {
        let now = self.now();
        self.with(name, |peer, deeds| peer.handle(now, input, deeds));
    }

    /// Lets a peer's machine do something, and does what it wants.
    fn with(&mut self, name: &str, act: impl FnOnce(&mut Peer, &mut Vec<Deed>)) {
        let mut deeds = Vec::new();
        let Some(link) = self.links.get_mut(name) else { return };
        act(&mut link.peer, &mut deeds);
        for deed in deeds {
            self.carry_out(name, deed);
        }
        while let Some((name, side)) = self.failed.pop() {
            self.give(&name, Input::Failed(side));
        }
    }

    fn carry_out(&mut self, name: &str, deed: Deed) {
        let Some(link) = self.links.get_mut(name) else { return };
        match deed {
            Deed::Connect => {
                self.ids += 1;
                let (id, name, news) = (self.ids, name.to_owned(), self.news.clone());
                let (address, source) = (link.config.address, link.config.source);
                let within = Duration::from_micros(link.config.settings.machine.retry.max(0) as u64);
                let dialing = spawn_local(async move {
                    let dialed = connection::dial(address, source, within).await;
                    let _ = news.send(News::Dialed(name, id, dialed)).await;
                });
                if let Some((_, before)) = link.dial.replace((id, dialing.abort_handle())) {
                    before.abort();
                }
            }
            Deed::Write(side, octets) => {
                let full = link.connections[side as usize]
                    .as_ref()
                    .is_some_and(|connection| connection.words.try_send(octets).is_err());
                if full {
                    link.connections[side as usize] = None;
                    self.failed.push((name.to_owned(), side));
                }
            }
            Deed::Close(side) => {
                link.connections[side as usize] = None;
                if let Some((_, dialing)) = link.dial.take_if(|_| side == Side::Out) {
                    dialing.abort();
                }
            }
            Deed::Log(line) => (self.say)(&format!("bgp: {line}")),
        }
    }

    fn take(&mut self, news: News) {
        match news {
            News::Probed(node, good) => {
                let now = self.now();
                self.dirty |= self.prober.done(now, &node, good);
            }
            News::Dialed(name, id, dialed) => {
                let Some(link) = self.links.get_mut(&name) else { return };
                if link.dial.take_if(|(dialing, _)| *dialing == id).is_none() {
                    return;
                }
                match dialed {
                    Ok(stream) => self.connected(&name, Side::Out, stream),
                    Err(_) => self.give(&name, Input::Failed(Side::Out)),
                }
            }
            News::Heard(name, side, id, heard) => {
                let Some(link) = self.links.get_mut(&name) else { return };
                let place = &mut link.connections[side as usize];
                if place.as_ref().is_none_or(|connection| connection.id != id) {
                    return;
                }
                match heard {
                    Heard::Message(kind, body) => self.give(&name, Input::Message(side, kind, &body)),
                    Heard::Malformed(why) => self.give(&name, Input::HeaderError(side, why)),
                    Heard::Over => {
                        *place = None;
                        self.give(&name, Input::Failed(side));
                    }
                }
            }
        }
    }

    fn accepted(&mut self, stream: TcpStream, from: SocketAddr) {
        let now = self.now();
        let ip = unmapped(from.ip());
        let waiting = self.links.iter().filter(|(_, link)| unmapped(link.config.address.ip()) == ip);
        let mut takes = waiting.filter(|(_, link)| link.peer.takes(now)).map(|(name, _)| name.clone());
        match takes.next() {
            Some(name) => {
                drop(takes);
                self.connected(&name, Side::In, stream);
            }
            None => {
                drop(takes);
                let known = self.links.values().any(|link| unmapped(link.config.address.ip()) == ip);
                self.strangers += u64::from(!known);
            }
        }
    }

    fn connected(&mut self, name: &str, side: Side, stream: TcpStream) {
        let Ok(local) = stream.local_addr() else {
            return self.give(name, Input::Failed(side));
        };
        let Some(link) = self.links.get_mut(name) else { return };
        self.ids += 1;
        let (id, name_there, news) = (self.ids, name.to_owned(), self.news.clone());
        let (words, written) = mpsc::channel(MOST_WAITING);
        // One that has said nothing yet makes room.
        link.connections[side as usize] = Some(Connection { id, words });
        self.serving.set(self.serving.get() + 1);
        let served = Served(Rc::clone(&self.serving));
        spawn_local(async move {
            let _served = served;
            connection::serve(stream, written, async |heard| {
                let _ = news.send(News::Heard(name_there.clone(), side, id, heard)).await;
            })
            .await;
        });
        self.give(name, Input::Connected(side, unmapped(local.ip())));
    }
}

fn unmapped(ip: IpAddr) -> IpAddr {
    ip.to_canonical()
}

/// The process's resident memory in bytes, where the system tells it.
fn resident() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()? << 10)
}
