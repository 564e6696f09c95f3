//! Simulates shutdowns: clients that reconnect at once, send requests in parts, send no request, or have just
//! connected; endpoints that hang or respond; and a kill at the earliest time that the platform allows.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use fastrand::Rng;
use shutdown::{ConnectionAction, ConnectionState, Micros, Shutdown, ShutdownPolicy};

pub const MILLISECOND: Micros = 1_000;
/// The time after its deadline at which a request without a response counts as lost.
const SLACK: Micros = 50 * MILLISECOND;
/// The number of clients that connect before the kill.
const CLIENTS: usize = 12;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client connects.
    ClientConnects,
    /// The connection of a client is accepted.
    Accepted,
    /// A part of a request is received on a connection; the flag marks the last part.
    RequestReceived(usize, bool),
    /// An endpoint responds to a request, given by connection and request.
    EndpointResponds(usize, usize),
    /// The time of a request, given by connection and request, has expired.
    RequestTimeout(usize, usize),
    Check,
    ShutdownBegins,
    Killed,
}

struct OpenConnection {
    last_used_at: Micros,
    has_had_request: bool,
    has_partial_request: bool,
    /// The open request, and when its response is due.
    open_request: Option<(usize, Micros)>,
    closing: bool,
}

impl OpenConnection {
    fn state(&self) -> ConnectionState {
        ConnectionState {
            has_open_request: self.open_request.is_some(),
            has_had_request: self.has_had_request,
            has_partial_request: self.has_partial_request && self.open_request.is_none(),
            last_used_at: self.last_used_at,
        }
    }
}

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct World {
    pub policy: ShutdownPolicy,
    /// The fraction of requests that hang.
    pub hang_ratio: f64,
    /// The maximum time by which the process handles an event late.
    pub max_lateness: Micros,
}

/// The result of a simulation.
#[derive(Default, Debug)]
pub struct Outcome {
    pub accepted_requests: usize,
    /// A description of each lost request.
    pub lost: Vec<String>,
    pub new_connections: usize,
    /// New connections that were closed without a response.
    pub closed_unserved: usize,
}

/// Simulates a shutdown until the process exits or is killed.
pub fn run(world: World, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(world, seed);
    simulation.run();
    simulation.outcome
}

struct Simulation {
    world: World,
    rng: Rng,
    shutdown: Shutdown,
    queue: BinaryHeap<Reverse<(Micros, Event)>>,
    connections: HashMap<usize, OpenConnection>,
    last_connection: usize,
    last_request: usize,
    began_at: Micros,
    killed_at: Micros,
    has_ended: bool,
    outcome: Outcome,
}

impl Simulation {
    fn new(world: World, seed: u64) -> Simulation {
        let mut rng = Rng::with_seed(seed);
        let began_at = rng.i64(0..1500 * MILLISECOND);
        let kill_delay = world.policy.longest_client_timeout.min(3000 * MILLISECOND) + 700 * MILLISECOND;
        let killed_at = began_at + kill_delay;
        let mut simulation = Simulation {
            world,
            rng,
            shutdown: Shutdown::new(world.policy),
            queue: BinaryHeap::new(),
            connections: HashMap::new(),
            last_connection: 0,
            last_request: 0,
            began_at,
            killed_at,
            has_ended: false,
            outcome: Outcome::default(),
        };
        simulation.schedule(began_at, Event::ShutdownBegins);
        simulation.schedule(killed_at, Event::Killed);
        for _ in 0..CLIENTS {
            let connects_at = simulation.rng.i64(0..killed_at);
            simulation.schedule(connects_at, Event::ClientConnects);
        }
        simulation.schedule(0, Event::Check);
        simulation
    }

