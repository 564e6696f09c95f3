//! The operators' address: a call to a connection, served however many callers there are.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
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
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::log;
use crate::maintenance::MaintenanceStore;
use crate::panic_guard::caught;

/// Connections that are open at once; the oldest gives way to one more.
const MOST: usize = SOCKETS - 2;
/// Descriptors that the address takes at most.
pub const SOCKETS: usize = config::OPERATORS_SOCKETS;
/// A call has ended within this time, or its connection does.
const CALL: Duration = Duration::from_secs(10);
/// The largest head of a call, in bytes.
const MOST_HEAD: usize = 8 << 10;
/// The largest body of a call: a backend's id.
const MOST_ID: usize = 512;
/// Pause where accepting failed: trying at once would spin.
const PAUSE: Duration = Duration::from_millis(20);

/// What the text of figures is.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What operators call.
pub trait Operated {
    /// Does this process take clients?
    fn is_serving(&self) -> bool;

    /// The figures as text.
    fn figures(&self) -> Pin<Box<dyn Future<Output = String> + '_>>;

    /// The desk that knows of a node, and what it calls the one that operators mean.
    ///
    /// # Errors
    /// Several have that name.
    fn meant(&self, id: &str) -> Result<(&MaintenanceStore, String), MaintenanceRejection>;
}

type Reply = Response<Full<Bytes>>;

/// The one node that operators mean: by its whole name, or by one that a single pool lists, of those `called` so.
///
/// # Errors
/// Several have it.
pub fn only(id: &str, mut called: Vec<String>) -> Result<String, MaintenanceRejection> {
    match (called.pop(), called.is_empty()) {
        (None, _) => Ok(id.to_owned()),
        (Some(one), true) => Ok(one),
        _ => Err(MaintenanceRejection::AmbiguousName),
    }
}

/// Listens for operators, and says so.
///
/// # Errors
/// Why that is not to be had, in a line.
pub async fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    let fault = |e| format!("cannot listen on {at}: {e}");
    let listener = TcpListener::bind(at).await.map_err(fault)?;
    let address = listener.local_addr().map_err(fault)?;
    log::say(format_args!("operators: listening on {address}"));
    Ok(listener)
}

/// Serves operators for as long as it is polled.
pub async fn serve(listener: TcpListener, operations: Rc<dyn Operated>) {
    let (mut calls, mut open) = (JoinSet::new(), VecDeque::<AbortHandle>::new());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        while calls.try_join_next().is_some() {}
        open.retain(|call| !call.is_finished());
        if open.len() >= MOST {
            open.pop_front().iter().for_each(AbortHandle::abort);
        }
        let operations = Rc::clone(&operations);
        open.push_back(calls.spawn_local(async move {
            let service = service_fn(|request| {
                let operations = Rc::clone(&operations);
                async move {
                    let reply = caught(call(&*operations, request)).await;
                    Ok::<_, Infallible>(
                        reply.unwrap_or_else(|| say(StatusCode::INTERNAL_SERVER_ERROR, "fault")),
                    )
                }
            });
            let mut builder = http1::Builder::new();
            let connection = builder
                .keep_alive(false)
                .max_buf_size(MOST_HEAD)
                .serve_connection(TokioIo::new(stream), service);
            // An error is its caller's leaving, or a head that hyper has answered with 400.
            let _ = timeout(CALL, connection).await;
        }));
    }
}

async fn call(operations: &dyn Operated, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let expected = match head.uri.path() {
        "/status" | "/status/metrics" => Method::GET,
        "/maintenance/enter" | "/maintenance/exit" => Method::POST,
        _ => return say(StatusCode::NOT_FOUND, "no such call"),
    };
    if head.method != expected {
        let mut reply = say(StatusCode::METHOD_NOT_ALLOWED, &format!("{expected} only"));
        if let Ok(allowed) = HeaderValue::from_str(expected.as_str()) {
            reply.headers_mut().insert(header::ALLOW, allowed);
        }
        return reply;
    }
    match head.uri.path() {
        "/status" if operations.is_serving() => say(StatusCode::OK, "taking clients"),
        "/status" => say(StatusCode::SERVICE_UNAVAILABLE, "taking no clients"),
        "/status/metrics" => {
            let mut reply = Response::new(Full::from(operations.figures().await));
            reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(OPEN_METRICS));
            reply
        }
        path => maintain(operations, path == "/maintenance/enter", body).await,
    }
}

async fn maintain(operations: &dyn Operated, out: bool, body: Incoming) -> Reply {
    if body.size_hint().lower() > MOST_ID as u64 {
        return say(StatusCode::BAD_REQUEST, "the body is to be a backend's id, and is too long for one");
    }
    let Ok(body) = Limited::new(body, MOST_ID).collect().await else {
        return say(
            StatusCode::BAD_REQUEST,
            "the body is to be a backend's id, and is too long or not whole",
        );
    };
    let body = body.to_bytes();
    let id = std::str::from_utf8(&body).map(str::trim).unwrap_or_default();
    if id.is_empty() {
        return say(StatusCode::BAD_REQUEST, "the body is to be a backend's id");
    }
    let done =
        operations.meant(id).and_then(|(desk, id)| if out { desk.drain(&id) } else { desk.restore(&id) });
    match done {
        Ok(()) => say(StatusCode::OK, if out { "out" } else { "in use" }),
        Err(refused @ MaintenanceRejection::UnknownEndpoint) => {
            say(StatusCode::NOT_FOUND, &refused.to_string())
        }
        Err(refused @ (MaintenanceRejection::TooManyDrained | MaintenanceRejection::AmbiguousName)) => {
            say(StatusCode::CONFLICT, &refused.to_string())
        }
    }
}

fn say(status: StatusCode, line: &str) -> Reply {
    let mut reply = Response::new(Full::from(format!("{line}\n")));
    *reply.status_mut() = status;
    reply
}
