//! A hosted service under test, and a client of its administration API that shares no code with it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::{json, Value};

use super::stubs::*;
use std::net::TcpStream;
use std::process::{Command, Stdio};

pub struct Hosted {
    pub process: Process,
    pub admin: SocketAddr,
}

/// An answer of the API.
#[derive(Debug)]
pub struct Told {
    pub status: u16,
    pub etag: Option<String>,
    pub body: Value,
}

/// The file of a hosted service; `more` comes behind its [server] and [admin] sections.
pub fn hosted_file(server: &str, more: &str) -> String {
    format!(
        "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}]\nzone = \"south\"\n{server}\n[admin]\nlisten = \"127.0.0.1:0\"\nstate = \"state\"\n{more}"
    )
}

/// Starts a hosted service in a folder of its own.
#[track_caller]
pub fn host_service(file: &str) -> Hosted {
    start_in(&folder(), file)
}

/// Starts one in this folder, with the state that is there.
#[track_caller]
pub fn start_in(folder: &std::path::Path, file: &str) -> Hosted {
    start_with(folder, file, "")
}

/// The same, behind some words of the shell.
#[track_caller]
pub fn start_with(folder: &std::path::Path, file: &str, before: &str) -> Hosted {
    let path: PathBuf = folder.join("lb.toml");
    std::fs::write(&path, file).expect("written");
    let mut command = Command::new("sh");
    command.args([
        "-c",
        &format!("{before} exec \"$0\" serve --config \"$1\""),
        env!("CARGO_BIN_EXE_amberlever"),
    ]);
    command.arg(&path).env_remove("LB_CONFIG").stderr(Stdio::piped());
    let process = Process::watch(command.spawn().expect("the proxy starts"), path);
    process.says("administration on ");
    let log = process.log();
    let admin = log.lines().find_map(|l| l.strip_prefix("administration on ")).expect("said");
    Hosted { admin: admin.parse().expect("an address"), process }
}

/// A tenant with one class, one pool and one route.
pub fn tenant(host: &str, nodes: &[SocketAddr], limits: Value) -> Value {
    let nodes: Vec<Value> = nodes
        .iter()
        .enumerate()
        .map(|(i, a)| json!({ "name": format!("n{i}"), "address": a.to_string() }))
        .collect();
    json!({
        "hosts": [host],
        "limits": limits,
        "config": {
            "class": [{ "name": "standings", "aim_ms": 4000, "deadline_ms": 4000, "semantics": "idempotent" }],
            "pool": [{ "name": "p", "nodes": nodes }],
            "route": [{ "name": "r", "match": { "path": "/*" }, "class": "standings", "pool": "p" }],
            "expect": [{ "name": "served", "when": { "path": "/x", "host": host.replace('*', "a") }, "then": { "pool": "p" } }],
        },
    })
}

impl Hosted {
    /// One call, over a connection of its own.
    #[track_caller]
    pub fn call(
        &self,
        method: &str,
        path: &str,
        token: Option<&str>,
        tag: Option<&str>,
        body: Option<&Value>,
    ) -> Told {
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: admin\r\nConnection: close\r\n");
        if let Some(token) = token {
            head += &format!("Authorization: Bearer {token}\r\n");
        }
        if let Some(tag) = tag {
            head += &format!("If-Match: {tag}\r\n");
        }
        let body = body.map(ToString::to_string).unwrap_or_default();
        head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let heard = HttpClient::of(TcpStream::connect(self.admin).expect("the API listens")).ask(&head);
        Told {
            status: heard.status(),
            etag: heard.header("ETag").map(str::to_owned),
            body: serde_json::from_slice(&heard.body).unwrap_or(Value::Null),
        }
    }

    #[track_caller]
    pub fn get(&self, path: &str) -> Told {
        self.call("GET", path, None, None, None)
    }

    /// Puts something in place of what is there now.
    #[track_caller]
    pub fn put(&self, path: &str, body: &Value) -> Told {
        let under = path.trim_start_matches("/v1/tenants/");
        let name = under.split(['/', '?']).next().expect("a tenant");
        let tag = self.get(&format!("/v1/tenants/{name}")).etag;
        self.call("PUT", path, None, tag.as_deref(), Some(body))
    }

    /// The same of a service that may die over it.
    pub fn try_put(&self, path: &str, body: &Value) -> Option<Told> {
        let ask = |head: String| {
            let mut stream = TcpStream::connect(self.admin).ok()?;
            std::io::Write::write_all(&mut stream, head.as_bytes()).ok()?;
            HttpClient::of(stream).try_receive()
        };
        let got = ask(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"))?;
        let tag = got.header("ETag").map(|tag| format!("If-Match: {tag}\r\n")).unwrap_or_default();
        let body = body.to_string();
        let heard = ask(format!(
            "PUT {path} HTTP/1.1\r\nHost: a\r\n{tag}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ))?;
        let told = serde_json::from_slice(&heard.body).unwrap_or(Value::Null);
        Some(Told { status: heard.status(), etag: None, body: told })
    }

    #[track_caller]
    pub fn delete(&self, path: &str) -> Told {
        let tag = self.get(path).etag;
        self.call("DELETE", path, None, tag.as_deref(), None)
    }

    /// One request of a tenant's caller, over a connection of its own.
    #[track_caller]
    pub fn ask(&self, host: &str, path: &str) -> HttpMessage {
        self.process.ask(&format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n"))
    }
}
