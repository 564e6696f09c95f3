//! Callers that speak JSON-RPC: many calls at once on a connection, and answers as they come.

use std::collections::{BTreeSet, VecDeque};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use decide::Micros;
use hyper::StatusCode;
use jsonrpc::{code, Call, FrameDecoder, Framing, FramingError, Limits, Message, Parsed};
use serde_json::json;
use serde_json::value::RawValue;
use tokio::io::AsyncWrite;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout, Instant};

use super::{serving, Caller, Callers};
use crate::exchange::{ClientConnection, FinalResponse, RpcCall, UpstreamResponse};
use crate::metrics::RequestRecorder;
use crate::panic_guard::caught;
use crate::request_reader::{self, Taken};
use crate::router::Rejection;
use crate::rpc_mapping;
use crate::socket::{Socket, UnreadInput};

/// A caller that takes nothing of its answers for so long has gone.
const UNREAD: Duration = Duration::from_secs(10);
/// After the last answer a caller has so long to close as well; closing before would break off what is on its way.
const LINGER: Duration = Duration::from_millis(500);
/// The answer to a batch has so many bytes at most; answers that find no room in it are told as errors.
const MOST_BATCH: usize = 1 << 20;
/// Told before a connection is closed by this side.
const CLOSING: &str = "$/closing";

type Id = Option<Box<RawValue>>;

/// What a frame came to.
struct Done {
    /// What goes out for it, if anything does.
    answer: Option<Vec<u8>>,
    calls: usize,
    ids: Vec<String>,
}

/// Serves a connection to its end.
pub async fn serve(
    callers: &Rc<Callers>,
    caller: &Rc<Caller>,
    socket: Socket,
    framing: Framing,
    most: usize,
) {
    let mut connection = Connection {
        callers: Rc::clone(callers),
        caller: Rc::clone(caller),
        framing,
        decoder: FrameDecoder::new(framing, Limits::default()),
        running: JoinSet::new(),
        ids: BTreeSet::new(),
        open: 0,
        taken: 0,
        out: VecDeque::new(),
        broken: false,
        unwanted: false,
    };
    tokio::select! {
        biased;
        () = connection.run(socket, most) => {}
        () = caller.drop.notified() => {}
        () = caller.given_up() => {}
    }
    // Calls that are still open end with it: their callers have left.
}

struct Connection {
    callers: Rc<Callers>,
    caller: Rc<Caller>,
    framing: Framing,
    decoder: FrameDecoder,
    running: JoinSet<Done>,
    /// The ids of open calls.
    ids: BTreeSet<String>,
    /// Calls whose answers are not all written.
    open: usize,
    /// Messages that were read.
    taken: u64,
    /// What is to be written, and the calls that are over with it.
    out: VecDeque<(Bytes, usize)>,
    /// Nobody knows where the next message begins.
    broken: bool,
    /// Its tenant has as many connections as it may.
    unwanted: bool,
}

impl Connection {
    async fn run(&mut self, socket: Socket, most: usize) {
        let (mut reader, mut writer) = (socket.clone(), socket.clone());
        let mut told = false;
        let mut moved = Instant::now();
        let mut paused = false;
        loop {
            while self.open < most && !self.broken {
                match self.decoder.next_frame() {
                    Ok(Some(frame)) => self.take(frame),
                    Ok(None) => break,
                    Err(unframed) => self.unframed(unframed),
                }
            }
            self.caller.busy.set(self.open > 0 || !self.out.is_empty());
            let closing = told || self.unwanted;
            let reading =
                self.open < most && !self.broken && (!closing || socket.unread_input() == UnreadInput::Data);
            if (closing || self.broken) && !reading && !self.caller.busy.get() {
                break;
            }
            if reading && paused {
                // The wait was ours, not the caller's.
                socket.start_next_message(0);
            }
            paused = !reading;
            tokio::select! {
                biased;
                () = self.caller.close.notified(), if !told => told = true,
                Some(done) = self.running.join_next() => {
                    if let Ok(done) = done {
                        self.done(done);
                        moved = Instant::now();
                    }
                }
                written = write_some(&mut writer, &self.out), if !self.out.is_empty() => match written {
                    Ok(n) => {
                        moved = Instant::now();
                        self.written(n);
                    }
                    Err(_) => return,
                },
                () = sleep_until(moved + UNREAD), if !self.out.is_empty() => return,
                read = reader.read_some(|piece| self.decoder.push(piece)), if reading => match read {
                    // As over HTTP, a caller that ends its side has left.
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                },
            }
        }
        self.farewell(&mut writer, &mut reader).await;
    }

