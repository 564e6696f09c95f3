//! The terms of a lease, and what it reports.

use crate::time::Micros;

/// What bounds the use of a list. All times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    /// Once a drain counts as notified, forwarding to the endpoint must end within this.
    pub drain_grace: Micros,
    /// Forwarding ends this much sooner, for requests under way.
    pub margin: Micros,
    /// Forwarding resumes after this: by then draining endpoints have gone, and reject requests themselves.
    pub max_suspension: Micros,
    /// A discovery that ends a standing watch with an error is presumed down for this long: from outside, an outage and
    /// an overload after it look the same.
    pub presumed_outage: Micros,
}

/// How a call failed, and so whether discovery could be reached meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The kernel of discovery's machine refused the connection: nobody could reach discovery at that moment.
    ConnectionRefused,
    /// Discovery answered with an error: it could be reached, and the connection stood until then.
    ErrorResponse,
    /// Discovery accepted the connection, which then broke without a response: it may have been silent before.
    ConnectionLost,
    /// No connection came about: discovery may be reachable for others, and for the next call.
    Unreachable,
}

/// The list that a process starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialList {
    /// None.
    Absent,
    /// One whose age nothing proves, as from a configuration.
    Unconfirmed,
}

/// Why forwarding is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpiryCause {
    /// Discovery has not confirmed the list that the process started with.
    Unconfirmed,
    /// Calls to discovery failed.
    CallsFailed,
    /// A response of discovery broke off, or did not come.
    ResponseMissing,
}

/// The period in which nothing new may be forwarded to any endpoint, unless a response comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expiry {
    /// Its first moment.
    pub from: Micros,
    /// The moment after its last.
    pub until: Micros,
    /// What led to it.
    pub cause: ExpiryCause,
}
