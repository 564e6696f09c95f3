use fastrand::Rng;

use super::Ejection;
use crate::time::ObservationWindow;
use crate::Outcome;

const WINDOW: ObservationWindow = ObservationWindow { time_constant: 1_000.0, started_at: 0 };

/// The number of consecutive outcomes of one kind that ejects an endpoint; `None` if ten do not.
fn outcomes_to_eject(outcome: Outcome) -> Option<usize> {
    let mut ejection = Ejection::default();
    let mut rng = Rng::with_seed(1);
    (1..=10).find(|_| {
        ejection.record(0, outcome, WINDOW, &mut rng);
        ejection.is_ejected(0)
    })
}

/// Guards the limit of each kind of failure, and that answers and cancelled attempts never eject.
#[test]
fn consecutive_failures_eject() {
    assert_eq!(outcomes_to_eject(Outcome::ConnectFailed), Some(1));
    assert_eq!(outcomes_to_eject(Outcome::Reset), Some(2));
    assert_eq!(outcomes_to_eject(Outcome::Timeout), Some(3));
    for outcome in [Outcome::Ok, Outcome::Error, Outcome::Rejected, Outcome::Cancelled, Outcome::NotSent] {
        assert_eq!(outcomes_to_eject(outcome), None);
    }
}

/// Guards the length of an ejection: without the bound, an endpoint that failed for long would stay ejected
/// after its repair.
#[test]
fn ejection_doubles_three_times_and_ends_with_a_success() {
    let mut ejection = Ejection::default();
    let mut rng = Rng::with_seed(1);
    for longest in [1_000, 2_000, 4_000, 8_000, 8_000] {
        ejection.record(0, Outcome::ConnectFailed, WINDOW, &mut rng);
        assert!((longest / 2..=longest).contains(&ejection.ejected_until));
    }
    ejection.record(0, Outcome::Ok, WINDOW, &mut rng);
    assert!(!ejection.is_ejected(0));
    assert_eq!(ejection.consecutive_failures, 0);
}

/// Guards an ejection for failures against a shorter one for a rejection.
#[test]
fn rejection_does_not_shorten_an_ejection() {
    let mut ejection = Ejection { consecutive_failures: 1, ejected_until: 500 };
    ejection.eject_full(0, 10, &mut Rng::with_seed(1));
    assert_eq!(ejection.ejected_until, 500);
}
