use super::Locality;
use crate::index::ZoneIndex;
use crate::time::ObservationWindow;
use crate::{Outcome, Settings};

const WINDOW: ObservationWindow = ObservationWindow { time_constant: 1_000.0, started_at: 0 };

#[test]
fn only_other_zones_cost() {
    let locality = Locality::new(&Settings { zone: 1, cross_zone_price: 0.04, ..Settings::default() });
    assert!((locality.weigh(3.0, ZoneIndex(1)) - 3.0).abs() < 1e-9);
    assert!((locality.weigh(3.0, ZoneIndex(0)) - 6.0).abs() < 1e-9);
}

#[test]
fn losses_raise_the_score_of_their_zone() {
    let mut locality = Locality::new(&Settings::default());
    for _ in 0..3 {
        locality.record(0, WINDOW, ZoneIndex(1), Outcome::ConnectFailed);
        locality.record(0, WINDOW, ZoneIndex(2), Outcome::Ok);
    }
    assert!((locality.weigh(1.0, ZoneIndex(1)) - 16.0).abs() < 1e-9, "half lost, by the prior");
    assert!((locality.weigh(1.0, ZoneIndex(2)) - 1.0).abs() < 1e-9);
}
