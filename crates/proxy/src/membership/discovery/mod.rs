//! The HTTP client of discovery: makes the calls that the [`DiscoveryWatch`] of `membership` requests, and
//! applies the endpoint lists in the responses.

mod call;
mod calls;
mod status_log;

use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use config::ParsedEndpointList;
use decide::{Micros, UpdateScope};
use membership::{CallId, DiscoveryWatch, InitialList, WatchAction, WatchEvent, WatchPolicy};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, Instant};

use crate::log::log_line;
use crate::membership::EndpointRegistry;
use crate::upstream::ListExpiry;
use call::CallProgress;
use calls::Calls;
pub use status_log::StatusReport;

/// The time after which a process reports ready even if discovery has not confirmed its list, so that clients
/// are rejected instead of finding no proxy. Well within the ten seconds that a restart may take.
const READY_UNCONFIRMED_AFTER: Duration = Duration::from_secs(5);

/// Keeps the endpoint list of a pool up to date.
pub struct Discovery {
    /// The address of discovery, which may change when the configuration is reloaded.
    pub address: watch::Receiver<SocketAddr>,
    /// The registry to which lists are applied.
    pub registry: EndpointRegistry,
    /// Notified when the balancer requests a poll of the list; `None` if lists are pushed.
    pub poll_requested: Option<Rc<Notify>>,
    /// The mode and the lease of the watch.
    pub policy: WatchPolicy,
    /// The seed of the random numbers of the watch.
    pub seed: u64,
    /// Reports whether the list is confirmed.
    pub status: StatusReport,
    /// Whether a malformed list has been logged.
    pub malformed_list_logged: bool,
}

/// The state of a running watch.
struct Session {
    watch: DiscoveryWatch,
    calls: Calls,
    address: watch::Receiver<SocketAddr>,
    initial_list: InitialList,
    /// The latest time at which the process reports ready.
    ready_at: Instant,
}

/// An input that a session waits for.
enum Input {
    Progress(CallId, CallProgress),
    AddressChanged,
    PollRequested,
    TimerDue,
}

impl Discovery {
    /// Applies the list that the process starts with, if any, and then watches discovery. When a watch ends,
    /// the balancer is notified and requests the next one. The watch of a pushed list does not end.
    pub async fn run(mut self, initial: Option<ParsedEndpointList>) {
        let initial_list = self.apply_initial(initial);
        let clock = self.registry.clock;
        let mut session = Session {
            watch: DiscoveryWatch::new(self.policy, initial_list, clock.now(), self.seed),
            calls: Calls::new(),
            address: self.address.clone(),
            initial_list,
            ready_at: Instant::now() + READY_UNCONFIRMED_AFTER,
        };
        loop {
            self.apply_watch_state(&session);
            self.status.update(session.watch.status());
            let input = self.next_input(&mut session).await;
            let Some(event) = self.event_of(input, &mut session.calls) else { continue };
            let mut actions = Vec::new();
            session.watch.handle(clock.now(), event, &mut actions);
            for action in actions {
                self.perform(action, &mut session);
            }
        }
    }

    fn apply_initial(&mut self, initial: Option<ParsedEndpointList>) -> InitialList {
        match initial {
            Some(list) => {
                self.registry.apply_parsed(list, UpdateScope::Cached);
                InitialList::Unconfirmed
            }
            None => {
                self.registry.driver.endpoint_update(UpdateScope::Cached, Vec::new());
                InitialList::Absent
            }
        }
    }

    async fn next_input(&self, session: &mut Session) -> Input {
        let Session { watch, calls, address, ready_at, .. } = session;
        let clock = self.registry.clock;
        let timer = async {
            match watch.wake_at() {
                Some(at) => sleep_until(clock.instant(at)).await,
                None => pending().await,
            }
        };
        let awaits_confirmation = !self.registry.ready.get() && watch.is_unconfirmed();
        tokio::select! {
            Some((id, progress)) = calls.next_progress() => Input::Progress(id, progress),
            () = address_changed(address) => Input::AddressChanged,
            () = self.poll_request(watch) => Input::PollRequested,
            () = timer => Input::TimerDue,
            () = sleep_until(*ready_at), if awaits_confirmation => Input::TimerDue,
        }
    }

