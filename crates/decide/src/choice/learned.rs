//! Which figures outlive a balancer, how they fade, and how far they are believed. They are evidence like
//! the own, in the same means; the own that comes in fades them out within seconds.

use std::collections::BTreeMap;

use super::{Balancer, Ewma, T1_START};
use crate::learned::{DecayedMean, LearnedEndpoint, LearnedState};
use crate::{EndpointId, EndpointState, Micros, TIME_LIMIT};

/// Figures fade by this time, in microseconds. Longer warms starts after longer pauses, and believes more
/// that no longer holds.
const KEPT: f64 = 60e6;
/// T1 hangs on the pool and not on a passing load, so it is believed for longer.
const T1_KEPT: f64 = 600e6;
/// Overload passes soon: periods by which the cursor's place fades.
const CURSOR_KEPT: f64 = 20.0;
/// A mean takes in so many samples at most: as many own answers count for as much.
const MOST_SAMPLES: f64 = 6.0;
/// A server is believed to be at most so many times slower or faster than the pool, so that no telling,
/// wrong or not, moves all calls onto one.
const MOST_MULTIPLE: f64 = 6.0;
/// And T1 to be so many times more or less than at a blind start.
const T1_SPAN: f64 = 16.0;
/// Starts of a server that are no further apart than this, by two clocks, are one and the same.
const SAME_START: Micros = 2_000_000;
/// Told by a balancer that has itself run for less than this many memories, it counts for less.
const SEASONED: f64 = 2.0;

/// What one told, and its servers by id.
type ById<'a> = (&'a LearnedState, BTreeMap<EndpointId, &'a LearnedEndpoint>);

impl Balancer {
    /// What it has learned, as it stands at this time.
    #[must_use]
    pub fn learned_state(&self, now: Micros) -> LearnedState {
        let now = now.clamp(self.now, TIME_LIMIT);
        let mean = |e: &Ewma| DecayedMean { sum: e.sum, weight: e.n, age: (now - e.at).max(0) };
        let told = |all: &BTreeMap<usize, Ewma>| all.iter().map(|(i, e)| (*i, mean(e))).collect();
        let known = self.backends.iter().filter(|b| b.entry.state != EndpointState::Removed);
        let servers = known.map(|b| LearnedEndpoint {
            id: b.entry.id,
            uptime: b.entry.up_since.map(|at| now - at),
            classes: b.classes.iter().map(|c| mean(&c.mean)).collect(),
            consecutive_failures: b.fails,
            ejected_for: (b.out_until - now).max(0),
            slow_start_tokens: b.cold_tokens,
        });
        let per_server = self.t1 / self.ready.len().max(1) as f64 * f64::from(self.s.balancers);
        LearnedState {
            age: 0,
            uptime: if self.started { now - self.start } else { 0 },
            endpoints: servers.collect(),
            latency_by_machine_kind: told(&self.kinds),
            loss_by_zone: told(&self.zones),
            typical_latency: self.usual.iter().map(mean).collect(),
            pool_latency: mean(&self.pool),
            threshold_per_endpoint: if self.t1.is_finite() && !self.ready.is_empty() {
                per_server
            } else {
                0.0
            },
            cursor_position: self.cursor as f64 / (self.table[0].len() - 1).max(1) as f64,
            baseline_latency: self.baseline,
        }
    }

