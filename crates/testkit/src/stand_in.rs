//! What the stand-ins have in common: they listen, do as they are told, and tell what they saw.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::PATIENCE;

/// What a stand-in saw, with the number of the connection.
#[derive(Debug)]
pub enum Seen<T> {
    Request(usize, T),
    /// The proxy closed the connection.
    Over(usize),
}

/// A stand-in that hears messages of one sort.
pub struct StandIn<T> {
    pub address: SocketAddr,
    seen: Receiver<Seen<T>>,
}

impl<T: Send + 'static> StandIn<T> {
    /// Serves each connection on a thread of its own.
    pub(crate) fn serve(
        listener: TcpListener,
        serve: impl Fn(usize, TcpStream, &Sender<Seen<T>>) + Send + Sync + 'static,
    ) -> StandIn<T> {
        let address = listener.local_addr().expect("bound");
        let (sender, seen) = mpsc::channel();
        let serve = Arc::new(serve);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (sender, serve) = (sender.clone(), Arc::clone(&serve));
                thread::spawn(move || serve(number, stream.expect("accepts"), &sender));
            }
        });
        StandIn { address, seen }
    }

    /// The next thing that it sees.
    #[track_caller]
    pub fn next(&self) -> Seen<T> {
        self.seen.recv_timeout(PATIENCE).expect("the proxy does something")
    }

    /// The next request, and the number of its connection.
    #[track_caller]
    pub fn request(&self) -> (usize, T) {
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
    pub fn requests(&self) -> Vec<T> {
        let seen = self.seen.try_iter();
        seen.filter_map(|s| if let Seen::Request(_, heard) = s { Some(heard) } else { None }).collect()
    }
}

/// These in turn, and the last one from there on.
pub(crate) fn in_turn<T: Clone>(all: Vec<T>) -> impl Fn() -> T {
    let next = Mutex::new(0);
    move || {
        let mut next = next.lock().expect("unpoisoned");
        let one = all.get((*next).min(all.len() - 1)).cloned().expect("one at least");
        *next += 1;
        one
    }
}
