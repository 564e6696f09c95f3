//! One connection to a router: messages in, octets out, and an end that lets the last words be read.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bgp::{frame, Kind, Notification, HEADER, MOST_MESSAGE};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Messages that wait to be written: a peer that reads none of so many is gone.
pub const MOST_WAITING: usize = 256;
/// A write that takes longer has failed.
const WRITE: Duration = Duration::from_secs(30);
/// What the peer still sends is read for so long after the last word: closed unread, it would take that word back.
const LINGER: Duration = Duration::from_secs(1);

/// What comes of a connection.
pub enum Heard {
    /// A message, without its header.
    Message(Kind, Vec<u8>),
    /// Something that is none.
    Malformed(Notification),
    /// The end.
    Over,
}

/// Dials a router, from this address if one is given.
pub async fn dial(
    address: SocketAddr,
    source: Option<IpAddr>,
    within: Duration,
) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    timeout(within, socket.connect(address)).await.map_err(|_| std::io::ErrorKind::TimedOut)?
}

/// Serves a connection until `words` ends and all of them are written, or the peer ends it. `tell` is given what comes
/// of it, and may take its time: the peer is read no faster.
pub async fn serve(stream: TcpStream, words: mpsc::Receiver<Vec<u8>>, tell: impl AsyncFn(Heard)) {
    let _ = stream.set_nodelay(true);
    let (mut from, to) = stream.into_split();
    {
        let reading = read(&mut from, &tell);
        let writing = write(to, words);
        tokio::pin!(reading, writing);
        tokio::select! {
            // What is said to a peer that has spoken badly is still written.
            () = &mut reading => writing.await,
            () = &mut writing => {}
        }
    }
    let mut scratch = [0; 1024];
    let drain = async { while from.read(&mut scratch).await.is_ok_and(|n| n > 0) {} };
    let _ = timeout(LINGER, drain).await;
    // Where it was not the peer who ended it: a write has failed.
    tell(Heard::Over).await;
}

async fn read(from: &mut OwnedReadHalf, tell: &impl AsyncFn(Heard)) {
    let mut header = [0; HEADER];
    // As large as the largest message, which is also all that a peer can make us hold.
    let mut body = vec![0; MOST_MESSAGE - HEADER];
    loop {
        if from.read_exact(&mut header).await.is_err() {
            return tell(Heard::Over).await;
        }
        let (length, kind) = match frame(&header) {
            Ok(framed) => framed,
            Err(why) => return tell(Heard::Malformed(why)).await,
        };
        let body = &mut body[..length - HEADER];
        if from.read_exact(body).await.is_err() {
            return tell(Heard::Over).await;
        }
        tell(Heard::Message(kind, body.to_vec())).await;
    }
}

async fn write(mut to: OwnedWriteHalf, mut words: mpsc::Receiver<Vec<u8>>) {
    while let Some(octets) = words.recv().await {
        match timeout(WRITE, to.write_all(&octets)).await {
            Ok(Ok(())) => {}
            // The reader hears of it.
            _ => break,
        }
    }
    let _ = to.shutdown().await;
}
