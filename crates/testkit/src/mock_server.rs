//! The common part of all mock servers: a listener, one thread per connection, and a record of events.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::TEST_TIMEOUT;

/// An event at a mock server, with the number of the connection, from 0.
#[derive(Debug)]
pub enum ServerEvent<T> {
    /// A complete request.
    Request(usize, T),
    /// The proxy closed the connection.
    ConnectionClosed(usize),
}

/// A server with requests of type `T`.
pub struct MockServer<T> {
    /// The address on which the server listens.
    pub address: SocketAddr,
    events: Receiver<ServerEvent<T>>,
}

impl<T: Send + 'static> MockServer<T> {
    /// Serves each connection on its own thread.
    pub(crate) fn serve(
        listener: TcpListener,
        serve: impl Fn(usize, TcpStream, &Sender<ServerEvent<T>>) + Send + Sync + 'static,
    ) -> MockServer<T> {
        let address = listener.local_addr().expect("bound");
        let (sender, events) = mpsc::channel();
        let serve = Arc::new(serve);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (sender, serve) = (sender.clone(), Arc::clone(&serve));
                thread::spawn(move || serve(number, stream.expect("accepts"), &sender));
            }
        });
        MockServer { address, events }
    }

    /// Waits for the next event.
    #[track_caller]
    pub fn next(&self) -> ServerEvent<T> {
        self.events.recv_timeout(TEST_TIMEOUT).expect("an event at the mock server")
    }

    /// Waits for the next request. Returns it with the number of its connection.
    #[track_caller]
    pub fn request(&self) -> (usize, T) {
        loop {
            if let ServerEvent::Request(number, request) = self.next() {
                return (number, request);
            }
        }
    }

    /// Waits until a connection is closed. Returns its number.
    #[track_caller]
    pub fn wait_for_close(&self) -> usize {
        loop {
            if let ServerEvent::ConnectionClosed(number) = self.next() {
                return number;
            }
        }
    }

    /// Returns the requests that were received so far and not yet returned. Other events are discarded.
    pub fn requests(&self) -> Vec<T> {
        let request = |event| match event {
            ServerEvent::Request(_, request) => Some(request),
            ServerEvent::ConnectionClosed(_) => None,
        };
        self.events.try_iter().filter_map(request).collect()
    }
}

/// Returns a function that yields the items one after another and then repeats the last one.
pub(crate) fn in_sequence<T: Clone>(items: Vec<T>) -> impl Fn() -> T {
    let next = Mutex::new(0);
    move || {
        let mut next = next.lock().expect("unpoisoned");
        let item = items.get((*next).min(items.len() - 1)).cloned().expect("at least one item");
        *next += 1;
        item
    }
}
