//! The watch of discovery by one proxy: when discovery is polled, which calls are in flight, and what follows
//! when a call fails, breaks off or stays without a response. The [lease](crate::lease) determines for how
//! long the list may be used in the meantime.
//!
//! A call can go wrong in two ways:
//!
//! - **The call fails**: it is refused, reset, or answered with an error. The call itself then notified no
//!   change. The changes that discovery had while discovery [was reachable](CallFailure) still count as
//!   notified six seconds later.
//! - **The call may have notified a change that was not received**: the response broke off, cannot be parsed,
//!   or is missing although the requested wait is over.
//!
//! In both cases the watch sets its timer and polls again when the timer is due. If discovery is polled and no
//! terms bound the list, a failure instead ends the watch ([`WatchAction::WatchEnded`]), and
//! [`WatchEvent::StartWatch`] starts it again.
//!
//! An agent beside the proxy is silent while discovery is down. A call without a response stays open beside
//! further short ones, so that the agent can respond to it once it has something.

mod backoff;
mod event;
mod status;

pub use event::{DiscoveryMode, WatchAction, WatchEvent, WatchPolicy};
pub use status::{CallResult, ListStatus, WatchStatus};

use fastrand::Rng;

use crate::call::{CallId, DiscoveryCall};
use crate::lease::{CallFailure, Expiry, InitialList, Lease};
use crate::time::{Micros, MILLISECOND, SECOND};

/// The minimum time between the starts of two calls if the response to the first contains no change. It
/// limits the polling of a discovery that does not hold calls, and is well under [`WATCH_CONTINUES`].
const MIN_CALL_INTERVAL: Micros = 100 * MILLISECOND;
/// The time after a response within which the next call continues the same watch (rule of the platform).
const WATCH_CONTINUES: Micros = 200 * MILLISECOND;
/// The period over which the first calls of processes without a list are spread at random, so that a fleet
/// that starts together does not poll together.
const FIRST_CALL_SPREAD: Micros = SECOND;
/// The pause before a further retry of a call whose connection broke: a process that ends does not close all its
/// sockets at the same instant.
const PROCESS_END_RETRY: Micros = 10 * MILLISECOND;
/// The number of such retries; the next ones come after the usual backoff.
const PROCESS_END_RETRIES: usize = 4;
/// The maximum number of calls in flight: an overdue one, and its retry.
const MAX_CALLS: usize = 2;
/// How long after it is overdue a call to an agent is kept open at most: the time after which a watch that fell
/// silent counts as broken (rule of the platform).
const MAX_OVERDUE_TIME: Micros = 6 * SECOND;

/// The watch of discovery by one proxy.
pub struct DiscoveryWatch {
    policy: WatchPolicy,
    rng: Rng,
    last_call: u64,
    is_active: bool,
    /// Whether there is a list whose version discovery recognises.
    has_version: bool,
    lease: Lease,
    /// The calls in flight, the oldest first.
    calls: Vec<DiscoveryCall>,
    next_call_at: Option<Micros>,
    last_response_at: Option<Micros>,
    /// The number of retries since the last complete response.
    retries: usize,
    /// Whether discovery responded with an error to the last call that failed.
    was_rejected: bool,
    last_result: CallResult,
}

impl DiscoveryWatch {
    /// Creates the watch of a process that starts at `now` with the given list.
    #[must_use]
    pub fn new(policy: WatchPolicy, list: InitialList, now: Micros, seed: u64) -> DiscoveryWatch {
        let mut rng = Rng::with_seed(seed);
        let has_version = list != InitialList::Absent;
        let is_pushed = policy.mode == DiscoveryMode::Pushed;
        // A list of unknown age is confirmed at once, and an agent serves a single proxy. Otherwise the first
        // call without a list is spread over the fleet.
        let polls_at_once = has_version || is_pushed;
        let first_call_at = if polls_at_once { now } else { now + rng.i64(0..FIRST_CALL_SPREAD) };
        let is_active = policy.lease.is_some() || is_pushed;
        DiscoveryWatch {
            policy,
            rng,
            last_call: 0,
            is_active,
            has_version,
            lease: Lease::new(policy.lease, policy.mode, list, now),
            calls: Vec::new(),
            next_call_at: is_active.then_some(first_call_at),
            last_response_at: None,
            retries: 0,
            was_rejected: false,
            last_result: CallResult::Pending,
        }
    }

    /// Returns the next time at which the watch needs [`WatchEvent::TimerDue`]. `None` if no timer is set.
    #[must_use]
    pub fn wake_at(&self) -> Option<Micros> {
        let in_time = self.calls.iter().filter(|call| !call.is_overdue);
        let overdue_at = in_time.map(DiscoveryCall::overdue_at);
        overdue_at.chain(self.next_call_at).chain(self.lease.check_due_at()).min()
    }

