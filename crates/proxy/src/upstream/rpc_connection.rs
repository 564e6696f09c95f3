//! A connection to a node that speaks JSON-RPC: many calls on it at once, each with an outcome of its own.

use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::future::poll_fn;
use std::hash::BuildHasher;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use jsonrpc::{code, FrameDecoder, Framing, Limits, Parsed, Response};
use serde_json::value::RawValue;
use tokio::io::AsyncWrite;
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

use crate::exchange::MOST_BODY;
use crate::socket::Socket;

/// A node that has said nothing at all for so long, while a call waited that was then given up, gets its next calls on
/// another connection.
const QUIET: Duration = Duration::from_secs(1);
/// A frame round the largest answer.
const MOST_FRAME: usize = MOST_BODY + (4 << 10);

/// How a pool's nodes speak.
#[derive(Clone, Debug)]
pub struct RpcSettings {
    pub framing: Framing,
    /// Calls that a connection may have open.
    pub calls: usize,
    /// The notification that calls one off.
    pub cancel: Option<String>,
}

/// How a call ended.
#[derive(Debug)]
pub enum End {
    Result(Box<RawValue>),
    /// An error object with this code.
    Error(i64),
    /// The connection ended before the call was written whole: it never ran.
    Never,
    /// The connection ended after that, or what came for it cannot be read: it may have run.
    Broken,
}

/// The connection. Dropping it closes it; calls on it hold it.
pub struct RpcLink {
    shared: Rc<Shared>,
    task: AbortHandle,
}

struct Shared {
    speech: RpcSettings,
    pending: RefCell<HashMap<String, Pending>>,
    queue: RefCell<VecDeque<Order>>,
    /// There is more to write.
    more: Notify,
    /// It takes no more calls.
    over: Cell<bool>,
    heard: Cell<Instant>,
    used: Cell<Instant>,
    /// Makes ids that nobody can guess.
    ids: (RandomState, Cell<u64>),
}

struct Pending {
    end: oneshot::Sender<End>,
    progress: Rc<Cell<usize>>,
    whole: usize,
}

/// A message that is to be written.
struct Order {
    id: Option<String>,
    frame: Bytes,
    progress: Rc<Cell<usize>>,
}

impl RpcLink {
    /// Speaks on a socket from now on.
    pub fn new(socket: Socket, speech: RpcSettings) -> RpcLink {
        let shared = Rc::new(Shared {
            speech,
            pending: RefCell::default(),
            queue: RefCell::default(),
            more: Notify::new(),
            over: Cell::new(false),
            heard: Cell::new(Instant::now()),
            used: Cell::new(Instant::now()),
            ids: (RandomState::new(), Cell::new(0)),
        });
        let task = spawn_local(converse(Rc::clone(&shared), socket)).abort_handle();
        RpcLink { shared, task }
    }

    /// May another call go on it?
    pub fn has_room(&self) -> bool {
        let RpcSettings { calls, .. } = self.shared.speech;
        self.is_usable()
            && self.shared.pending.borrow().len() < calls
            && self.shared.queue.borrow().len() < 2 * calls
    }

    pub fn is_usable(&self) -> bool {
        !self.shared.over.get()
    }

    /// Since when nothing is open on it.
    pub fn idle_since(&self) -> Option<Instant> {
        self.shared.pending.borrow().is_empty().then(|| self.shared.used.get())
    }

