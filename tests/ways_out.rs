//! Every way in which a request can end, many at once, beside what operators read: nothing is counted twice, or not at all.
mod stubs;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// Over what is held whole.
const LARGE: usize = 300_000;

/// What becomes of a request; its backend reads the deed off its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Served,
    Error,
    /// The backend ends the connection in place of an answer.
    Hangup,
    /// The caller leaves before there is an answer.
    Left,
    /// No answer before its time is up.
    Late,
    /// A large request, whole.
    Upload,
    /// And one that breaks off.
    Cut,
    /// A large answer, whole, broken off, or left in the middle.
    Download,
    Broken,
    Bored,
    /// Turned away with no class known.
    Nobody,
    /// Turned away for its way of asking, and for an id that is none.
    Method,
    Nameless,
    /// The backend answers a large request before it has read it.
    Early,
}

const WAYS: [Way; 14] = [
    Way::Served,
    Way::Error,
    Way::Hangup,
    Way::Left,
    Way::Late,
    Way::Upload,
    Way::Cut,
    Way::Download,
    Way::Broken,
    Way::Bored,
    Way::Nobody,
    Way::Method,
    Way::Nameless,
    Way::Early,
];

impl Way {
    /// Is its class known, so that it counts?
    fn counts(self) -> bool {
        !matches!(self, Way::Nobody | Way::Method | Way::Nameless)
    }
}

/// The ids of requests that backends have read whole.
type ServerEvent = Arc<Mutex<Vec<String>>>;

/// A backend that keeps account of what it has read whole.
fn backend(seen: ServerEvent) -> SocketAddr {
    raw_backend(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while serve(&mut reader, &stream, &seen).is_some() {}
        let _ = stream.shutdown(Shutdown::Both);
    })
}

/// Serves a request; None where its connection is to end.
fn serve(reader: &mut BufReader<TcpStream>, mut stream: &TcpStream, seen: &ServerEvent) -> Option<()> {
    let (mut length, mut line, mut id) = (0, String::new(), String::new());
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        } else if lower.starts_with("x-request-id:") {
            line.split_once(':')?.1.trim().clone_into(&mut id);
        }
    }
    let mut answer = |status: &str, length: usize, body: &[u8]| {
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).ok()
    };
    let is = |way: Way| id.starts_with(&format!("{way:?}-"));
    if is(Way::Early) {
        answer("200 OK", 2, b"ok")?;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    seen.lock().expect("unpoisoned").push(id.clone());
    if is(Way::Served) || is(Way::Upload) || is(Way::Cut) {
        answer("200 OK", 2, b"ok")
    } else if is(Way::Error) {
        answer("500 Internal Server Error", 0, b"")
    } else if is(Way::Download) || is(Way::Bored) {
        answer("200 OK", LARGE, &vec![7; LARGE])
    } else if is(Way::Broken) {
        answer("200 OK", LARGE, &vec![7; LARGE / 2])?;
        None
    } else if is(Way::Left) || is(Way::Late) {
        // Until the connection ends.
        let _ = reader.read(&mut [0]);
        None
    } else if is(Way::Early) {
        Some(())
    } else {
        None
    }
}

