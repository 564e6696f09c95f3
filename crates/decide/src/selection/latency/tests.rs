use super::{EndpointLatency, LatencyModel};
use crate::endpoint_table::EndpointTable;
use crate::index::{ClassIndex, EndpointIndex};
use crate::time::ObservationWindow;
use crate::{Class, Endpoint, Outcome, Settings};

const WINDOW: ObservationWindow = ObservationWindow { time_constant: 1e6, started_at: 0 };
const CLASS: ClassIndex = ClassIndex(0);
const ENDPOINT: EndpointIndex = EndpointIndex(0);

fn settings() -> Settings {
    let class = Class { latency_objective: 10_000, ..Class::default() };
    Settings { tiers: 2, classes: vec![class], ..Settings::default() }
}

fn endpoints() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.update(0, &Endpoint::default(), 1);
    table
}

/// Guards the objective of a deeper tier: with the whole objective, it would use the time of the tiers above
/// it.
#[test]
fn deeper_tier_has_a_fraction_of_the_objective() {
    assert!((LatencyModel::new(&settings()).objective(CLASS) - 10_000.0).abs() < 1e-9);
    let deeper = LatencyModel::new(&Settings { tier: 1, ..settings() });
    assert!((deeper.objective(CLASS) - 5_000.0).abs() < 1e-9);
}

/// Guards that an endpoint that does not answer or fails ranks as slow. If only successful answers counted,
/// it would keep the relative latency of the pool and go on getting requests.
#[test]
fn failures_and_attempts_in_flight_raise_the_relative_latency() {
    let mut model = LatencyModel::new(&settings());
    let mut table = endpoints();
    let relative = |model: &LatencyModel, table: &EndpointTable, now| {
        model.relative(now, WINDOW, &table[ENDPOINT], CLASS)
    };
    assert!((relative(&model, &table, 0) - 1.0).abs() < 1e-9, "an endpoint without samples equals the pool");
    table[ENDPOINT].begin_attempt(CLASS, 0.0);
    let waiting = relative(&model, &table, 50_000);
    assert!(waiting > 1.0);
    table[ENDPOINT].end_attempt(CLASS, 0.0);
    assert!((relative(&model, &table, 50_000) - 1.0).abs() < 1e-9);
    model.record_attempt(50_000, WINDOW, &mut table[ENDPOINT], CLASS, Outcome::Error, 1_000.0);
    assert!(relative(&model, &table, 50_000) > 1.0);
}

/// Guards the count in flight when samples are removed: the ends of these attempts still follow.
#[test]
fn forgotten_samples_leave_attempts_in_flight_counted() {
    let mut latency = EndpointLatency::new(1);
    latency.begin_attempt(CLASS, 7.0);
    latency.relative_mut(CLASS).record(0, 1e6, 3.0);
    latency.forget_samples();
    let class = latency.classes()[0];
    assert_eq!(class.in_flight, 1);
    assert!(class.relative.weight.abs() < 1e-9);
}
