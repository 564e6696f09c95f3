//! A stand-in backend that follows a script.

use std::collections::VecDeque;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

use crate::message::{hear, Heard};
use crate::PATIENCE;

/// Lets what waits for it go on, now and from then on.
#[derive(Debug, Default)]
pub struct Release(Mutex<bool>, Condvar);

impl Release {
    pub fn release(&self) {
        *self.0.lock().expect("unpoisoned") = true;
        self.1.notify_all();
    }

    pub fn wait(&self) {
        let held = self.0.lock().expect("unpoisoned");
        let (_released, _) =
            self.1.wait_timeout_while(held, PATIENCE, |released| !*released).expect("unpoisoned");
    }
}

/// What a stub backend does with a request.
#[derive(Clone, Debug)]
pub enum Deed {
    /// Writes this and keeps the connection.
    Answer(String),
    /// Writes this and closes the connection without having said so.
    AnswerAndClose(String),
    /// Writes this once it is released.
    Held(Arc<Release>, String),
    /// Says nothing until the other side leaves.
    Silence,
    /// Closes the connection at once.
    Break,
}

pub fn ok(body: &str) -> Deed {
    answer("200 OK", "X-Server-Load: {\"depth\":1}\r\n", body)
}

pub fn full() -> Deed {
    answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
}

/// An answer with these headers, each with its line end.
pub fn answer(status: &str, headers: &str, body: &str) -> Deed {
    Deed::Answer(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

/// What a stub backend saw, with the number of the connection.
#[derive(Debug)]
pub enum Seen {
    Request(usize, Heard),
    /// The proxy closed the connection.
    Over(usize),
}

pub struct Backend {
    pub address: SocketAddr,
    seen: Receiver<Seen>,
}

impl Backend {
    /// Does these in turn, and the last one from there on.
    pub fn new(deeds: impl IntoIterator<Item = Deed>) -> Backend {
        let deeds = Mutex::new(deeds.into_iter().collect::<VecDeque<_>>());
        Backend::of(move |_| {
            let mut deeds = deeds.lock().expect("unpoisoned");
            if deeds.len() > 1 { deeds.pop_front() } else { deeds.front().cloned() }.expect("a deed")
        })
    }

    /// Does what this says of each request.
    pub fn of(deed: impl Fn(&Heard) -> Deed + Send + Sync + 'static) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let deed = Arc::new(deed);
        let (sender, seen) = mpsc::channel();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (sender, deed) = (sender.clone(), Arc::clone(&deed));
                thread::spawn(move || Backend::serve(number, stream.expect("accepts"), &sender, &*deed));
            }
        });
        Backend { address, seen }
    }

    fn serve(number: usize, mut stream: TcpStream, seen: &Sender<Seen>, deed: &dyn Fn(&Heard) -> Deed) {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while let Some(request) = hear(&mut reader) {
            let deed = deed(&request);
            let _ = seen.send(Seen::Request(number, request));
            match deed {
                Deed::Answer(text) => stream.write_all(text.as_bytes()).expect("written"),
                Deed::AnswerAndClose(text) => {
                    stream.write_all(text.as_bytes()).expect("written");
                    stream.shutdown(Shutdown::Write).expect("shut down");
                    break;
                }
                Deed::Held(release, text) => {
                    release.wait();
                    stream.write_all(text.as_bytes()).expect("written");
                }
                Deed::Silence => break,
                Deed::Break => return,
            }
        }
        let _ = reader.read_to_end(&mut Vec::new());
        let _ = seen.send(Seen::Over(number));
    }

    /// The next thing that it sees.
    #[track_caller]
    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(PATIENCE).expect("the proxy does something")
    }

    /// The next request, and the number of its connection.
    #[track_caller]
    pub fn request(&self) -> (usize, Heard) {
        loop {
            if let Seen::Request(number, heard) = self.next() {
                return (number, heard);
            }
        }
    }

    /// Waits until a connection is closed: its number.
    #[track_caller]
    pub fn over(&self) -> usize {
        loop {
            if let Seen::Over(number) = self.next() {
                return number;
            }
        }
    }

    /// The requests seen up to now and not asked for yet.
    pub fn requests(&self) -> Vec<Heard> {
        let seen = self.seen.try_iter();
        seen.filter_map(|s| if let Seen::Request(_, heard) = s { Some(heard) } else { None }).collect()
    }
}
