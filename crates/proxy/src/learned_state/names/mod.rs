//! Converts the learned state of a balancer, which identifies endpoints, classes, zones and machine kinds by
//! index, to records by name, and back. Does no I/O.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use decide::learned::{self, LearnedState};
use decide::platform_settings::NameTable;
use decide::{EndpointId, Micros};
use learned_state::{NamedMean, PoolRecord, StoredEndpoint, MAX_AGE};

/// The names in learned state and the corresponding indexes of a balancer.
pub struct LearnedNames<'a> {
    /// The names of classes, zones and machine kinds.
    pub name_table: &'a NameTable,
    /// The ids of endpoints by name.
    pub endpoint_ids: BTreeMap<&'a str, EndpointId>,
}

/// Converts a duration to its stored form, which is 0 for a negative duration.
fn to_stored_duration(duration: Micros) -> learned_state::Micros {
    u64::try_from(duration).unwrap_or(0)
}

/// Converts a stored duration, limited to [`MAX_AGE`].
fn from_stored_duration(duration: learned_state::Micros) -> Micros {
    duration.min(MAX_AGE) as Micros
}

fn to_stored_mean(mean: &learned::DecayedMean) -> learned_state::StoredMean {
    learned_state::StoredMean { sum: mean.sum, weight: mean.weight, age: to_stored_duration(mean.age) }
}

fn from_stored_mean(mean: &learned_state::StoredMean) -> learned::DecayedMean {
    learned::DecayedMean { sum: mean.sum, weight: mean.weight, age: from_stored_duration(mean.age) }
}

/// Converts the learned state of a pool's balancer to a record by names. Endpoints, zones and machine kinds
/// without a name are left out. `started_ms` converts the uptime of an endpoint to its start time, in
/// milliseconds since 1970.
pub fn to_pool_record(
    pool: &str,
    learned: &LearnedState,
    learned_names: &LearnedNames<'_>,
    started_ms: impl Fn(Micros) -> Option<u64>,
) -> PoolRecord {
    let names = learned_names.name_table;
    let name_by_id: BTreeMap<EndpointId, &str> =
        learned_names.endpoint_ids.iter().map(|(name, id)| (*id, *name)).collect();
    let endpoint_record = |endpoint: &learned::LearnedEndpoint| {
        Some(StoredEndpoint {
            name: (*name_by_id.get(&endpoint.id)?).to_owned(),
            started_ms: endpoint.uptime.and_then(&started_ms),
            consecutive_failures: endpoint.consecutive_failures,
            ejected_for: to_stored_duration(endpoint.ejected_for),
            slow_start_tokens: endpoint.slow_start_tokens,
            latency_by_class: endpoint.classes.iter().map(to_stored_mean).collect(),
        })
    };
    let threshold = learned.threshold_per_endpoint;
    PoolRecord {
        name: pool.to_owned(),
        classes: names.classes.clone(),
        typical_latency: learned.typical_latency.iter().map(to_stored_mean).collect(),
        pool_latency: to_stored_mean(&learned.pool_latency),
        latency_by_machine_kind: named_means(&learned.latency_by_machine_kind, |kind| names.kind_name(kind)),
        loss_by_zone: named_means(&learned.loss_by_zone, |zone| names.zone_name(zone)),
        uptime: to_stored_duration(learned.uptime),
        threshold_per_endpoint: (threshold > 0.0).then_some(threshold),
        cursor_position: learned.cursor_position,
        baseline_latency: learned.baseline_latency,
        endpoints: learned.endpoints.iter().filter_map(endpoint_record).collect(),
    }
}

fn named_means<'a>(
    means: &[(usize, learned::DecayedMean)],
    name: impl Fn(usize) -> Option<&'a str>,
) -> Vec<NamedMean> {
    let named = |(index, mean): &(usize, learned::DecayedMean)| {
        Some(NamedMean { name: name(*index)?.to_owned(), mean: to_stored_mean(mean) })
    };
    means.iter().filter_map(named).collect()
}

/// Converts a record of the given age to the learned state of a balancer. Entries with unknown names are left
/// out. `uptime` converts the start time of an endpoint, in milliseconds since 1970, to the time since then.
pub fn to_learned_state(
    record: &PoolRecord,
    age: learned_state::Micros,
    learned_names: &LearnedNames<'_>,
    uptime: impl Fn(u64) -> Option<Micros>,
) -> LearnedState {
    let age = from_stored_duration(age);
    let names = learned_names.name_table;
    let class_order = ClassOrder::new(names, record);
    let learned_endpoint = |endpoint: &StoredEndpoint| {
        let uptime_now = endpoint.started_ms.and_then(&uptime);
        Some(learned::LearnedEndpoint {
            id: *learned_names.endpoint_ids.get(endpoint.name.as_str())?,
            // Learned state has the uptime at the time of its export.
            uptime: uptime_now.map(|uptime| uptime.saturating_sub(age)),
            classes: class_order.apply(&endpoint.latency_by_class),
            consecutive_failures: endpoint.consecutive_failures,
            ejected_for: from_stored_duration(endpoint.ejected_for),
            // Several balancers that imported one slow start budget would together exceed it.
            slow_start_tokens: 0.0,
        })
    };
    LearnedState {
        age,
        uptime: from_stored_duration(record.uptime),
        endpoints: record.endpoints.iter().filter_map(learned_endpoint).collect(),
        latency_by_machine_kind: indexed_means(&record.latency_by_machine_kind, |kind| names.find_kind(kind)),
        loss_by_zone: indexed_means(&record.loss_by_zone, |zone| names.find_zone(zone)),
        typical_latency: class_order.apply(&record.typical_latency),
        pool_latency: from_stored_mean(&record.pool_latency),
        threshold_per_endpoint: record.threshold_per_endpoint.unwrap_or(0.0),
        cursor_position: record.cursor_position,
        baseline_latency: record.baseline_latency,
    }
}

fn indexed_means(
    means: &[NamedMean],
    index: impl Fn(&str) -> Option<usize>,
) -> Vec<(usize, learned::DecayedMean)> {
    let indexed = |named: &NamedMean| Some((index(&named.name)?, from_stored_mean(&named.mean)));
    means.iter().filter_map(indexed).collect()
}

/// The position of each class of a balancer in a record; `None` for a class that the record does not have.
struct ClassOrder {
    position_by_class: Vec<Option<usize>>,
}

impl ClassOrder {
    fn new(names: &NameTable, record: &PoolRecord) -> ClassOrder {
        let position = |class| record.classes.iter().position(|name| name == class);
        ClassOrder { position_by_class: names.classes.iter().map(position).collect() }
    }

    /// The means of a record in the order of the balancer's classes, with empty means for classes that the
    /// record does not have.
    fn apply(&self, means: &[learned_state::StoredMean]) -> Vec<learned::DecayedMean> {
        let mean_at = |position: &Option<usize>| position.and_then(|position| means.get(position));
        let learned_mean = |position| mean_at(position).map(from_stored_mean).unwrap_or_default();
        self.position_by_class.iter().map(learned_mean).collect()
    }
}
