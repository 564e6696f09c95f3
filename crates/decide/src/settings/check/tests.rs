use crate::{Class, Settings};

fn usable() -> Settings {
    let class = Class { latency_objective: 1, ..Class::default() };
    Settings { balancers: 2, tiers: 1, classes: vec![class], max_attempts: 1, ..Settings::default() }
}

fn error(settings: &Settings) -> String {
    settings.check().expect_err("unusable").to_string()
}

/// Guards the texts that operators get for unusable settings.
#[test]
fn each_error_names_the_setting_its_value_and_the_bounds() {
    assert_eq!(usable().check(), Ok(()));
    assert_eq!(error(&Settings { classes: Vec::new(), ..usable() }), "no classes: at least one is required");
    let class = |class| Settings { classes: vec![usable().classes[0].clone(), class], ..usable() };
    assert_eq!(
        error(&class(Class::default())),
        "class 1: latency objective 0 us, must be from 1 to 1125899906842624 us"
    );
    let negative = Class { priority_weight: -1.5, ..usable().classes[0].clone() };
    assert_eq!(
        error(&class(negative)),
        "class 1: priority weight -1.5, must be a finite number of at least 0"
    );
    assert_eq!(error(&Settings { balancers: 0, ..usable() }), "balancers: 0, must be from 1 to 1000000");
    assert_eq!(error(&Settings { rank: 2, ..usable() }), "rank: 2, must be below the number of balancers, 2");
    assert_eq!(error(&Settings { tier: 1, ..usable() }), "tier: 1, must be below the number of tiers, 1");
    assert_eq!(error(&Settings { max_attempts: 0, ..usable() }), "max_attempts: 0, must be at least 1");
    assert_eq!(
        error(&Settings { overload_window: -7, ..usable() }),
        "fall_time: -7 us, must be from 0 to 1125899906842624 us"
    );
    let number = Settings { overload_multiple: f64::NAN, ..usable() };
    assert_eq!(error(&number), "fall_multiple: NaN, must be a finite number of at least 0");
}
