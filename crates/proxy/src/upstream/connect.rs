//! Establishes connections to an endpoint.

use std::io;
use std::rc::Rc;

use decide::EndpointId;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at, Instant};

use super::connections::HttpConnectionChoice;
use super::http_connection::HttpConnection;
use super::rpc_connection::{RpcConnection, RpcSettings};
use super::stray_responses::StrayResponses;
use super::UpstreamPool;
use crate::socket::Socket;

/// The reason why no connection could be obtained.
#[derive(Debug)]
pub enum ConnectError {
    /// The endpoint is not in the endpoint table: it was removed and its drain grace is over.
    UnknownEndpoint,
    /// The pool is at its limit of sockets, and no idle connection can be closed to free one.
    SocketsExhausted,
    /// The endpoint did not accept the connection within the connect timeout.
    Timeout,
    /// Connecting failed with an I/O error, for example because the endpoint refused it.
    Io(io::Error),
    /// The HTTP handshake on the connection failed.
    Handshake(hyper::Error),
}

impl std::fmt::Display for ConnectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ConnectError::UnknownEndpoint => "the endpoint was removed from the endpoint list",
            ConnectError::SocketsExhausted => "all sockets of the pool are in use",
            ConnectError::Timeout => "connecting to the endpoint timed out",
            ConnectError::Io(_) => "connecting to the endpoint failed",
            ConnectError::Handshake(_) => "the HTTP handshake failed",
        })
    }
}

impl std::error::Error for ConnectError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ConnectError::UnknownEndpoint | ConnectError::SocketsExhausted | ConnectError::Timeout => None,
            ConnectError::Io(error) => Some(error),
            ConnectError::Handshake(error) => Some(error),
        }
    }
}

/// A connection that is being established. Dropping it wakes all waiting tasks, whether connecting succeeded
/// or not.
#[derive(Default)]
pub struct PendingConnect {
    ended: Rc<Notify>,
}

impl PendingConnect {
    /// Waits until the connecting task drops `self`.
    async fn wait(self: Rc<Self>) {
        let ended = Rc::clone(&self.ended);
        // A waiting task must not keep `self` alive, because dropping it is the signal.
        drop(self);
        ended.notified().await;
    }
}

impl Drop for PendingConnect {
    fn drop(&mut self) {
        self.ended.notify_waiters();
    }
}

/// A connection for an attempt.
pub struct AcquiredConnection<C> {
    /// The connection to send on.
    pub connection: C,
    /// Whether another request was sent on it before, in which case it may just have been closed by the
    /// endpoint.
    pub is_reused: bool,
}

/// Returns an idle HTTP connection or establishes a new one. Waits for a connection that rests if that is
/// soon over.
pub async fn acquire_http(
    pool: &UpstreamPool,
    endpoint: EndpointId,
) -> Result<AcquiredConnection<HttpConnection>, ConnectError> {
    loop {
        match choose_http(pool, endpoint) {
            HttpConnectionChoice::Reuse(connection) => {
                return Ok(AcquiredConnection { connection, is_reused: true });
            }
            HttpConnectionChoice::Wait { time, waiting } => {
                sleep(time).await;
                drop(waiting);
            }
            HttpConnectionChoice::Open => break,
        }
    }
    let connection = connect_http(pool, endpoint).await?;
    Ok(AcquiredConnection { connection, is_reused: false })
}

fn choose_http(pool: &UpstreamPool, endpoint: EndpointId) -> HttpConnectionChoice {
    let (max_idle, may_open) = (pool.max_idle(), !pool.sockets.is_reached());
    let mut endpoints = pool.endpoints.borrow_mut();
    match endpoints.connections_mut(endpoint) {
        Some(connections) => connections.choose_http(max_idle, may_open),
        None => HttpConnectionChoice::Open,
    }
}

/// Establishes a new HTTP connection.
pub async fn connect_http(pool: &UpstreamPool, endpoint: EndpointId) -> Result<HttpConnection, ConnectError> {
    let socket = connect(pool, endpoint).await?;
    let stray_responses = stray_responses(pool, endpoint);
    HttpConnection::handshake(socket, stray_responses).await.map_err(ConnectError::Handshake)
}

/// The record of an endpoint's responses that nobody waited for; a new one if it has been forgotten.
fn stray_responses(pool: &UpstreamPool, endpoint: EndpointId) -> Rc<StrayResponses> {
    let endpoints = pool.endpoints.borrow();
    let known = endpoints.get(endpoint).map(|endpoint| Rc::clone(endpoint.connections.stray_responses()));
    known.unwrap_or_default()
}

/// Returns a JSON-RPC connection with capacity for another call, or establishes a new one. Calls that arrive
/// while a connection is being established wait for it, and establish their own if it has no capacity left.
pub async fn acquire_rpc(
    pool: &UpstreamPool,
    endpoint: EndpointId,
    settings: &RpcSettings,
) -> Result<AcquiredConnection<Rc<RpcConnection>>, ConnectError> {
    let mut open = rpc_with_capacity(pool, endpoint);
    if open.is_none() {
        if let Some(pending) = pending_rpc(pool, endpoint) {
            pending.wait().await;
            open = rpc_with_capacity(pool, endpoint);
        }
    }
    if let Some(connection) = open {
        return Ok(AcquiredConnection { connection, is_reused: true });
    }
    let connection = connect_rpc(pool, endpoint, settings).await?;
    Ok(AcquiredConnection { connection, is_reused: false })
}

async fn connect_rpc(
    pool: &UpstreamPool,
    endpoint: EndpointId,
    settings: &RpcSettings,
) -> Result<Rc<RpcConnection>, ConnectError> {
    let pending = Rc::new(PendingConnect::default());
    if let Some(connections) = pool.endpoints.borrow_mut().connections_mut(endpoint) {
        connections.set_pending_rpc(&pending);
    }
    let socket = connect(pool, endpoint).await?;
    let connection = Rc::new(RpcConnection::new(socket, settings.clone()));
    if !pool.is_retired.get() {
        pool.endpoints.borrow_mut().add_rpc(endpoint, Rc::clone(&connection));
    }
    Ok(connection)
}

fn rpc_with_capacity(pool: &UpstreamPool, endpoint: EndpointId) -> Option<Rc<RpcConnection>> {
    pool.endpoints.borrow().get(endpoint)?.connections.rpc_with_capacity()
}

fn pending_rpc(pool: &UpstreamPool, endpoint: EndpointId) -> Option<Rc<PendingConnect>> {
    pool.endpoints.borrow().get(endpoint)?.connections.pending_rpc()
}

/// Connects a new socket to the endpoint. At the limit of sockets, an idle connection is closed first.
async fn connect(pool: &UpstreamPool, endpoint: EndpointId) -> Result<Socket, ConnectError> {
    let address = pool.endpoints.borrow().get(endpoint).map(|endpoint| endpoint.address);
    let address = address.ok_or(ConnectError::UnknownEndpoint)?;
    if pool.sockets.is_reached() && !pool.endpoints.borrow_mut().close_idle_connection() {
        pool.sockets.log_exhaustion();
        return Err(ConnectError::SocketsExhausted);
    }
    let slot = pool.sockets.open();
    let deadline = Instant::now() + pool.connect_timeout();
    let connected = timeout_at(deadline, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| ConnectError::Timeout)?.map_err(ConnectError::Io)?;
    Ok(Socket::new(stream, Some(slot)))
}
