//! From a sound request to its one final answer, whichever protocol it came by.

use std::rc::Rc;
use std::time::Duration;

use decide::{Micros, RequestId};
use tokio::time::{sleep_until, Instant};

use super::Callers;
use crate::exchange::{ClientConnection, FinalResponse};
use crate::inbox::DriverHandle;
use crate::request_reader::Sound;
use crate::router::RejectionOutcome;

/// The decisions get this much less than the client's time, for the answer's way back.
const ANSWER_WAY: Duration = Duration::from_millis(20);
/// What the decisions still hold open then, this much before the client's time, fails.
const BACKSTOP: Duration = Duration::from_millis(8);

/// Hands a request to the decisions, of one pool after another where it is refused, until it has its answer. Dropping
/// this tells them that its client left.
pub async fn serve(
    callers: &Callers,
    sound: Sound,
    client: &ClientConnection,
    received: Instant,
) -> FinalResponse {
    let Sound { mut new, message, mut course, patience, mut held, claim: _claim } = sound;
    if callers.is_time_up() {
        return FinalResponse::Rejected { retry_after: 0, never_ran: true };
    }
    new.downstream_connections = callers.ways_in();
    // What would still be open when the kill comes gets its answer before that.
    let patience = callers.time_for(received, patience);
    // Its time counts from when it has come whole.
    let coming = Duration::from_micros(new.body_pending.max(0) as u64);
    let backstop = received + coming + patience.saturating_sub(BACKSTOP);
    // The decisions get this much less, for the answer's way back.
    let decided = patience.saturating_sub(ANSWER_WAY.min(patience / 10));
    let mut spent = Duration::ZERO;
    let answer = loop {
        new.time_left = decided.saturating_sub(spent).as_micros() as Micros;
        let handle = course.driver().clone();
        let (id, answer) =
            handle.request(new.clone(), Rc::clone(&message), client.clone(), course.attempt_counter());
        let gone = Gone(&handle, id);
        let answer = tokio::select! {
            biased;
            answer = answer => answer.unwrap_or(FinalResponse::Failed),
            () = sleep_until(backstop) => FinalResponse::TimedOut,
            () = callers.time_is_up() => FinalResponse::TimedOut,
        };
        // Where no answer came, the request ends here, and so do its attempts.
        drop(gone);
        let FinalResponse::Rejected { never_ran, .. } = answer else { break answer };
        match course.on_rejected(never_ran) {
            RejectionOutcome::Final => break answer,
            // What has flowed cannot be sent a second time, wherever.
            RejectionOutcome::NextPool if message.body().streaming().is_some() => break answer,
            RejectionOutcome::Failed => break FinalResponse::Failed,
            RejectionOutcome::NextPool => {
                new.endpoint_filter = course.endpoint_filter();
                new.max_attempts = course.max_attempts();
                spent = received.elapsed();
            }
        }
    };
    if let Some(held) = &mut held {
        held.record_response(&answer);
    }
    answer
}

/// Tells the driver that nobody waits for a request any more; after its answer that changes nothing.
struct Gone<'a>(&'a DriverHandle, RequestId);

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        self.0.client_disconnected(self.1);
    }
}
