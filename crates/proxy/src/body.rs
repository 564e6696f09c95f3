//! Bodies: whole and replayable, or flowing from one connection to another by flow control alone.
//!
//! A flowing body holds no more than what hyper reads ahead, and goes to one reader. What is owed to whoever sends it, that
//! it is read to its end, is kept also where nobody wants it any more.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at, Instant, Sleep};

/// The largest body that flows on the platform, in bytes.
pub const MOST_FLOW: u64 = config::MOST_BODY_BYTES;
/// A body that is slower than this, in bytes a second, is cut off: half of what callers are promised.
const SLOWEST: u64 = 32 << 10;
/// And it has this beside it, for its beginning and for pauses.
const GRACE: Duration = Duration::from_secs(3);
/// Who sends or reads nothing of a body for so long has stalled.
pub const STALL: Duration = Duration::from_secs(10);

/// How long a body of so many bytes may take to come.
pub fn most_time(bytes: u64) -> Duration {
    GRACE + Duration::from_millis(bytes.saturating_mul(1000) / SLOWEST)
}

/// Bodies up to so many bytes are owed whole by the time of their request; of larger ones the first bytes are.
const OWED_WHOLE: u64 = config::WHOLE_BODY_BYTES;

/// Is this body known to be one that is owed whole in time? Nothing is gained by passing on a part of it.
pub fn is_owed_whole(body: &Incoming) -> bool {
    body.size_hint().upper().is_some_and(|most| most <= OWED_WHOLE)
}

/// For how long its sender may have been waited for, all in all, where `read` bytes of it have come and its request's
/// time is up; None for one whose time was that of its first bytes. Guards against an answer of unknown length that
/// never ends: its caller would hear no end of it, and a proxy that is to leave would be killed over it. Does harm
/// where a large answer begins late and comes more slowly than callers are promised.
fn may_wait(read: u64) -> Option<Duration> {
    (read <= OWED_WHOLE).then(|| Duration::from_millis(read * 1000 / SLOWEST))
}

/// Marks a message whose answer may flow, up to so many bytes.
#[derive(Clone, Copy, Debug)]
pub struct MayFlow(pub u64);

/// Why a body is not whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Its sender broke off.
    Broken,
    /// It came too slowly, or stalled.
    Late,
    /// It is over its bound, or had been read already.
    Over,
}

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Cut::Broken => "the body broke off",
            Cut::Late => "the body came too slowly",
            Cut::Over => "the body is too large",
        })
    }
}

impl std::error::Error for Cut {}

/// A body of a request or an answer. Copies of one that flows share it: the first that reads it has it.
#[derive(Clone)]
pub enum Content {
    Whole(Option<Bytes>),
    Flowing(Rc<Flow>),
}

impl Default for Content {
    fn default() -> Self {
        Content::Whole(None)
    }
}

impl From<Bytes> for Content {
    fn from(body: Bytes) -> Self {
        Content::Whole(Some(body).filter(|b| !b.is_empty()))
    }
}

impl Content {
    /// All of it; None where it flows.
    pub fn whole(&self) -> Option<Bytes> {
        match self {
            Content::Whole(body) => Some(body.clone().unwrap_or_default()),
            Content::Flowing(_) => None,
        }
    }

    pub fn flow(&self) -> Option<&Rc<Flow>> {
        match self {
            Content::Whole(_) => None,
            Content::Flowing(flow) => Some(flow),
        }
    }
}

impl std::fmt::Debug for Content {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Content::Whole(body) => f.debug_tuple("Whole").field(&body.as_ref().map(Bytes::len)).finish(),
            Content::Flowing(_) => f.write_str("Flowing"),
        }
    }
}

/// What is told of the end of a body; dropped where it does not come whole.
type AtEnd = Box<dyn FnOnce()>;

/// A body as far as it was waited for.
pub enum Gathered {
    Whole(Bytes),
    /// This much of it, and the rest.
    Part(Bytes, Incoming),
}

/// Waits for the whole of a body of so many bytes at most, until then at most.
///
/// # Errors
/// It broke off.
pub async fn gather(mut body: Incoming, most: usize, until: Instant) -> Result<Gathered, Cut> {
    if body.size_hint().lower() > most as u64 {
        return Ok(Gathered::Part(Bytes::new(), body));
    }
    // One piece is the whole of most bodies, and is not copied.
    let (mut first, mut more) = (Bytes::new(), BytesMut::new());
    while first.len().max(more.len()) <= most {
        let Ok(frame) = timeout_at(until, body.frame()).await else { break };
        let Some(frame) = frame else {
            return Ok(Gathered::Whole(if more.is_empty() { first } else { more.freeze() }));
        };
        let Ok(data) = frame.map_err(|_| Cut::Broken)?.into_data() else { continue };
        if first.is_empty() && more.is_empty() {
            first = data;
            continue;
        }
        if more.is_empty() {
            more.extend_from_slice(&first);
        }
        more.extend_from_slice(&data);
    }
    Ok(Gathered::Part(if more.is_empty() { first } else { more.freeze() }, body))
}

/// A body on its way.
pub struct Flow {
    body: RefCell<Option<Incoming>>,
    /// What was read of it before it began to flow.
    first: Cell<Option<Bytes>>,
    size: SizeHint,
    read: Cell<u64>,
    /// It is cut off after so many bytes.
    most: u64,
    /// By then it has come whole; none for a body that waits for its reader.
    until: Option<Instant>,
    /// An answer of unknown length: when its request's time is up.
    due: Option<Instant>,
    /// How long its sender has been waited for, and since when it is now.
    waited: Cell<(Duration, Option<Instant>)>,
    /// When it is given up should nothing more come.
    stalled: RefCell<Pin<Box<Sleep>>>,
    begun: Cell<bool>,
    ended: Cell<Option<Instant>>,
    told: Notify,
    at_end: RefCell<Vec<AtEnd>>,
    /// Whoever sends it is owed that all of it is read.
    drained: bool,
}