    fn run(&mut self) {
        while let Some(Reverse((due, event))) = self.queue.pop() {
            // Nothing delays the kill.
            let lateness = if event == Event::Killed { 0 } else { self.rng.i64(0..=self.world.max_lateness) };
            let now = due + lateness;
            if event != Event::Killed && now >= self.killed_at {
                continue;
            }
            if self.world.max_lateness > 0 && event == Event::Check {
                self.shutdown.observe_lateness(now - due);
            }
            self.handle(due, now, event);
            if self.has_ended {
                return;
            }
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.queue.push(Reverse((at, event)));
    }

    fn handle(&mut self, due: Micros, now: Micros, event: Event) {
        match event {
            Event::ClientConnects => self.on_connect(due, now),
            Event::Accepted => self.on_accepted(now),
            Event::RequestReceived(id, is_last_part) => self.on_request_part(due, now, id, is_last_part),
            Event::EndpointResponds(id, request) | Event::RequestTimeout(id, request) => {
                self.respond(now, id, request);
            }
            Event::ShutdownBegins => {
                self.shutdown.begin(now);
                self.schedule(now, Event::Check);
            }
            Event::Check => self.check(now),
            Event::Killed => self.on_killed(),
        }
    }

    fn on_connect(&mut self, due: Micros, now: Micros) {
        // The load balancer in front of the proxy detects the shutdown after at most 0.4 s.
        if due > self.began_at + 400 * MILLISECOND || !self.shutdown.accepts_connections(now) {
            return;
        }
        if due == now && self.rng.f64() < 0.3 {
            // The connection stays in the backlog until the listener is closed.
            self.schedule(self.began_at + self.shutdown.accept_time(), Event::Accepted);
            return;
        }
        self.schedule(now, Event::Accepted);
    }

    fn on_accepted(&mut self, now: Micros) {
        self.last_connection += 1;
        let connection = OpenConnection {
            last_used_at: now,
            has_had_request: false,
            has_partial_request: false,
            open_request: None,
            closing: false,
        };
        self.connections.insert(self.last_connection, connection);
        self.outcome.new_connections += 1;
        // One client in ten sends no request.
        if self.rng.f64() < 0.9 {
            self.schedule_request(now, self.last_connection, 5 * MILLISECOND);
        }
    }

    fn on_request_part(&mut self, due: Micros, now: Micros, id: usize, is_last_part: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.has_partial_request = true;
        if !is_last_part {
            return;
        }
        self.last_request += 1;
        let request = self.last_request;
        self.outcome.accepted_requests += 1;
        connection.has_had_request = true;
        let longest_timeout = self.world.policy.longest_client_timeout;
        let client_timeout = self.rng.i64(longest_timeout / 3..=longest_timeout);
        // Some clients announce a longer timeout than the settings allow.
        let announced_timeout = if self.rng.f64() < 0.05 { client_timeout * 20 } else { client_timeout };
        self.shutdown.observe_client_timeout(announced_timeout);
        let request_time = self.shutdown.request_time(now, announced_timeout);
        if self.shutdown.is_time_up(now) {
            // The request is rejected at once because it cannot be answered in time.
            connection.has_partial_request = false;
            connection.last_used_at = now;
            return;
        }
        connection.open_request = Some((request, due + announced_timeout));
        self.schedule(now + request_time - 8 * MILLISECOND, Event::RequestTimeout(id, request));
        if self.rng.f64() >= self.world.hang_ratio {
            let response_time = self.rng.i64(1..longest_timeout);
            self.schedule(now + response_time, Event::EndpointResponds(id, request));
        }
    }

    fn check(&mut self, now: Micros) {
        if self.shutdown.is_time_up(now) {
            for (id, request) in self.open_requests() {
                self.respond(now, id, request);
            }
        }
        let with_open_request = self.open_requests().len();
        if self.shutdown.may_exit(now, self.connections.len(), with_open_request) {
            assert_eq!(with_open_request, 0, "exited with an open request");
            self.has_ended = true;
            return;
        }
        self.close_connections(now);
        let interval = if self.shutdown.has_begun() { 20 } else { 100 } * MILLISECOND;
        self.schedule(now + interval, Event::Check);
    }

    /// Returns the connections with an open request, each with that request.
    fn open_requests(&self) -> Vec<(usize, usize)> {
        let open = |(id, connection): (&usize, &OpenConnection)| Some((*id, connection.open_request?.0));
        self.connections.iter().filter_map(open).collect()
    }

    fn close_connections(&mut self, now: Micros) {
        let shutdown = &self.shutdown;
        let closed_unserved = &mut self.outcome.closed_unserved;
        self.connections.retain(|_, connection| match shutdown.connection_action(now, &connection.state()) {
            ConnectionAction::Keep => true,
            ConnectionAction::CloseAfterResponse => {
                connection.closing = true;
                true
            }
            ConnectionAction::Close => {
                assert!(connection.open_request.is_none(), "closed over a request");
                *closed_unserved +=
                    usize::from(!connection.has_had_request && connection.has_partial_request);
                false
            }
        });
    }

    fn on_killed(&mut self) {
        for (_, request) in self.open_requests() {
            self.outcome.lost.push(format!("{request} open at the kill"));
        }
        self.has_ended = true;
    }

    fn respond(&mut self, now: Micros, id: usize, request: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let open_request = connection.open_request.filter(|(open_id, _)| *open_id == request);
        let Some((_, due)) = open_request else { return };
        if now > due + SLACK {
            self.outcome.lost.push(format!("{request} late by {} ms", (now - due) / MILLISECOND));
        }
        connection.open_request = None;
        connection.has_partial_request = false;
        connection.last_used_at = now;
        if connection.closing {
            self.connections.remove(&id);
        } else {
            // Half of the clients send another request at once.
            let within = if self.rng.bool() { MILLISECOND } else { 700 * MILLISECOND };
            self.schedule_request(now, id, within);
        }
    }

    /// Schedules the next request of a client, in one part or two.
    fn schedule_request(&mut self, now: Micros, id: usize, within: Micros) {
        let first = now + self.rng.i64(0..=within);
        self.schedule(first, Event::RequestReceived(id, false));
        let rest = if self.rng.f64() < 0.2 { self.rng.i64(0..400 * MILLISECOND) } else { 0 };
        self.schedule(first + rest, Event::RequestReceived(id, true));
    }
}
