//! Every pair of state and event, compared with a table from RFC 4271 section 8.2.2, and the timers.

use bgp::{Action, Event, Machine, MachineSettings, Micros, Notification, State, Timer, SECOND};

/// The letter of the next state, then the actions: `d` dial, `o` send OPEN, `k` send KEEPALIVE, `nC.S` send
/// NOTIFICATION with this code and subcode, `c` close, `u` session up, `D` session down. OpenConfirm has the
/// letter `F`.
const TRANSITIONS: &str = "
event         Idle  Connect  Active  OpenSent   OpenConfirm  Established
Start         C:d   C:       A:      S:         F:           E:
Stop          I:    I:c      I:c     I:n6.2,c   I:n6.2,c     I:n6.2,c,D
ConnectRetry  I:    C:c,d    C:d     I:n5.1,c   I:n5.2,c     I:n5.3,c,D
Hold          I:    I:c      I:c     I:n4.0,c   I:n4.0,c     I:n4.0,c,D
KeepaliveTime I:    I:c      I:c     I:n5.1,c   F:k          E:k
IdleHold      C:d   I:c      I:c     I:n5.1,c   I:n5.2,c     I:n5.3,c,D
Connected     I:c   S:o      S:o     I:n5.1,c   I:n5.2,c     I:n5.3,c,D
Failed        I:    I:c      I:c     A:c        I:c          I:c,D
Open          I:    I:c      I:c     F:k        I:n5.2,c     I:n5.3,c,D
HeaderError   I:    I:c      I:c     I:n1.1,c   I:n1.1,c     I:n1.1,c,D
OpenError     I:    I:c      I:c     I:n2.2,c   I:n2.2,c     I:n2.2,c,D
Collision     I:    I:c      I:c     I:n6.7,c   I:n6.7,c     I:n6.7,c,D
VersionError  I:    I:c      I:c     I:c        I:c          I:c,D
Notification  I:    I:c      I:c     I:c        I:c          I:c,D
Keepalive     I:    I:c      I:c     I:n5.1,c   E:u          E:
Update        I:    I:c      I:c     I:n5.1,c   I:n5.2,c     E:
UpdateError   I:    I:c      I:c     I:n5.1,c   I:n5.2,c     I:n3.1,c,D
";

const STATES: [State; 6] =
    [State::Idle, State::Connect, State::Active, State::OpenSent, State::OpenConfirm, State::Established];

fn event(name: &str) -> Event {
    let notification = |code, subcode| Notification::new(code, subcode, &[]);
    match name {
        "Start" => Event::Start,
        "Stop" => Event::Stop(Notification::cease(2, "")),
        "ConnectRetry" => Event::TimerExpired(Timer::ConnectRetry),
        "Hold" => Event::TimerExpired(Timer::Hold),
        "KeepaliveTime" => Event::TimerExpired(Timer::Keepalive),
        "IdleHold" => Event::TimerExpired(Timer::IdleHold),
        "Connected" => Event::ConnectionEstablished,
        "Failed" => Event::ConnectionFailed,
        "Open" => Event::OpenReceived { hold_time_s: 9 },
        "HeaderError" => Event::HeaderError(notification(1, 1)),
        "OpenError" => Event::OpenError(notification(2, 2)),
        "Collision" => Event::CollisionLost,
        "VersionError" => Event::VersionErrorReceived,
        "Notification" => Event::NotificationReceived,
        "Keepalive" => Event::KeepaliveReceived,
        "Update" => Event::UpdateReceived,
        "UpdateError" => Event::UpdateError(notification(3, 1)),
        other => panic!("no event {other}"),
    }
}

fn settings() -> MachineSettings {
    MachineSettings { passive: false, connect_retry_time: SECOND, max_idle_hold_time: 60 * SECOND }
}

/// A machine in this state, reached by events from Idle.
fn in_state(state: State, seed: u64) -> Machine {
    let mut machine = Machine::new(settings(), seed);
    let events: &[Event] = match state {
        State::Idle => &[],
        State::Connect => &[Event::Start],
        State::Active => &[Event::Start, Event::ConnectionEstablished, Event::ConnectionFailed],
        State::OpenSent => &[Event::Start, Event::ConnectionEstablished],
        State::OpenConfirm => {
            &[Event::Start, Event::ConnectionEstablished, Event::OpenReceived { hold_time_s: 9 }]
        }
        State::Established => &[
            Event::Start,
            Event::ConnectionEstablished,
            Event::OpenReceived { hold_time_s: 9 },
            Event::KeepaliveReceived,
        ],
    };
    for event in events {
        machine.handle(0, event.clone(), &mut Vec::new());
    }
    assert_eq!(machine.state(), state);
    machine
}