    /// Says that nothing more is taken and how much was, so that a caller can tell this from a failure and knows what
    /// was never read; then closes.
    async fn farewell(&mut self, writer: &mut Socket, reader: &mut Socket) {
        let params = json!({ "taken": self.taken }).to_string();
        let params = RawValue::from_string(params).ok();
        let notice = jsonrpc::encode_request(None, CLOSING, params.as_deref());
        self.out.push_back((jsonrpc::encode_frame(self.framing, &notice).into(), 0));
        let leave = async {
            while !self.out.is_empty() {
                let Ok(n) = write_some(writer, &self.out).await else { return };
                self.written(n);
            }
            let _ = poll_fn(|cx| Pin::new(&mut *writer).poll_shutdown(cx)).await;
            while let Ok(1..) = reader.read_some(|_| {}).await {}
        };
        let _ = timeout(LINGER, leave).await;
    }

    fn written(&mut self, mut n: usize) {
        while let Some((piece, calls)) = self.out.front_mut() {
            let part = n.min(piece.len());
            piece.advance(part);
            n -= part;
            if !piece.is_empty() {
                return;
            }
            self.open -= *calls;
            self.out.pop_front();
        }
    }

    fn say(&mut self, message: &[u8], calls: usize) {
        self.out.push_back((jsonrpc::encode_frame(self.framing, message).into(), calls));
    }

    fn done(&mut self, done: Done) {
        for id in done.ids {
            self.ids.remove(&id);
        }
        self.caller.used.set(Instant::now());
        match done.answer {
            Some(answer) => self.say(&answer, done.calls),
            None => self.open -= done.calls,
        }
    }

    fn unframed(&mut self, unframed: FramingError) {
        let code = if unframed == FramingError::TooLarge { code::TOO_LARGE } else { code::PARSE_ERROR };
        self.broken = true;
        self.open += 1;
        self.say(&jsonrpc::encode_error(None, code, &unframed.to_string(), None), 1);
    }

    // ---- Calls ----

    fn take(&mut self, frame: Bytes) {
        self.taken += 1;
        self.caller.asked.set(true);
        self.caller.socket.start_next_message(0);
        let received = Instant::now();
        match jsonrpc::parse(&frame, &Limits::default()) {
            Ok(Parsed::One(entry)) => {
                let entry = self.enter(entry, &frame, true);
                self.start(vec![entry], received, false);
            }
            Ok(Parsed::Batch(entries)) => {
                let entries = entries.into_iter().map(|entry| self.enter(entry, &frame, false)).collect();
                self.start(entries, received, true);
            }
            Err(invalid) => {
                self.open += 1;
                self.say(&jsonrpc::encode_error(invalid.id, invalid.code, invalid.reason, None), 1);
            }
        }
    }

    /// Checks an entry and finds its way; nothing is sent yet.
    fn enter(&mut self, entry: jsonrpc::MessageResult<'_>, frame: &Bytes, alone: bool) -> Entered {
        let call = match entry {
            Ok(Message::Call(call)) => call,
            // An answer to what nobody asked.
            Ok(Message::Response(_)) => return Entered::new(None, alone),
            Err(invalid) => {
                let error = jsonrpc::encode_error(invalid.id, invalid.code, invalid.reason, None);
                return Entered { taken: Err(Some(error)), ..Entered::new(None, false) };
            }
        };
        let id: Id = call.id.map(ToOwned::to_owned);
        let quiet = id.is_none();
        let mut entered = Entered::new(id, quiet);
        if let Some(id) = call.id {
            let same = same(id);
            if !self.ids.insert(same.clone()) {
                let error =
                    jsonrpc::encode_error(Some(id), code::CONFLICT, "a call with this id is open here", None);
                entered.taken = Err(Some(error));
                return entered;
            }
            entered.open = Some(same);
        }
        let taken = self.way(&call, frame, &entered.tally);
        entered.taken = taken.map_err(|turned| {
            entered.tally.record(turned.request_outcome());
            self.unwanted |= turned.cause == Some(limit::RejectReason::Connections.name());
            Some(turned_away(entered.id.as_deref(), turned))
        });
        entered
    }