    fn is_pushed(&self) -> bool {
        self.policy.mode == DiscoveryMode::Pushed
    }

    /// Returns the period in which no new request may be forwarded to any endpoint, given the present state.
    /// `None` if there is no such period. A response ends the period early.
    #[must_use]
    pub fn expiry(&self) -> Option<Expiry> {
        self.lease.expiry(&self.calls)
    }

    /// Returns whether the list that the process started with is still unconfirmed.
    #[must_use]
    pub fn is_unconfirmed(&self) -> bool {
        self.lease.is_unconfirmed()
    }

    /// Returns the status of the list and of the last call.
    #[must_use]
    pub fn status(&self) -> WatchStatus {
        WatchStatus { list: self.lease.status(), last_call: self.last_result }
    }

    /// Returns whether the watch has started, and has not ended since.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: WatchEvent, actions: &mut Vec<WatchAction>) {
        self.check_lease(now);
        match event {
            WatchEvent::StartWatch => self.on_start(now, actions),
            WatchEvent::AddressChanged => self.on_address_changed(now, actions),
            WatchEvent::Connected { call } => self.on_connected(call),
            WatchEvent::ResponseStarted { call } => self.on_response_started(now, call),
            WatchEvent::ResponseCompleted { call, changed } => {
                self.on_response_completed(now, call, changed, actions);
            }
            WatchEvent::ResponseTruncated { call } => self.on_response_truncated(now, call),
            WatchEvent::CallFailed { call, failure } => self.on_call_failed(now, call, failure, actions),
            WatchEvent::TimerDue => self.on_timer_due(now, actions),
        }
    }

    /// Renews the lease. If it ran out because the process was stopped, the list has to be confirmed at once.
    fn check_lease(&mut self, now: Micros) {
        let was_in_doubt = self.lease.is_in_doubt();
        self.lease.check(now);
        if self.lease.is_in_doubt() && !was_in_doubt {
            self.next_call_at = Some(now);
        }
    }

    fn on_start(&mut self, now: Micros, actions: &mut Vec<WatchAction>) {
        if self.is_active {
            return self.poll_if_due(now, actions);
        }
        if !self.has_version && self.last_call == 0 {
            // Without a list no request can be served before the first response. The first call is spread as
            // in `DiscoveryWatch::new`.
            self.is_active = true;
            self.next_call_at = Some(now + self.rng.i64(0..FIRST_CALL_SPREAD));
            return;
        }
        self.poll(now, actions);
    }

    fn on_address_changed(&mut self, now: Micros, actions: &mut Vec<WatchAction>) {
        // Versions may be numbered differently at the new address: only a full list gives a valid version.
        self.has_version = false;
        let is_watching = !self.lease.is_in_doubt() && self.calls.iter().any(|call| call.is_held(now));
        self.lease.change_address(now, is_watching);
        self.close_all(actions);
        self.poll(now, actions);
    }

    fn on_connected(&mut self, id: CallId) {
        if let Some(call) = self.calls.iter_mut().find(|call| call.id == id) {
            call.is_connected = true;
        }
    }

    fn on_response_started(&mut self, now: Micros, id: CallId) {
        if let Some(call) = self.calls.iter_mut().find(|call| call.id == id) {
            call.response_started_at.get_or_insert(now);
        }
    }

    fn on_response_completed(
        &mut self,
        now: Micros,
        id: CallId,
        changed: bool,
        actions: &mut Vec<WatchAction>,
    ) {
        let Some(call) = self.take_call(id) else { return };
        // The response to an older call would contain the same list or an older one.
        self.close_all(actions);
        self.lease.confirm(now, &call);
        self.has_version = true;
        self.retries = 0;
        self.was_rejected = false;
        self.last_result = CallResult::Answered;
        self.last_response_at = Some(now);
        let min_interval = if changed { 0 } else { call.wait.min(MIN_CALL_INTERVAL) };
        let next_call_at = call.started_at + min_interval;
        if next_call_at <= now {
            self.poll(now, actions);
        } else {
            self.next_call_at = Some(next_call_at);
        }
    }

    fn on_response_truncated(&mut self, now: Micros, id: CallId) {
        let Some(mut call) = self.take_call(id) else { return };
        call.response_started_at.get_or_insert(now);
        self.last_result = CallResult::Incomplete;
        self.lease.record_truncated_response(now, &call, &self.calls);
        self.plan_retry(now);
    }

    fn on_call_failed(
        &mut self,
        now: Micros,
        id: CallId,
        failure: CallFailure,
        actions: &mut Vec<WatchAction>,
    ) {
        let Some(call) = self.take_call(id) else { return };
        self.lease.fail(now, &call, failure, &self.calls);
        self.last_result = failure.into();
        self.was_rejected = failure == CallFailure::ErrorResponse;
        if self.is_pushed() && failure == CallFailure::ConnectionLost {
            return self.retry_lost_call(now, &call, actions);
        }
        self.retry_or_end(now, actions);
    }

    /// Polls an agent again at once: if its process has ended, it refuses the next connection.
    fn retry_lost_call(&mut self, now: Micros, lost: &DiscoveryCall, actions: &mut Vec<WatchAction>) {
        if now - lost.started_at >= MIN_CALL_INTERVAL {
            self.poll(now, actions);
        } else if self.retries < PROCESS_END_RETRIES {
            self.retries += 1;
            self.next_call_at = Some(now + PROCESS_END_RETRY);
        } else {
            self.plan_retry(now);
        }
    }

    fn on_timer_due(&mut self, now: Micros, actions: &mut Vec<WatchAction>) {
        let mut index = 0;
        while let Some(call) = self.calls.get(index) {
            let is_due = !call.is_overdue && call.overdue_at() <= now;
            let was_taken = call.may_be_queued || call.is_connected;
            let may_be_slow = was_taken && call.response_started_at.is_none();
            if is_due && !may_be_slow {
                // The next call now has this index.
                self.close_overdue(index, now, actions);
                continue;
            }
            if is_due {
                self.mark_overdue(index, now);
            }
            index += 1;
        }
        self.poll_if_due(now, actions);
    }

    /// Marks a call as overdue and keeps it open during its retry, because it may only be slow.
    fn mark_overdue(&mut self, index: usize, now: Micros) {
        let call = &mut self.calls[index];
        call.is_overdue = true;
        self.last_result = call.overdue_result();
        let is_first = !self.lease.is_in_doubt();
        self.lease.record_silence(now, call);
        if is_first || self.is_pushed() {
            self.next_call_at = Some(now);
        } else {
            self.plan_retry(now);
        }
    }

    fn close_overdue(&mut self, index: usize, now: Micros, actions: &mut Vec<WatchAction>) {
        let call = self.calls.remove(index);
        self.last_result = call.overdue_result();
        actions.push(WatchAction::CloseCall { call: call.id });
        if call.response_started_at.is_some() {
            self.lease.record_truncated_response(now, &call, &self.calls);
            self.plan_retry(now);
        } else {
            self.lease.fail(now, &call, CallFailure::Unreachable, &self.calls);
            self.retry_or_end(now, actions);
        }
    }

    /// Plans a retry after a failed call, or ends the watch.
    fn retry_or_end(&mut self, now: Micros, actions: &mut Vec<WatchAction>) {
        let awaits_first_list = self.policy.lease.is_some() && !self.has_version;
        if self.lease.is_in_doubt() || self.is_pushed() || awaits_first_list {
            self.plan_retry(now);
        } else if self.calls.is_empty() {
            self.is_active = false;
            self.next_call_at = None;
            actions.push(WatchAction::WatchEnded);
        }
    }

    fn take_call(&mut self, id: CallId) -> Option<DiscoveryCall> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(index))
    }

    fn close_all(&mut self, actions: &mut Vec<WatchAction>) {
        actions.extend(self.calls.drain(..).map(|call| WatchAction::CloseCall { call: call.id }));
        self.next_call_at = None;
    }

    fn poll_if_due(&mut self, now: Micros, actions: &mut Vec<WatchAction>) {
        if self.next_call_at.is_some_and(|at| at <= now) {
            self.poll(now, actions);
        }
    }

    fn poll(&mut self, now: Micros, actions: &mut Vec<WatchAction>) {
        if self.calls.len() >= MAX_CALLS {
            let superseded = self.calls.remove(self.superseded_call(now));
            actions.push(WatchAction::CloseCall { call: superseded.id });
        }
        self.last_call += 1;
        let id = CallId(self.last_call);
        let wait = self.draw_wait();
        let is_soon = self.last_response_at.is_some_and(|at| now <= at + WATCH_CONTINUES);
        self.calls.push(DiscoveryCall {
            id,
            started_at: now,
            wait,
            may_be_queued: !self.is_pushed(),
            is_connected: false,
            response_started_at: None,
            is_overdue: false,
            continues_watch: wait > 0 && is_soon,
        });
        self.is_active = true;
        self.next_call_at = None;
        actions.push(WatchAction::Poll { call: id, wait });
    }

    /// Returns the index of the call that is closed for a further one. The response to the oldest call to an
    /// agent may only be late: if each call were closed for the next, none of them would be received.
    fn superseded_call(&self, now: Micros) -> usize {
        let oldest = &self.calls[0];
        let keeps_oldest = self.is_pushed() && now <= oldest.overdue_at() + MAX_OVERDUE_TIME;
        if keeps_oldest {
            self.calls.len() - 1
        } else {
            0
        }
    }
}
