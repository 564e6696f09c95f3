use crate::{Class, Settings};

fn usable() -> Settings {
    let class = Class { latency_objective: 1, ..Class::default() };
    Settings { balancers: 2, tiers: 1, classes: vec![class], max_attempts: 1, ..Settings::default() }
}

fn error(settings: &Settings) -> String {
    settings.check().expect_err("unusable").to_string()
}

#[test]
fn each_fault_keeps_its_text() {
    assert_eq!(usable().check(), Ok(()));
    assert_eq!(error(&Settings { classes: Vec::new(), ..usable() }), "no classes");
    let class = |class| Settings { classes: vec![usable().classes[0].clone(), class], ..usable() };
    assert_eq!(error(&class(Class::default())), "class 1: the aim is no time to answer in: 0 us");
    let negative = Class { priority_weight: -1.5, ..usable().classes[0].clone() };
    assert_eq!(error(&class(negative)), "class 1: not a worth: -1.5");
    assert_eq!(error(&Settings { balancers: 0, ..usable() }), "not a number of balancers: 0");
    assert_eq!(error(&Settings { rank: 2, ..usable() }), "rank 2 of 2 balancers");
    assert_eq!(error(&Settings { tier: 1, ..usable() }), "tier 1 of 1");
    assert_eq!(error(&Settings { max_attempts: 0, ..usable() }), "no attempt is allowed");
    assert_eq!(error(&Settings { overload_window: -7, ..usable() }), "fall_time: not a span of time: -7 us");
    let number = Settings { overload_multiple: f64::NAN, ..usable() };
    assert_eq!(error(&number), "fall_multiple: not a number at or above 0: NaN");
}
