//! An HTTP endpoint with scripted behavior.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::Arc;

use crate::http_message::{read_message, HttpMessage};
use crate::mock_server::{in_sequence, MockServer, ServerEvent};
use crate::release::Release;

/// The reaction of the endpoint to a request.
#[derive(Clone, Debug)]
pub enum Behavior {
    /// Writes this response and keeps the connection open.
    Respond(String),
    /// Writes this response and closes the connection. Unless the response has `Connection: close`, the close
    /// is not announced.
    RespondAndClose(String),
    /// Writes this response after the release.
    RespondOnRelease(Arc<Release>, String),
    /// Does not respond until the proxy closes the connection.
    Hang,
    /// Closes the connection at once.
    Disconnect,
}

/// Returns a successful response with a load report.
pub fn ok(body: &str) -> Behavior {
    answer("200 OK", "X-Server-Load: {\"depth\":1}\r\n", body)
}

/// Returns the response of an overloaded endpoint that has not processed the request.
pub fn full() -> Behavior {
    answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
}

/// Returns a response with these headers, each of which includes its line end.
pub fn answer(status: &str, headers: &str, body: &str) -> Behavior {
    Behavior::Respond(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

/// An HTTP/1.1 endpoint.
pub type MockEndpoint = MockServer<HttpMessage>;

impl MockEndpoint {
    /// Starts an endpoint with these behaviors in sequence. The last one is repeated.
    pub fn new(behaviors: impl IntoIterator<Item = Behavior>) -> MockEndpoint {
        let next = in_sequence(behaviors.into_iter().collect());
        MockEndpoint::of(move |_| next())
    }

    /// Starts an endpoint whose behavior for each request is given by a function.
    pub fn of(behavior: impl Fn(&HttpMessage) -> Behavior + Send + Sync + 'static) -> MockEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        MockServer::serve(listener, move |number, stream, events| serve(number, stream, events, &behavior))
    }
}

fn serve(
    number: usize,
    mut stream: TcpStream,
    events: &Sender<ServerEvent<HttpMessage>>,
    behavior: &dyn Fn(&HttpMessage) -> Behavior,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
    while let Some(request) = read_message(&mut reader) {
        let behavior = behavior(&request);
        let _ = events.send(ServerEvent::Request(number, request));
        match behavior {
            Behavior::Respond(text) => stream.write_all(text.as_bytes()).expect("written"),
            Behavior::RespondAndClose(text) => {
                stream.write_all(text.as_bytes()).expect("written");
                stream.shutdown(Shutdown::Write).expect("shut down");
                break;
            }
            Behavior::RespondOnRelease(release, text) => {
                release.wait();
                stream.write_all(text.as_bytes()).expect("written");
            }
            Behavior::Hang => break,
            Behavior::Disconnect => return,
        }
    }
    let _ = reader.read_to_end(&mut Vec::new());
    let _ = events.send(ServerEvent::ConnectionClosed(number));
}
