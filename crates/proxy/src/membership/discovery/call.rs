//! One HTTP call to discovery, over an idle connection if there is one.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use config::ParsedEndpointList;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use membership::CallFailure;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::membership::MAX_LIST_BYTES;
use crate::socket::Socket;

/// The time after which connecting is given up. It is long enough for two lost packets of the handshake; the
/// watch makes another call before it has passed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(4);

/// A report of a call. Every report except [`CallProgress::Connected`] and [`CallProgress::ResponseStarted`]
/// ends the call.
pub(super) enum CallProgress {
    /// The connection of the call is established.
    Connected,
    /// The head of a response was received.
    ResponseStarted,
    /// A list was received.
    ResponseCompleted {
        /// The endpoint list.
        list: ParsedEndpointList,
        /// The connection of the call, for reuse by the next call.
        connection: Connection,
    },
    /// The response cannot be parsed, for the given reason.
    ResponseMalformed(String),
    /// The connection closed before the end of the response.
    ResponseTruncated,
    /// The call failed without a usable response.
    Failed(CallFailure),
}

/// A connection to discovery. Dropping it closes it.
pub(super) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _task: JoinSet<hyper::Result<()>>,
}

/// The result of sending a request.
enum SendOutcome {
    Response(Response<Incoming>),
    /// The connection was closed before any of the request was sent.
    NotSent(Request<Empty<Bytes>>),
    Lost,
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Connection, CallFailure> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(CallFailure::ConnectionRefused);
            }
            Ok(Err(_)) | Err(_) => return Err(CallFailure::Unreachable),
        };
        let io = TokioIo::new(Socket::new(stream, None));
        let handshake = http1::handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| CallFailure::ConnectionLost)?;
        let mut task = JoinSet::new();
        task.spawn_local(connection);
        Ok(Connection { sender, _task: task })
    }

    async fn send(&mut self, request: Request<Empty<Bytes>>) -> SendOutcome {
        if self.sender.ready().await.is_err() {
            return SendOutcome::NotSent(request);
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => SendOutcome::Response(response),
            Err(mut error) => error.take_message().map_or(SendOutcome::Lost, SendOutcome::NotSent),
        }
    }
}

/// Makes a call to discovery. Reports when it is connected, and when the head of the response has been received.
pub(super) async fn call(
    address: SocketAddr,
    path: &str,
    idle: Option<Connection>,
    report: impl Fn(CallProgress),
) -> CallProgress {
    let mut request = Request::new(Empty::new());
    let Ok(uri) = path.parse() else { return CallProgress::Failed(CallFailure::Unreachable) };
    *request.uri_mut() = uri;
    request.headers_mut().insert(HOST, HeaderValue::from_static("discovery"));
    let (response, connection) = match send(address, request, idle, || report(CallProgress::Connected)).await
    {
        Ok(sent) => sent,
        Err(failure) => return CallProgress::Failed(failure),
    };
    if response.status() != StatusCode::OK {
        return CallProgress::Failed(CallFailure::ErrorResponse);
    }
    report(CallProgress::ResponseStarted);
    read_list(response, connection).await
}

/// Sends a request over the idle connection, or over a new one if there is none or discovery has closed it.
async fn send(
    address: SocketAddr,
    request: Request<Empty<Bytes>>,
    idle: Option<Connection>,
    on_connected: impl Fn(),
) -> Result<(Response<Incoming>, Connection), CallFailure> {
    let mut request = request;
    if let Some(mut connection) = idle {
        on_connected();
        match connection.send(request).await {
            SendOutcome::Response(response) => return Ok((response, connection)),
            SendOutcome::NotSent(unsent) => request = unsent,
            SendOutcome::Lost => return Err(CallFailure::ConnectionLost),
        }
    }
    let mut connection = Connection::open(address).await?;
    on_connected();
    match connection.send(request).await {
        SendOutcome::Response(response) => Ok((response, connection)),
        SendOutcome::NotSent(_) | SendOutcome::Lost => Err(CallFailure::ConnectionLost),
    }
}

async fn read_list(response: Response<Incoming>, connection: Connection) -> CallProgress {
    let Ok(body) = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await else {
        return CallProgress::ResponseTruncated;
    };
    match config::parse_endpoint_list(&body.to_bytes()) {
        Ok(list) => CallProgress::ResponseCompleted { list, connection },
        Err(fault) => CallProgress::ResponseMalformed(fault),
    }
}
