//! Reads HTTP requests. Each request is accepted once it is valid and complete, or rejected before anything
//! is sent upstream.
//!
//! The phases are, in order: validate the head, route the request, read the body (all of it, or only its
//! start if it is streamed), and accept the request (reserve its id and idempotency key). The sizes of head
//! and body are bounded, and so is the time to read them.

mod head;
mod routed;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use decide::NewRequest;
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::{Method, Request};
use tokio::time::Instant;

pub use head::HeadError;
pub use routed::{route, RoutedRequest};

use super::error::{InvalidRequest, RequestError};
use crate::body::{self, Arrival, ArrivalProbe, BufferOutcome, MessageBody, StreamingBody};
use crate::exchange::{FinalResponse, UpstreamRequest, MAX_BUFFERED_BODY_BYTES};
use crate::idempotency_keys::ReservedKey;
use crate::memory::{self, MemoryBudget, MemoryReservation};
use crate::metrics::RequestRecorder;
use crate::request_ids::{OpenRequestIds, RequestIdClaim};
use crate::router::{PoolSequence, Rejection, Router, RouterConnectionState};
use crate::socket::{Socket, UnreadInput};

/// The maximum time from the first byte of a buffered request to its last. Without it, clients that send
/// slowly or less than they announce would hold their connections indefinitely.
const MAX_REQUEST_READ_TIME: Duration = Duration::from_millis(2500);

/// A valid request that is ready to be submitted; a streamed body may still be arriving.
pub struct AcceptedRequest {
    /// The properties of the request that the balancer uses.
    pub decision_input: NewRequest,
    /// The message to send to an endpoint.
    pub message: Rc<UpstreamRequest>,
    /// The pools to submit the request to, in order.
    pub pools: Box<dyn PoolSequence>,
    /// The time that the client waits for the response.
    pub client_timeout: Duration,
    /// The reservation of the idempotency key while the request is open; `None` if the request has no key.
    pub reserved_key: Option<ReservedKey>,
    /// Prevents other requests from using the same id while the request is open.
    pub id_claim: RequestIdClaim,
    /// Whether the request must not be executed twice.
    pub is_unsafe: bool,
}

/// The result of accepting a valid request.
pub enum AcceptOutcome {
    /// The request can be submitted.
    Accepted(Box<AcceptedRequest>),
    /// A request with the same idempotency key was served before; holds the stored response.
    Replayed(FinalResponse),
}

/// Reads the requests of one HTTP connection.
pub struct RequestReader<'a> {
    /// Routes the requests.
    pub router: &'a dyn Router,
    /// The ids of the listener's open requests.
    pub open_ids: &'a OpenRequestIds,
    /// The socket that the requests are read from.
    pub socket: &'a Socket,
    /// State that the router attaches to the connection.
    pub router_state: &'a RouterConnectionState,
    /// The memory for requests in flight.
    pub memory: &'a Arc<MemoryBudget>,
}

/// A request that was read, and the memory that is reserved for it until its response is written.
pub struct ReadRequest {
    /// The result of accepting the request.
    pub outcome: AcceptOutcome,
    /// The memory of the request without its body.
    pub memory: MemoryReservation,
}

