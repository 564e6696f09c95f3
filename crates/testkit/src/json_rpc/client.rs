//! A JSON-RPC client on one connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::{json, Value};

use super::Framing;
use crate::TEST_TIMEOUT;

/// A JSON-RPC connection to the proxy.
pub struct RpcClient {
    stream: BufReader<TcpStream>,
    framing: Framing,
}

impl RpcClient {
    /// Connects to the proxy.
    #[track_caller]
    pub fn connect(address: SocketAddr, framing: Framing) -> RpcClient {
        RpcClient::of(TcpStream::connect(address).expect("the proxy listens"), framing)
    }

    /// Creates a client on a connection.
    pub fn of(stream: TcpStream, framing: Framing) -> RpcClient {
        stream.set_nodelay(true).expect("set");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        RpcClient { stream: BufReader::new(stream), framing }
    }

    /// Returns the underlying stream.
    pub fn stream(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// Sends a message in the framing of the client.
    pub fn send(&mut self, message: &str) {
        let bytes = self.framing.encode(message);
        self.send_bytes(&bytes);
    }

    /// Sends bytes unchanged.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).expect("written");
    }

    /// Returns the text of the next message, or `None` if the proxy has closed the connection.
    pub fn try_receive_text(&mut self) -> Option<String> {
        self.framing.read(&mut self.stream)
    }

    /// Returns the next message, or `None` if the proxy has closed the connection.
    pub fn try_receive(&mut self) -> Option<Value> {
        self.try_receive_text().map(|text| serde_json::from_str(&text).expect("JSON"))
    }

    /// Returns the next message.
    #[track_caller]
    pub fn receive(&mut self) -> Value {
        self.try_receive().expect("a complete message")
    }

    /// Sends a message and returns the next one.
    #[track_caller]
    pub fn ask(&mut self, message: &str) -> Value {
        self.send(message);
        self.receive()
    }

    /// Sends a request and returns its response.
    #[track_caller]
    pub fn call(&mut self, id: impl Into<Value>, method: &str, params: Value) -> Value {
        let message = request(id, method, params);
        self.ask(&message)
    }
}

/// Returns the text of a request.
pub fn request(id: impl Into<Value>, method: &str, params: Value) -> String {
    json!({ "jsonrpc": "2.0", "id": id.into(), "method": method, "params": params }).to_string()
}
