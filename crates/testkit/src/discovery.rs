//! A stand-in for discovery: the platform's list of backends, told when a test says so.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Instant;

use socket2::{Domain, Socket, Type};

use crate::message::hear;
use crate::PATIENCE;

/// An address where nobody listens.
pub fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound")
}

/// A port that is held and where nobody listens, until somebody does.
pub struct Closed(Socket);

impl Closed {
    /// Takes a port.
    ///
    /// # Panics
    /// There is none to be had.
    #[must_use]
    pub fn new() -> Closed {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        Closed(socket)
    }

    /// Its address.
    ///
    /// # Panics
    /// It has none.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("bound").as_socket().expect("an address")
    }

    /// Connections are taken from now on.
    ///
    /// # Panics
    /// They cannot be.
    #[must_use]
    pub fn open(self) -> TcpListener {
        self.0.listen(128).expect("listens");
        self.0.into()
    }
}

impl Default for Closed {
    fn default() -> Self {
        Closed::new()
    }
}

pub fn host(name: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"here","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

pub fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// What discovery does with a call.
#[derive(Clone, Debug)]
pub enum News {
    List(String),
    /// It says that a list comes, and breaks off in the middle.
    Breaks(String),
    Fails,
    /// It closes the connection.
    Closes,
}

#[derive(Default)]
struct Calls {
    news: VecDeque<News>,
    /// What it does with each call while there are none.
    meanwhile: Option<News>,
    /// Paths of the calls, with their times.
    made: Vec<(String, Instant)>,
}

impl Calls {
    fn has_nothing_to_say(&self) -> bool {
        self.news.is_empty() && self.meanwhile.is_none()
    }
}

fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The version after which a call asks for news that it does not wait for, as a process does that has just started.
fn confirms(path: &str) -> Option<u64> {
    path.strip_prefix("/v1/servers?after=")?.strip_suffix("&wait_ms=1")?.parse().ok()
}

/// Answers each call with the next news, as soon as there are any. A call that does not wait is told that there are none, and
/// does not count.
pub struct Discovery {
    pub address: SocketAddr,
    calls: Arc<(Mutex<Calls>, Condvar)>,
}

impl Discovery {
    pub fn new() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let calls = Arc::<(Mutex<Calls>, Condvar)>::default();
        let shared = Arc::clone(&calls);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, shared) = (stream.expect("accepts"), Arc::clone(&shared));
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
                    while let Some(call) = hear(&mut reader) {
                        let path = call.line.split(' ').nth(1).expect("a path").to_owned();
                        let (lock, changed) = &*shared;
                        let mut calls = lock.lock().expect("unpoisoned");
                        if let Some(version) = confirms(&path).filter(|_| calls.has_nothing_to_say()) {
                            let text = ok(&list(version, false, &[]));
                            drop(calls);
                            if stream.write_all(text.as_bytes()).is_err() {
                                return;
                            }
                            continue;
                        }
                        calls.made.push((path, Instant::now()));
                        changed.notify_all();
                        let mut calls =
                            changed.wait_while(calls, |c| c.has_nothing_to_say()).expect("unpoisoned");
                        let news = calls.news.pop_front().or_else(|| calls.meanwhile.clone());
                        let text = match news.expect("just seen") {
                            News::Closes => return,
                            News::List(body) => ok(&body),
                            News::Breaks(body) => {
                                let half = &body[..body.len() / 2];
                                let head =
                                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                                let _ = stream.write_all(format!("{head}{half}").as_bytes());
                                return;
                            }
                            News::Fails => {
                                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned()
                            }
                        };
                        drop(calls);
                        if stream.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Discovery { address, calls }
    }

    pub fn tell(&self, news: News) {
        let (lock, changed) = &*self.calls;
        lock.lock().expect("unpoisoned").news.push_back(news);
        changed.notify_all();
    }

    /// From now on each call that no news wait for is dealt with so; None: it waits for news.
    pub fn meanwhile(&self, news: Option<News>) {
        let (lock, changed) = &*self.calls;
        lock.lock().expect("unpoisoned").meanwhile = news;
        changed.notify_all();
    }

    /// How many calls were made up to now.
    pub fn calls(&self) -> usize {
        self.calls.0.lock().expect("unpoisoned").made.len()
    }

    /// Waits for the call of this number, from 0: its path and time.
    #[track_caller]
    pub fn call(&self, number: usize) -> (String, Instant) {
        let (lock, changed) = &*self.calls;
        let calls = lock.lock().expect("unpoisoned");
        let (calls, _) =
            changed.wait_timeout_while(calls, PATIENCE, |c| c.made.len() <= number).expect("unpoisoned");
        calls.made.get(number).expect("the proxy calls discovery").clone()
    }
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery::new()
    }
}
