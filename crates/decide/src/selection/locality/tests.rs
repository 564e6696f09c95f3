use super::Locality;
use crate::index::ZoneIndex;
use crate::time::ObservationWindow;
use crate::{Outcome, Settings};

const WINDOW: ObservationWindow = ObservationWindow { time_constant: 1_000.0, started_at: 0 };

/// Guards the price: an endpoint in the zone of the balancer must not pay it.
#[test]
fn only_other_zones_raise_the_score() {
    let locality = Locality::new(&Settings { zone: 1, cross_zone_price: 0.04, ..Settings::default() });
    assert!((locality.weigh(3.0, ZoneIndex(1)) - 3.0).abs() < 1e-9);
    assert!((locality.weigh(3.0, ZoneIndex(0)) - 6.0).abs() < 1e-9);
}

/// Guards the detection of a partitioned zone: its losses must not affect another zone.
#[test]
fn losses_raise_the_score_of_their_zone() {
    let mut locality = Locality::new(&Settings::default());
    for _ in 0..3 {
        locality.record(0, WINDOW, ZoneIndex(1), Outcome::ConnectFailed);
        locality.record(0, WINDOW, ZoneIndex(2), Outcome::Ok);
    }
    assert!(
        (locality.weigh(1.0, ZoneIndex(1)) - 16.0).abs() < 1e-9,
        "with the prior, half of the attempts are lost"
    );
    assert!((locality.weigh(1.0, ZoneIndex(2)) - 1.0).abs() < 1e-9);
}
