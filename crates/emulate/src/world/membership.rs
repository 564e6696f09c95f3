//! Passes events to the discovery watches and makes their calls.

use decide::{EndpointState, Event, Micros, UpdateScope};

use super::{SimulatedEvent, World};
use crate::discovery::{CallEnd, PollRequest};
use ::membership::{CallFailure, CallId, WatchAction, WatchEvent};

/// The result of a call to discovery.
#[derive(Clone, Copy)]
pub(super) enum CallResult {
    Completed { version: usize },
    Truncated,
    Rejected,
}

impl World<'_> {
    pub(super) fn handle_watch_event(&mut self, proxy: usize, event: WatchEvent) {
        let mut actions = Vec::new();
        self.proxies[proxy].watch.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                WatchAction::Poll { call, wait } => self.call_discovery(proxy, call, wait),
                // The watch ignores the end of a closed call.
                WatchAction::CloseCall { .. } => {}
                WatchAction::WatchEnded => {
                    let failed = Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] };
                    self.handle_event(proxy, failed);
                }
            }
        }
        self.schedule_watch_timer(proxy);
    }

    /// Schedules the next timer of the watch.
    pub(super) fn schedule_watch_timer(&mut self, proxy: usize) {
        let wake_at = self.proxies[proxy].watch.wake_at().map(|at| at.max(self.now));
        if wake_at == self.proxies[proxy].wake_at {
            return;
        }
        self.proxies[proxy].wake_at = wake_at;
        if let Some(wake_at) = wake_at {
            self.schedule(wake_at, SimulatedEvent::WatchTimer { proxy });
        }
    }

    fn call_discovery(&mut self, proxy: usize, call: CallId, wait: Micros) {
        let process = &mut self.proxies[proxy];
        let request = PollRequest {
            known_version: process.list_version,
            wait,
            last_response_at: process.last_response_at,
        };
        let (end, missed) = self.discovery.serve(self.fleet, &mut self.rng, self.now, request);
        process.missed_changes.extend(missed);
        let (at, result) = match end {
            CallEnd::Completed { at, version } => (at, CallResult::Completed { version }),
            CallEnd::Truncated { at } => (at, CallResult::Truncated),
            CallEnd::Rejected { at } => (at, CallResult::Rejected),
            CallEnd::Silent { notified_at } => {
                process.silent_call_notified_at.get_or_insert(notified_at);
                return;
            }
        };
        let process = self.incarnation(proxy);
        self.schedule(at, SimulatedEvent::CallEnds { process, call, result });
    }

    pub(super) fn on_call_end(&mut self, proxy: usize, call: CallId, result: CallResult) {
        let event = match result {
            CallResult::Completed { version } => {
                WatchEvent::ResponseCompleted { call, changed: self.apply_response(proxy, version) }
            }
            CallResult::Truncated => WatchEvent::ResponseTruncated { call },
            CallResult::Rejected => WatchEvent::CallFailed { call, failure: CallFailure::ErrorResponse },
        };
        self.handle_watch_event(proxy, event);
    }

    /// Applies the changes up to a version; returns whether there are any.
    fn apply_response(&mut self, proxy: usize, version: usize) -> bool {
        let process = &mut self.proxies[proxy];
        process.last_response_at = Some(self.now);
        process.silent_call_notified_at = None;
        let known_version = process.list_version;
        if version <= known_version {
            return false;
        }
        process.list_version = version;
        let changes = &self.discovery.changes[known_version..version];
        for change in changes {
            if change.state != EndpointState::Ready {
                process.removal_notified_at.entry(change.endpoint.0).or_insert(self.now);
            }
        }
        let entries: Vec<_> =
            changes.iter().map(|change| self.list_entry(change.endpoint.0, change.state)).collect();
        self.handle_event(proxy, Event::EndpointUpdate { scope: UpdateScope::Delta, endpoints: &entries });
        true
    }
}
