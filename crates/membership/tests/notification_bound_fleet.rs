//! Simulates a fleet of proxies and one discovery of limited capacity. Checks that every proxy receives a
//! drain in time and that the number of calls is bounded. Prints how often requests were forwarded after the
//! drain grace.

use std::collections::{BTreeMap, VecDeque};

use membership::{
    CallFailure, CallId, DiscoveryMode, DiscoveryWatch, InitialList, LeaseTerms, Micros, WatchAction,
    WatchEvent, WatchPolicy,
};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
const DRAIN_GRACE: Micros = 500 * MILLISECOND;
const LEASE_TERMS: LeaseTerms = LeaseTerms {
    drain_grace: DRAIN_GRACE,
    margin: 150 * MILLISECOND,
    max_suspension: 40 * SECOND,
    presumed_outage: 8 * SECOND,
};
const POLLED: WatchPolicy = WatchPolicy { mode: DiscoveryMode::Polled, lease: Some(LEASE_TERMS) };
/// The time from a change at a reachable discovery until the change counts as notified.
const NOTIFIED_AFTER: Micros = 6 * SECOND;
/// The longest time that discovery queues a call before it rejects it.
const QUEUE_LIMIT: Micros = 2 * SECOND;

/// A fleet and one discovery that serves calls in turn at a given rate and rejects those that would queue for
/// longer than [`QUEUE_LIMIT`].
struct Fleet {
    watches: Vec<DiscoveryWatch>,
    pending_events: BTreeMap<(Micros, u64), (usize, WatchEvent)>,
    scheduled_count: u64,
    /// When discovery will have served all calls that it accepted.
    busy_until: Micros,
    call_cost: Micros,
    /// The period over which the starts of the proxies are spread.
    start_spread: Micros,
    outage: (Micros, Micros),
    drained_at: Micros,
    received_at: Vec<Option<Micros>>,
    queued_calls: VecDeque<Micros>,
    calls_by_second: BTreeMap<Micros, usize>,
    suspended_time: Vec<Micros>,
    /// The time from which suspensions are counted.
    suspensions_count_from: Micros,
}

impl Fleet {
    fn new(
        proxies: usize,
        fleet_round: Micros,
        start_spread: Micros,
        outage: (Micros, Micros),
        drained_at: Micros,
        seed: u64,
    ) -> Fleet {
        Fleet {
            watches: (0..proxies)
                .map(|index| {
                    DiscoveryWatch::new(
                        POLLED,
                        InitialList::Unconfirmed,
                        start_of(index, start_spread),
                        seed * 1_000 + index as u64,
                    )
                })
                .collect(),
            pending_events: BTreeMap::new(),
            scheduled_count: 0,
            busy_until: 0,
            call_cost: fleet_round / proxies.max(8) as Micros,
            start_spread,
            outage,
            drained_at,
            received_at: vec![None; proxies],
            queued_calls: VecDeque::new(),
            calls_by_second: BTreeMap::new(),
            suspended_time: vec![0; proxies],
            suspensions_count_from: 0,
        }
    }

    fn schedule(&mut self, at: Micros, proxy: usize, event: WatchEvent) {
        self.scheduled_count += 1;
        self.pending_events.insert((at, self.scheduled_count), (proxy, event));
    }

