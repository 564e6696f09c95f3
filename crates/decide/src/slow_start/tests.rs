use fastrand::Rng;

use super::{SlowStart, SlowStartBudget};
use crate::{Endpoint, Settings};

const DURATION: i64 = 1_000;

fn slow_start() -> SlowStart {
    SlowStart::new(&Settings {
        balancers: 1,
        slow_start_min_capacity: 0.2,
        slow_start_duration: DURATION,
        ..Settings::default()
    })
}

/// Guards the ramp from the minimum capacity to the full one. A wrong ramp overloads a cold endpoint or
/// leaves a warm one idle.
#[test]
fn capacity_grows_linearly_until_the_endpoint_is_warm() {
    let entry = Endpoint { up_since: Some(0), ..Endpoint::default() };
    let fraction = |now| slow_start().capacity_fraction(now, &entry);
    assert_eq!(fraction(0), Some(0.2));
    assert!(fraction(DURATION / 2).is_some_and(|half| (half - 0.6).abs() < 1e-9));
    assert_eq!(fraction(DURATION), None);
    assert!(slow_start().is_warm(0, &Endpoint::default()), "an endpoint without a start time is warm");
}

/// Guards the rate and the maximum of the bucket, and that a failed draw empties it. Tokens kept over failed
/// draws would let many balancers send to a warming endpoint at the same time.
#[test]
fn budget_refills_at_its_rate_and_a_failed_draw_empties_it() {
    let mut rng = Rng::with_seed(1);
    let mut budget = SlowStartBudget::default();
    assert!(!budget.draw_permission(0, Some(0), 0.01, 5.0, &mut rng), "no token before any time has passed");
    assert!(budget.draw_permission(200, Some(0), 0.01, 5.0, &mut rng));
    assert!((budget.tokens() - 2.0).abs() < 1e-9);
    budget.spend();
    assert!((budget.tokens() - 1.0).abs() < 1e-9);
    assert!(budget.draw_permission(100_000, Some(0), 0.01, 5.0, &mut rng));
    assert!((budget.tokens() - 5.0).abs() < 1e-9, "the bucket holds at most its maximum");
    let mut draw_half_a_token = || {
        let mut budget = SlowStartBudget::default();
        let is_drawn = budget.draw_permission(50, Some(0), 0.01, 5.0, &mut rng);
        (is_drawn, budget.tokens())
    };
    let draws: Vec<(bool, f64)> = (0..100).map(|_| draw_half_a_token()).collect();
    for is_drawn in [false, true] {
        assert!(
            draws.iter().any(|draw| draw.0 == is_drawn),
            "half a token permits some draws and refuses others"
        );
    }
    for (is_drawn, tokens) in draws {
        let expected = if is_drawn { 0.5 } else { 0.0 };
        assert!((tokens - expected).abs() < 1e-9, "a failed draw empties the bucket");
    }
}