/// Formats a state and actions as in [`TRANSITIONS`].
fn format_transition(state: State, actions: &[Action]) -> String {
    let letter = match state {
        State::Idle => "I",
        State::Connect => "C",
        State::Active => "A",
        State::OpenSent => "S",
        State::OpenConfirm => "F",
        State::Established => "E",
    };
    let symbol = |action: &Action| match action {
        Action::Connect => "d".to_owned(),
        Action::SendOpen => "o".to_owned(),
        Action::SendKeepalive => "k".to_owned(),
        Action::SendNotification(n) => format!("n{}.{}", n.code, n.subcode),
        Action::Close => "c".to_owned(),
        Action::SessionUp => "u".to_owned(),
        Action::SessionDown => "D".to_owned(),
    };
    format!("{letter}:{}", actions.iter().map(symbol).collect::<Vec<_>>().join(","))
}

#[test]
fn every_event_in_every_state_follows_rfc_4271() {
    let mut pairs = 0;
    for row in TRANSITIONS.lines().skip(2) {
        let mut cells = row.split_whitespace();
        let name = cells.next().expect("a name");
        for (state, expected) in STATES.into_iter().zip(cells) {
            let mut machine = in_state(state, 7);
            let mut actions = Vec::new();
            machine.handle(SECOND, event(name), &mut actions);
            assert_eq!(format_transition(machine.state(), &actions), expected, "{name} in {}", state.name());
            let is_set = |timer| machine.timer(timer).is_some();
            let running = [is_set(Timer::ConnectRetry), is_set(Timer::Hold), is_set(Timer::Keepalive)];
            let expected_running = match machine.state() {
                State::Idle => [false; 3],
                State::Connect | State::Active => [true, false, false],
                State::OpenSent => [false, true, false],
                State::OpenConfirm | State::Established => [false, true, true],
            };
            assert_eq!(running, expected_running, "timers after {name} in {}", state.name());
            // The machine restarts by itself after every event except an intended stop.
            let stopped = matches!(name, "Stop" | "Collision") || state == State::Idle;
            let idle = machine.state() == State::Idle;
            assert_eq!(is_set(Timer::IdleHold), idle && !stopped, "{name} in {}", state.name());
            pairs += 1;
        }
    }
    assert_eq!(pairs, 17 * 6);
}

/// Guards against ending a session whose KEEPALIVE arrives at the last moment, and against a hold timer that
/// jitter shortens or other timers delay.
#[test]
fn keepalive_is_jittered_and_hold_timer_is_exact() {
    for seed in 0..200 {
        let mut machine = in_state(State::Established, seed);
        let keepalive = machine.timer(Timer::Keepalive).expect("runs");
        assert!((9 * SECOND / 4..=3 * SECOND).contains(&keepalive), "{keepalive}");
        let hold = machine.timer(Timer::Hold).expect("runs");
        assert_eq!(hold, 9 * SECOND);
        let mut out = Vec::new();
        machine.tick(hold - 1, &mut out);
        assert_eq!((machine.state(), &out[..]), (State::Established, &[Action::SendKeepalive][..]));
        // A KEEPALIVE that arrives exactly at the hold time is in time.
        machine.handle(hold, Event::KeepaliveReceived, &mut out);
        machine.tick(hold, &mut out);
        assert_eq!(machine.state(), State::Established);
        out.clear();
        machine.tick(18 * SECOND, &mut out);
        assert_eq!(machine.state(), State::Idle);
        assert_eq!(
            out[0],
            Action::SendNotification(Notification::hold_timer_expired()),
            "the hold timer expires before other timers"
        );
    }
}

#[test]
fn idle_hold_time_doubles_per_failure_and_stable_session_resets_it() {
    let mut machine = Machine::new(settings(), 3);
    let mut now: Micros = 0;
    let mut waits = Vec::new();
    machine.handle(now, Event::Start, &mut Vec::new());
    for _ in 0..12 {
        machine.handle(now, Event::ConnectionFailed, &mut Vec::new());
        let at = machine.timer(Timer::IdleHold).expect("waits");
        waits.push(at - now);
        now = at;
        machine.tick(now, &mut Vec::new());
        assert_eq!(machine.state(), State::Connect);
    }
    for (nth, wait) in waits.iter().enumerate() {
        let max_wait = (SECOND << nth).min(60 * SECOND);
        assert!((max_wait * 3 / 4..=max_wait).contains(wait), "{waits:?}");
    }
    for event in
        [Event::ConnectionEstablished, Event::OpenReceived { hold_time_s: 90 }, Event::KeepaliveReceived]
    {
        machine.handle(now, event, &mut Vec::new());
    }
    now += 61 * SECOND;
    machine.handle(now, Event::ConnectionFailed, &mut Vec::new());
    assert!(machine.timer(Timer::IdleHold).expect("waits") - now <= SECOND);
}

#[test]
fn passive_machine_never_dials() {
    let mut machine = Machine::new(MachineSettings { passive: true, ..settings() }, 1);
    let mut out = Vec::new();
    machine.handle(0, Event::Start, &mut out);
    machine.tick(1_000_000 * SECOND, &mut out);
    assert_eq!((machine.state(), out.len()), (State::Active, 0));
    machine.handle(0, Event::ConnectionEstablished, &mut out);
    machine.handle(0, Event::ConnectionFailed, &mut out);
    machine.tick(1_000_000 * SECOND, &mut out);
    assert!(!out.contains(&Action::Connect));
}