impl RequestReader<'_> {
    /// Reads and accepts a request.
    ///
    /// # Errors
    /// Returns an error if the request is invalid or rejected.
    pub async fn read(
        &self,
        request: Request<Incoming>,
        recorder: &Rc<RequestRecorder>,
    ) -> Result<ReadRequest, RequestError> {
        let started_at = self.socket.message_started_at().unwrap_or_else(Instant::now);
        let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        let head_bytes = head::validate_head(&self.socket.take_head())?;
        let (mut head, body) = request.into_parts();
        if head.uri.authority().is_some() {
            return Err(InvalidRequest::MalformedHead.into());
        }
        // A body of unknown length is checked against the limit as it arrives.
        let body_bytes = body.size_hint().exact().unwrap_or(MAX_BUFFERED_BODY_BYTES as u64);
        let mut routed = routed::route(self.router, self.router_state, &mut head, body_bytes)?;
        recorder.set_counters(routed.counters.take());
        if head.method == Method::GET && body.size_hint().exact() != Some(0) {
            return Err(InvalidRequest::UnexpectedBody.into());
        }
        routed.allow_streaming(self.router);
        let (body, memory, body_memory) = self.reserve_memory(&routed, body, body_bytes).await?;
        let message_bytes = body.size_hint().exact().map(|bytes| head_bytes as u64 + bytes);
        let body = self.read_body(&routed, body, body_bytes, started_at, message_bytes).await?;
        let body = hold_memory(body, body_memory);
        match &body {
            MessageBody::Streaming(stream) => {
                let recorder = Rc::clone(recorder);
                stream.on_complete(move || recorder.on_received());
            }
            MessageBody::Buffered(bytes) => {
                recorder.on_received();
                let message_bytes = head_bytes + bytes.as_ref().map_or(0, |bytes| bytes.len());
                self.check_message_end(message_bytes as u64, is_chunked)?;
            }
        }
        Ok(ReadRequest { outcome: routed.accept(head, body, None, self.open_ids)?, memory })
    }

    /// Reserves memory for a request and for its body. Returns the body with both reservations.
    ///
    /// # Errors
    /// Returns a rejection if there is not enough memory. The body has then been read and discarded, because a
    /// client that is still sending would not get the response.
    async fn reserve_memory(
        &self,
        routed: &RoutedRequest,
        body: Incoming,
        body_bytes: u64,
    ) -> Result<(Incoming, MemoryReservation, MemoryReservation), Rejection> {
        let for_body = body_memory_bytes(&body, routed.may_stream());
        let reserved = self.memory.reserve(memory::REQUEST_BYTES);
        let reserved = reserved.and_then(|request| Ok((request, self.memory.reserve(for_body)?)));
        match reserved {
            Ok((request_memory, body_memory)) => Ok((body, request_memory, body_memory)),
            Err(exhausted) => {
                body::discard_rest(body, Instant::now() + body::max_transfer_time(body_bytes)).await;
                Err(exhausted.into())
            }
        }
    }

    /// Reads a body: all of it, or only its start if the body may be streamed and is larger than the buffer
    /// limit, or if nothing of it arrives in time.
    ///
    /// # Errors
    /// Returns an error if the body ends early, is too large, or arrives in part but not completely in time.
    async fn read_body(
        &self,
        routed: &RoutedRequest,
        body: Incoming,
        body_bytes: u64,
        started_at: Instant,
        message_bytes: Option<u64>,
    ) -> Result<MessageBody, RequestError> {
        if !routed.may_stream() && body_bytes > MAX_BUFFERED_BODY_BYTES as u64 {
            return Err(InvalidRequest::BodyTooLarge.into());
        }
        let max_time = if routed.may_stream() {
            body::max_transfer_time(body_bytes.min(MAX_BUFFERED_BODY_BYTES as u64))
        } else {
            MAX_REQUEST_READ_TIME.min(routed.client_timeout)
        };
        let deadline = started_at + max_time;
        let outcome = body::buffer(body, MAX_BUFFERED_BODY_BYTES, deadline).await;
        let (prefix, rest) = match outcome.map_err(|_| InvalidRequest::IncompleteBody)? {
            BufferOutcome::Complete(bytes) => return Ok(bytes.into()),
            BufferOutcome::Partial { prefix, rest } => (prefix, rest),
        };
        let is_in_time = Instant::now() < deadline;
        if routed.may_stream() && (is_in_time || prefix.is_empty()) {
            let max_bytes = self.router.max_body_bytes();
            let arrival_probe = self.arrival_probe(message_bytes);
            let stream = StreamingBody::for_request(rest, prefix, max_bytes, arrival_probe);
            return Ok(MessageBody::Streaming(Rc::new(stream)));
        }
        Err(if is_in_time { InvalidRequest::BodyTooLarge } else { InvalidRequest::SlowBody }.into())
    }

    /// A probe for how much of a message of this length has arrived. The end of a message of unknown length is
    /// only seen when it is read.
    fn arrival_probe(&self, total: Option<u64>) -> ArrivalProbe {
        let socket = self.socket.clone();
        ArrivalProbe::new(move || {
            let unread = socket.unread_bytes().unwrap_or(0);
            Arrival { read: socket.message_bytes(), unread, total }
        })
    }

    /// Checks that no bytes follow the message. Clients send one request at a time, so further bytes indicate
    /// a wrong length or a smuggled request.
    fn check_message_end(&self, message_bytes: u64, is_chunked: bool) -> Result<(), InvalidRequest> {
        let has_extra_bytes = !is_chunked && self.socket.message_bytes() > message_bytes;
        if has_extra_bytes || self.socket.unread_input() == UnreadInput::Data {
            return Err(InvalidRequest::TrailingBytes);
        }
        Ok(())
    }
}

/// The memory that reading and forwarding this body may use, in bytes.
fn body_memory_bytes(body: &Incoming, may_stream: bool) -> usize {
    match body.size_hint().exact() {
        Some(0) => 0,
        Some(bytes) if bytes <= MAX_BUFFERED_BODY_BYTES as u64 => {
            bytes as usize + memory::BODY_OVERHEAD_BYTES
        }
        Some(_) => memory::STREAM_BYTES,
        // Buffered first, and streamed from there on if it is larger.
        None if may_stream => MAX_BUFFERED_BODY_BYTES + memory::STREAM_BYTES,
        None => MAX_BUFFERED_BODY_BYTES + 2 * memory::BODY_OVERHEAD_BYTES,
    }
}

/// Keeps a reservation for as long as the body is in memory; for a buffered body, only what it uses.
fn hold_memory(body: MessageBody, mut reservation: MemoryReservation) -> MessageBody {
    if let MessageBody::Buffered(bytes) = &body {
        let used = bytes.as_ref().map_or(0, |bytes| bytes.len() + memory::BODY_OVERHEAD_BYTES);
        reservation.shrink_to(used);
    }
    body.with_reservation(reservation)
}
