//! Tests of the conversion of learned state by name.

use super::*;

fn mean(sum: f64) -> learned::DecayedMean {
    learned::DecayedMean { sum, weight: 2.0, age: 5 }
}

fn names(classes: &[&str], zones: &[&str]) -> NameTable {
    let owned = |all: &[&str]| all.iter().map(|s| (*s).to_owned()).collect();
    NameTable::new(owned(classes), owned(zones), vec!["std".to_owned()])
}

/// The next process may order classes, zones and endpoints differently. Mapping learned state by index
/// instead of by name would assign it to the wrong class or endpoint.
#[test]
fn learned_state_is_mapped_by_name_to_other_indexes() {
    let names_before = names(&["read", "write"], &["north", "south"]);
    let ids = BTreeMap::from([("a", EndpointId(1)), ("b", EndpointId(2))]);
    let endpoint = |id, uptime| learned::LearnedEndpoint {
        id: EndpointId(id),
        uptime,
        classes: vec![mean(1.0), mean(2.0)],
        consecutive_failures: 3,
        ejected_for: 400,
        slow_start_tokens: 7.0,
    };
    let learned = LearnedState {
        uptime: 90,
        endpoints: vec![endpoint(1, Some(60_000_000)), endpoint(2, None), endpoint(9, None)],
        latency_by_machine_kind: vec![(0, mean(3.0)), (4, mean(3.5))],
        loss_by_zone: vec![(0, mean(4.0)), (1, mean(5.0))],
        typical_latency: vec![mean(6.0), mean(7.0)],
        pool_latency: mean(8.0),
        threshold_per_endpoint: 9.0,
        cursor_position: 0.5,
        baseline_latency: Some(0.1),
        age: 0,
    };
    let learned_names = LearnedNames { name_table: &names_before, endpoint_ids: ids };
    let record =
        to_pool_record("p", &learned, &learned_names, |uptime| Some(1_000_000 - uptime as u64 / 1000));
    assert_eq!(record.endpoints.len(), 2, "an endpoint without a name is left out");
    assert_eq!(record.endpoints[0].started_ms, Some(940_000));
    // The classes are in another order and one is new; one zone and one endpoint are unknown.
    let names_after = names(&["new", "write", "read"], &["south"]);
    let ids = BTreeMap::from([("a", EndpointId(5)), ("c", EndpointId(2))]);
    let imported = to_learned_state(
        &record,
        1_000_000,
        &LearnedNames { name_table: &names_after, endpoint_ids: ids },
        |ms| Some((1_001_000 - ms as i64) * 1000),
    );
    assert_eq!((imported.age, imported.endpoints.len()), (1_000_000, 1));
    let endpoint = &imported.endpoints[0];
    assert_eq!(
        (endpoint.id, endpoint.uptime, endpoint.consecutive_failures, endpoint.ejected_for),
        (EndpointId(5), Some(60_000_000), 3, 400)
    );
    assert_eq!(endpoint.classes, [learned::DecayedMean::default(), mean(2.0), mean(1.0)]);
    assert_eq!(endpoint.slow_start_tokens, 0.0, "a slow start budget is not passed on");
    assert_eq!(imported.typical_latency, [learned::DecayedMean::default(), mean(7.0), mean(6.0)]);
    assert_eq!(
        (imported.loss_by_zone, imported.latency_by_machine_kind),
        (vec![(0, mean(5.0))], vec![(0, mean(3.0))])
    );
    assert_eq!(
        (
            imported.threshold_per_endpoint,
            imported.cursor_position,
            imported.baseline_latency,
            imported.uptime
        ),
        (9.0, 0.5, Some(0.1), 90)
    );
}