    /// Puts a call up for writing; `progress` counts its bytes that the kernel has taken. `message` makes it from its
    /// id in JSON.
    pub fn send(self: &Rc<Self>, progress: Rc<Cell<usize>>, message: impl FnOnce(&str) -> Vec<u8>) -> Sent {
        let shared = &self.shared;
        let id = shared.new_id();
        let message = message(&format!("\"{id}\""));
        let frame: Bytes = jsonrpc::encode_frame(shared.speech.framing, &message).into();
        // A line without its end is a whole message to a lenient reader.
        let whole = frame.len() - usize::from(shared.speech.framing == Framing::Line);
        let (end, ended) = oneshot::channel();
        progress.set(0);
        let order = Order { id: Some(id.clone()), frame, progress: Rc::clone(&progress) };
        shared
            .pending
            .borrow_mut()
            .insert(id.clone(), Pending { end, progress: Rc::clone(&progress), whole });
        shared.queue.borrow_mut().push_back(order);
        shared.more.notify_one();
        shared.used.set(Instant::now());
        if shared.over.get() {
            // It ended in this very moment, and its task will not come round to this one.
            shared.end_all();
        }
        Sent { link: Rc::clone(self), id, progress, ended, at: Instant::now() }
    }
}

impl Drop for RpcLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A call on its way. Dropping it gives the call up.
pub struct Sent {
    link: Rc<RpcLink>,
    id: String,
    progress: Rc<Cell<usize>>,
    ended: oneshot::Receiver<End>,
    at: Instant,
}

impl Sent {
    pub async fn end(mut self) -> End {
        (&mut self.ended).await.unwrap_or(End::Broken)
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let shared = &self.link.shared;
        shared.used.set(Instant::now());
        // Its answer will be nobody's.
        if shared.pending.borrow_mut().remove(&self.id).is_none() {
            return;
        }
        let mut queue = shared.queue.borrow_mut();
        if self.progress.get() == 0 {
            // Not a byte of it has gone, and none will.
            queue.retain(|order| order.id.as_deref() != Some(&self.id));
            return;
        }
        if shared.heard.get() < self.at && self.at.elapsed() > QUIET {
            // Nothing at all has come for it: nobody may be there any more.
            shared.over.set(true);
        }
        let speech = &shared.speech;
        if let Some(cancel) = speech.cancel.as_ref().filter(|_| queue.len() < 2 * speech.calls) {
            let params = RawValue::from_string(format!("{{\"id\":\"{}\"}}", self.id)).ok();
            let message = jsonrpc::encode_request(None, cancel, params.as_deref());
            let frame = jsonrpc::encode_frame(speech.framing, &message).into();
            queue.push_back(Order { id: None, frame, progress: Rc::default() });
            shared.more.notify_one();
        }
    }
}

impl Shared {
    fn new_id(&self) -> String {
        let (random, count) = &self.ids;
        loop {
            count.set(count.get() + 1);
            let id = format!("{:016x}", random.hash_one(count.get()));
            if !self.pending.borrow().contains_key(&id) {
                return id;
            }
        }
    }

    fn end_all(&self) {
        self.over.set(true);
        for (_, pending) in self.pending.borrow_mut().drain() {
            let whole = pending.progress.get() >= pending.whole;
            let _ = pending.end.send(if whole { End::Broken } else { End::Never });
        }
        self.queue.borrow_mut().clear();
    }

    /// Writes what stands first. It looks at the queue only while it writes, so what is given up before is not begun.
    fn poll_write(&self, socket: &mut Socket, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut queue = self.queue.borrow_mut();
        let Some(first) = queue.front() else { return Poll::Pending };
        let at = first.progress.get();
        let n = ready!(Pin::new(socket).poll_write(cx, &first.frame[at..]))?;
        first.progress.set(at + n);
        if at + n == first.frame.len() {
            queue.pop_front();
        }
        Poll::Ready(Ok(()))
    }

    /// Takes in a message from the node; false where nothing more of it can be believed.
    fn hear(&self, frame: &[u8]) -> bool {
        self.heard.set(Instant::now());
        let limits = Limits { message_bytes: MOST_FRAME, ..Limits::default() };
        let entries = match jsonrpc::parse(frame, &limits) {
            Ok(Parsed::One(entry)) => vec![entry],
            Ok(Parsed::Batch(entries)) => entries,
            Err(_) => return false,
        };
        entries.into_iter().all(|entry| match entry {
            Ok(jsonrpc::Message::Response(response)) => self.answered(&response),
            // Nodes ask nothing; what they tell is nobody's.
            Ok(jsonrpc::Message::Call(_)) => true,
            Err(invalid) => {
                let pending = invalid.id.and_then(|id| self.take_pending(id));
                if let Some(pending) = pending {
                    let _ = pending.end.send(End::Broken);
                }
                true
            }
        })
    }

