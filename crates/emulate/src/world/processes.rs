//! Start, kill and restart of proxy processes. A restarted process has the list that it had before.

use std::collections::BTreeMap;

use decide::{EndpointId, EndpointState, Event, UpdateScope};

use super::{SimulatedEvent, World};
use crate::process::Proxy;

impl World<'_> {
    /// Loads the list with which a process starts.
    pub(super) fn load_list(&mut self, proxy: usize) {
        let ids = (0..self.fleet.endpoints as u32).map(EndpointId);
        let mut states: BTreeMap<EndpointId, EndpointState> =
            ids.map(|id| (id, EndpointState::Ready)).collect();
        for change in &self.discovery.changes[..self.proxies[proxy].list_version] {
            states.insert(change.endpoint, change.state);
        }
        let entries: Vec<_> = states.iter().map(|(id, state)| self.list_entry(id.0, *state)).collect();
        self.handle_event(proxy, Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &entries });
        self.schedule_watch_timer(proxy);
    }

    pub(super) fn kill_proxies(&mut self) {
        let Some(restart) = self.fleet.restart else { return };
        let count = (restart.fraction * self.proxies.len() as f64) as usize;
        for proxy in 0..count {
            let process = &mut self.proxies[proxy];
            process.started_at = None;
            process.wake_at = None;
            process.incarnation += 1;
            process.open_requests.clear();
            self.schedule(self.now + restart.downtime, SimulatedEvent::StartProxy { proxy });
        }
    }

    pub(super) fn restart_proxy(&mut self, proxy: usize) {
        let list_version = self.proxies[proxy].list_version;
        let incarnation = self.proxies[proxy].incarnation;
        let started = Proxy::start(self.fleet, proxy, incarnation, self.now);
        self.proxies[proxy] = Proxy { list_version, ..started };
        self.load_list(proxy);
    }

    /// Draws a ready proxy, or a running one if none is ready.
    pub(super) fn draw_ready_proxy(&mut self) -> Option<usize> {
        let mut candidates = self.proxies_where(|proxy| proxy.is_ready(self.now));
        if candidates.is_empty() {
            candidates = self.proxies_where(|proxy| proxy.started_at.is_some());
        }
        self.rng.choice(candidates)
    }

    fn proxies_where(&self, is_candidate: impl Fn(&Proxy) -> bool) -> Vec<usize> {
        (0..self.proxies.len()).filter(|proxy| is_candidate(&self.proxies[*proxy])).collect()
    }
}
