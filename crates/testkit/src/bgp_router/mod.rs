//! A BGP router that records every message with its time and misbehaves on request.

mod codec;
mod message;

use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::TEST_TIMEOUT;

pub use codec::{decode, default_capabilities, encode, encode_open, read_message};
pub use message::{BgpMessage, Prefix, Routes};

use codec::{message_type, FOUR_OCTET_AS_CAPABILITY};

/// The deviations of a router from the protocol.
#[derive(Clone, Debug, Default)]
pub struct RouterBehavior {
    /// Whether the router accepts connections but sends nothing.
    pub mute: bool,
    /// The OPEN to send in place of the default one.
    pub open: Option<Vec<u8>>,
    /// Whether the router sends no KEEPALIVE after the first.
    pub no_keepalives: bool,
    /// The number of connections that the router closes right after accepting them.
    pub connections_to_close: usize,
}

#[derive(Default)]
struct State {
    received: Vec<(Instant, BgpMessage)>,
    streams: Vec<TcpStream>,
    behavior: RouterBehavior,
}

struct Shared {
    state: Mutex<State>,
    message_received: Condvar,
    asn: u32,
    /// The hold time in seconds.
    hold_time: u16,
    id: [u8; 4],
}

/// A router on a loopback address.
pub struct Router {
    /// The address on which the router listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Router {
    /// Starts a router on this address, with a port that the system chooses. The hold time is in seconds.
    pub fn start(ip: &str, asn: u32, hold_time: u16, behavior: RouterBehavior) -> Router {
        let listener = TcpListener::bind((ip, 0)).expect("a port");
        let address = listener.local_addr().expect("bound");
        let id = match address.ip() {
            IpAddr::V4(ip) => ip.octets(),
            IpAddr::V6(_) => [10, 0, 0, 6],
        };
        let state = Mutex::new(State { behavior, ..State::default() });
        let shared = Arc::new(Shared { state, message_received: Condvar::new(), asn, hold_time, id });
        let serving = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&serving);
                thread::spawn(move || serving.serve(stream));
            }
        });
        Router { address, shared }
    }

    /// Serves a connection that was opened from the router's own address.
    pub fn serve_on(&self, stream: TcpStream) {
        let serving = Arc::clone(&self.shared);
        thread::spawn(move || serving.serve(stream));
    }

    /// Sets the behavior from the next connection on.
    pub fn set_behavior(&self, behavior: RouterBehavior) {
        self.shared.lock().behavior = behavior;
    }

    /// Sends octets on the latest connection.
    pub fn send(&self, octets: &[u8]) {
        let state = self.shared.lock();
        let _ = write_all(state.streams.last().expect("a connection"), octets);
    }

    /// Closes all connections, like a router that fails.
    pub fn close_connections(&self) {
        for stream in self.shared.lock().streams.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Returns all messages received so far, with their times.
    pub fn received(&self) -> Vec<(Instant, BgpMessage)> {
        self.shared.lock().received.clone()
    }

    /// Returns the number of messages received so far.
    pub fn received_count(&self) -> usize {
        self.shared.lock().received.len()
    }

    /// Waits for the first message from index `from` on for which `wanted` returns something. Returns its
    /// index and time, and what `wanted` returned.
    #[track_caller]
    pub fn wait<T>(&self, from: usize, wanted: impl Fn(&BgpMessage) -> Option<T>) -> (usize, Instant, T) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let mut state = self.shared.lock();
        let mut index = from;
        loop {
            while let Some((at, message)) = state.received.get(index) {
                if let Some(found) = wanted(message) {
                    return (index, *at, found);
                }
                index += 1;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "no matching message; received: {:?}", state.received);
            state = self.shared.message_received.wait_timeout(state, left).expect("unpoisoned").0;
        }
    }

    /// Waits for the next announcement of this prefix.
    #[track_caller]
    pub fn wait_for_announcement(&self, from: usize, prefix: &str) -> (usize, Instant, Routes) {
        let prefix = parse_prefix(prefix);
        self.wait(from, |message| match message {
            BgpMessage::Routes(routes) if routes.announced.contains(&prefix) => Some(routes.clone()),
            _ => None,
        })
    }

    /// Waits for the next withdrawal of this prefix.
    #[track_caller]
    pub fn wait_for_withdrawal(&self, from: usize, prefix: &str) -> (usize, Instant) {
        let prefix = parse_prefix(prefix);
        let (index, at, ()) = self.wait(from, |message| match message {
            BgpMessage::Routes(routes) => routes.withdrawn.contains(&prefix).then_some(()),
            _ => None,
        });
        (index, at)
    }

    /// Waits for the next NOTIFICATION. Returns its index, code and subcode, and data.
    #[track_caller]
    pub fn wait_for_notification(&self, from: usize) -> (usize, (u8, u8), Vec<u8>) {
        let (index, _, (codes, data)) = self.wait(from, |message| match message {
            BgpMessage::Notification { code, subcode, data } => Some(((*code, *subcode), data.clone())),
            _ => None,
        });
        (index, codes, data)
    }
}

