//! Requests of callers: read whole and checked, or turned away before anything is sent on for them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use decide::{Micros, NewRequest, RequestId, Semantics};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use tokio::time::Instant;

use crate::body::{self, BufferOutcome, MessageBody, StreamedResponseLimit, StreamingBody};
use crate::exchange::{
    remove_hop_by_hop, ClientTimeout, FinalResponse, RpcCall, UpstreamRequest, IDEMPOTENCY_KEY_HEADER,
    MAX_BUFFERED_BODY_BYTES, REQUEST_ID_HEADER, TIMEOUT_HEADER,
};
use crate::framing;
use crate::idempotency_keys::{KeyLookup, KeyScope, ReservedKey};
use crate::metrics::{RequestCounters, RequestRecorder};
use crate::request_ids::{OpenRequestIds, RequestIdClaim};
use crate::router::{single_header_value, Connection, PoolSequence, Rejection, RouteDecision, Router};
use crate::socket::{Socket, UnreadInput};

/// The longest wait that makes sense, in milliseconds.
const MOST_TIMEOUT: u64 = 24 * 3600 * 1000;
/// A request has come whole within this time from its first byte: guards against callers that send without
/// end, or less than they said. A body is at most 64 KiB.
const WHOLE: Duration = Duration::from_millis(2500);
/// The longest id or key of a request.
const MOST_ID: usize = 128;

/// A request that can be served.
pub struct Sound {
    pub new: NewRequest,
    pub message: Rc<UpstreamRequest>,
    /// Where it goes.
    pub course: Box<dyn PoolSequence>,
    /// How long the client waits.
    pub patience: Duration,
    /// Its key, while it is open.
    pub held: Option<ReservedKey>,
    /// Keeps its id from being used a second time for as long as it is open.
    pub claim: RequestIdClaim,
}

/// What a request comes to that is well-formed.
pub enum Taken {
    Sound(Box<Sound>),
    /// It was served before: that answer again.
    Known(FinalResponse),
}

/// A request as its head says; its body may still be on its way.
pub struct Opened {
    new: NewRequest,
    id: String,
    key: Option<String>,
    ids: Option<OpenRequestIds>,
    once: Option<KeyScope>,
    method: Option<Arc<str>>,
    course: Box<dyn PoolSequence>,
    pub class: usize,
    /// Where it is counted.
    pub counts: Option<Rc<RequestCounters>>,
    /// How long the client waits.
    pub patience: Duration,
    /// The largest body of it and of its answer, where they may flow.
    flows: Option<u64>,
}

/// Checks a head whole, and finds its way. `body_most` is the most bytes that its body may take.
///
/// # Errors
/// What to turn it away with.
pub fn open(
    router: &dyn Router,
    connection: &Connection,
    head: &mut Parts,
    body_most: u64,
) -> Result<Opened, Rejection> {
    if single_header_value(&head.headers, REQUEST_ID_HEADER)?.is_none() {
        if let Some(id) = router.generate_request_id().and_then(|id| HeaderValue::try_from(id).ok()) {
            head.headers.insert(REQUEST_ID_HEADER, id);
        }
    }
    let id = single_header_value(&head.headers, REQUEST_ID_HEADER)?
        .filter(|id| is_name(id))
        .ok_or(StatusCode::BAD_REQUEST)?
        .to_owned();
    if body_most > router.max_body_bytes() {
        return Err(StatusCode::PAYLOAD_TOO_LARGE.into());
    }
    let way = router.route(head, &id, body_most, connection)?;
    let RouteDecision {
        open_request_ids: ids,
        class,
        semantics,
        deadline,
        tenant,
        method,
        key_scope: once,
        counters: counts,
        pools: course,
    } = way;
    let one = |name: &str| single_header_value(&head.headers, name);
    let key = one(IDEMPOTENCY_KEY_HEADER)?;
    let keyed = matches!(semantics, Semantics::Deduplicated { .. });
    if key.map_or(keyed, |key| !is_name(key)) {
        return Err(StatusCode::BAD_REQUEST.into());
    }
    let ms = match one(TIMEOUT_HEADER)? {
        Some(ms) => whole(ms).filter(|ms| (1..=MOST_TIMEOUT).contains(ms)).ok_or(StatusCode::BAD_REQUEST)?,
        None => (deadline / 1000).clamp(1, MOST_TIMEOUT as i64) as u64,
    };
    let new = NewRequest {
        id: RequestId(0),
        class,
        tenant,
        time_left: 0,
        work: one("x-cost")?.and_then(whole).and_then(|us| us.try_into().ok()).filter(|us| *us > 0),
        is_retry: one("x-retried")? == Some("1"),
        endpoint_filter: course.endpoint_filter(),
        max_attempts: course.max_attempts(),
        downstream_connections: None,
        body_pending: 0,
    };
    let key = key.filter(|_| keyed).map(str::to_owned);
    Ok(Opened {
        new,
        id,
        key,
        ids,
        once,
        method,
        course,
        class,
        counts,
        patience: Duration::from_millis(ms),
        flows: None,
    })
}