    fn call(&mut self, now: Micros, proxy: usize, id: CallId, wait: Micros, continues_watch: bool) {
        *self.calls_by_second.entry(now / SECOND).or_default() += 1;
        if (self.outage.0..self.outage.1).contains(&now) {
            return self.schedule(
                now + QUEUE_LIMIT,
                proxy,
                WatchEvent::CallFailed { call: id, failure: CallFailure::ErrorResponse },
            );
        }
        let mut from = now;
        if !continues_watch {
            while self.queued_calls.front().is_some_and(|done| *done <= now) {
                self.queued_calls.pop_front();
            }
            from = self.busy_until.max(now) + self.call_cost;
            if from > now + QUEUE_LIMIT {
                return self.schedule(
                    now + QUEUE_LIMIT,
                    proxy,
                    WatchEvent::CallFailed { call: id, failure: CallFailure::ErrorResponse },
                );
            }
            self.busy_until = from;
            self.queued_calls.push_back(from);
        }
        let wait_ends = from + wait;
        let changed = self.received_at[proxy].is_none() && self.drained_at <= wait_ends;
        let ends = if changed { self.drained_at.max(from) } else { wait_ends };
        if (from..=ends).contains(&self.outage.0) {
            return self.schedule(
                self.outage.0,
                proxy,
                WatchEvent::CallFailed { call: id, failure: CallFailure::ErrorResponse },
            );
        }
        self.schedule(ends + MILLISECOND, proxy, WatchEvent::ResponseCompleted { call: id, changed });
    }

    /// Runs an outage and a drain. Returns how often requests were forwarded after the drain grace.
    fn run(&mut self, end: Micros) -> usize {
        let mut late_forwards = 0;
        for proxy in 0..self.watches.len() {
            self.schedule(start_of(proxy, self.start_spread), proxy, WatchEvent::StartWatch);
        }
        let notified_at = if (self.outage.0..self.outage.1).contains(&self.drained_at) {
            self.outage.1
        } else {
            self.drained_at
        } + NOTIFIED_AFTER;
        let mut last = vec![0; self.watches.len()];
        loop {
            let event = self.pending_events.first_key_value().map(|(&(at, _), _)| at);
            let wake = self
                .watches
                .iter()
                .enumerate()
                .filter_map(|(index, watch)| Some((watch.wake_at()?, index)))
                .min();
            let Some(now) = event.into_iter().chain(wake.map(|(at, _)| at)).min().filter(|at| *at < end)
            else {
                break;
            };
            let (proxy, event) = match event {
                Some(at) if at <= now => self.pending_events.pop_first().expect("there is one").1,
                _ => (wake.expect("it is due").1, WatchEvent::TimerDue),
            };
            let expiry = self.watches[proxy].expiry().map(|expiry| (expiry.from, expiry.until));
            let (mut suspended_time, from) = (0, last[proxy]);
            if let Some((begin, until)) = expiry {
                suspended_time = (now.min(until) - begin.max(from)).max(0);
                let counted_from = begin.max(from).max(self.suspensions_count_from);
                self.suspended_time[proxy] += (now.min(until) - counted_from).max(0);
            }
            let late = (now - from.max(notified_at + DRAIN_GRACE)).max(0);
            late_forwards +=
                usize::from(self.received_at[proxy].is_none() && late > 0 && suspended_time < late);
            last[proxy] = now;
            if let WatchEvent::ResponseCompleted { changed: true, .. } = event {
                self.received_at[proxy] = Some(now);
            }
            let mut actions = Vec::new();
            self.watches[proxy].handle(now, event, &mut actions);
            for action in actions {
                match action {
                    WatchAction::Poll { call: id, wait } => {
                        self.call(now, proxy, id, wait, matches!(event, WatchEvent::ResponseCompleted { .. }));
                    }
                    WatchAction::CloseCall { call: id } => self.pending_events.retain(|_, (index, event)| {
                        *index != proxy || !matches!(event, WatchEvent::ResponseCompleted { call: other, .. } | WatchEvent::CallFailed { call: other, .. } if *other == id)
                    }),
                    WatchAction::WatchEnded => unreachable!("a watch with lease terms does not end"),
                }
            }
        }
        late_forwards
    }
}

/// Returns when a proxy of the fleet starts, given the period within which all start.
fn start_of(proxy: usize, within: Micros) -> Micros {
    (proxy as Micros * 37 * MILLISECOND) % within
}

