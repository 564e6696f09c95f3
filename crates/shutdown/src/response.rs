//! The state of a response that is being streamed to a client during a shutdown.

use crate::{Micros, MILLISECOND};

/// How long the endpoint of a response may be silent, once responses are due, if the request came so late that it
/// is lost if it is open at the kill.
const MAX_SILENCE_OF_LATE_REQUEST: Micros = 100 * MILLISECOND;
/// The same for other requests. Endpoints that still write pause for up to a second.
const MAX_SILENCE: Micros = 1_000 * MILLISECOND;

/// The state of a response that is being streamed.
#[derive(Clone, Copy, Debug)]
pub struct StreamedResponse {
    /// When its request arrived.
    pub received_at: Micros,
    /// For how long the endpoint has sent nothing although the client could take more.
    pub endpoint_silent_for: Micros,
    /// Whether the length of the response is unknown, so that it may never end.
    pub is_length_unknown: bool,
}

impl StreamedResponse {
    /// Returns whether the endpoint has been silent for too long, given when a request came so late that it is
    /// lost if it is open at the kill.
    pub(crate) fn is_silent(&self, late_from: Micros) -> bool {
        let is_late = self.received_at > late_from;
        let max_silence = if is_late { MAX_SILENCE_OF_LATE_REQUEST } else { MAX_SILENCE };
        self.endpoint_silent_for >= max_silence
    }
}
