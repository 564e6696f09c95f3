use super::{PriorityLevel, PriorityLevels};
use crate::{Class, NewRequest, Settings, Tenant};

fn levels(weights: &[f64]) -> PriorityLevels {
    let class = |weight: &f64| Class { priority_weight: *weight, ..Class::default() };
    PriorityLevels::new(&Settings {
        balancers: 1,
        classes: weights.iter().map(class).collect(),
        tenants: vec![Tenant { quota_per_s: 1.0 }],
        ..Settings::default()
    })
}

/// Guards the order of the levels: classes of one weight must share a level, whatever their order in the
/// settings.
#[test]
fn each_weight_has_one_level() {
    let mut levels = levels(&[5.0, 1.0, 5.0]);
    let mut level = |class| levels.level(0, &NewRequest { class, ..NewRequest::default() });
    assert_eq!([level(0), level(1), level(2)], [1, 0, 1].map(PriorityLevel));
}

/// Guards that retries are shed first even if all classes have one weight. Otherwise they would displace
/// first attempts in an overload.
#[test]
fn retry_is_below_the_only_weight() {
    let mut levels = levels(&[1.0]);
    assert_eq!(levels.count(), 2);
    assert_eq!(levels.level(0, &NewRequest::default()), PriorityLevel(1));
    let retry = NewRequest { is_retry: true, ..NewRequest::default() };
    assert_eq!(levels.level(0, &retry), PriorityLevel(0));
}

/// Guards the other tenants against one that exceeds its quota.
#[test]
fn tenant_over_its_quota_is_on_the_lowest_level() {
    let mut levels = levels(&[1.0]);
    let request = NewRequest { tenant: Some(0), ..NewRequest::default() };
    // One per second over two seconds, a tolerance of 1.3, and an allowance of two.
    for _ in 0..4 {
        assert_eq!(levels.level(0, &request), PriorityLevel(1));
    }
    assert_eq!(levels.level(0, &request), PriorityLevel(0));
}
