//! The terms of a lease, and the inputs and results of the lease.

use crate::time::Micros;

/// The terms that bound the use of a list. All times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms {
    /// The time from when a drain counts as notified until forwarding to the endpoint must have ended.
    pub drain_grace: Micros,
    /// The time by which forwarding ends before `drain_grace` is over, to allow for requests under way.
    pub margin: Micros,
    /// The longest suspension of forwarding where discovery is polled. By its end, draining endpoints have stopped or reject
    /// requests themselves.
    pub max_suspension: Micros,
    /// The time for which discovery is presumed down after it ended a held call with an error. A proxy cannot
    /// distinguish an outage from an overload that follows it.
    pub presumed_outage: Micros,
}

impl LeaseTerms {
    /// Returns the suspension that follows if changes that were not received count as notified from
    /// `notified_from` on, and the last reason for it counts from `notified_until` on.
    pub(super) fn expiry(&self, notified_from: Micros, notified_until: Micros, cause: ExpiryCause) -> Expiry {
        let until = self.suspended_from(notified_until) + self.max_suspension;
        Expiry { notified_from, from: self.suspended_from(notified_from), until, cause }
    }

    /// Returns the suspension that only a response ends if changes that were not received count as notified from
    /// `notified_from` on.
    pub(super) fn expiry_until_response(&self, notified_from: Micros, cause: ExpiryCause) -> Expiry {
        Expiry { notified_from, from: self.suspended_from(notified_from), until: Micros::MAX, cause }
    }

    fn suspended_from(&self, notified_from: Micros) -> Micros {
        notified_from + self.drain_grace - self.margin
    }
}

/// How a call failed. This determines whether discovery may have been reachable in the meantime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The kernel of the machine that runs discovery refused the connection: no proxy could reach discovery
    /// at that time.
    ConnectionRefused,
    /// Discovery responded with an error: it was reachable, and the connection was open until then.
    ErrorResponse,
    /// Discovery accepted the connection, which then broke without a response. The connection may have been
    /// dead for some time before.
    ConnectionLost,
    /// No connection was established: discovery may be reachable for other proxies and for the next call.
    Unreachable,
}

/// The list that a process starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialList {
    /// There is no list.
    Absent,
    /// A list of unknown age, for instance from a configuration.
    Unconfirmed,
}

/// The cause of a suspension of forwarding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpiryCause {
    /// Discovery has not confirmed the list that the process started with.
    Unconfirmed,
    /// The agent that a new configuration names has not confirmed the list.
    AddressChanged,
    /// The response of an agent came so late that it may not have the latest changes.
    ResponseLate,
    /// The process did not run for a while, and may not have read what it received.
    ProcessStopped,
    /// Calls to discovery failed.
    CallsFailed,
    /// A response of discovery broke off, or was not received.
    ResponseMissing,
}

/// The period in which no new request may be forwarded to any endpoint, unless a response is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expiry {
    /// When the earliest change that was not received counts as notified, in microseconds. The period starts
    /// after it.
    pub notified_from: Micros,
    /// The first instant of the period, in microseconds.
    pub from: Micros,
    /// The end of the period (exclusive), in microseconds. The maximum if only a response ends it.
    pub until: Micros,
    /// The cause of the suspension.
    pub cause: ExpiryCause,
}
