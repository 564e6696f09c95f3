//! An HTTP/1.1 connection to an endpoint, which carries one request at a time.

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::{spawn_local, AbortHandle};

use crate::body::MessageBody;
use crate::exchange::MAX_HEAD_BYTES;
use crate::socket::{Socket, UnreadInput};

/// An HTTP/1.1 connection to an endpoint. Dropping it closes the connection.
pub struct HttpConnection {
    pub(super) sender: SendRequest<MessageBody>,
    pub(super) socket: Socket,
    task: AbortHandle,
}

impl HttpConnection {
    /// Performs the HTTP handshake on a socket and starts the task that drives the connection.
    pub(super) async fn handshake(socket: Socket) -> Result<HttpConnection, hyper::Error> {
        let io = TokioIo::new(socket.clone());
        let (sender, connection) = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await?;
        // An error of the connection also ends the request on it, and is handled with the request.
        let task = spawn_local(connection).abort_handle();
        Ok(HttpConnection { sender, socket, task })
    }

    /// Whether a request may be sent, by the state of the connection's task.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether a request may be sent. Also checks the socket, which shows a close by the endpoint before the
    /// connection's task has handled it.
    pub(super) fn is_usable(&self) -> bool {
        self.is_ready() && self.socket.unread_input() == UnreadInput::Empty
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