    fn way(&self, call: &Call<'_>, frame: &Bytes, tally: &RequestRecorder) -> Result<Taken, Rejection> {
        let gate = &self.callers.gate;
        let (mut head, class) = gate.router.route_call(call)?;
        let body = rpc_mapping::body_of(&head, call, frame);
        let mut opened =
            request_reader::open(&*gate.router, &self.caller.kept, &mut head, body.len() as u64)?;
        if class.is_some_and(|class| class != opened.class) {
            // Its route is another class's: the configuration has no way for this method.
            return Err(StatusCode::NOT_FOUND.into());
        }
        tally.set_counters(opened.counts.take());
        tally.on_received();
        let params = call.params.map(|p| frame.slice_ref(p.get().as_bytes()));
        let called = RpcCall { method: (*call.method).into(), params, received_over_http: false };
        opened.close(head, body.into(), Some(called), &gate.ids)
    }

    /// Hands calls to the decisions side by side. They are answered together; notifications are not, and nobody waits
    /// for them.
    fn start(&mut self, entries: Vec<Entered>, received: Instant, batch: bool) {
        let (quiet, mut heard): (Vec<_>, Vec<_>) = entries.into_iter().partition(|e| e.quiet);
        for entry in quiet {
            self.open += 1;
            let (callers, client) = (Rc::clone(&self.callers), self.caller.client());
            self.running.spawn_local(async move {
                entry.answer(&callers, &client, received).await;
                Done { answer: None, calls: 1, ids: Vec::new() }
            });
        }
        if heard.is_empty() {
            return;
        }
        // All wait for the last of them, so none may take longer than the most impatient would wait.
        let patience = heard.iter().filter_map(Entered::patience).min();
        for entry in &mut heard {
            if let (Ok(Taken::Sound(sound)), Some(patience)) = (&mut entry.taken, patience) {
                sound.patience = patience;
            }
        }
        let (calls, callers, client) = (heard.len(), Rc::clone(&self.callers), self.caller.client());
        let ids = heard.iter_mut().filter_map(|e| e.open.take()).collect();
        self.open += calls;
        if !batch {
            let Some(entry) = heard.pop() else { return };
            self.running.spawn_local(async move {
                Done { answer: entry.answer(&callers, &client, received).await, calls, ids }
            });
            return;
        }
        self.running.spawn_local(async move {
            let mut side: JoinSet<(usize, Option<Vec<u8>>, Id)> = JoinSet::new();
            for (place, entry) in heard.into_iter().enumerate() {
                let (callers, client) = (Rc::clone(&callers), client.clone());
                side.spawn_local(async move {
                    let id = entry.id.clone();
                    (place, entry.answer(&callers, &client, received).await, id)
                });
            }
            let mut answers: Vec<Option<(Vec<u8>, Id)>> = (0..calls).map(|_| None).collect();
            while let Some(Ok((place, answer, id))) = side.join_next().await {
                answers[place] = answer.map(|answer| (answer, id));
            }
            let answers = answers.into_iter().flatten();
            Done { answer: together(answers), calls, ids }
        });
    }
}

/// The answer to a batch.
fn together(answers: impl Iterator<Item = (Vec<u8>, Id)>) -> Option<Vec<u8>> {
    let mut bytes = 0;
    let bounded = answers.map(|(answer, id)| {
        bytes += answer.len();
        if bytes <= MOST_BATCH {
            return answer;
        }
        bytes -= answer.len();
        jsonrpc::encode_error(
            id.as_deref(),
            code::TOO_LARGE,
            "it ran, and its answer found no room in the batch's",
            None,
        )
    });
    jsonrpc::encode_batch(&bounded.collect::<Vec<_>>())
}

/// Ids that say the same, however they are written.
fn same(id: &RawValue) -> String {
    match serde_json::from_str::<String>(id.get()) {
        Ok(text) => format!("\"{text}"),
        Err(_) => id.get().to_owned(),
    }
}

