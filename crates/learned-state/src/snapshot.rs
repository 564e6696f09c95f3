//! The learned state of all pools, by name.

/// A duration in microseconds.
pub type Micros = u64;

/// The maximum age of a snapshot, in microseconds: 365 days. Older learned state is no longer meaningful.
pub const MAX_AGE: Micros = 365 * 86_400_000_000;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The learned state of all pools.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedSnapshot {
    /// The time of writing in milliseconds since 1970, by the clock of the machine that wrote the snapshot.
    /// `None` if unknown.
    pub written_ms: Option<u64>,
    /// The learned state of each pool.
    pub pools: Vec<PoolRecord>,
}

impl LearnedSnapshot {
    /// Returns the age of the snapshot at `now_ms` (milliseconds since 1970), at most [`MAX_AGE`]. The age is
    /// [`MAX_AGE`] if the time of writing is unknown, or if it is in the future, because one of the clocks is
    /// then wrong by an unknown amount.
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
    /// The sum of the weights of the samples.
    pub weight: f64,
    /// The time since the last sample, in microseconds.
    pub age: Micros,
}

/// The mean of a machine kind or zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NamedMean {
    /// The name of the machine kind or zone.
    pub name: String,
    /// The mean over the machine kind or zone.
    pub mean: StoredMean,
}

/// The learned state of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolRecord {
    /// The name of the pool.
    pub name: String,
    /// The names of the classes, in the order in which the means of an endpoint are stored.
    pub classes: Vec<String>,
    /// The latency of a good response, by class, in microseconds.
    pub typical_latency: Vec<StoredMean>,
    /// The latency of a good response over all classes, in microseconds.
    pub pool_latency: StoredMean,
    /// The latency relative to the latency of the pool, by machine kind.
    pub latency_by_machine_kind: Vec<NamedMean>,
    /// The fraction of attempts without a response, by zone.
    pub loss_by_zone: Vec<NamedMean>,
    /// The uptime of the balancer of the pool, in microseconds.
    pub uptime: Micros,
    /// The base threshold of admission for each ready endpoint. `None` if it is unknown.
    pub threshold_per_endpoint: Option<f64>,
    /// The position of the admission cursor, as a fraction of the length of the cursor table.
    pub cursor_position: f64,
    /// The latency of the idle pool, as a fraction of the latency objective. `None` if it is unknown.
    pub baseline_latency: Option<f64>,
    /// The learned state of each endpoint.
    pub endpoints: Vec<StoredEndpoint>,
}

/// The learned state of an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredEndpoint {
    /// The name of the endpoint, as given by its source.
    pub name: String,
    /// The start time of the endpoint, in milliseconds since 1970. `None` if it is unknown.
    pub started_ms: Option<u64>,
    /// The number of consecutive failures.
    pub consecutive_failures: u32,
    /// The remaining time of the ejection, in microseconds; 0 if the endpoint is not ejected.
    pub ejected_for: Micros,
    /// The remaining slow start budget, in requests.
    pub slow_start_tokens: f64,
    /// The latency relative to the latency of the pool, by class.
    pub latency_by_class: Vec<StoredMean>,
}
