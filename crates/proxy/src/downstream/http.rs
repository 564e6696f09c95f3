//! Callers that speak HTTP/1.1: a request at a time.

use std::convert::Infallible;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use decide::{Micros, TIME_LIMIT};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use super::{serving, Caller, Callers, Frontend};
use crate::body::{BodyError, MessageBody};
use crate::exchange::{FinalResponse, UpstreamResponse, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};
use crate::metrics::{RequestOutcome, RequestRecorder};
use crate::panic_guard::caught;
use crate::request_reader::{self, Taken};
use crate::router::Rejection;
use crate::socket::Socket;

/// Says which limit refused a request.
const CAUSE: &str = "x-refusal-cause";

type Reply = Response<Outgoing>;

/// An answer's body on its way to the caller, and what ends with it.
struct Outgoing {
    content: MessageBody,
    /// Of one that flows.
    open: Option<Open>,
}

/// A request whose answer is on its way.
struct Open {
    caller: Rc<Caller>,
    tally: Rc<RequestRecorder>,
    content: MessageBody,
}

impl Drop for Open {
    fn drop(&mut self) {
        let whole = self.content.streaming().is_some_and(|flow| flow.completed_at().is_some());
        self.tally.record(if whole { RequestOutcome::Served } else { RequestOutcome::Failed });
        self.caller.free();
    }
}

impl Outgoing {
    fn whole(content: MessageBody) -> Outgoing {
        Outgoing { content, open: None }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.content).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}

/// Serves a connection to its end.
pub async fn serve(callers: &Callers, caller: &Rc<Caller>, socket: Socket) {
    let service = service_fn(|request: Request<Incoming>| async move {
        caller.busy.set(true);
        caller.asked.set(true);
        // What follows a chunked or large body is not kept, so its connection ends with it.
        let chunked = request.headers().contains_key(header::TRANSFER_ENCODING)
            || request.body().size_hint().lower() > MAX_BUFFERED_BODY_BYTES as u64;
        let bodiless = request.body().is_end_stream();
        let handled = caught(handle(callers, caller, request)).await;
        let mut reply = handled.unwrap_or_else(|| reply(StatusCode::INTERNAL_SERVER_ERROR));
        // After a malformed request nobody knows where the next one begins.
        // A limit refuses what is sound; only its body, if it has one, was not read.
        let malformed = match reply.status() {
            StatusCode::TOO_MANY_REQUESTS => !bodiless,
            status => status.is_client_error() || status == StatusCode::NOT_IMPLEMENTED,
        };
        if callers.leaving.get() || caller.closing.get() || malformed || chunked {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if reply.body().open.is_none() {
            caller.free();
        }
        Ok::<_, Infallible>(reply)
    });
    let mut connection = pin!(http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service));
    // An error is the caller's leaving or its malformed head, which hyper has answered with 400.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = caller.drop.notified() => return,
        () = caller.given_up() => return,
        () = caller.close.notified() => {}
    }
    // A request that has come in just now, or a part of it, is answered first; its answer says that the connection ends.
    if caller.busy.get() || !caller.has_begun() {
        connection.as_mut().graceful_shutdown();
    }
    tokio::select! {
        biased;
        _ = connection => {}
        () = caller.drop.notified() => {}
        () = caller.given_up() => {}
    }
}

async fn handle(callers: &Callers, caller: &Rc<Caller>, request: Request<Incoming>) -> Reply {
    if request.uri().path() == "/healthz" {
        let ready = (!callers.is_ending() || callers.gate.shared) && callers.gate.router.is_ready();
        return reply(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    }
    let gate = &callers.gate;
    let tally = Rc::<RequestRecorder>::default();
    let read = request_reader::read(&*gate.router, &gate.ids, &caller.socket, &caller.kept, &tally, request);
    let answer = match read.await {
        // Its time counts from its last byte; one that flows brings along how long it may take to come.
        Ok(Taken::Sound(sound)) => serving::serve(callers, *sound, &caller.client(), Instant::now()).await,
        Ok(Taken::Known(answer)) => answer,
        Err(turned) => {
            tally.record(turned.request_outcome());
            return turned_away(gate, turned);
        }
    };
    // One that flows ends with its last byte.
    if !matches!(answer, FinalResponse::Served(UpstreamResponse { body: MessageBody::Streaming(_), .. })) {
        tally.record(answer.request_outcome());
    }
    match answer {
        FinalResponse::Served(UpstreamResponse { headers, body }) => {
            let open = body.streaming().is_some().then(|| Open {
                caller: Rc::clone(caller),
                tally: Rc::clone(&tally),
                content: body.clone(),
            });
            if open.is_some() {
                caller.flows();
            }
            let mut reply = Response::new(Outgoing { content: body, open });
            *reply.headers_mut() = headers;
            reply
        }
        FinalResponse::Rejected { retry_after, .. } => {
            let mut reply = reply(StatusCode::SERVICE_UNAVAILABLE);
            advise(gate, &mut reply, retry_after);
            reply
        }
        FinalResponse::Failed => reply(StatusCode::BAD_GATEWAY),
        FinalResponse::TimedOut => reply(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn turned_away(gate: &Frontend, turned: Rejection) -> Reply {
    let mut reply = reply(turned.status);
    if let Some(cause) = turned.cause {
        reply.headers_mut().insert(CAUSE, HeaderValue::from_static(cause));
        if cause == limit::RejectReason::Connections.name() {
            reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
    advise(gate, &mut reply, turned.retry_after);
    reply
}

/// Says when to come back.
fn advise(gate: &Frontend, reply: &mut Reply, retry_after: Micros) {
    if retry_after <= 0 {
        return;
    }
    let seconds = if gate.router.retry_after_in_seconds() {
        retry_after.saturating_add(999_999).min(TIME_LIMIT) / 1_000_000
    } else {
        let value = HeaderValue::from_str(&format!("{:.3}", retry_after as f64 / 1e6));
        reply.headers_mut().insert(header::RETRY_AFTER, value.expect("digits make a header"));
        return;
    };
    reply.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
}

fn reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Outgoing::whole(MessageBody::default()));
    *reply.status_mut() = status;
    reply
}
