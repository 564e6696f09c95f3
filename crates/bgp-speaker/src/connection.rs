//! One TCP connection to a BGP peer: frames incoming messages, writes outgoing ones, and closes in such a way
//! that the peer can still read the last message (usually a NOTIFICATION).
//!
//! Memory is bounded by [`MAX_QUEUED_MESSAGES`] outgoing messages and one incoming message of the largest
//! size.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bgp::{parse_header, MessageType, Notification, HEADER_LENGTH, MAX_MESSAGE_LENGTH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The maximum number of outgoing messages that wait to be written. A connection that exceeds it has failed.
pub const MAX_QUEUED_MESSAGES: usize = 256;
/// The duration after which a write fails.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Input is drained for this long after the last write: closing with unread input would reset the connection
/// and discard that write.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The size in bytes of the buffer for drained input.
const DRAIN_BUFFER_SIZE: usize = 1024;

/// An event of a connection.
pub enum ConnectionEvent {
    /// A message, without its header.
    Message(MessageType, Vec<u8>),
    /// An invalid header, with the NOTIFICATION to send.
    Malformed(Notification),
    /// The connection has ended.
    Closed,
}

/// Connects to a peer, from `source` if one is given.
///
/// # Errors
/// Returns the error of the operating system, or `TimedOut` after `connect_timeout`.
pub async fn dial(
    address: SocketAddr,
    source: Option<IpAddr>,
    connect_timeout: Duration,
) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    timeout(connect_timeout, socket.connect(address)).await.map_err(|_| std::io::ErrorKind::TimedOut)?
}

/// Serves a connection until `outgoing` is closed and fully written, or a write fails. If the peer closes the
/// connection, reports this, upon which the receiver of the events closes `outgoing`. Nothing more is read
/// from the peer until `report` returns.
pub async fn serve(
    stream: TcpStream,
    outgoing: mpsc::Receiver<Vec<u8>>,
    report: impl AsyncFn(ConnectionEvent),
) {
    let _ = stream.set_nodelay(true);
    let (mut reader, writer) = stream.into_split();
    {
        let reading = read_messages(&mut reader, &report);
        let writing = write_messages(writer, outgoing);
        tokio::pin!(reading, writing);
        tokio::select! {
            // The NOTIFICATION for a malformed message is still written.
            () = &mut reading => writing.await,
            () = &mut writing => {}
        }
    }
    let _ = timeout(LINGER_TIMEOUT, drain(&mut reader)).await;
    // Reported here as well, because a failed write ends the connection while the reader waits for input.
    report(ConnectionEvent::Closed).await;
}

async fn drain(reader: &mut OwnedReadHalf) {
    let mut discarded = [0; DRAIN_BUFFER_SIZE];
    while reader.read(&mut discarded).await.is_ok_and(|length| length > 0) {}
}

async fn read_messages(reader: &mut OwnedReadHalf, report: &impl AsyncFn(ConnectionEvent)) {
    let mut header = [0; HEADER_LENGTH];
    let mut body = vec![0; MAX_MESSAGE_LENGTH - HEADER_LENGTH];
    loop {
        if reader.read_exact(&mut header).await.is_err() {
            return report(ConnectionEvent::Closed).await;
        }
        let (length, kind) = match parse_header(&header) {
            Ok(framed) => framed,
            Err(notification) => return report(ConnectionEvent::Malformed(notification)).await,
        };
        let body = &mut body[..length - HEADER_LENGTH];
        if reader.read_exact(body).await.is_err() {
            return report(ConnectionEvent::Closed).await;
        }
        report(ConnectionEvent::Message(kind, body.to_vec())).await;
    }
}

async fn write_messages(mut writer: OwnedWriteHalf, mut outgoing: mpsc::Receiver<Vec<u8>>) {
    while let Some(message) = outgoing.recv().await {
        let written = timeout(WRITE_TIMEOUT, writer.write_all(&message)).await;
        if !matches!(written, Ok(Ok(()))) {
            break;
        }
    }
    let _ = writer.shutdown().await;
}