impl Flow {
    /// A request's body. It is read to its end whatever becomes of the request, as its caller may read no answer before.
    /// `most` is the most bytes that it may have.
    pub fn of_request(body: Incoming, first: Bytes, most: u64) -> Flow {
        let time = most_time(body.size_hint().exact().unwrap_or(most));
        let mut flow = Flow::new(body, first, most);
        (flow.until, flow.drained) = (Some(Instant::now() + time), true);
        flow
    }

    /// An answer's body, of which so much has been read; the time of its request is up at `due`.
    pub fn of_answer(body: Incoming, first: Bytes, most: u64, due: Instant) -> Flow {
        let due = Some(due).filter(|_| body.size_hint().exact().is_none());
        let mut flow = Flow::new(body, first, most);
        flow.due = due;
        flow
    }

    fn new(body: Incoming, first: Bytes, most: u64) -> Flow {
        let rest = body.size_hint();
        let ahead = first.len() as u64;
        let read = Cell::new(ahead);
        let size = rest.exact().map_or_else(SizeHint::default, |rest| SizeHint::with_exact(rest + ahead));
        let first = Some(first).filter(|f| !f.is_empty());
        Flow {
            body: RefCell::new(Some(body)),
            first: Cell::new(first),
            size,
            read,
            most,
            until: None,
            due: None,
            waited: Cell::default(),
            stalled: RefCell::new(Box::pin(sleep_until(Instant::now() + STALL))),
            begun: Cell::new(false),
            ended: Cell::new(None),
            told: Notify::new(),
            at_end: RefCell::default(),
            drained: false,
        }
    }

    /// Has anybody begun to read it?
    pub fn is_begun(&self) -> bool {
        self.begun.get()
    }

    /// When its last byte was read, if it was.
    pub fn ended(&self) -> Option<Instant> {
        self.ended.get()
    }

    /// Waits until its last byte has been read: when that was.
    pub async fn end_of_it(&self) -> Instant {
        loop {
            let told = self.told.notified();
            match self.ended.get() {
                Some(at) => return at,
                None => told.await,
            }
        }
    }

    /// What is to be done once its last byte is read.
    pub fn at_end(&self, done: impl FnOnce() + 'static) {
        self.at_end.borrow_mut().push(Box::new(done));
    }

    fn end(&self) {
        if self.ended.get().is_none() {
            self.ended.set(Some(Instant::now()));
            self.at_end.take().into_iter().for_each(|done| done());
            self.told.notify_waiters();
        }
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.begun.set(true);
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if self.ended.get().is_some() {
            return Poll::Ready(None);
        }
        let mut body = self.body.borrow_mut();
        let Some(incoming) = body.as_mut() else { return Poll::Ready(Some(Err(Cut::Over))) };
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *incoming).poll_frame(cx) else {
                let mut stalled = self.stalled.borrow_mut();
                let late = self.waits(Instant::now());
                if let Some(late) = late.filter(|late| *late < stalled.deadline()) {
                    stalled.as_mut().reset(late);
                }
                ready!(stalled.as_mut().poll(cx));
                return Poll::Ready(Some(Err(Cut::Late)));
            };
            self.waits_no_more(Instant::now());
            let Some(frame) = frame else {
                self.end();
                return Poll::Ready(None);
            };
            let Ok(frame) = frame else { return Poll::Ready(Some(Err(Cut::Broken))) };
            // Trailers are of one connection only, and the last of it.
            let Ok(data) = frame.into_data() else {
                self.end();
                return Poll::Ready(None);
            };
            self.read.set(self.read.get() + data.len() as u64);
            if self.read.get() > self.most {
                return Poll::Ready(Some(Err(Cut::Over)));
            }
            let now = Instant::now();
            if self.until.is_some_and(|until| until < now) {
                return Poll::Ready(Some(Err(Cut::Late)));
            }
            self.stalled.borrow_mut().as_mut().reset(now + STALL);
            if incoming.is_end_stream() {
                self.end();
            }
            if !data.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
        }
    }

    /// It waits for its sender: until when, if that is bounded by the time of its request.
    fn waits(&self, now: Instant) -> Option<Instant> {
        let (waited, since) = self.waited.get();
        let since = since.unwrap_or(now);
        self.waited.set((waited, Some(since)));
        let left = may_wait(self.read.get())?.saturating_sub(waited);
        Some(self.due?.max(since + left))
    }

    fn waits_no_more(&self, now: Instant) {
        let (waited, since) = self.waited.get();
        self.waited.set((waited + since.map_or(Duration::ZERO, |since| now - since), None));
    }

    /// Reads what nobody wants, to its end or until its time is up.
    async fn discard(mut body: Incoming, until: Instant) {
        let rest =
            async { while let Some(Ok(_)) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {} };
        let _ = timeout_at(until, rest).await;
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        // Guards against an answer that its caller never reads: closing over bytes that still come resets the connection.
        if let (true, None, Some(body)) = (self.drained, self.ended.get(), self.body.take()) {
            spawn_local(Flow::discard(body, self.until.unwrap_or_else(Instant::now)));
        }
    }
}

impl Body for Content {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Content::Whole(body) => Poll::Ready(body.take().map(|b| Ok(Frame::data(b)))),
            Content::Flowing(flow) => flow.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Content::Whole(body) => body.is_none(),
            Content::Flowing(flow) => flow.ended.get().is_some(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Content::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, |b| b.len() as u64)),
            Content::Flowing(flow) => flow.size,
        }
    }
}
