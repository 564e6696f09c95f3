//! A TCP socket whose state can be inspected while hyper reads from it and writes to it.
//!
//! Clones share the socket. One owner reads and writes; any clone can check for unread input, for the number
//! of bytes written, and for a close by the peer. A downstream socket also keeps the first bytes of the
//! message that is being read, because hyper only exposes its parsed form.

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

use crate::metrics::NextWriteCounter;

/// The maximum number of bytes that [`Socket::read_some`] reads at a time.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The number of bytes that the kernel accepts ahead of those that the peer's machine has room for, on a
/// socket with [`Socket::limit_unsent_bytes`].
const MAX_UNSENT_BYTES: u32 = 128 << 10;

/// A shared TCP socket.
#[derive(Clone)]
pub struct Socket(Rc<Shared>);

struct Shared {
    stream: TcpStream,
    bytes_written: Cell<u64>,
    write_counter: NextWriteCounter,
    /// Set for a downstream socket only.
    inbound: Option<RefCell<InboundMessage>>,
    _descriptor: Option<DescriptorGuard>,
}

/// The message that is being read.
#[derive(Default)]
struct InboundMessage {
    /// The first bytes of the message, unparsed.
    head: Vec<u8>,
    /// The maximum number of bytes to keep in `head`.
    max_head_bytes: usize,
    /// The number of bytes read since the message started, including any that follow its end.
    bytes: u64,
    /// When the first byte of the message arrived.
    started_at: Option<Instant>,
}

impl InboundMessage {
    fn new(max_head_bytes: usize) -> InboundMessage {
        InboundMessage { max_head_bytes, ..InboundMessage::default() }
    }

    fn append(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.started_at.get_or_insert_with(Instant::now);
        }
        self.bytes += bytes.len() as u64;
        let capacity = self.max_head_bytes.saturating_sub(self.head.len());
        self.head.extend_from_slice(&bytes[..capacity.min(bytes.len())]);
    }
}

/// The value of `max_head_bytes` with which no bytes are kept.
pub const NO_HEAD_CAPTURE: usize = 0;

/// Counts a descriptor while it is open.
pub struct DescriptorGuard(Rc<Cell<usize>>);

impl DescriptorGuard {
    /// Adds one to `count` until the guard is dropped.
    pub fn new(count: &Rc<Cell<usize>>) -> DescriptorGuard {
        count.set(count.get() + 1);
        DescriptorGuard(Rc::clone(count))
    }
}

impl Drop for DescriptorGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The state of a socket's input that the kernel holds and the process has not read.
#[derive(Debug, PartialEq, Eq)]
pub enum UnreadInput {
    /// No input is available.
    Empty,
    /// Bytes are available.
    Data,
    /// The peer has closed or reset the connection, and no bytes are left.
    Closed,
}

impl Socket {
    /// Wraps a stream; `descriptor` counts the socket while it is open.
    pub fn new(stream: TcpStream, descriptor: Option<DescriptorGuard>) -> Socket {
        Socket::with_inbound(stream, None, descriptor)
    }

    /// Wraps a client's stream; up to `max_head_bytes` of each received message are kept.
    pub fn for_downstream(stream: TcpStream, max_head_bytes: usize) -> Socket {
        let inbound = RefCell::new(InboundMessage::new(max_head_bytes));
        Socket::with_inbound(stream, Some(inbound), None)
    }

    fn with_inbound(
        stream: TcpStream,
        inbound: Option<RefCell<InboundMessage>>,
        descriptor: Option<DescriptorGuard>,
    ) -> Socket {
        // Each message is one write and must not wait for the acknowledgement of the previous one.
        let _ = stream.set_nodelay(true);
        Socket(Rc::new(Shared {
            stream,
            bytes_written: Cell::new(0),
            write_counter: NextWriteCounter::default(),
            inbound,
            _descriptor: descriptor,
        }))
    }

