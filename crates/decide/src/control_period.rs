//! The end of a control period: the measurements decay, the base threshold is updated from the rate served,
//! and the admission cursor moves at most one slot, depending on the load of the period.

use crate::admission::{PeriodInputs, SheddingChange};
use crate::balancer::{Balancer, PERIOD_TIMER};
use crate::slow_start::SlowStartPool;
use crate::time::Micros;
use crate::Action;

/// The age up to which a load report counts, in control periods.
const REPORT_MAX_AGE_PERIODS: Micros = 2;

impl Balancer {
    /// Handles the end of a control period, and sets the timer of the next one.
    pub(crate) fn on_period(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::Timer { at: now + self.period, token: PERIOD_TIMER });
        self.latency.decay(now, self.window);
        self.admission.threshold.on_period(now, &mut self.throughput, self.window);
        self.slow_start.on_period(&mut SlowStartPool {
            now,
            window: self.window,
            endpoints: &mut self.endpoints,
            ready: &self.ready.all,
            throughput: &mut self.throughput,
        });
        let inputs = self.period_inputs(now);
        let change = self.admission.move_cursor(inputs);
        actions.extend(change.map(|change| Action::Log(self.shedding_line(change))));
    }

    fn period_inputs(&mut self, now: Micros) -> PeriodInputs {
        if self.admission.load.lacks_latencies() {
            if let Some(latency) = self.requests.longest_overdue(now, &self.latency) {
                self.admission.load.record_overdue(latency);
            }
        }
        let since = now - REPORT_MAX_AGE_PERIODS * self.period;
        let ready = self.ready.all.iter().map(|&index| &self.endpoints[index]);
        PeriodInputs {
            reported_utilisation: ready
                .filter_map(|record| record.load_report.recent_utilisation(since))
                .collect(),
            in_flight: self.requests.in_flight(),
            has_gossip_peers: !self.ready.gossip_peers.is_empty(),
        }
    }

    /// The log line for operators that shedding began or ended.
    fn shedding_line(&self, change: SheddingChange) -> String {
        let word = match change {
            SheddingChange::Begins => "begins",
            SheddingChange::Ends => "ends",
        };
        let in_flight = self.requests.in_flight();
        let threshold = self.admission.threshold.value();
        format!("shedding {word}: {in_flight} in flight, T1 {threshold:.0}")
    }
}