/// Guards against retries after an outage that overload discovery, so that proxies receive a drain too late.
#[test]
fn fleet_receives_a_drain_during_an_outage_in_time_with_bounded_calls() {
    for proxies in [1_usize, 30, 350] {
        // Discovery serves one call of every proxy in two to eight seconds. The outages are shorter than, as
        // long as and longer than the longest presumed outage.
        for (fleet_round, length) in [2, 4, 6, 8]
            .into_iter()
            .flat_map(|rounds| [2, 5, 8, 12].map(|length| (rounds * SECOND, length * SECOND)))
        {
            let (mut max_calls, mut call_count, mut suspended_time, mut late_forwards) =
                (0, 0, Vec::new(), 0);
            let runs = if proxies > 100 { 2 } else { 10 };
            for seed in 0..runs {
                let drained_at = 20 * SECOND + length / 2 + seed as Micros * length / 10;
                let mut fleet = Fleet::new(
                    proxies,
                    fleet_round,
                    4 * SECOND,
                    (20 * SECOND, 20 * SECOND + length),
                    drained_at,
                    seed,
                );
                late_forwards += fleet.run(60 * SECOND);
                assert!(fleet.received_at.iter().all(Option::is_some), "all have received the drain");
                max_calls = max_calls.max(fleet.calls_by_second.values().copied().max().unwrap_or_default());
                call_count += fleet.calls_by_second.range(20..40).map(|(_, count)| count).sum::<usize>();
                suspended_time.extend(fleet.suspended_time);
            }
            suspended_time.sort_unstable();
            println!(
                "{proxies} proxies, a round in {} s, down for {} s: {:.1} calls per second in the 20 s from then, {max_calls} at most; \
                 suspended {:.2} s on average, {:.2} s at most; {late_forwards} times forwarded after the grace",
                fleet_round / SECOND,
                length / SECOND,
                call_count as f64 / 20.0 / runs as f64,
                suspended_time.iter().sum::<Micros>() as f64 / suspended_time.len() as f64 / SECOND as f64,
                suspended_time[suspended_time.len() - 1] as f64 / SECOND as f64,
            );
            assert!(
                late_forwards == 0 || fleet_round > 4 * SECOND,
                "{proxies} proxies: forwarded after the grace"
            );
            assert!(max_calls <= 2 * proxies + 2, "{proxies} proxies: {max_calls} calls in a second");
        }
    }
}

/// Guards against requests to a draining endpoint after a new configuration: all proxies ask the new address at
/// once, which turns most of them away, and the drain counts as notified six seconds after it nevertheless.
#[test]
fn fleet_that_moves_to_another_address_forwards_nothing_after_the_grace() {
    const MOVED_AT: Micros = 20 * SECOND;
    for proxies in [8_usize, 30, 350] {
        for fleet_round in [2 * SECOND, 4 * SECOND, 6 * SECOND, 8 * SECOND] {
            let (mut suspended_time, mut late_forwards) = (Vec::new(), 0);
            for seed in 0..4 {
                let drained_at = MOVED_AT + seed as Micros * 300 * MILLISECOND;
                let mut fleet = Fleet::new(
                    proxies,
                    fleet_round,
                    4 * SECOND,
                    (900 * SECOND, 901 * SECOND),
                    drained_at,
                    seed,
                );
                fleet.suspensions_count_from = MOVED_AT;
                for proxy in 0..proxies {
                    fleet.schedule(
                        MOVED_AT + start_of(proxy, SECOND) / 10,
                        proxy,
                        WatchEvent::AddressChanged,
                    );
                }
                late_forwards += fleet.run(60 * SECOND);
                assert!(fleet.received_at.iter().all(Option::is_some), "all have received the drain");
                suspended_time.extend(fleet.suspended_time);
            }
            suspended_time.sort_unstable();
            println!(
                "{proxies} proxies that move to another address, a round in {} s: {late_forwards} of {} times forwarded after the grace; suspended {:.2} s on average, {:.2} s at most",
                fleet_round / SECOND,
                suspended_time.len(),
                suspended_time.iter().sum::<Micros>() as f64 / suspended_time.len() as f64 / SECOND as f64,
                suspended_time[suspended_time.len() - 1] as f64 / SECOND as f64
            );
            assert_eq!(late_forwards, 0, "{proxies} proxies, a round in {} s", fleet_round / SECOND);
        }
    }
}

