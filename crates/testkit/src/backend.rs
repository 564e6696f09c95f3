//! A stand-in backend that follows a script.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex};

use crate::message::{hear, Heard};
use crate::stand_in::{in_turn, Seen, StandIn};
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

/// A stand-in that hears HTTP.
pub type Backend = StandIn<Heard>;

impl Backend {
    /// Does these in turn, and the last one from there on.
    pub fn new(deeds: impl IntoIterator<Item = Deed>) -> Backend {
        let deed = in_turn(deeds.into_iter().collect());
        Backend::of(move |_| deed())
    }

    /// Does what this says of each request.
    pub fn of(deed: impl Fn(&Heard) -> Deed + Send + Sync + 'static) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        StandIn::serve(listener, move |number, stream, seen| serve(number, stream, seen, &deed))
    }
}

fn serve(number: usize, mut stream: TcpStream, seen: &Sender<Seen<Heard>>, deed: &dyn Fn(&Heard) -> Deed) {
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
