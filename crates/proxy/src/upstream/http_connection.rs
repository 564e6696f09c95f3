//! A connection to an endpoint over HTTP/1.1: one request at a time.

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::{spawn_local, AbortHandle};

use crate::body::MessageBody;
use crate::exchange::MAX_HEAD_BYTES;
use crate::socket::{Socket, UnreadInput};

/// The connection. Dropping it closes it.
pub struct HttpConnection {
    pub(super) sender: SendRequest<MessageBody>,
    pub(super) socket: Socket,
    task: AbortHandle,
}

impl HttpConnection {
    /// Prepares a socket for requests.
    pub(super) async fn handshake(socket: Socket) -> Result<HttpConnection, hyper::Error> {
        let io = TokioIo::new(socket.clone());
        let (sender, connection) = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await?;
        // Its errors also end the request on it, and are handled there.
        let task = spawn_local(connection).abort_handle();
        Ok(HttpConnection { sender, socket, task })
    }

    /// Whether a request may be sent, as far as the connection's task knows.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether a request may be sent. Asks the kernel, which knows of a closure before the connection's task does.
    pub(super) fn is_usable(&self) -> bool {
        self.is_ready() && self.socket.unread_input() == UnreadInput::Empty
    }

    /// Waits until the response before was read. False if the connection closes.
    pub(super) async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
