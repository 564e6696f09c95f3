//! A JSON-RPC endpoint with scripted behavior.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{json, Value};

use super::Framing;
use crate::mock_server::{in_sequence, MockServer, ServerEvent};
use crate::release::Release;

/// The reaction of the endpoint to a call.
#[derive(Clone, Debug)]
pub enum RpcBehavior {
    /// Responds with this result.
    Result(Value),
    /// Responds with an error of this code.
    Error(i64),
    /// Responds with the method of the call and its key, or its request id if it has no key.
    Echo,
    /// Writes this text, with `$ID` replaced by the id of the call.
    Raw(String),
    /// Responds with this result after the release.
    ResultOnRelease(Arc<Release>, Value),
    /// Does not respond, and continues to read.
    Hang,
    /// Closes the connection.
    Disconnect,
}

/// A JSON-RPC endpoint. It records notifications without responding.
pub type MockRpcEndpoint = MockServer<Value>;

impl MockRpcEndpoint {
    /// Starts an endpoint with these behaviors in sequence. The last one is repeated.
    pub fn new(framing: Framing, behaviors: impl IntoIterator<Item = RpcBehavior>) -> MockRpcEndpoint {
        let next = in_sequence(behaviors.into_iter().collect());
        MockRpcEndpoint::of(framing, move |_| next())
    }

    /// Starts an endpoint whose behavior for each call is given by a function.
    pub fn of(
        framing: Framing,
        behavior: impl Fn(&Value) -> RpcBehavior + Send + Sync + 'static,
    ) -> MockRpcEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        MockServer::serve(listener, move |number, stream, events| {
            serve(framing, number, stream, events, &behavior);
            let _ = events.send(ServerEvent::ConnectionClosed(number));
        })
    }
}

fn serve(
    framing: Framing,
    number: usize,
    stream: TcpStream,
    events: &Sender<ServerEvent<Value>>,
    behavior: &dyn Fn(&Value) -> RpcBehavior,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let connection = Connection { framing, writer: Arc::new(Mutex::new(stream)) };
    while let Some(text) = framing.read(&mut reader) {
        let call: Value = serde_json::from_str(&text).expect("the proxy writes JSON");
        let _ = events.send(ServerEvent::Request(number, call.clone()));
        if let Some(id) = call.get("id") {
            connection.respond(&call, id, behavior(&call))?;
        }
    }
    // Reads the rest of an incomplete message, up to the end of the connection.
    let _ = reader.read_to_end(&mut Vec::new());
    None
}

/// The writing side of a connection.
struct Connection {
    framing: Framing,
    writer: Arc<Mutex<TcpStream>>,
}

impl Connection {
    /// Responds to a call. Returns `None` if the connection has ended.
    fn respond(&self, call: &Value, id: &Value, behavior: RpcBehavior) -> Option<()> {
        match behavior {
            RpcBehavior::Result(result) => self.write(&response(id, &result)),
            RpcBehavior::Echo => {
                let meta = &call["params"]["_meta"];
                let name = if meta["key"].is_null() { &meta["requestId"] } else { &meta["key"] };
                self.write(&response(id, &json!({ "method": call["method"], "of": name })))
            }
            RpcBehavior::Error(code) => {
                let error = json!({ "code": code, "message": "scripted error" });
                self.write(&json!({ "jsonrpc": "2.0", "id": id, "error": error }).to_string())
            }
            RpcBehavior::Raw(text) => {
                write_all(&self.writer, text.replace("$ID", &id.to_string()).as_bytes())
            }
            RpcBehavior::ResultOnRelease(release, result) => {
                let bytes = self.framing.encode(&response(id, &result));
                let writer = Arc::clone(&self.writer);
                thread::spawn(move || {
                    release.wait();
                    write_all(&writer, &bytes)
                });
                Some(())
            }
            RpcBehavior::Hang => Some(()),
            RpcBehavior::Disconnect => {
                self.writer.lock().expect("unpoisoned").shutdown(Shutdown::Both).ok()?;
                None
            }
        }
    }

    fn write(&self, message: &str) -> Option<()> {
        write_all(&self.writer, &self.framing.encode(message))
    }
}

fn write_all(writer: &Mutex<TcpStream>, bytes: &[u8]) -> Option<()> {
    writer.lock().expect("unpoisoned").write_all(bytes).ok()
}

fn response(id: &Value, result: &Value) -> String {
    json!({ "jsonrpc": "2.0", "id": id, "result": result }).to_string()
}