    fn take_pending(&self, id: &RawValue) -> Option<Pending> {
        let id: String = serde_json::from_str(id.get()).ok()?;
        self.pending.borrow_mut().remove(&id)
    }

    fn answered(&self, response: &Response<'_>) -> bool {
        // An answer that nobody waits for any more, or never did.
        let Some(pending) = self.take_pending(response.id) else { return true };
        if pending.progress.get() < pending.whole {
            // It answers what it cannot have read.
            let _ = pending.end.send(End::Broken);
            return false;
        }
        let end = match response.outcome {
            Ok(result) if result.get().len() <= MOST_BODY => End::Result(result.to_owned()),
            // As over HTTP: it ran, and its answer is not whole.
            Ok(_) => End::Broken,
            Err(_) => End::Error(response.error().map_or(code::INTERNAL_ERROR, |(code, _)| code)),
        };
        let _ = pending.end.send(end);
        true
    }
}

/// Writes and reads until the connection ends, and then ends all that is on it.
async fn converse(shared: Rc<Shared>, socket: Socket) {
    struct Ending(Rc<Shared>);
    impl Drop for Ending {
        fn drop(&mut self) {
            self.0.end_all();
        }
    }
    let ending = Ending(shared);
    let shared = &ending.0;
    let (mut reader, mut writer) = (socket.clone(), socket);
    let limits = Limits { message_bytes: MOST_FRAME, ..Limits::default() };
    let mut decoder = FrameDecoder::new(shared.speech.framing, limits);
    loop {
        let waiting = !shared.queue.borrow().is_empty();
        tokio::select! {
            written = poll_fn(|cx| shared.poll_write(&mut writer, cx)), if waiting => {
                if written.is_err() {
                    break;
                }
            }
            read = reader.read_some(|piece| decoder.push(piece)) => match read {
                Ok(0) | Err(_) => break,
                Ok(_) => loop {
                    match decoder.next_frame() {
                        Ok(Some(frame)) if shared.hear(&frame) => {}
                        Ok(None) => break,
                        Ok(Some(_)) | Err(_) => return,
                    }
                }
            },
            () = shared.more.notified() => {}
        }
    }
}

/// Is a connection that has been idle since then over the time that it is kept?
pub fn is_over(link: &RpcLink, kept: Duration) -> bool {
    !link.is_usable() || link.idle_since().is_some_and(|since| since.elapsed() >= kept)
}

