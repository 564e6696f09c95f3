//! What decisions have learned, with names in place of indexes, and back. Pure.

use std::collections::BTreeMap;

use decide::learned::{self, LearnedState};
use decide::platform_settings::NameTable;
use decide::{EndpointId, Micros};
use learned_state::{Node, Pool, VERY_OLD};

/// What the nodes and classes of a pool are called.
pub struct EndpointNames<'a> {
    pub names: &'a NameTable,
    /// Ids by name.
    pub ids: BTreeMap<&'a str, EndpointId>,
}

fn span(micros: Micros) -> learned_state::Micros {
    u64::try_from(micros).unwrap_or(0)
}

fn micros(span: learned_state::Micros) -> Micros {
    span.min(VERY_OLD) as Micros
}

fn mean_out(mean: &learned::DecayedMean) -> learned_state::Mean {
    learned_state::Mean { sum: mean.sum, weight: mean.weight, age: span(mean.age) }
}

fn mean_in(mean: &learned_state::Mean) -> learned::DecayedMean {
    learned::DecayedMean { sum: mean.sum, weight: mean.weight, age: micros(mean.age) }
}

/// What decisions state, under names. `started_ms` makes a time of how long ago a node started.
pub fn with_names(
    pool: &str,
    learned: &LearnedState,
    called: &EndpointNames<'_>,
    started_ms: impl Fn(Micros) -> Option<u64>,
) -> Pool {
    let by_id: BTreeMap<EndpointId, &str> = called.ids.iter().map(|(name, id)| (*id, *name)).collect();
    let node = |server: &learned::LearnedEndpoint| {
        Some(Node {
            name: (*by_id.get(&server.id)?).to_owned(),
            started_ms: server.uptime.and_then(&started_ms),
            fails: server.consecutive_failures,
            out_for: span(server.ejected_for),
            cold_tokens: server.slow_start_tokens,
            classes: server.classes.iter().map(mean_out).collect(),
        })
    };
    let means = |all: &[(usize, learned::DecayedMean)], name: &dyn Fn(usize) -> Option<String>| {
        all.iter().filter_map(|(index, mean)| Some((name(*index)?, mean_out(mean)))).collect()
    };
    Pool {
        name: pool.to_owned(),
        classes: called.names.classes.clone(),
        usual: learned.typical_latency.iter().map(mean_out).collect(),
        any: mean_out(&learned.pool_latency),
        kinds: means(&learned.latency_by_machine_kind, &|i| called.names.kind_name(i).map(str::to_owned)),
        zones: means(&learned.loss_by_zone, &|i| called.names.zone_name(i).map(str::to_owned)),
        up_for: span(learned.uptime),
        threshold: (learned.threshold_per_endpoint > 0.0).then_some(learned.threshold_per_endpoint),
        cursor: learned.cursor_position,
        baseline: learned.baseline_latency,
        nodes: learned.endpoints.iter().filter_map(node).collect(),
    }
}

