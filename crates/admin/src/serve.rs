//! The listener of the API, on a thread and a runtime of its own: what an administrator does holds up no request of a
//! tenant's, and one who is slow holds up no other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::Request;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::Router;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::api::{router, ClientAddress};
use crate::state::Service;

/// Connections at once; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 64;
/// The head of a request comes whole within this time.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// And is answered within this one, its body included.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The largest head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Opens the listener.
///
/// # Errors
/// It cannot be had, in a line.
pub fn bind(address: SocketAddr) -> Result<std::net::TcpListener, String> {
    let fault = |e| format!("cannot listen on {address}: {e}");
    let listener = std::net::TcpListener::bind(address).map_err(fault)?;
    listener.set_nonblocking(true).map_err(fault)?;
    Ok(listener)
}

/// Serves the API on a thread of its own, until the process ends.
///
/// # Errors
/// There is no thread or runtime to be had, in a line.
pub fn start(listener: std::net::TcpListener, service: Arc<Service>) -> Result<(), String> {
    serve(listener, router(service), MAX_CONNECTIONS)
}

/// Serves these paths on a thread of their own, until the process ends, with so many connections at most.
///
/// # Errors
/// There is no thread or runtime to be had, in a line.
pub fn serve(listener: std::net::TcpListener, router: Router, connections: usize) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    let work = move || {
        runtime.block_on(async move {
            if let Ok(listener) = TcpListener::from_std(listener) {
                accept(listener, router, connections).await;
            }
        });
    };
    std::thread::Builder::new()
        .name("admin".to_owned())
        .spawn(work)
        .map_err(|e| format!("no thread: {e}"))?;
    Ok(())
}

async fn accept(listener: TcpListener, router: Router, connections: usize) {
    let permits = Arc::new(Semaphore::new(connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let router = router.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let service = service_fn(move |mut request: hyper::Request<Incoming>| {
                request.extensions_mut().insert(ClientAddress(peer.ip()));
                let answer = hyper::service::Service::call(
                    &TowerToHyperService::new(router.clone()),
                    request.map(axum::body::Body::new) as Request,
                );
                async move {
                    match tokio::time::timeout(REQUEST_TIMEOUT, answer).await {
                        Ok(answer) => answer,
                        Err(_) => Ok(StatusCode::REQUEST_TIMEOUT.into_response()),
                    }
                }
            });
            let mut server = http1::Builder::new();
            server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
            let connection = server.serve_connection(TokioIo::new(stream), service);
            // A connection that stays open holds one of few places, so it may not stay for ever.
            let _ = tokio::time::timeout(REQUEST_TIMEOUT * 4, connection).await;
        });
    }
}
