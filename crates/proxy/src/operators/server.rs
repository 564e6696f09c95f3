//! The HTTP server of the operators' address: one request per connection, with a bounded number of
//! connections.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use membership::MaintenanceRejection;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::log;
use crate::operators::OperatorActions;
use crate::panic_guard::catch_panic;
use crate::start_error::StartError;

/// The maximum number of file descriptors that the address uses.
pub const SOCKETS: usize = config::OPERATORS_SOCKETS;
/// The number of descriptors for the listener.
const LISTENER_SOCKETS: usize = 1;
/// The number of descriptors for a connection that replaces the oldest: for a moment both are open.
const REPLACEMENT_SOCKETS: usize = 1;
/// The maximum number of concurrent connections; a further one replaces the oldest.
const MAX_CONNECTIONS: usize = SOCKETS - LISTENER_SOCKETS - REPLACEMENT_SOCKETS;
/// The maximum duration of a connection, request and response included.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// The largest request body, in bytes. A body is the id of an endpoint.
const MAX_BODY_BYTES: usize = 512;
/// The pause after a failed accept. Immediate retries would keep the thread busy while the cause lasts.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

const OPEN_METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type Reply = Response<Full<Bytes>>;

/// The operations that the address serves.
#[derive(Clone, Copy)]
enum Operation {
    Status,
    Metrics,
    Maintenance(MaintenanceChange),
}

/// A change of an endpoint's maintenance state by an operator.
#[derive(Clone, Copy)]
enum MaintenanceChange {
    Drain,
    Restore,
}

impl Operation {
    fn at_path(path: &str) -> Option<Operation> {
        match path {
            "/status" => Some(Operation::Status),
            "/status/metrics" => Some(Operation::Metrics),
            "/maintenance/enter" => Some(Operation::Maintenance(MaintenanceChange::Drain)),
            "/maintenance/exit" => Some(Operation::Maintenance(MaintenanceChange::Restore)),
            _ => None,
        }
    }

    fn method(self) -> Method {
        match self {
            Operation::Status | Operation::Metrics => Method::GET,
            Operation::Maintenance(_) => Method::POST,
        }
    }
}

/// Binds the operators' address and logs it.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let bound_address = listener.local_addr().map_err(listen_error)?;
    log::log_line(format_args!("operators: listening on {bound_address}"));
    Ok(listener)
}

/// Serves operators for as long as it is polled.
pub async fn serve(listener: TcpListener, actions: Rc<dyn OperatorActions>) {
    let mut connections = JoinSet::new();
    // The open connections, oldest first.
    let mut open = VecDeque::<AbortHandle>::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        open.retain(|connection| !connection.is_finished());
        if open.len() >= MAX_CONNECTIONS {
            open.pop_front().iter().for_each(AbortHandle::abort);
        }
        open.push_back(connections.spawn_local(serve_connection(stream, Rc::clone(&actions))));
    }
}

async fn serve_connection(stream: TcpStream, actions: Rc<dyn OperatorActions>) {
    let service = service_fn(|request| {
        let actions = Rc::clone(&actions);
        async move {
            let reply = catch_panic(handle(&*actions, request)).await;
            Ok::<_, Infallible>(reply.unwrap_or_else(|| text(StatusCode::INTERNAL_SERVER_ERROR, "fault")))
        }
    });
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
    // An error means that the client disconnected, or that hyper answered a malformed head with 400.
    let _ = timeout(REQUEST_TIMEOUT, builder.serve_connection(TokioIo::new(stream), service)).await;
}

async fn handle(actions: &dyn OperatorActions, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let Some(operation) = Operation::at_path(head.uri.path()) else {
        return text(StatusCode::NOT_FOUND, "no such call");
    };
    if head.method != operation.method() {
        return method_not_allowed(&operation.method());
    }
    match operation {
        Operation::Status if actions.is_serving() => text(StatusCode::OK, "taking clients"),
        Operation::Status => text(StatusCode::SERVICE_UNAVAILABLE, "taking no clients"),
        Operation::Metrics => metrics(actions).await,
        Operation::Maintenance(change) => change_maintenance(actions, body, change).await,
    }
}

async fn metrics(actions: &dyn OperatorActions) -> Reply {
    let mut reply = Response::new(Full::from(actions.metrics_text().await));
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(OPEN_METRICS_CONTENT_TYPE));
    reply
}

/// The reason that a request body is not an endpoint's id.
enum BodyError {
    /// The declared length of the body is too large.
    TooLong,
    /// The received body is too long, or the client closed the connection early.
    Incomplete,
    /// The body is empty or not UTF-8.
    Empty,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body is to be a backend's id")?;
        match self {
            BodyError::TooLong => f.write_str(", and is too long for one"),
            BodyError::Incomplete => f.write_str(", and is too long or not whole"),
            BodyError::Empty => Ok(()),
        }
    }
}

async fn read_endpoint_id(body: Incoming) -> Result<String, BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLong);
    }
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| BodyError::Incomplete)?;
    let body = body.to_bytes();
    match std::str::from_utf8(&body).map(str::trim) {
        Ok(id) if !id.is_empty() => Ok(id.to_owned()),
        _ => Err(BodyError::Empty),
    }
}

async fn change_maintenance(
    actions: &dyn OperatorActions,
    body: Incoming,
    change: MaintenanceChange,
) -> Reply {
    match read_endpoint_id(body).await {
        Ok(id) => apply_change(actions, &id, change),
        Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn apply_change(actions: &dyn OperatorActions, id: &str, change: MaintenanceChange) -> Reply {
    let result = actions.maintenance_target(id).and_then(|target| {
        match change {
            MaintenanceChange::Drain => target.store.drain(&target.endpoint)?,
            MaintenanceChange::Restore => target.store.restore(&target.endpoint)?,
        }
        Ok(change)
    });
    match result {
        Ok(MaintenanceChange::Drain) => text(StatusCode::OK, "out"),
        Ok(MaintenanceChange::Restore) => text(StatusCode::OK, "in use"),
        Err(rejection @ MaintenanceRejection::UnknownEndpoint) => {
            text(StatusCode::NOT_FOUND, &rejection.to_string())
        }
        Err(rejection @ (MaintenanceRejection::TooManyDrained | MaintenanceRejection::AmbiguousName)) => {
            text(StatusCode::CONFLICT, &rejection.to_string())
        }
    }
}

fn method_not_allowed(allowed: &Method) -> Reply {
    let mut reply = text(StatusCode::METHOD_NOT_ALLOWED, &format!("{allowed} only"));
    if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
        reply.headers_mut().insert(header::ALLOW, allowed);
    }
    reply
}

/// Builds a reply with one line of text.
fn text(status: StatusCode, line: &str) -> Reply {
    let mut reply = Response::new(Full::from(format!("{line}\n")));
    *reply.status_mut() = status;
    reply
}