/// What is told under names, for decisions that call things by index, so long after it was stated. What is not known by
/// name is left out. `started` makes of a node's start how long it is ago.
pub fn with_indexes(
    pool: &Pool,
    age: learned_state::Micros,
    called: &EndpointNames<'_>,
    started: impl Fn(u64) -> Option<Micros>,
) -> LearnedState {
    let age = micros(age);
    let places: Vec<Option<usize>> =
        called.names.classes.iter().map(|class| pool.classes.iter().position(|c| c == class)).collect();
    // Classes in the order that the decisions have them in; of a new one nothing is known.
    let by_class = |means: &[learned_state::Mean]| -> Vec<learned::DecayedMean> {
        places.iter().map(|p| p.and_then(|p| means.get(p)).map(mean_in).unwrap_or_default()).collect()
    };
    let server = |node: &Node| {
        Some(learned::LearnedEndpoint {
            id: *called.ids.get(node.name.as_str())?,
            uptime: node.started_ms.and_then(&started).map(|up_for| up_for.saturating_sub(age)),
            classes: by_class(&node.classes),
            consecutive_failures: node.fails,
            ejected_for: micros(node.out_for),
            slow_start_tokens: 0.0,
        })
    };
    let means = |all: &[(String, learned_state::Mean)], index: &dyn Fn(&str) -> Option<usize>| {
        all.iter().filter_map(|(name, mean)| Some((index(name)?, mean_in(mean)))).collect()
    };
    LearnedState {
        age,
        uptime: micros(pool.up_for),
        endpoints: pool.nodes.iter().filter_map(server).collect(),
        latency_by_machine_kind: means(&pool.kinds, &|name| called.names.find_kind(name)),
        loss_by_zone: means(&pool.zones, &|name| called.names.find_zone(name)),
        typical_latency: by_class(&pool.usual),
        pool_latency: mean_in(&pool.any),
        threshold_per_endpoint: pool.threshold.unwrap_or(0.0),
        cursor_position: pool.cursor,
        baseline_latency: pool.baseline,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn mean(sum: f64) -> learned::DecayedMean {
        learned::DecayedMean { sum, weight: 2.0, age: 5 }
    }

    fn names(classes: &[&str], zones: &[&str]) -> NameTable {
        let owned = |all: &[&str]| all.iter().map(|s| (*s).to_owned()).collect();
        NameTable::new(owned(classes), owned(zones), vec!["std".to_owned()])
    }

    #[test]
    fn figures_find_their_places_again_under_other_indexes() {
        let before = names(&["read", "write"], &["north", "south"]);
        let ids = BTreeMap::from([("a", EndpointId(1)), ("b", EndpointId(2))]);
        let server = |id, up_for| learned::LearnedEndpoint {
            id: EndpointId(id),
            uptime: up_for,
            classes: vec![mean(1.0), mean(2.0)],
            consecutive_failures: 3,
            ejected_for: 400,
            slow_start_tokens: 7.0,
        };
        let learned = LearnedState {
            uptime: 90,
            endpoints: vec![server(1, Some(60_000_000)), server(2, None), server(9, None)],
            latency_by_machine_kind: vec![(0, mean(3.0)), (4, mean(3.5))],
            loss_by_zone: vec![(0, mean(4.0)), (1, mean(5.0))],
            typical_latency: vec![mean(6.0), mean(7.0)],
            pool_latency: mean(8.0),
            threshold_per_endpoint: 9.0,
            cursor_position: 0.5,
            baseline_latency: Some(0.1),
            age: 0,
        };
        let called = EndpointNames { names: &before, ids };
        let told = with_names("p", &learned, &called, |up_for| Some(1_000_000 - up_for as u64 / 1000));
        assert_eq!(told.nodes.len(), 2, "one without a name says nothing");
        assert_eq!(told.nodes[0].started_ms, Some(940_000));
        // Classes changed places and one is new, a zone is not known, and so is a node.
        let after = names(&["new", "write", "read"], &["south"]);
        let ids = BTreeMap::from([("a", EndpointId(5)), ("c", EndpointId(2))]);
        let found = with_indexes(&told, 1_000_000, &EndpointNames { names: &after, ids }, |ms| {
            Some((1_001_000 - ms as i64) * 1000)
        });
        assert_eq!((found.age, found.endpoints.len()), (1_000_000, 1));
        let one = &found.endpoints[0];
        assert_eq!(
            (one.id, one.uptime, one.consecutive_failures, one.ejected_for),
            (EndpointId(5), Some(60_000_000), 3, 400)
        );
        assert_eq!(one.classes, [learned::DecayedMean::default(), mean(2.0), mean(1.0)]);
        assert_eq!(one.slow_start_tokens, 0.0, "a budget is not handed on");
        assert_eq!(found.typical_latency, [learned::DecayedMean::default(), mean(7.0), mean(6.0)]);
        assert_eq!(
            (found.loss_by_zone, found.latency_by_machine_kind),
            (vec![(0, mean(5.0))], vec![(0, mean(3.0))])
        );
        assert_eq!(
            (found.threshold_per_endpoint, found.cursor_position, found.baseline_latency, found.uptime),
            (9.0, 0.5, Some(0.1), 90)
        );
    }
}
