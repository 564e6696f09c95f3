//! The learned state of all pools, under names.

/// A duration in microseconds.
pub type Micros = u64;

/// The age from which on learned state says nothing any more, in microseconds: about a year.
pub const MAX_AGE: Micros = 365 * 86_400_000_000;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The learned state of all pools.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedSnapshot {
    /// When it was written, in milliseconds since 1970, by the clock of the machine that wrote it.
    pub written_ms: Option<u64>,
    /// By pool.
    pub pools: Vec<PoolRecord>,
}

impl LearnedSnapshot {
    /// Its age by a clock that reads `now_ms`. It is [`MAX_AGE`] where the time of writing is unknown, or lies in the future: then
    /// one of the clocks is wrong by an unknown time.
    #[must_use]
    pub fn age(&self, now_ms: u64) -> Micros {
        let age_ms = self.written_ms.and_then(|written| now_ms.checked_sub(written));
        age_ms.map_or(MAX_AGE, |ms| ms.saturating_mul(MICROS_PER_MILLISECOND).min(MAX_AGE))
    }
}

/// A mean whose samples lose weight over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoredMean {
    /// The weighted sum of the samples.
    pub sum: f64,
    /// The sum of their weights.
    pub weight: f64,
    /// Since the last of them.
    pub age: Micros,
}

/// The mean of a machine kind or zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NamedMean {
    /// The name of the machine kind or zone.
    pub name: String,
    /// Its mean.
    pub mean: StoredMean,
}

/// The learned state of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolRecord {
    /// Its name.
    pub name: String,
    /// The names of the classes, in the order of the means of endpoints.
    pub classes: Vec<String>,
    /// The latency of a good response, by class, in microseconds.
    pub typical_latency: Vec<StoredMean>,
    /// The latency of a good response over all classes, in microseconds.
    pub pool_latency: StoredMean,
    /// Latency relative to the pool's, by machine kind.
    pub latency_by_machine_kind: Vec<NamedMean>,
    /// The fraction of attempts without a response, by zone.
    pub loss_by_zone: Vec<NamedMean>,
    /// How long its balancer had run.
    pub uptime: Micros,
    /// The base threshold of admission for each ready endpoint.
    pub threshold_per_endpoint: Option<f64>,
    /// The position of the admission cursor, as a fraction of its table.
    pub cursor_position: f64,
    /// The latency of an idle pool, as a fraction of the latency objective.
    pub baseline_latency: Option<f64>,
    /// The endpoints.
    pub endpoints: Vec<StoredEndpoint>,
}

/// The learned state of an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredEndpoint {
    /// The name that its source gives.
    pub name: String,
    /// When it was started, in milliseconds since 1970, where that is known.
    pub started_ms: Option<u64>,
    /// Consecutive failures.
    pub consecutive_failures: u32,
    /// For how long it is still ejected.
    pub ejected_for: Micros,
    /// What is left of its slow start budget, in requests.
    pub slow_start_tokens: f64,
    /// Latency relative to the pool's, by class.
    pub latency_by_class: Vec<StoredMean>,
}