impl Opened {
    /// Its body is there as well: claims its id, and its key if it has one.
    ///
    /// # Errors
    /// What to turn it away with.
    pub fn close(
        self,
        mut head: Parts,
        body: MessageBody,
        called: Option<RpcCall>,
        ids: &OpenRequestIds,
    ) -> Result<Taken, Rejection> {
        let Opened { new, id, key, ids: own, once, method, course, patience, flows, .. } = self;
        let claim = own.as_ref().unwrap_or(ids).claim(&id).ok_or(StatusCode::CONFLICT)?;
        let held = match once.zip(key).map(|(once, key)| once.reserve(&key)).transpose()? {
            Some(KeyLookup::Reserved(held)) => Some(held),
            Some(KeyLookup::Replayed(answer)) => return Ok(Taken::Known(answer)),
            None => None,
        };
        let mut new = new;
        if let Some(flow) = body.streaming() {
            // What has flowed cannot be sent a second time.
            let most = body.size_hint().exact().or(flows).unwrap_or(MAX_BUFFERED_BODY_BYTES as u64);
            new.max_attempts = 1;
            new.body_pending = if flow.completed_at().is_some() {
                0
            } else {
                body::max_transfer_time(most).as_micros() as Micros
            };
        }
        remove_hop_by_hop(&mut head.headers);
        head.extensions.clear();
        if body.streaming().is_some() {
            head.extensions.insert(ClientTimeout(patience));
        }
        // An answer that is kept for repeats is held whole.
        if let Some(most) = flows.filter(|_| held.is_none()) {
            head.extensions.insert(StreamedResponseLimit(most));
        }
        let by_method = |method| RpcCall { method, params: None, received_over_http: true };
        if let Some(called) = called.or_else(|| method.map(by_method)) {
            head.extensions.insert(called);
        }
        head.version = hyper::Version::HTTP_11;
        let message = Rc::new(Request::from_parts(head, body));
        Ok(Taken::Sound(Box::new(Sound { new, message, course, patience, held, claim })))
    }
}

/// Reads a request over HTTP whole, or says with which status to turn it away.
pub async fn read(
    router: &dyn Router,
    ids: &OpenRequestIds,
    socket: &Socket,
    connection: &Connection,
    tally: &Rc<RequestRecorder>,
    request: Request<Incoming>,
) -> Result<Taken, Rejection> {
    let began = socket.message_started_at().unwrap_or_else(Instant::now);
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let raw = socket.take_head();
    let head_length = framing::check(&raw)?;
    let (mut head, body) = request.into_parts();
    if head.uri.authority().is_some() {
        return Err(StatusCode::BAD_REQUEST.into());
    }
    // One of unknown length is over the bound once it is.
    let body_most = body.size_hint().exact().unwrap_or(MAX_BUFFERED_BODY_BYTES as u64);
    let mut opened = open(router, connection, &mut head, body_most)?;
    tally.set_counters(opened.counts.take());
    if head.method == Method::GET && body.size_hint().exact() != Some(0) {
        return Err(StatusCode::BAD_REQUEST.into());
    }
    // Nodes that speak JSON-RPC are sent whole messages.
    let flows = Some(router.max_body_bytes())
        .filter(|most| *most > MAX_BUFFERED_BODY_BYTES as u64 && opened.method.is_none());
    opened.flows = flows;
    if flows.is_none() && body_most > MAX_BUFFERED_BODY_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE.into());
    }
    let most = body_most.min(MAX_BUFFERED_BODY_BYTES as u64);
    let until =
        began + if flows.is_some() { body::max_transfer_time(most) } else { WHOLE.min(opened.patience) };
    let body = match body::buffer(body, MAX_BUFFERED_BODY_BYTES, until)
        .await
        .map_err(|_| StatusCode::BAD_REQUEST)?
    {
        BufferOutcome::Complete(body) => body,
        BufferOutcome::Partial { prefix: first, rest }
            if flows.is_some() && (Instant::now() < until || first.is_empty()) =>
        {
            let flow = Rc::new(StreamingBody::for_request(rest, first, router.max_body_bytes()));
            let tally = Rc::clone(tally);
            flow.on_complete(move || tally.on_received());
            return opened.close(head, MessageBody::Streaming(flow), None, ids);
        }
        BufferOutcome::Partial { .. } if Instant::now() < until => {
            return Err(StatusCode::PAYLOAD_TOO_LARGE.into())
        }
        BufferOutcome::Partial { .. } => return Err(StatusCode::REQUEST_TIMEOUT.into()),
    };
    tally.on_received();
    // A caller sends one request at a time: what comes along with this one was miscounted or is hidden in it.
    let counted = (head_length + body.len()) as u64;
    if !chunked && socket.message_bytes() > counted || socket.unread_input() == UnreadInput::Data {
        return Err(StatusCode::BAD_REQUEST.into());
    }
    opened.close(head, body.into(), None, ids)
}

/// An id or a key: printable, with nothing in it that ends or divides a value.
fn is_name(text: &str) -> bool {
    (1..=MOST_ID).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic() && b != b',')
}

/// A whole number in plain digits.
fn whole(text: &str) -> Option<u64> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok())?
}
