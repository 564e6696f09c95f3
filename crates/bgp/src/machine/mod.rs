//! The finite state machine of one connection (RFC 4271 section 8).
//!
//! Optional session attributes in use: AllowAutomaticStart, DampPeerOscillations (the idle hold time doubles
//! with each consecutive failure, up to a maximum), PassiveTcpEstablishment (never dials). Not in use:
//! DelayOpen, TrackTcpState, SendNOTIFICATIONwithoutOPEN, CollisionDetectEstablishedState.
//!
//! Deviations: a NOTIFICATION is never answered with one, because the peer has closed the connection; an
//! error in a header or an OPEN is reported as such in every state (section 6), not as a finite state machine
//! error.
//!
//! Inputs are events and the time in microseconds; the state is of constant size.

mod interface;

use crate::message::Notification;
use crate::{Micros, SECOND};

pub use interface::{Action, Event, MachineSettings, State, Timer};

/// All timers, in the order in which timers due at the same time expire.
const TIMERS: [Timer; 4] = [Timer::Hold, Timer::Keepalive, Timer::ConnectRetry, Timer::IdleHold];

/// The hold time until the peer's OPEN arrives, as RFC 4271 suggests.
const OPEN_SENT_HOLD_TIME: Micros = 240 * SECOND;
/// A session established for this long resets the count of consecutive failures.
const STABLE_SESSION_TIME: Micros = 60 * SECOND;
/// The maximum exponent of the exponential growth of the idle hold time.
const MAX_BACKOFF_EXPONENT: u32 = 20;
/// Error code of a finite state machine error (RFC 4271 section 6.6).
const FSM_ERROR: u8 = 5;
/// Subcode of the Cease NOTIFICATION: connection collision resolution (RFC 4486).
const CEASE_COLLISION_RESOLUTION: u8 = 7;
/// The first start is spread over the connect retry time divided by this.
const START_SPREAD_DIVISOR: Micros = 4;
/// The number of KEEPALIVEs per hold time (RFC 4271 section 10).
const KEEPALIVES_PER_HOLD_TIME: Micros = 3;
/// The maximum fraction of a duration that jitter subtracts (RFC 4271 section 10).
const MAX_JITTER: f64 = 0.25;

/// The state machine of one connection.
#[derive(Clone, Debug)]
pub struct Machine {
    settings: MachineSettings,
    state: State,
    since: Micros,
    /// When each timer expires, indexed by [`Timer`].
    timers: [Option<Micros>; TIMERS.len()],
    hold_time: Micros,
    /// Consecutive failures.
    failures: u32,
    rng: fastrand::Rng,
}

impl Machine {
    /// Creates a machine in state Idle. `seed` is the seed of the jitter of its timers.
    #[must_use]
    pub fn new(settings: MachineSettings, seed: u64) -> Machine {
        let rng = fastrand::Rng::with_seed(seed);
        Machine {
            settings,
            state: State::Idle,
            since: 0,
            timers: [None; TIMERS.len()],
            hold_time: 0,
            failures: 0,
            rng,
        }
    }

    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns when the machine entered the current state.
    #[must_use]
    pub fn since(&self) -> Micros {
        self.since
    }

    /// Returns the negotiated hold time in microseconds; 0 before the peer's OPEN.
    #[must_use]
    pub fn hold_time(&self) -> Micros {
        self.hold_time
    }

    /// Returns when this timer expires; `None` if it is not running.
    #[must_use]
    pub fn timer(&self, timer: Timer) -> Option<Micros> {
        self.timers[timer as usize]
    }

