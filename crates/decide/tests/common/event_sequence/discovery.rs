//! Endpoint updates and gossip of peers.

use decide::{Endpoint, EndpointId, EndpointState, Event, UpdateScope};

use super::Player;

impl Player {
    pub(super) fn update_all_endpoints(&mut self, scope: UpdateScope) {
        let entries = self.endpoints.clone();
        self.handle(scope_name(scope), Event::EndpointUpdate { scope, endpoints: &entries });
    }

    pub(super) fn update_some_endpoints(&mut self) {
        let changes = self.random.usize(1..=1 + self.endpoints.len() / 6);
        let mut changed = Vec::new();
        for _ in 0..changes {
            let index = self.random.usize(0..self.endpoints.len());
            self.change_endpoint(index);
            changed.push(self.endpoints[index].clone());
        }
        match self.random.usize(0..20) {
            0 => self
                .handle("Failed", Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &changed }),
            1 => self.update_all_endpoints(UpdateScope::Cached),
            2..=4 => self.update_all_endpoints(UpdateScope::Full),
            5 => {
                // An endpoint that is on no other list.
                let id = EndpointId(1_000_000 + self.random.u32(0..3));
                let entries = [Endpoint { id, state: EndpointState::Draining, ..Endpoint::default() }];
                self.handle(
                    "Delta",
                    Event::EndpointUpdate { scope: UpdateScope::Delta, endpoints: &entries },
                );
            }
            _ => {
                self.handle("Delta", Event::EndpointUpdate { scope: UpdateScope::Delta, endpoints: &changed })
            }
        }
    }

    pub(super) fn change_endpoint(&mut self, index: usize) {
        let zone = self.random.usize(0..self.scenario.zones);
        let up_since = match self.random.usize(0..6) {
            0 => None,
            1 => Some(self.now + 5_000_000),
            2 => Some(self.now - 600_000_000),
            3 => Some(self.now - self.random.i64(0..5_000_000)),
            _ => Some(self.now),
        };
        let endpoint = &mut self.endpoints[index];
        match self.random.usize(0..10) {
            0 => endpoint.state = EndpointState::Draining,
            1 => endpoint.state = EndpointState::Removed,
            2 => endpoint.zone = zone,
            3 => endpoint.weight += 1.0,
            _ => {
                endpoint.state = EndpointState::Ready;
                if self.scenario.endpoint_restarts {
                    endpoint.up_since = up_since;
                }
            }
        }
    }

    pub(super) fn receive_gossip(&mut self) {
        let balancers = self.scenario.settings.balancers;
        let from = self.random.u32(0..=balancers.min(64));
        let endpoint = self.endpoints[self.random.usize(0..self.endpoints.len())].id.0;
        let mut payload = endpoint.to_le_bytes().to_vec();
        payload.push(self.random.u8(0..8));
        payload.push(match self.random.usize(0..8) {
            0 => 255,
            1 => 254,
            2 | 3 => 0,
            _ => self.random.u8(if self.busy() { 60..=253 } else { 1..=20 }),
        });
        self.handle("Told", Event::GossipReceived { from, payload: &payload });
    }
}

fn scope_name(scope: UpdateScope) -> &'static str {
    match scope {
        UpdateScope::Delta => "Delta",
        UpdateScope::Full => "FullList",
        UpdateScope::Cached => "Cached",
        UpdateScope::Failed => "Failed",
    }
}