    /// Waits until a watch that has ended is to be started again. Never returns while a watch is active.
    async fn poll_request(&self, watch: &DiscoveryWatch) {
        match &self.poll_requested {
            _ if watch.is_active() => pending().await,
            Some(requested) => requested.notified().await,
            None => pending().await,
        }
    }

    fn event_of(&mut self, input: Input, calls: &mut Calls) -> Option<WatchEvent> {
        match input {
            Input::Progress(id, progress) => self.on_progress(id, progress, calls),
            Input::AddressChanged => {
                // Discovery at the new address may number its versions differently.
                self.registry.version = None;
                calls.close_idle();
                Some(WatchEvent::AddressChanged)
            }
            Input::PollRequested => Some(WatchEvent::StartWatch),
            Input::TimerDue => Some(WatchEvent::TimerDue),
        }
    }

    fn perform(&self, action: WatchAction, session: &mut Session) {
        match action {
            WatchAction::Poll { call, wait } => {
                let address = *session.address.borrow();
                session.calls.start(call, address, self.path(wait));
            }
            WatchAction::CloseCall { call } => session.calls.close(call),
            WatchAction::WatchEnded => {
                self.registry.driver.endpoint_update(UpdateScope::Failed, Vec::new());
            }
        }
    }

    /// Sets the expiry of the list in the upstream pool, and the readiness: a process that started with a
    /// list reports ready when the list is confirmed, or after [`READY_UNCONFIRMED_AFTER`].
    fn apply_watch_state(&self, session: &Session) {
        let clock = self.registry.clock;
        let expiry = session.watch.expiry().map(|expiry| ListExpiry {
            notified_from: clock.instant(expiry.notified_from),
            from: clock.instant(expiry.from),
            until: clock.instant(expiry.until),
            cause: expiry.cause,
        });
        self.registry.upstreams.set_list_expiry(expiry);
        let has_list = session.initial_list != InitialList::Absent;
        if has_list && (!session.watch.is_unconfirmed() || Instant::now() >= session.ready_at) {
            self.registry.ready.set(true);
        }
    }

    /// Converts the report of a call to an event of the watch; `None` if the call has been closed in the
    /// meantime.
    fn on_progress(&mut self, id: CallId, progress: CallProgress, calls: &mut Calls) -> Option<WatchEvent> {
        if !calls.contains(id) {
            return None;
        }
        if !matches!(progress, CallProgress::Connected | CallProgress::ResponseStarted) {
            calls.remove(id);
        }
        Some(match progress {
            CallProgress::Connected => WatchEvent::Connected { call: id },
            CallProgress::ResponseStarted => WatchEvent::ResponseStarted { call: id },
            CallProgress::ResponseCompleted { list, connection } => {
                calls.set_idle(connection);
                WatchEvent::ResponseCompleted { call: id, changed: self.apply(list) }
            }
            CallProgress::ResponseMalformed(fault) => {
                self.log_malformed_list(&fault);
                WatchEvent::ResponseTruncated { call: id }
            }
            CallProgress::ResponseTruncated => WatchEvent::ResponseTruncated { call: id },
            CallProgress::Failed(failure) => WatchEvent::CallFailed { call: id, failure },
        })
    }

    /// Applies a list. Returns whether it contains a change.
    fn apply(&mut self, parsed: ParsedEndpointList) -> bool {
        let is_full = parsed.list.is_full;
        let has_change = is_full || !parsed.list.endpoints.is_empty();
        let scope = if is_full { UpdateScope::Full } else { UpdateScope::Delta };
        self.registry.apply_parsed(parsed, scope);
        has_change
    }

    fn log_malformed_list(&mut self, fault: &str) {
        if !self.malformed_list_logged {
            self.malformed_list_logged = true;
            log_line(format_args!("ignoring malformed endpoint list from discovery: {fault}"));
        }
    }

    fn path(&self, wait: Micros) -> String {
        match self.registry.version.filter(|_| wait > 0) {
            Some(version) => format!("/v1/servers?after={version}&wait_ms={}", wait / 1000),
            None => "/v1/servers".to_owned(),
        }
    }
}

/// Waits until the address changes. Never returns once the sender has been dropped.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        pending::<()>().await;
    }
}
