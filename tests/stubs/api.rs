//! A hosted service under test, and a client of its administration API that shares no code with it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::{json, Value};

use super::stubs::*;
use std::net::TcpStream;
use std::process::{Command, Stdio};

/// A running hosted service.
pub struct HostedService {
    pub process: Process,
    pub admin_address: SocketAddr,
}

/// A response of the API.
#[derive(Debug)]
pub struct ApiResponse {
    pub status: u16,
    pub etag: Option<String>,
    pub body: Value,
}

/// The configuration of a hosted service. `server` holds further lines of `[server]`, `more` the text that
/// follows `[admin]`.
pub fn hosted_config(server: &str, more: &str) -> String {
    format!(
        "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}]\nzone = \"south\"\n{server}\n[admin]\nlisten = \"127.0.0.1:0\"\nstate = \"state\"\n{more}"
    )
}

/// Starts a hosted service in a new folder.
#[track_caller]
pub fn start_hosted(file: &str) -> HostedService {
    start_hosted_in(&temp_folder(), file)
}

/// Starts a hosted service in a folder, with the state that is stored in it.
#[track_caller]
pub fn start_hosted_in(folder: &std::path::Path, file: &str) -> HostedService {
    start_hosted_with(folder, file, "")
}

/// Starts a hosted service in a folder, from a shell that runs `before` first, for example to set limits.
#[track_caller]
pub fn start_hosted_with(folder: &std::path::Path, file: &str, before: &str) -> HostedService {
    let path: PathBuf = folder.join("lb.toml");
    std::fs::write(&path, file).expect("written");
    let mut command = Command::new("sh");
    command.args([
        "-c",
        &format!("{before} exec \"$0\" serve --config \"$1\""),
        env!("CARGO_BIN_EXE_amberlever"),
    ]);
    command.arg(&path).env_remove("LB_CONFIG").stderr(Stdio::piped());
    let process = Process::attach(command.spawn().expect("the proxy starts"), path);
    process.wait_for_log("administration API listening on ");
    let log = process.log();
    let admin = log
        .lines()
        .find_map(|l| l.strip_prefix("administration API listening on "))
        .expect("the log names the address");
    HostedService { admin_address: admin.parse().expect("an address"), process }
}

/// The document of a tenant with one class, one pool and one route.
pub fn tenant(host: &str, endpoints: &[SocketAddr], limits: Value) -> Value {
    let entries: Vec<Value> = endpoints
        .iter()
        .enumerate()
        .map(|(i, a)| json!({ "name": format!("n{i}"), "address": a.to_string() }))
        .collect();
    json!({
        "hosts": [host],
        "limits": limits,
        "config": {
            "class": [{ "name": "standings", "aim_ms": 4000, "deadline_ms": 4000, "semantics": "idempotent" }],
            "pool": [{ "name": "p", "nodes": entries }],
            "route": [{ "name": "r", "match": { "path": "/*" }, "class": "standings", "pool": "p" }],
            "expect": [{ "name": "served", "when": { "path": "/x", "host": host.replace('*', "a") }, "then": { "pool": "p" } }],
        },
    })
}

impl HostedService {
    /// Sends one request to the API on a new connection.
    #[track_caller]
    pub fn call(
        &self,
        method: &str,
        path: &str,
        token: Option<&str>,
        tag: Option<&str>,
        body: Option<&Value>,
    ) -> ApiResponse {
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: admin\r\nConnection: close\r\n");
        if let Some(token) = token {
            head += &format!("Authorization: Bearer {token}\r\n");
        }
        if let Some(tag) = tag {
            head += &format!("If-Match: {tag}\r\n");
        }
        let body = body.map(ToString::to_string).unwrap_or_default();
        head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let response =
            HttpClient::of(TcpStream::connect(self.admin_address).expect("the API listens")).ask(&head);
        ApiResponse {
            status: response.status(),
            etag: response.header("ETag").map(str::to_owned),
            body: serde_json::from_slice(&response.body).unwrap_or(Value::Null),
        }
    }

    #[track_caller]
    pub fn get(&self, path: &str) -> ApiResponse {
        self.call("GET", path, None, None, None)
    }

    /// Replaces a tenant or a part of it, under the tenant's current version tag.
    #[track_caller]
    pub fn put(&self, path: &str, body: &Value) -> ApiResponse {
        let under = path.trim_start_matches("/v1/tenants/");
        let name = under.split(['/', '?']).next().expect("a tenant");
        let tag = self.get(&format!("/v1/tenants/{name}")).etag;
        self.call("PUT", path, None, tag.as_deref(), Some(body))
    }

    /// Replaces a tenant like `put`. Returns `None` if the service exits before it responds.
    pub fn try_put(&self, path: &str, body: &Value) -> Option<ApiResponse> {
        let send = |head: String| {
            let mut stream = TcpStream::connect(self.admin_address).ok()?;
            std::io::Write::write_all(&mut stream, head.as_bytes()).ok()?;
            HttpClient::of(stream).try_receive()
        };
        let got = send(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"))?;
        let tag = got.header("ETag").map(|tag| format!("If-Match: {tag}\r\n")).unwrap_or_default();
        let body = body.to_string();
        let response = send(format!(
            "PUT {path} HTTP/1.1\r\nHost: a\r\n{tag}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ))?;
        let parsed = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        Some(ApiResponse { status: response.status(), etag: None, body: parsed })
    }

    #[track_caller]
    pub fn delete(&self, path: &str) -> ApiResponse {
        let tag = self.get(path).etag;
        self.call("DELETE", path, None, tag.as_deref(), None)
    }

    /// Sends one request to a tenant's host on a new connection.
    #[track_caller]
    pub fn request(&self, host: &str, path: &str) -> HttpMessage {
        self.process.request(&format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n"))
    }
}
