//! Every pair of state and event, against a table that was written from RFC 4271 section 8.2.2, and what the
//! timers do.

use bgp::{Action, Event, Machine, MachineSettings, Micros, Notification, State, Timer, SECOND};

/// A state's letter, then actions: d dial, o OPEN, k KEEPALIVE, nC.S a NOTIFICATION, c close, u up, D down.
const TABLE: &str = "
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

/// A machine that has been brought into this state.
fn in_state(state: State, seed: u64) -> Machine {
    let mut machine = Machine::new(settings(), seed);
    let way: &[Event] = match state {
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
    for event in way {
        machine.handle(0, event.clone(), &mut Vec::new());
    }
    assert_eq!(machine.state(), state);
    machine
}

fn written(state: State, actions: &[Action]) -> String {
    let letter = match state {
        State::Idle => "I",
        State::Connect => "C",
        State::Active => "A",
        State::OpenSent => "S",
        State::OpenConfirm => "F",
        State::Established => "E",
    };
    let word = |action: &Action| match action {
        Action::Connect => "d".to_owned(),
        Action::SendOpen => "o".to_owned(),
        Action::SendKeepalive => "k".to_owned(),
        Action::SendNotification(n) => format!("n{}.{}", n.code, n.subcode),
        Action::Close => "c".to_owned(),
        Action::SessionUp => "u".to_owned(),
        Action::SessionDown => "D".to_owned(),
    };
    format!("{letter}:{}", actions.iter().map(word).collect::<Vec<_>>().join(","))
}

#[test]
fn every_event_in_every_state_does_what_the_rfc_says() {
    let mut pairs = 0;
    for row in TABLE.lines().skip(2) {
        let mut cells = row.split_whitespace();
        let name = cells.next().expect("a name");
        for (state, wanted) in STATES.into_iter().zip(cells) {
            let mut machine = in_state(state, 7);
            let mut actions = Vec::new();
            machine.handle(SECOND, event(name), &mut actions);
            assert_eq!(written(machine.state(), &actions), wanted, "{name} in {}", state.name());
            let set = |timer| machine.timer(timer).is_some();
            let running = [set(Timer::ConnectRetry), set(Timer::Hold), set(Timer::Keepalive)];
            let due = match machine.state() {
                State::Idle => [false; 3],
                State::Connect | State::Active => [true, false, false],
                State::OpenSent => [false, true, false],
                State::OpenConfirm | State::Established => [false, true, true],
            };
            assert_eq!(running, due, "timers after {name} in {}", state.name());
            // It begins again by itself after all but what was asked for.
            let asked = matches!(name, "Stop" | "Collision") || state == State::Idle;
            let idle = machine.state() == State::Idle;
            assert_eq!(set(Timer::IdleHold), idle && !asked, "{name} in {}", state.name());
            pairs += 1;
        }
    }
    assert_eq!(pairs, 17 * 6);
}

#[test]
fn timers_are_jittered_and_the_hold_timer_ends_a_silent_session_to_the_microsecond() {
    for seed in 0..200 {
        let mut machine = in_state(State::Established, seed);
        let keepalive = machine.timer(Timer::Keepalive).expect("runs");
        assert!((9 * SECOND / 4..=3 * SECOND).contains(&keepalive), "{keepalive}");
        let hold = machine.timer(Timer::Hold).expect("runs");
        assert_eq!(hold, 9 * SECOND);
        let mut out = Vec::new();
        machine.tick(hold - 1, &mut out);
        assert_eq!((machine.state(), &out[..]), (State::Established, &[Action::SendKeepalive][..]));
        // What is heard just then is in time.
        machine.handle(hold, Event::KeepaliveReceived, &mut out);
        machine.tick(hold, &mut out);
        assert_eq!(machine.state(), State::Established);
        out.clear();
        machine.tick(18 * SECOND, &mut out);
        assert_eq!(machine.state(), State::Idle);
        assert_eq!(
            out[0],
            Action::SendNotification(Notification::hold_timer_expired()),
            "before anything else is due"
        );
    }
}

#[test]
fn waits_grow_with_failures_in_a_row_and_a_session_that_stood_ends_the_row() {
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
        let longest = (SECOND << nth).min(60 * SECOND);
        assert!((longest * 3 / 4..=longest).contains(wait), "{waits:?}");
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
fn a_passive_machine_never_dials() {
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