#[cfg(test)]
mod tests {
    use socket2::SockRef;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};
    use tokio::task::LocalSet;

    use super::*;

    fn speech(framing: Framing) -> RpcSettings {
        RpcSettings { framing, calls: 100, cancel: Some("$/cancel".to_owned()) }
    }

    /// A link whose writes stop after some kilobytes that the other side does not read, and the other side.
    async fn narrow(framing: Framing) -> (Rc<RpcLink>, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        SockRef::from(&listener).set_recv_buffer_size(4 << 10).expect("set");
        let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("listens");
        SockRef::from(&stream).set_send_buffer_size(4 << 10).expect("set");
        let (other, _) = listener.accept().await.expect("connects");
        (Rc::new(RpcLink::new(Socket::new(stream, None), speech(framing))), other)
    }

    fn local(test: impl std::future::Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, test);
    }

    fn call(link: &Rc<RpcLink>, bytes: usize) -> (Sent, Rc<Cell<usize>>) {
        let progress = Rc::new(Cell::new(0));
        let pad = RawValue::from_string(format!("[\"{}\"]", "x".repeat(bytes))).expect("JSON");
        let sent = link.send(Rc::clone(&progress), |id| jsonrpc::encode_request(Some(id), "m", Some(&pad)));
        (sent, progress)
    }

    async fn until(condition: impl Fn() -> bool) {
        let until = Instant::now() + Duration::from_secs(30);
        while !condition() {
            assert!(Instant::now() < until, "it does not come to pass");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    #[test]
    fn each_call_on_a_broken_connection_ends_by_what_was_written_of_it() {
        for framing in [Framing::Line, Framing::ContentLength] {
            local(async move {
                let (link, mut other) = narrow(framing).await;
                let (written, all) = call(&link, 10);
                until(|| all.get() > 60).await;
                let mut read = vec![0; all.get()];
                other.read_exact(&mut read).await.expect("a call");
                let (partly, some) = call(&link, 400_000);
                until(|| some.get() > 0).await;
                let (unsent, none) = call(&link, 10);
                tokio::time::sleep(Duration::from_millis(50)).await;
                assert!(some.get() < 400_000 && none.get() == 0);
                drop(other);
                assert!(matches!(written.end().await, End::Broken), "it may have run");
                assert!(matches!(partly.end().await, End::Never), "half of it is no call");
                assert!(matches!(unsent.end().await, End::Never));
                assert!(!link.is_usable());
                // One that comes too late for it as well.
                assert!(matches!(call(&link, 10).0.end().await, End::Never));
            });
        }
    }

    #[test]
    fn an_answer_to_what_cannot_have_been_read_ends_the_connection() {
        local(async {
            let (link, mut other) = narrow(Framing::Line).await;
            let (partly, some) = call(&link, 400_000);
            until(|| some.get() > 60).await;
            let mut head = [0; 60];
            other.read_exact(&mut head).await.expect("its beginning");
            let head = String::from_utf8_lossy(&head).into_owned();
            let id = head
                .split("\"id\":")
                .nth(1)
                .and_then(|rest| rest.split(',').next())
                .expect("an id")
                .to_owned();
            let (behind, _) = call(&link, 10);
            let early = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":1}}\n");
            other.write_all(early.as_bytes()).await.expect("written");
            assert!(matches!(partly.end().await, End::Broken), "whoever answers may have run something");
            assert!(matches!(behind.end().await, End::Never));
        });
    }

    #[test]
    fn a_call_given_up_is_withdrawn_or_called_off() {
        local(async {
            let (link, mut other) = narrow(Framing::Line).await;
            let (first, some) = call(&link, 100_000);
            until(|| some.get() > 0).await;
            let (second, none) = call(&link, 10);
            let (third, _) = call(&link, 20);
            // Not a byte of the second has gone; of the first some have, and the rest must follow.
            drop(second);
            drop(first);
            assert_eq!(none.get(), 0);
            let mut text = String::new();
            let mut buffer = vec![0; 4096];
            while text.lines().count() < 3 || !text.ends_with('\n') {
                let n = other.read(&mut buffer).await.expect("more");
                text.push_str(std::str::from_utf8(&buffer[..n]).expect("text"));
            }
            let lines: Vec<&str> = text.lines().collect();
            assert!(
                lines[0].len() > 100_000 && lines[1].contains("xxxx") && lines[2].contains("$/cancel"),
                "{}",
                lines.len()
            );
            assert_eq!(lines[1].matches('x').count(), 20, "the third, not the second");
            let id = lines[0].split("\"id\":").nth(1).and_then(|r| r.split(',').next()).expect("an id");
            assert!(lines[2].contains(id), "{}", lines[2]);
            drop(third);
        });
    }

    #[test]
    fn ids_are_each_another_and_not_in_a_row() {
        local(async {
            let (link, _other) = narrow(Framing::Line).await;
            let ids: std::collections::BTreeSet<u64> =
                (0..1_000).map(|_| u64::from_str_radix(&link.shared.new_id(), 16).expect("hex")).collect();
            assert_eq!(ids.len(), 1_000);
            let ids: Vec<u64> = ids.into_iter().collect();
            assert!(ids.windows(2).all(|pair| pair[1] - pair[0] > 1_000), "the next is to be guessed");
        });
    }
}
