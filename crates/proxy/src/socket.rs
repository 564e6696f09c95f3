//! A TCP socket that can be looked at while hyper owns it.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::metrics::WriteCompletionCounter;

/// Read at a time by [`Socket::read_some`].
const READ: usize = 16 << 10;

/// One owner reads and writes; any copy may ask what lies unread and what was written.
#[derive(Clone)]
pub struct Socket(Rc<Shared>);

struct Shared {
    stream: TcpStream,
    written: Cell<u64>,
    /// Told of what is written.
    counted: WriteCompletionCounter,
    /// What has come of the message that is being read; only where it is kept.
    incoming: Option<RefCell<Incoming>>,
    /// Held for as long as the descriptor is.
    _slot: Option<Slot>,
}

/// A message as it came. hyper shows a request only as it understood it, and hides what would tell of a second
/// one in it.
#[derive(Default)]
struct Incoming {
    head: Vec<u8>,
    most: usize,
    bytes: u64,
    since: Option<Instant>,
}

/// Counts a descriptor for as long as it is open.
pub struct Slot(Rc<Cell<usize>>);

impl Slot {
    pub fn new(count: &Rc<Cell<usize>>) -> Slot {
        count.set(count.get() + 1);
        Slot(Rc::clone(count))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What a socket holds that nobody has read yet.
#[derive(Debug, PartialEq, Eq)]
pub enum Unread {
    Nothing,
    Data,
    /// The other side has ended or broken the connection.
    Closed,
}

impl Socket {
    pub fn new(stream: TcpStream, slot: Option<Slot>) -> Socket {
        // A message is one write, and none should wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        Socket(Rc::new(Shared {
            stream,
            written: Cell::new(0),
            counted: WriteCompletionCounter::default(),
            incoming: None,
            _slot: slot,
        }))
    }

    /// One that keeps the first bytes of each message that comes, up to so many.
    pub fn keeping(stream: TcpStream, most: usize) -> Socket {
        let _ = stream.set_nodelay(true);
        let incoming = Some(RefCell::new(Incoming { most, ..Incoming::default() }));
        Socket(Rc::new(Shared {
            stream,
            written: Cell::new(0),
            counted: WriteCompletionCounter::default(),
            incoming,
            _slot: None,
        }))
    }

    /// What came first of this message; it is kept no longer.
    pub fn take_head(&self) -> Vec<u8> {
        self.0.incoming.as_ref().map_or_else(Vec::new, |incoming| {
            let mut incoming = incoming.borrow_mut();
            incoming.most = 0;
            std::mem::take(&mut incoming.head)
        })
    }

    /// Bytes read of this message, and of what follows it.
    pub fn bytes_in(&self) -> u64 {
        self.0.incoming.as_ref().map_or(0, |incoming| incoming.borrow().bytes)
    }

    /// When the first byte of this message came, if any has.
    pub fn since(&self) -> Option<Instant> {
        self.0.incoming.as_ref().and_then(|incoming| incoming.borrow().since)
    }

    /// What comes from now on is the next message.
    pub fn next_message(&self, most: usize) {
        if let Some(incoming) = &self.0.incoming {
            *incoming.borrow_mut() = Incoming { most, ..Incoming::default() };
        }
    }

    /// Reads what there is and hands it over: so many bytes. The buffer is there only while it is read into, so that a
    /// silent connection costs none.
    pub async fn read_some(&mut self, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
        poll_fn(|cx| {
            let mut piece = [0; READ];
            let mut piece = ReadBuf::new(&mut piece);
            ready!(Pin::new(&mut *self).poll_read(cx, &mut piece))?;
            take(piece.filled());
            Poll::Ready(Ok(piece.filled().len()))
        })
        .await
    }

    /// Counts messages as they are written.
    pub fn counted(&self) -> &WriteCompletionCounter {
        &self.0.counted
    }

    /// Bytes that the kernel has taken for sending up to now.
    pub fn written(&self) -> u64 {
        self.0.written.get()
    }

    /// Has the runtime heard that the other side has ended or broken the connection? Also where bytes lie unread before that.
    pub fn is_ended(&self) -> bool {
        let ready = pin!(self.0.stream.ready(Interest::READABLE));
        match ready.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Asks the kernel, which knows of a closure before the runtime has come round to it.
    pub fn unread(&self) -> Unread {
        match SockRef::from(&self.0.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => Unread::Closed,
            Ok(_) => Unread::Data,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
            Err(_) => Unread::Closed,
        }
    }
}

impl Incoming {
    fn take(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.since.get_or_insert_with(Instant::now);
        }
        self.bytes += bytes.len() as u64;
        let room = self.most.saturating_sub(self.head.len()).min(bytes.len());
        self.head.extend_from_slice(&bytes[..room]);
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    if let Some(incoming) = &self.0.incoming {
                        incoming.borrow_mut().take(&buf.initialize_unfilled()[..n]);
                    }
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(data)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match self.0.stream.try_write_vectored(parts) {
                Ok(n) => {
                    self.0.written.set(self.0.written.get() + n as u64);
                    self.0.counted.on_write();
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests {
    use std::io::Write;
    use std::net::TcpListener;

    use super::*;

    #[test]
    fn the_kernel_tells_what_lies_unread() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("listens");
            let (mut other, _) = listener.accept().expect("connects");
            let socket = Socket::new(stream, None);
            assert_eq!(socket.unread(), Unread::Nothing);
            other.write_all(b"x").expect("written");
            // Even on loopback what was sent may take a moment to arrive.
            while socket.unread() == Unread::Nothing {
                std::thread::yield_now();
            }
            assert_eq!(socket.unread(), Unread::Data);
            socket.0.stream.readable().await.expect("ready");
            assert_eq!(socket.0.stream.try_read(&mut [0; 8]).ok(), Some(1));
            drop(other);
            while socket.unread() == Unread::Nothing {
                std::thread::yield_now();
            }
            assert_eq!(socket.unread(), Unread::Closed);
        });
    }
}
