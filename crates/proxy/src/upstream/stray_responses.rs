//! The responses of an endpoint that nobody waited for.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::log::log_line;

/// The time for which an endpoint is remembered to have sent a stray response.
const MEMORY: Duration = Duration::from_secs(60);

/// Records when an endpoint last sent bytes on an idle HTTP connection, which answer no request.
#[derive(Default)]
pub struct StrayResponses {
    last_at: Cell<Option<Instant>>,
}

impl StrayResponses {
    /// Records bytes that answer no request.
    pub fn record(&self) {
        if !self.are_recent() {
            log_line(format_args!(
                "an endpoint sent bytes that answer no request: its connections rest longer before reuse for {} s",
                MEMORY.as_secs()
            ));
        }
        self.last_at.set(Some(Instant::now()));
    }

    /// Whether the endpoint has recently sent bytes that answer no request.
    pub fn are_recent(&self) -> bool {
        self.last_at.get().is_some_and(|at| at.elapsed() < MEMORY)
    }
}
