//! A metric of a pool, labeled only if the process can have several pools.

use std::fmt::Debug;

use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::TypedMetric;
use prometheus_client::registry::{Metric, Registry};

use super::Labels;

/// A metric with one time series for the only pool of the process, or one for each pool.
pub(super) enum PoolMetric<M> {
    Unlabeled(M),
    PerPool(Family<Labels, M>),
}

impl<M: Clone + Debug + Default + EncodeMetric + TypedMetric + Metric> PoolMetric<M> {
    pub fn register(registry: &mut Registry, labeled_by_pool: bool, name: &str, help: &str) -> PoolMetric<M> {
        if labeled_by_pool {
            let family = Family::default();
            registry.register(name, help, family.clone());
            PoolMetric::PerPool(family)
        } else {
            let metric = M::default();
            registry.register(name, help, metric.clone());
            PoolMetric::Unlabeled(metric)
        }
    }

    /// The time series of this pool.
    pub fn with_labels(&self, pool: &Labels) -> M {
        match self {
            PoolMetric::Unlabeled(metric) => metric.clone(),
            PoolMetric::PerPool(family) => family.get_or_create(pool).clone(),
        }
    }

    /// Removes all labeled time series.
    pub fn clear(&self) {
        if let PoolMetric::PerPool(family) = self {
            family.clear();
        }
    }
}
