//! Stand-ins that speak JSON-RPC 2.0, written from the specification and sharing no code with the proxy.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{json, Value};

use crate::stand_in::{in_turn, Seen, StandIn};
use crate::{Release, PATIENCE};

/// How messages are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Frames {
    Lines,
    Lengths,
}

impl Frames {
    pub fn write(self, message: &str) -> Vec<u8> {
        match self {
            Frames::Lines => format!("{message}\n").into_bytes(),
            Frames::Lengths => format!("Content-Length: {}\r\n\r\n{message}", message.len()).into_bytes(),
        }
    }

    /// The next message; None where the connection ends before it is whole.
    pub fn read(self, from: &mut impl BufRead) -> Option<String> {
        let mut line = String::new();
        match self {
            Frames::Lines => {
                from.read_line(&mut line).ok()?;
                line.strip_suffix('\n').map(|l| l.trim_end_matches('\r').to_owned())
            }
            Frames::Lengths => {
                let mut length = None;
                loop {
                    line.clear();
                    from.read_line(&mut line).ok()?;
                    let field = line.strip_suffix("\r\n")?;
                    if field.is_empty() {
                        break;
                    }
                    let (name, value) = field.split_once(':')?;
                    if name.eq_ignore_ascii_case("content-length") {
                        length = value.trim().parse().ok();
                    }
                }
                let mut body = vec![0; length?];
                from.read_exact(&mut body).ok()?;
                String::from_utf8(body).ok()
            }
        }
    }
}

/// A caller on one connection.
pub struct RpcCaller {
    stream: BufReader<TcpStream>,
    frames: Frames,
}

impl RpcCaller {
    #[track_caller]
    pub fn connect(address: SocketAddr, frames: Frames) -> RpcCaller {
        RpcCaller::of(TcpStream::connect(address).expect("the proxy listens"), frames)
    }

    pub fn of(stream: TcpStream, frames: Frames) -> RpcCaller {
        stream.set_nodelay(true).expect("set");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        RpcCaller { stream: BufReader::new(stream), frames }
    }

    pub fn stream(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    pub fn send(&mut self, message: &str) {
        let bytes = self.frames.write(message);
        self.send_bytes(&bytes);
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).expect("written");
    }

    /// The next message as it is written; None where the proxy has closed the connection.
    pub fn try_hear_text(&mut self) -> Option<String> {
        self.frames.read(&mut self.stream)
    }

    pub fn try_hear(&mut self) -> Option<Value> {
        self.try_hear_text().map(|text| serde_json::from_str(&text).expect("JSON"))
    }

    #[track_caller]
    pub fn hear(&mut self) -> Value {
        self.try_hear().expect("a whole message")
    }

    #[track_caller]
    pub fn ask(&mut self, message: &str) -> Value {
        self.send(message);
        self.hear()
    }

    /// One call: its answer.
    #[track_caller]
    pub fn call(&mut self, id: impl Into<Value>, method: &str, params: Value) -> Value {
        let message = request(id, method, params);
        self.ask(&message)
    }
}

pub fn request(id: impl Into<Value>, method: &str, params: Value) -> String {
    json!({ "jsonrpc": "2.0", "id": id.into(), "method": method, "params": params }).to_string()
}

/// What a node does with a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answers with this.
    Result(Value),
    /// Answers with an error of this code.
    Error(i64),
    /// Answers with the method and the key, or the id, of the call.
    Echo,
    /// Writes this, with the call's id, as it was written, in place of `$ID`.
    Raw(String),
    /// Answers with this once it is released.
    Held(Arc<Release>, Value),
    /// Says nothing, and goes on reading.
    Silence,
    /// Closes the connection.
    Break,
}

/// A node that follows a script.
pub type RpcNode = StandIn<Value>;

impl RpcNode {
    /// Does these in turn, and the last one from there on. Notifications are seen, and answered by nothing.
    pub fn new(frames: Frames, replies: impl IntoIterator<Item = Reply>) -> RpcNode {
        let reply = in_turn(replies.into_iter().collect());
        RpcNode::of(frames, move |_| reply())
    }

    /// Does what this says of each call.
    pub fn of(frames: Frames, reply: impl Fn(&Value) -> Reply + Send + Sync + 'static) -> RpcNode {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        StandIn::serve(listener, move |number, stream, seen| {
            serve(frames, number, stream, seen, &reply);
            let _ = seen.send(Seen::Over(number));
        })
    }
}

fn serve(
    frames: Frames,
    number: usize,
    stream: TcpStream,
    seen: &Sender<Seen<Value>>,
    reply: &dyn Fn(&Value) -> Reply,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let writer = Arc::new(Mutex::new(stream));
    let say = |writer: &Mutex<TcpStream>, text: &str| {
        writer.lock().expect("unpoisoned").write_all(&frames.write(text)).ok()
    };
    while let Some(text) = frames.read(&mut reader) {
        let call: Value = serde_json::from_str(&text).expect("the proxy writes JSON");
        let id = call.get("id").cloned();
        let _ = seen.send(Seen::Request(number, call.clone()));
        let Some(id) = id else { continue };
        let answer = |result: &Value| json!({ "jsonrpc": "2.0", "id": id, "result": result }).to_string();
        match reply(&call) {
            Reply::Result(result) => say(&writer, &answer(&result))?,
            Reply::Echo => {
                let meta = &call["params"]["_meta"];
                let name = if meta["key"].is_null() { &meta["requestId"] } else { &meta["key"] };
                say(&writer, &answer(&json!({ "method": call["method"], "of": name })))?;
            }
            Reply::Error(code) => {
                let error = json!({ "code": code, "message": "as the script says" });
                say(&writer, &json!({ "jsonrpc": "2.0", "id": id, "error": error }).to_string())?;
            }
            Reply::Raw(text) => {
                let bytes = text.replace("$ID", &id.to_string()).into_bytes();
                writer.lock().expect("unpoisoned").write_all(&bytes).ok()?;
            }
            Reply::Held(release, result) => {
                let (writer, text) = (Arc::clone(&writer), answer(&result));
                thread::spawn(move || {
                    release.wait();
                    writer.lock().expect("unpoisoned").write_all(&frames.write(&text)).ok()
                });
            }
            Reply::Silence => {}
            Reply::Break => {
                writer.lock().expect("unpoisoned").shutdown(Shutdown::Both).ok()?;
                return None;
            }
        }
    }
    // What was cut off.
    let _ = reader.read_to_end(&mut Vec::new());
    None
}