    /// Takes the kept bytes of the current message; no more bytes of the message are kept.
    pub fn take_head(&self) -> Vec<u8> {
        self.0.inbound.as_ref().map_or_else(Vec::new, |inbound| {
            let mut inbound = inbound.borrow_mut();
            inbound.max_head_bytes = NO_HEAD_CAPTURE;
            std::mem::take(&mut inbound.head)
        })
    }

    /// The number of bytes read since the current message started, including any that follow its end.
    pub fn message_bytes(&self) -> u64 {
        self.0.inbound.as_ref().map_or(0, |inbound| inbound.borrow().bytes)
    }

    /// When the first byte of the current message arrived; `None` if none has.
    pub fn message_started_at(&self) -> Option<Instant> {
        self.0.inbound.as_ref().and_then(|inbound| inbound.borrow().started_at)
    }

    /// Starts the next message: bytes read from now on belong to it, and up to `max_head_bytes` of them are
    /// kept.
    pub fn start_next_message(&self, max_head_bytes: usize) {
        if let Some(inbound) = &self.0.inbound {
            *inbound.borrow_mut() = InboundMessage::new(max_head_bytes);
        }
    }

    /// Reads available bytes, passes them to `consume` and returns their number; 0 at the end of input. The
    /// buffer exists only during the read, so that an idle connection needs none.
    pub async fn read_some(&mut self, mut consume: impl FnMut(&[u8])) -> io::Result<usize> {
        poll_fn(|context| {
            let mut bytes = [0; READ_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut *self).poll_read(context, &mut buffer))?;
            consume(buffer.filled());
            Poll::Ready(Ok(buffer.filled().len()))
        })
        .await
    }

    /// Waits until the socket may accept bytes.
    pub fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.stream.poll_write_ready(context)
    }

    /// The counter that counts a message at the next write.
    pub fn write_counter(&self) -> &NextWriteCounter {
        &self.0.write_counter
    }

    /// The number of bytes that the kernel has accepted for sending.
    pub fn bytes_written(&self) -> u64 {
        self.0.bytes_written.get()
    }

    /// Whether the runtime has observed that the peer closed or reset the connection, even if unread bytes
    /// precede the close.
    pub fn is_peer_closed(&self) -> bool {
        let ready = pin!(self.0.stream.ready(Interest::READABLE));
        match ready.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Whether the kernel may accept bytes, as far as the runtime has observed.
    pub fn is_writable(&self) -> bool {
        // Polling for readiness itself would replace the waker of the task that writes.
        let ready = pin!(self.0.stream.ready(Interest::WRITABLE));
        ready.poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// The number of bytes that have arrived and have not been read; `None` if the kernel does not tell.
    pub fn unread_bytes(&self) -> Option<u64> {
        rustix::io::ioctl_fionread(&self.0.stream).ok()
    }

    /// Lets the kernel accept only `MAX_UNSENT_BYTES` more than the peer's machine has room for. Its own
    /// buffer may hold megabytes, which a slow peer takes longer to read than the time after which a transfer
    /// counts as stalled. To be called before a large message is written.
    pub fn limit_unsent_bytes(&self) {
        // Without the limit the message is still sent; its progress is only seen later.
        let _ = SockRef::from(&self.0.stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    }

    /// Reads the state of unread input from the kernel, which registers a close before the runtime does.
    pub fn unread_input(&self) -> UnreadInput {
        match SockRef::from(&self.0.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => UnreadInput::Closed,
            Ok(_) => UnreadInput::Data,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => UnreadInput::Empty,
            Err(_) => UnreadInput::Closed,
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(context))?;
            match self.0.stream.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    if let Some(inbound) = &self.0.inbound {
                        inbound.borrow_mut().append(&buffer.initialize_unfilled()[..count]);
                    }
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(data)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(context))?;
            match self.0.stream.try_write_vectored(slices) {
                Ok(count) => {
                    self.0.bytes_written.set(self.0.bytes_written.get() + count as u64);
                    self.0.write_counter.on_write();
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
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
mod tests;