/// A call that was checked.
struct Entered {
    id: Id,
    /// It has no answer.
    quiet: bool,
    /// Its id, as it is held open.
    open: Option<String>,
    taken: Result<Taken, Option<Vec<u8>>>,
    tally: RequestRecorder,
}

impl Entered {
    /// One of which nothing is known yet, and nothing is said.
    fn new(id: Id, quiet: bool) -> Entered {
        Entered { id, quiet, open: None, taken: Err(None), tally: RequestRecorder::default() }
    }

    fn patience(&self) -> Option<Duration> {
        match &self.taken {
            Ok(Taken::Sound(sound)) => Some(sound.patience),
            _ => None,
        }
    }

    /// Its answer as a message.
    async fn answer(
        self,
        callers: &Callers,
        client: &ClientConnection,
        received: Instant,
    ) -> Option<Vec<u8>> {
        let (id, tally) = (self.id.as_deref(), self.tally);
        let answer = match self.taken {
            Ok(Taken::Sound(sound)) => {
                match caught(serving::serve(callers, *sound, client, received)).await {
                    Some(answer) => answer,
                    None => {
                        return Some(jsonrpc::encode_error(
                            id,
                            code::INTERNAL_ERROR,
                            "a fault of the proxy",
                            None,
                        ))
                    }
                }
            }
            Ok(Taken::Known(answer)) => answer,
            Err(error) => return error,
        };
        tally.record(answer.request_outcome());
        Some(match answer {
            FinalResponse::Served(UpstreamResponse { headers, body }) => {
                let body = body.buffered().unwrap_or_default();
                jsonrpc::encode_response(id, &rpc_mapping::result_of(&headers, &body))
            }
            FinalResponse::Rejected { retry_after, .. } => {
                let data = data("load", retry_after);
                jsonrpc::encode_error(id, code::REJECTED, "refused; trying again is harmless", Some(&data))
            }
            FinalResponse::Failed => jsonrpc::encode_error(id, code::FAILED, "failed; it may have run", None),
            FinalResponse::TimedOut => {
                jsonrpc::encode_error(id, code::TIMED_OUT, "out of time; it may have run", None)
            }
        })
    }
}

/// Why a call is refused, and when to come back.
fn data(cause: &str, retry_after: Micros) -> String {
    let mut data = json!({ "cause": cause });
    if retry_after > 0 {
        data["retryAfterMs"] = ((retry_after.saturating_add(999)) / 1000).into();
    }
    data.to_string()
}

fn turned_away(id: Option<&RawValue>, turned: Rejection) -> Vec<u8> {
    let (code, message) = match turned.status {
        StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => (code::METHOD_NOT_FOUND, "no such method"),
        StatusCode::CONFLICT if turned.cause == Some(crate::idempotency_keys::RESPONSE_EVICTED_CAUSE) => {
            (code::CONFLICT, "a request with this key was served, and its answer is not held any more")
        }
        StatusCode::CONFLICT => (code::CONFLICT, "a request with this id or key is open"),
        StatusCode::FORBIDDEN => (code::INVALID_PARAMS, "not this tenant's"),
        StatusCode::PAYLOAD_TOO_LARGE => (code::TOO_LARGE, "more bytes than are taken"),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            (code::REJECTED, "refused; trying again is harmless")
        }
        status if status.is_client_error() => (code::INVALID_PARAMS, "params that cannot be taken"),
        _ => (code::INTERNAL_ERROR, "a fault of the proxy"),
    };
    let data = turned.cause.map(|cause| data(cause, turned.retry_after));
    jsonrpc::encode_error(id, code, message, data.as_deref())
}

/// Writes as much as goes of what is to go out: so many bytes.
async fn write_some(socket: &mut Socket, out: &VecDeque<(Bytes, usize)>) -> io::Result<usize> {
    poll_fn(|cx| {
        let pieces: Vec<io::IoSlice<'_>> = out.iter().take(16).map(|(p, _)| io::IoSlice::new(p)).collect();
        Pin::new(&mut *socket).poll_write_vectored(cx, &pieces)
    })
    .await
}