    /// Takes in what others have learned, once it knows its servers: of a process before, or of several
    /// balancers, whose middle counts. Nothing of it touches a rule: drains, cold budgets and what may run
    /// again stand as they are.
    pub fn import_learned_state(&mut self, now: Micros, told: &[LearnedState]) {
        self.now = now.clamp(self.now, TIME_LIMIT);
        let now = self.now;
        if told.is_empty() {
            return;
        }
        // Those who learned the same must not act in step.
        let trust = 0.5 + 0.5 * self.rng.f64();
        let memory = self.memory;
        for class in 0..self.usual.len() {
            let all = told.iter().filter_map(|l| self.evidence(l, l.typical_latency.get(class)?, 0.0));
            if let Some((x, weight)) = middle(all, 0.0) {
                let x = x.clamp(self.aims[class] / 1e3, self.aims[class] * 2.0);
                take_in(&mut self.usual[class], now, memory, x, weight * trust);
            }
        }
        let pool = told.iter().filter_map(|l| self.evidence(l, &l.pool_latency, 0.0));
        if let Some((x, weight)) = middle(pool, 0.0) {
            take_in(&mut self.pool, now, memory, x.clamp(1.0, memory), weight * trust);
        }
        let by_id: Vec<ById<'_>> =
            told.iter().map(|l| (l, l.endpoints.iter().map(|s| (s.id, s)).collect())).collect();
        for b in 0..self.backends.len() {
            self.learn_server(now, b, &by_id, trust);
        }
        for (kind, x, weight) in self.named(told, |l| &l.latency_by_machine_kind, 1.0) {
            let x = x.clamp(1.0 / MOST_MULTIPLE, MOST_MULTIPLE);
            take_in(self.kinds.entry(kind).or_default(), now, memory, x, weight * trust);
        }
        for (zone, x, weight) in self.named(told, |l| &l.loss_by_zone, 0.0) {
            take_in(self.zones.entry(zone).or_default(), now, memory, x.clamp(0.0, 1.0), weight * trust);
        }
        self.learn_pool(now, told, trust);
    }