fn parse_prefix(prefix: &str) -> Prefix {
    let (address, bits) = prefix.split_once('/').expect("a prefix");
    (address.parse().expect("an address"), bits.parse().expect("bits"))
}

fn write_all(mut stream: &TcpStream, octets: &[u8]) -> std::io::Result<()> {
    stream.write_all(octets)
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("unpoisoned")
    }

    fn record(&self, message: BgpMessage) {
        self.lock().received.push((Instant::now(), message));
        self.message_received.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).expect("set");
        let Some(behavior) = self.accept(&stream) else { return };
        if !behavior.mute {
            let open = behavior.open.clone().unwrap_or_else(|| self.default_open());
            let _ = write_all(&stream, &open);
        }
        let mut asn_octets = 4;
        while let Some(octets) = read_message(&mut stream) {
            let message = decode(&octets, asn_octets);
            if let BgpMessage::Open { capabilities, .. } = &message {
                let has_four = capabilities.iter().any(|(code, _)| *code == FOUR_OCTET_AS_CAPABILITY);
                asn_octets = if has_four { 4 } else { 2 };
                self.confirm_open(&stream, &behavior);
            }
            self.record(message);
        }
        self.record(BgpMessage::ConnectionClosed);
    }

    /// Returns the behavior on a new connection, or `None` if the connection is to be closed.
    fn accept(&self, stream: &TcpStream) -> Option<RouterBehavior> {
        let mut state = self.lock();
        if state.behavior.connections_to_close > 0 {
            state.behavior.connections_to_close -= 1;
            return None;
        }
        state.streams.push(stream.try_clone().expect("cloned"));
        Some(state.behavior.clone())
    }

    fn default_open(&self) -> Vec<u8> {
        let capabilities = default_capabilities(self.asn);
        let borrowed: Vec<(u8, &[u8])> =
            capabilities.iter().map(|(code, value)| (*code, value.as_slice())).collect();
        encode_open(self.asn, self.hold_time, self.id, &borrowed)
    }

    fn confirm_open(&self, stream: &TcpStream, behavior: &RouterBehavior) {
        if behavior.mute {
            return;
        }
        let _ = write_all(stream, &encode(message_type::KEEPALIVE, &[]));
        if !behavior.no_keepalives {
            self.send_keepalives(stream.try_clone().expect("cloned"));
        }
    }

    fn send_keepalives(&self, stream: TcpStream) {
        let interval = Duration::from_secs(u64::from(self.hold_time.max(3))) / 4;
        thread::spawn(move || loop {
            thread::sleep(interval);
            if write_all(&stream, &encode(message_type::KEEPALIVE, &[])).is_err() {
                return;
            }
        });
    }
}
