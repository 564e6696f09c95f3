//! The event loop of the speaker: dispatches commands, events and timers to the sessions, the health checker
//! and the announcer, and passes the decisions of the announcer to all sessions.

use std::net::SocketAddr;
use std::time::Duration;

use bgp::{Announcer, HealthChecker, Micros, Notification};
use config::Bgp;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep_until, Instant};

use crate::clock::{duration, Clock};
use crate::data_plane::DataPlane;
use crate::event::Event;
use crate::health_check;
use crate::sessions::Sessions;
use crate::{status, Command, Status};

/// The maximum number of queued events. While the queue is full, nothing is read from connections.
const MAX_QUEUED_EVENTS: usize = 256;
/// The interval at which memory use and announcements are evaluated even if no event arrives.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// The delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_BACKOFF: Duration = EVALUATION_INTERVAL;
/// The maximum time for writing the last messages to peers at shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1500);
/// Subcode of the Cease NOTIFICATION: administrative shutdown (RFC 4486).
const CEASE_ADMINISTRATIVE_SHUTDOWN: u8 = 2;

/// Runs the speaker until it has shut down, or all senders of commands are dropped.
pub async fn run(
    config: Bgp,
    seed: u64,
    listener: Option<std::net::TcpListener>,
    mut commands: mpsc::UnboundedReceiver<Command>,
    log: fn(&str),
) {
    let (event_sender, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let listener = listener.and_then(|listener| TcpListener::from_std(listener).ok());
    let mut manager = EventLoop::new(config.clone(), seed, event_sender, log);
    manager.configure(config);
    loop {
        // Queued messages are handled before timers expire: the hold timer must not end the session of a peer
        // whose KEEPALIVE has arrived in time while the loop was busy.
        yield_now().await;
        manager.handle_queued_events(&mut events);
        manager.run_due_work();
        if manager.is_shut_down() {
            return manager.notify_shutdown_waiters();
        }
        let wake_up_at = manager.next_wake_up();
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => manager.handle_command(command),
                None => return,
            },
            Some(event) = events.recv() => manager.handle_event(event),
            (stream, remote) = accept(listener.as_ref()) => manager.sessions.on_accepted(stream, remote),
            () = sleep_until(wake_up_at) => {}
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> (TcpStream, SocketAddr) {
    let Some(listener) = listener else { return std::future::pending().await };
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

struct EventLoop {
    config: Bgp,
    clock: Clock,
    log: fn(&str),
    sessions: Sessions,
    announcer: Announcer,
    health_checker: HealthChecker,
    data_plane: DataPlane,
    events: mpsc::Sender<Event>,
    /// When memory use and announcements were last evaluated; `None` if the evaluation is due at once.
    evaluated_at: Option<Instant>,
    /// Whether an input of the decisions has changed since the last one.
    decision_due: bool,
    /// Notified when the shutdown is complete; not empty if and only if a shutdown has begun.
    shutdown_waiters: Vec<oneshot::Sender<()>>,
    /// When the sessions were ended for the shutdown.
    sessions_stopped_at: Option<Instant>,
}

impl EventLoop {
    fn new(config: Bgp, seed: u64, events: mpsc::Sender<Event>, log: fn(&str)) -> EventLoop {
        let clock = Clock::start();
        EventLoop {
            sessions: Sessions::new(clock, seed, events.clone(), log),
            health_checker: HealthChecker::new(config.health_checks),
            config,
            clock,
            log,
            announcer: Announcer::default(),
            data_plane: DataPlane::new(),
            events,
            evaluated_at: None,
            decision_due: true,
            shutdown_waiters: Vec::new(),
            sessions_stopped_at: None,
        }
    }

    fn is_shutting_down(&self) -> bool {
        !self.shutdown_waiters.is_empty()
    }

    /// Applies a configuration. Sessions and addresses that it does not change keep their state.
    fn configure(&mut self, config: Bgp) {
        let now = self.clock.now();
        self.sessions.stop_changed(&config);
        self.announcer.set(now, &config.addresses);
        self.health_checker.update_settings(config.health_checks);
        self.config = config;
        let announcements = self.announcer.announcements();
        self.sessions.announce(&announcements);
        if !self.config.dry_run {
            let start = !self.is_shutting_down();
            for peer in &self.config.peers {
                self.sessions.add(peer, &announcements, start);
            }
        }
        self.update_health_checks();
        self.evaluated_at = None;
        self.decision_due = true;
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::UpdateDataPlane(status) => {
                let lists_changed = status.pools.is_some();
                self.decision_due |= self.data_plane.update(status);
                if lists_changed {
                    self.update_health_checks();
                }
            }
            Command::Reload(config) => self.configure(*config),
            Command::Hold { prefix, held, found } => {
                let _ = found.send(self.announcer.hold(prefix, held));
                let action = if held { "held" } else { "released" };
                (self.log)(&format!("bgp: {prefix} {action} by an operator"));
                self.decision_due = true;
            }
            Command::Status(reply) => drop(reply.send(self.status())),
            Command::ShutDown(finished) => {
                self.announcer.begin_shutdown(now, self.config.leave.as_micros() as Micros);
                self.shutdown_waiters.push(finished);
                self.decision_due = true;
            }
            Command::SkipShutdownDelay => {
                self.announcer.skip_shutdown_delay(now);
                self.decision_due = true;
            }
        }
    }

    fn handle_queued_events(&mut self, events: &mut mpsc::Receiver<Event>) {
        for _ in 0..MAX_QUEUED_EVENTS {
            match events.try_recv() {
                Ok(event) => self.handle_event(event),
                Err(_) => return,
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::HealthChecked { endpoint, healthy } => {
                let now = self.clock.now();
                self.decision_due |= self.health_checker.on_result(now, &endpoint, healthy);
            }
            Event::Dialed { peer, id, result } => self.sessions.on_dialed(&peer, id, result),
            Event::Connection { peer, direction, id, event } => {
                self.sessions.on_connection_event(&peer, direction, id, event);
            }
        }
    }

    /// Sets the endpoints to check to those that the configured addresses depend on.
    fn update_health_checks(&mut self) {
        let now = self.clock.now();
        self.health_checker.set_endpoints(now, self.data_plane.endpoints(&self.config));
    }

    fn status(&self) -> Status {
        let now = self.clock.now();
        Status {
            dry_run: self.config.dry_run,
            shutting_down: self.is_shutting_down(),
            unknown_peer_connections: self.sessions.unknown_peer_connections(),
            peers: self.sessions.status(now),
            addresses: self.announcer.views(now).map(|view| status::address(now, &view)).collect(),
        }
    }

    fn next_wake_up(&self) -> Instant {
        let now = self.clock.now();
        let timers =
            [self.sessions.next_timer(), self.health_checker.next_check(), self.announcer.next_decision(now)];
        let next_timer = timers.into_iter().flatten().min();
        let next_evaluation = self.evaluated_at.map_or_else(Instant::now, |at| at + EVALUATION_INTERVAL);
        next_timer.map_or(next_evaluation, |at| self.clock.instant_at(at).min(next_evaluation))
    }

    fn run_due_work(&mut self) {
        let now = self.clock.now();
        self.sessions.tick(now);
        self.start_health_checks(now);
        if self.evaluated_at.is_none_or(|at| at.elapsed() >= EVALUATION_INTERVAL) {
            self.evaluated_at = Some(Instant::now());
            self.data_plane.check_memory(self.config.memory_bytes);
            self.decision_due = true;
        }
        if self.decision_due || self.announcer.next_decision(now).is_some_and(|at| at <= now) {
            self.decide();
        }
        if self.is_shutting_down() {
            self.stop_sessions_once_withdrawn();
        }
    }

    fn start_health_checks(&mut self, now: Micros) {
        let check_timeout = duration(self.config.health_checks.timeout);
        for endpoint in self.health_checker.start_due(now) {
            let events = self.events.clone();
            let path = self.config.health_check_path.clone();
            spawn_local(async move {
                let healthy = health_check::check(endpoint, path.as_deref(), check_timeout).await;
                let _ = events.send(Event::HealthChecked { endpoint, healthy }).await;
            });
        }
    }

    /// Decides which addresses are announced, and passes changes to the sessions.
    fn decide(&mut self) {
        self.decision_due = false;
        let now = self.clock.now();
        let process = self.data_plane.process_health(&self.config);
        let pools = self.data_plane.pool_health(&self.config, &self.health_checker);
        if !self.announcer.decide(now, process, &pools) {
            return;
        }
        // The addresses whose level has changed in this decision.
        for view in self.announcer.views(now).filter(|view| view.since == now) {
            (self.log)(&format!("bgp: {} {}: {}", view.prefix, view.level.name(), view.reason));
        }
        self.sessions.announce(&self.announcer.announcements());
    }

    fn stop_sessions_once_withdrawn(&mut self) {
        if self.sessions_stopped_at.is_some() || !self.announcer.announcements().is_empty() {
            return;
        }
        self.sessions_stopped_at = Some(Instant::now());
        let notification = Notification::cease(CEASE_ADMINISTRATIVE_SHUTDOWN, &self.config.shutdown_text);
        self.sessions.stop_all(&notification);
    }

    /// Returns whether the shutdown is complete or has timed out.
    fn is_shut_down(&self) -> bool {
        let is_complete = |at: Instant| self.sessions.all_closed() || at.elapsed() >= SHUTDOWN_TIMEOUT;
        self.sessions_stopped_at.is_some_and(is_complete)
    }

    fn notify_shutdown_waiters(&mut self) {
        for waiter in self.shutdown_waiters.drain(..) {
            let _ = waiter.send(());
        }
    }
}