/// Goes that way as its caller: the status, where there was one.
fn go(at: SocketAddr, way: Way, id: u64, seen: &ServerEvent) -> Option<u16> {
    let name = format!("{way:?}-{id}");
    let stream = TcpStream::connect(at).expect("it listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    let mut caller = BufReader::new(stream);
    let request = match way {
        Way::Upload | Way::Cut | Way::Early => {
            write(&name, 5000, "").replace("Content-Length: 0", &format!("Content-Length: {LARGE}"))
        }
        Way::Late => read(&name, 150),
        Way::Nobody => read(&name, 5000).replace("read", "nobodys"),
        Way::Method => read(&name, 5000).replace("GET", "PUT"),
        Way::Nameless => read(&name, 5000).replace("X-Request-ID: ", "X-Request-ID: ,"),
        _ => read(&name, 5000),
    };
    caller.get_mut().write_all(request.as_bytes()).expect("written");
    match way {
        // An answer that comes before may end the connection under what is still written.
        Way::Upload | Way::Early => drop(caller.get_mut().write_all(&vec![7; LARGE])),
        Way::Cut => {
            caller.get_mut().write_all(&vec![7; LARGE / 2]).expect("written");
            return None;
        }
        Way::Left => {
            let since = Instant::now();
            while !seen.lock().expect("unpoisoned").contains(&name) {
                assert!(since.elapsed() < TEST_TIMEOUT, "{name} reaches a backend");
                thread::sleep(Duration::from_millis(1));
            }
            return None;
        }
        Way::Bored => {
            caller.read_exact(&mut [0; 64]).expect("the beginning");
            return None;
        }
        Way::Broken => {
            let mut all = Vec::new();
            let _ = caller.read_to_end(&mut all);
            assert!(all.len() < LARGE);
            return None;
        }
        _ => {}
    }
    read_message(&mut caller).map(|answer| answer.status())
}

#[test]
fn whatever_way_requests_go_their_counts_agree_with_callers_and_backends() {
    let seed = 40;
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let seen = ServerEvent::default();
    let nodes = [backend(Arc::clone(&seen)), backend(Arc::clone(&seen))];
    let (discovery, held) = (MockDiscovery::new(), Held::new());
    let mut setup = Setup { aim_ms: 4000, ..Setup::of(&[]) };
    setup.hosts = nodes.iter().enumerate().map(|(i, b)| host(&format!("s-{i}"), *b, "SERVING")).collect();
    let process = held.start(&with_operators(&setup.config(discovery.address)));
    let read_figures = || process.call("GET", "/status/metrics", "").1;
    let sum = |text: &str, name: &str| -> u64 {
        let lines = text.lines().filter(|l| l.starts_with(name));
        lines.filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    };
    let figures = || {
        let text = read_figures();
        let of = |name: &str| sum(&text, name);
        let ended = of("edge_lb_ok_total") + of("edge_lb_shed_total") + of("edge_lb_errors_total");
        (ended, of("edge_lb_active"), of("edge_lb_tries_total"))
    };
    let (mut began, mut id, mut told) = (0, 0, BTreeMap::<u16, u64>::new());
    for round in 0..40 {
        let ways: Vec<Way> = (0..6).map(|_| WAYS[rng.usize(0..WAYS.len())]).collect();
        // Each way once for sure.
        let ways = if round == 0 { WAYS.to_vec() } else { ways };
        let before = began;
        began += ways.iter().filter(|w| w.counts()).count() as u64;
        let over = AtomicBool::new(false);
        thread::scope(|scope| {
            // At each moment: no more than was asked, and nothing forgotten that had ended before.
            scope.spawn(|| {
                while !over.load(Ordering::SeqCst) {
                    let (ended, active, _) = figures();
                    assert!(
                        (before..=began).contains(&(ended + active)),
                        "{before} {ended} {active} {began}"
                    );
                    thread::sleep(Duration::from_millis(2));
                }
            });
            let going: Vec<_> = ways
                .iter()
                .map(|&way| {
                    id += 1;
                    let (at, id, seen) = (held.address, id, &seen);
                    scope.spawn(move || (way, go(at, way, id, seen)))
                })
                .collect();
            for one in going {
                let (way, status) = one.join().expect("no panic");
                if let (true, Some(status)) = (way.counts(), status) {
                    *told.entry(status).or_default() += 1;
                }
            }
            over.store(true, Ordering::SeqCst);
        });
        let since = Instant::now();
        loop {
            let (ended, active, tries) = figures();
            let read = seen.lock().expect("unpoisoned").len() as u64;
            if (ended, active) == (began, 0) && tries == read {
                break;
            }
            let state = format!(
                "round {round}, {ways:?}: {ended} ended, {active} active of {began}, {tries} tries of {read}"
            );
            assert!(since.elapsed() < TEST_TIMEOUT, "{state}");
            thread::sleep(Duration::from_millis(5));
        }
    }
    // What callers were told is a part of what was counted under that name: who left was told nothing.
    let text = read_figures();
    let of = |name: &str| sum(&text, name);
    let heard = |is: &dyn Fn(u16) -> bool| told.iter().filter(|(s, _)| is(**s)).map(|(_, n)| n).sum::<u64>();
    assert!(of("edge_lb_ok_total") >= heard(&|s| s < 300), "{told:?}");
    assert!(of("edge_lb_shed_total") >= heard(&|s| s == 429 || s == 503), "{told:?}");
    assert!(of("edge_lb_errors_total") >= heard(&|s| s == 502 || s == 504), "{told:?}");
    assert!(heard(&|s| s < 300) > 20 && heard(&|s| s >= 500) > 10, "{told:?}");
}