    /// Returns when the next timer expires; `None` if no timer is running.
    #[must_use]
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.iter().flatten().min().copied()
    }

    /// Expires all timers that are due and appends the resulting actions to `out`.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        for timer in TIMERS {
            if self.timer(timer).is_some_and(|at| at <= now) {
                self.timers[timer as usize] = None;
                self.handle(now, Event::TimerExpired(timer), out);
            }
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match self.state {
            State::Idle => self.on_idle(now, &event, out),
            State::Connect | State::Active => self.on_connecting(now, &event, out),
            State::OpenSent | State::OpenConfirm | State::Established => self.on_connected(now, event, out),
        }
    }

    fn on_idle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Start => {
                self.failures = 0;
                self.start(now, out);
            }
            Event::TimerExpired(Timer::IdleHold) => self.start(now, out),
            Event::ConnectionEstablished => out.push(Action::Close),
            _ => {}
        }
    }

    fn on_connecting(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Start => {}
            Event::Stop(_) | Event::CollisionLost => self.enter_idle(now, out),
            Event::TimerExpired(Timer::ConnectRetry) => {
                if self.state == State::Connect {
                    out.push(Action::Close);
                }
                self.dial(now, out);
            }
            Event::ConnectionEstablished => {
                self.timers = [None; TIMERS.len()];
                out.push(Action::SendOpen);
                self.set_timer(now, Timer::Hold, OPEN_SENT_HOLD_TIME);
                self.enter(now, State::OpenSent);
            }
            _ => self.fail(now, out),
        }
    }

    /// Handles the events that have the same effect in OpenSent, OpenConfirm and Established.
    fn on_connected(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start => {}
            Event::Stop(notification) => self.stop(now, notification, out),
            Event::CollisionLost => {
                self.stop(now, Notification::cease(CEASE_COLLISION_RESOLUTION, ""), out);
            }
            Event::ConnectionFailed if self.state == State::OpenSent => {
                out.push(Action::Close);
                self.timers = [None; TIMERS.len()];
                self.wait_for_connection(now);
                self.enter(now, State::Active);
            }
            Event::ConnectionFailed | Event::NotificationReceived => self.fail(now, out),
            Event::VersionErrorReceived => {
                // Does not add to earlier failures (RFC 4271, event 24), but the idle hold applies. Without
                // earlier failures it counts as the first one.
                self.failures = self.failures.saturating_sub(1);
                self.fail(now, out);
            }
            Event::TimerExpired(Timer::Hold) => self.fail_with(now, Notification::hold_timer_expired(), out),
            Event::HeaderError(notification) | Event::OpenError(notification) => {
                self.fail_with(now, notification, out);
            }
            event => self.on_session_message(now, event, out),
        }
    }

    /// Handles the events that are valid in only some of OpenSent, OpenConfirm and Established.
    fn on_session_message(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match (self.state, event) {
            (State::OpenSent, Event::OpenReceived { hold_time_s }) => {
                self.hold_time = Micros::from(hold_time_s) * SECOND;
                out.push(Action::SendKeepalive);
                self.set_timer(now, Timer::Hold, self.hold_time);
                self.set_keepalive_timer(now);
                self.enter(now, State::OpenConfirm);
            }
            (State::OpenConfirm, Event::KeepaliveReceived) => {
                self.set_timer(now, Timer::Hold, self.hold_time);
                self.enter(now, State::Established);
                out.push(Action::SessionUp);
            }
            (State::OpenConfirm | State::Established, Event::TimerExpired(Timer::Keepalive)) => {
                out.push(Action::SendKeepalive);
                self.set_keepalive_timer(now);
            }
            (State::Established, Event::KeepaliveReceived | Event::UpdateReceived) => {
                self.set_timer(now, Timer::Hold, self.hold_time);
            }
            (State::Established, Event::UpdateError(notification)) => {
                self.fail_with(now, notification, out);
            }
            (state, _) => {
                let notification = Notification::new(FSM_ERROR, unexpected_message_subcode(state), &[]);
                self.fail_with(now, notification, out);
            }
        }
    }

    /// Returns the idle hold time after the consecutive failures so far, with jitter.
    pub fn idle_hold_time(&mut self) -> Micros {
        let MachineSettings { connect_retry_time, max_idle_hold_time, .. } = self.settings;
        let exponent = self.failures.saturating_sub(1).min(MAX_BACKOFF_EXPONENT);
        let backoff = connect_retry_time << exponent;
        self.jittered(backoff.clamp(connect_retry_time, max_idle_hold_time))
    }

    /// Increments the number of consecutive failures, for example after a failure of another machine's
    /// connection.
    pub fn count_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Starts an idle machine after the duration `wait`. Has no effect in other states.
    pub fn start_after(&mut self, now: Micros, wait: Micros) {
        if self.state == State::Idle {
            self.set_timer(now, Timer::IdleHold, wait);
        }
    }

    /// Starts an idle machine for the first time, after a short random delay unless it is passive.
    pub fn start_with_jitter(&mut self, now: Micros) {
        self.failures = 0;
        let max_wait = self.settings.connect_retry_time.max(0) / START_SPREAD_DIVISOR;
        let wait = if self.settings.passive { 0 } else { self.rng.i64(0..=max_wait) };
        self.start_after(now, wait);
    }

    fn start(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.timers = [None; TIMERS.len()];
        if self.settings.passive {
            self.enter(now, State::Active);
        } else {
            self.dial(now, out);
        }
    }

    fn dial(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::Connect);
        self.wait_for_connection(now);
        self.enter(now, State::Connect);
    }

    fn wait_for_connection(&mut self, now: Micros) {
        if !self.settings.passive {
            let wait = self.jittered(self.settings.connect_retry_time);
            self.set_timer(now, Timer::ConnectRetry, wait);
        }
    }

    /// Sends a NOTIFICATION and stays idle until started.
    fn stop(&mut self, now: Micros, notification: Notification, out: &mut Vec<Action>) {
        out.push(Action::SendNotification(notification));
        self.enter_idle(now, out);
    }

    /// Sends a NOTIFICATION and starts again after the idle hold time.
    fn fail_with(&mut self, now: Micros, notification: Notification, out: &mut Vec<Action>) {
        out.push(Action::SendNotification(notification));
        self.fail(now, out);
    }

    /// Closes the connection and starts again after the idle hold time.
    fn fail(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.state == State::Established && now - self.since >= STABLE_SESSION_TIME {
            self.failures = 0;
        }
        self.count_failure();
        self.enter_idle(now, out);
        let wait = self.idle_hold_time();
        self.set_timer(now, Timer::IdleHold, wait);
    }

    /// Closes the connection and stays idle until started.
    fn enter_idle(&mut self, now: Micros, out: &mut Vec<Action>) {
        let was_established = self.state == State::Established;
        out.push(Action::Close);
        self.timers = [None; TIMERS.len()];
        self.hold_time = 0;
        self.enter(now, State::Idle);
        if was_established {
            out.push(Action::SessionDown);
        }
    }

    fn enter(&mut self, now: Micros, state: State) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }

    fn set_timer(&mut self, now: Micros, timer: Timer, after: Micros) {
        self.timers[timer as usize] = Some(now + after);
    }

    fn set_keepalive_timer(&mut self, now: Micros) {
        let interval = self.jittered(self.hold_time / KEEPALIVES_PER_HOLD_TIME);
        self.set_timer(now, Timer::Keepalive, interval);
    }

    /// Returns this duration less a random fraction of at most [`MAX_JITTER`].
    fn jittered(&mut self, time: Micros) -> Micros {
        time - (time as f64 * MAX_JITTER * self.rng.f64()) as Micros
    }
}

/// Returns the subcode for a message that is not valid in this state (RFC 6608).
fn unexpected_message_subcode(state: State) -> u8 {
    match state {
        State::OpenSent => 1,
        State::OpenConfirm => 2,
        _ => 3,
    }
}
