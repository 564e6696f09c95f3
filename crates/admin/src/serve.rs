//! The listener of the API. It has a thread and a runtime of its own, so that administration does not delay
//! the requests of tenants. Time limits and a limit on connections bound the resources of slow clients.

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

/// The maximum number of open connections; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 64;
/// The time within which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The time from the end of the request head to the response, including the receipt of the body. After it,
/// the response has status 408.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Opens a listener on an address.
///
/// # Errors
/// If the address cannot be bound, returns a message of one line.
pub fn bind(address: SocketAddr) -> Result<std::net::TcpListener, String> {
    let error = |e| format!("cannot listen on {address}: {e}");
    let listener = std::net::TcpListener::bind(address).map_err(error)?;
    listener.set_nonblocking(true).map_err(error)?;
    Ok(listener)
}

/// Serves the administration API on a thread of its own until the process ends.
///
/// # Errors
/// If the thread or its runtime cannot be created, returns a message of one line.
pub fn start(listener: std::net::TcpListener, service: Arc<Service>) -> Result<(), String> {
    serve(listener, router(service), MAX_CONNECTIONS)
}

/// Serves a router on a thread of its own until the process ends, with at most `max_connections` open
/// connections.
///
/// # Errors
/// If the thread or its runtime cannot be created, returns a message of one line.
pub fn serve(listener: std::net::TcpListener, router: Router, max_connections: usize) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot create the runtime of the API: {e}"))?;
    let run = move || {
        runtime.block_on(async move {
            if let Ok(listener) = TcpListener::from_std(listener) {
                accept(listener, router, max_connections).await;
            }
        });
    };
    std::thread::Builder::new()
        .name("admin".to_owned())
        .spawn(run)
        .map_err(|e| format!("cannot create the thread of the API: {e}"))?;
    Ok(())
}

async fn accept(listener: TcpListener, router: Router, max_connections: usize) {
    let permits = Arc::new(Semaphore::new(max_connections));
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
                let response = hyper::service::Service::call(
                    &TowerToHyperService::new(router.clone()),
                    request.map(axum::body::Body::new) as Request,
                );
                async move {
                    match tokio::time::timeout(REQUEST_TIMEOUT, response).await {
                        Ok(response) => response,
                        Err(_) => Ok(StatusCode::REQUEST_TIMEOUT.into_response()),
                    }
                }
            });
            let mut server = http1::Builder::new();
            server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
            let connection = server.serve_connection(TokioIo::new(stream), service);
            // The lifetime of a connection is limited, because an idle one occupies one of few permits.
            let _ = tokio::time::timeout(REQUEST_TIMEOUT * 4, connection).await;
        });
    }
}
