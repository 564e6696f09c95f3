//! An HTTP/1.1 connection to an endpoint, which carries one request at a time.

use std::error::Error;
use std::rc::Rc;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

use super::stray_responses::StrayResponses;
use crate::body::MessageBody;
use crate::exchange::MAX_HEAD_BYTES;
use crate::socket::{Socket, UnreadInput};

/// An HTTP/1.1 connection to an endpoint. Dropping it closes the connection.
pub struct HttpConnection {
    pub(super) sender: SendRequest<MessageBody>,
    pub(super) socket: Socket,
    /// When the connection was opened or last taken for a request.
    pub(super) used_since: Instant,
    stray_responses: Rc<StrayResponses>,
    task: AbortHandle,
}

impl HttpConnection {
    /// Performs the HTTP handshake on a socket and starts the task that drives the connection. Bytes that
    /// arrive while no request is open are recorded in `stray_responses`.
    pub(super) async fn handshake(
        socket: Socket,
        stray_responses: Rc<StrayResponses>,
    ) -> Result<HttpConnection, hyper::Error> {
        let io = TokioIo::new(socket.clone());
        let (sender, connection) = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await?;
        let recorder = Rc::clone(&stray_responses);
        let run = async move {
            // An error of the connection also ends the request on it, and is handled with the request.
            if connection.await.is_err_and(|error| is_unexpected_message(&error)) {
                recorder.record();
            }
        };
        let task = spawn_local(run).abort_handle();
        Ok(HttpConnection { sender, socket, used_since: Instant::now(), stray_responses, task })
    }

    /// Whether a request may be sent, by the state of the connection's task.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether a request may be sent. Also checks the socket, which shows a close by the endpoint before the
    /// connection's task has handled it.
    pub(super) fn is_usable(&self) -> bool {
        if !self.is_ready() {
            return false;
        }
        let unread = self.socket.unread_input();
        if unread == UnreadInput::Data {
            self.stray_responses.record();
        }
        unread == UnreadInput::Empty
    }

    /// Waits until the previous response has been read. Returns false if the connection closes.
    pub(super) async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whether a connection has ended because bytes arrived while no request was open. hyper has no predicate for
/// that; it is its only error of a connection without a cause that has none of the other kinds.
fn is_unexpected_message(error: &hyper::Error) -> bool {
    let is_other_kind = error.is_parse()
        || error.is_user()
        || error.is_canceled()
        || error.is_closed()
        || error.is_incomplete_message()
        || error.is_timeout()
        || error.is_shutdown();
    error.source().is_none() && !is_other_kind
}
