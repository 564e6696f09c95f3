//! Passes events to the balancers and carries out their actions.

use decide::{Action, Event, Outcome};

use super::{SimulatedEvent, World};
use ::membership::WatchEvent;

impl World<'_> {
    pub(super) fn handle_event(&mut self, proxy: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.proxies[proxy].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(proxy, action);
        }
    }

    fn perform(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Send { request, endpoint, deadline, .. } => {
                self.send(proxy, request.0, endpoint, deadline)
            }
            Action::Reject { request, .. } => self.on_rejection(proxy, request.0),
            Action::Fail(request) => {
                self.answer(proxy, request.0, false);
            }
            Action::Cancel { request, attempt } => {
                self.on_attempt_end(proxy, request.0, attempt, Outcome::Cancelled);
            }
            Action::Timer { at, token } => {
                let process = self.incarnation(proxy);
                self.schedule(at.max(self.now), SimulatedEvent::BalancerTimer { process, token });
            }
            Action::PollDiscovery => self.handle_watch_event(proxy, WatchEvent::StartWatch),
            _ => {}
        }
    }
}