/// Guards against a fleet that starts within a second and overloads discovery, so that proxies receive a
/// drain too late.
#[test]
fn fleet_that_starts_together_receives_a_drain_in_time() {
    for proxies in [30_usize, 350] {
        for fleet_round in [2 * SECOND, 4 * SECOND, 6 * SECOND, 8 * SECOND] {
            let (mut suspended_time, mut late_forwards) = (Vec::new(), 0);
            for seed in 0..8 {
                let drained_at = SECOND + seed as Micros * 500 * MILLISECOND;
                let mut fleet =
                    Fleet::new(proxies, fleet_round, SECOND, (900 * SECOND, 901 * SECOND), drained_at, seed);
                late_forwards += fleet.run(40 * SECOND);
                assert!(fleet.received_at.iter().all(Option::is_some), "all have received the drain");
                suspended_time.extend(fleet.suspended_time);
            }
            suspended_time.sort_unstable();
            println!(
                "{proxies} proxies that start within a second, a round in {} s: {late_forwards} of {} times forwarded after the grace; suspended {:.2} s at most",
                fleet_round / SECOND,
                suspended_time.len(),
                suspended_time[suspended_time.len() - 1] as f64 / SECOND as f64
            );
            assert!(
                late_forwards == 0 || fleet_round > 4 * SECOND,
                "{proxies} proxies: forwarded after the grace"
            );
        }
    }
}

/// Guards against backoff that leaves discovery idle while processes without a list cannot serve: at least
/// nine tenths of the calls that discovery can answer in ten seconds must give a list.
#[test]
fn processes_without_a_list_use_the_capacity_of_discovery() {
    for (calls_per_second, outage_length) in [(4, 0), (4, SECOND), (12, 0), (12, SECOND), (40, SECOND)] {
        let (mut ready_count, mut min_ready, mut ready_times) = (0, usize::MAX, Vec::new());
        for seed in 0..20_u64 {
            let mut fleet = Fleet::new(100, SECOND, 100 * MILLISECOND, (0, outage_length), 0, seed);
            fleet.call_cost = SECOND / calls_per_second;
            fleet.watches = (0..100_usize)
                .map(|index| {
                    let started_at = start_of(index, 100 * MILLISECOND);
                    DiscoveryWatch::new(POLLED, InitialList::Absent, started_at, seed * 1_000 + index as u64)
                })
                .collect();
            fleet.run(60 * SECOND);
            let in_time =
                fleet.received_at.iter().filter(|at| at.is_some_and(|at| at <= 10 * SECOND)).count();
            (ready_count, min_ready) = (ready_count + in_time, min_ready.min(in_time));
            ready_times.extend(fleet.received_at.iter().map(|at| at.expect("all have a list at the end")));
        }
        ready_times.sort_unstable();
        let answerable = ((10 * SECOND - outage_length) * calls_per_second / SECOND).min(100) as usize;
        println!(
            "{calls_per_second} calls per second, up after {} s: {} of 100 ready within 10 s, {min_ready} at least; discovery could answer {answerable}; \
             the median after {:.1} s, the last after {:.1} s",
            outage_length / SECOND,
            ready_count / 20,
            ready_times[ready_times.len() / 2] as f64 / SECOND as f64,
            ready_times[ready_times.len() - 1] as f64 / SECOND as f64
        );
        assert!(
            10 * min_ready >= 9 * answerable,
            "{calls_per_second} calls per second: {min_ready} of {answerable}"
        );
    }
}