    fn learn_server(&mut self, now: Micros, b: usize, told: &[ById<'_>], trust: f64) {
        let (id, up_since) = (self.backends[b].entry.id, self.backends[b].entry.up_since);
        // The same process has been up for as long as it had when this was told, and since.
        let same = |l: &LearnedState, s: &LearnedEndpoint| match (up_since, s.uptime) {
            (Some(at), Some(up_for)) => {
                (now - at).saturating_sub(up_for.saturating_add(l.age.max(0))).saturating_abs() < SAME_START
            }
            (None, None) => true,
            _ => false,
        };
        let of_server = told.iter().filter_map(|(l, servers)| Some((*l, *servers.get(&id)?)));
        let all: Vec<(&LearnedState, &LearnedEndpoint)> = of_server.filter(|(l, s)| same(l, s)).collect();
        for class in 0..self.backends[b].classes.len() {
            let means = all.iter().filter_map(|(l, s)| self.evidence(l, s.classes.get(class)?, 1.0));
            if let Some((x, weight)) = middle(means, 1.0) {
                let x = x.clamp(1.0 / MOST_MULTIPLE, MOST_MULTIPLE);
                take_in(&mut self.backends[b].classes[class].mean, now, self.memory, x, weight * trust);
            }
        }
        // Left alone only where most say so, and while most others are not.
        let mut out: Vec<Micros> =
            all.iter().map(|(l, s)| s.ejected_for.saturating_sub(l.age.max(0))).collect();
        out.sort_unstable();
        let left =
            out.get(out.len().saturating_sub(1) / 2).copied().unwrap_or(0).min(8 * self.memory as Micros);
        let held = self.ready.iter().filter(|&&o| self.backends[o].out_until > now).count();
        let backend = &mut self.backends[b];
        if left > 0 && 2 * (held + 1) <= self.ready.len() && backend.out_until <= now {
            backend.out_until = now + (left as f64 * trust) as Micros;
        }
    }

    /// T1, the cursor and the baseline: only until there are own figures for them.
    fn learn_pool(&mut self, now: Micros, told: &[LearnedState], trust: f64) {
        if (now - self.start) as f64 > self.memory / 2.0 {
            return;
        }
        let age = |l: &LearnedState| l.age.max(0) as f64;
        let seasoned = |l: &LearnedState| {
            l.uptime as f64 > self.memory
                && l.threshold_per_endpoint.is_finite()
                && l.threshold_per_endpoint > 0.0
        };
        let known = told
            .iter()
            .filter(|l| seasoned(l))
            .map(|l| (l.threshold_per_endpoint, (-age(l) / T1_KEPT).exp()));
        let share = self.ready.len() as f64 / f64::from(self.s.balancers);
        if let (Some((x, weight)), true) = (middle(known, T1_START), self.t1.is_finite()) {
            let x = x.clamp(T1_START / T1_SPAN, T1_START * T1_SPAN) * share;
            self.t1 += (x - self.t1) * weight;
        }
        let period = self.period as f64;
        let places = told
            .iter()
            .map(|l| (l.cursor_position.clamp(0.0, 1.0) * (-age(l) / (CURSOR_KEPT * period)).exp(), 1.0));
        if let Some((place, _)) = middle(places.filter(|(x, _)| x.is_finite()), 0.0) {
            let place = (place * trust * (self.table[0].len() - 1) as f64) as usize;
            self.cursor = self.cursor.max(place);
        }
        let bases = told.iter().filter_map(|l| Some((l.baseline_latency?, (-age(l) / KEPT).exp())));
        if let (Some((base, weight)), None) =
            (middle(bases.filter(|(x, _)| x.is_finite()), 0.0), self.baseline)
        {
            self.baseline = (weight > 0.5).then_some(base.clamp(0.0, 0.6));
        }
    }

    /// What a mean comes to and how many samples it is worth by now. `prior` is what nothing at all would
    /// say.
    fn evidence(&self, told: &LearnedState, mean: &DecayedMean, prior: f64) -> Option<(f64, f64)> {
        let DecayedMean { sum, weight, age } = *mean;
        let sound = sum.is_finite() && weight.is_finite() && sum >= 0.0 && weight >= 0.0;
        let age = age.max(0).saturating_add(told.age.max(0)) as f64;
        let seasoned = (told.uptime.max(0) as f64 / (SEASONED * self.memory)).min(1.0);
        // A server that never answered has a sum and no samples.
        let k = if prior > 0.0 { 1.0 } else { 0.0 };
        let seen = weight.max(if prior > 0.0 { (sum / MOST_MULTIPLE).min(MOST_SAMPLES) } else { 0.0 });
        let worth = seen.min(MOST_SAMPLES) * (-age / KEPT).exp() * seasoned;
        (sound && worth > 0.01).then(|| ((sum + prior * k) / (weight + k).max(1e-9), worth))
    }

    /// The middle of what is told by some name, for each name.
    fn named(
        &self,
        told: &[LearnedState],
        of: impl Fn(&LearnedState) -> &Vec<(usize, DecayedMean)>,
        prior: f64,
    ) -> Vec<(usize, f64, f64)> {
        let mut names: Vec<usize> = told.iter().flat_map(|l| of(l).iter().map(|(name, _)| *name)).collect();
        names.sort_unstable();
        names.dedup();
        let one = |name: usize| {
            let means = told.iter().filter_map(|l| {
                let (_, mean) = of(l).iter().find(|(n, _)| *n == name)?;
                self.evidence(l, mean, prior)
            });
            middle(means, prior).map(|(x, weight)| (name, x, weight))
        };
        names.into_iter().filter_map(one).collect()
    }
}

/// The middle of several figures and of their weights: one that is wrong or stale is outvoted. Of two the
/// one that says less, measured from `quiet`.
fn middle(all: impl Iterator<Item = (f64, f64)>, quiet: f64) -> Option<(f64, f64)> {
    let (mut figures, mut weights): (Vec<f64>, Vec<f64>) = all.unzip();
    figures.sort_by(f64::total_cmp);
    weights.sort_by(f64::total_cmp);
    let n = figures.len();
    let (low, high) = (*figures.get(n.checked_sub(1)? / 2)?, *figures.get(n / 2)?);
    let figure = if (low - quiet).abs() <= (high - quiet).abs() { low } else { high };
    Some((figure, weights[(n - 1) / 2]))
}

/// Adds so many samples of a figure, as far as there are not as many of the own.
fn take_in(mean: &mut Ewma, now: Micros, memory: f64, x: f64, weight: f64) {
    mean.fade(now, memory);
    mean.at = mean.at.max(now);
    let weight = weight.min(MOST_SAMPLES - mean.n);
    if weight > 0.0 {
        mean.sum += x * weight;
        mean.n += weight;
    }
}
