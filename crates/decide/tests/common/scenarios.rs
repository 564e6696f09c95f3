//! The scenarios whose actions are recorded in `equality.rs`.

use decide::{Class, DeduplicationGroup, Micros, Semantics, Settings, Tenant};

use super::event_sequence::Scenario;
use super::settings;

/// The number of events of most sequences.
const EVENTS: usize = 6_000;

fn class(
    latency_objective: Micros,
    priority_weight: f64,
    late_answer_value: f64,
    semantics: Semantics,
) -> Class {
    Class { latency_objective, deadline: 2_000_000, priority_weight, late_answer_value, semantics }
}

fn deduplicated(group: DeduplicationGroup) -> Semantics {
    Semantics::Deduplicated { group, window: 400_000 }
}

fn every_class() -> Vec<Class> {
    vec![
        class(500_000, 1.0, 0.0, Semantics::Idempotent),
        class(500_000, 4.0, 0.0, Semantics::AtMostOnce),
        class(800_000, 2.0, 0.5, deduplicated(DeduplicationGroup::All)),
        class(600_000, 2.0, 0.0, deduplicated(DeduplicationGroup::Zone)),
        class(400_000, 3.0, 0.2, deduplicated(DeduplicationGroup::Cell)),
    ]
}

pub fn single() -> Scenario {
    Scenario {
        settings: settings(),
        endpoints: 12,
        zones: 1,
        request_interval: 8_000,
        service_time: 30_000,
        failure_fraction: 0.05,
        load_reports: false,
        endpoint_restarts: false,
        handovers: 0,
        events: EVENTS,
    }
}

pub fn three_endpoints() -> Scenario {
    let classes = vec![
        class(300_000, 1.0, 0.0, Semantics::Idempotent),
        class(300_000, 2.0, 0.0, Semantics::AtMostOnce),
    ];
    let settings = Settings {
        balancers: 2,
        rank: 1,
        classes,
        max_attempts: 2,
        can_cancel: true,
        send_retry_after: true,
        max_retry_after: 900_000,
        ..settings()
    };
    Scenario { settings, endpoints: 3, failure_fraction: 0.15, ..single() }
}

pub fn all_classes() -> Scenario {
    let settings = Settings {
        balancers: 2,
        classes: every_class(),
        cross_zone_price: 0.02,
        can_cancel: true,
        hedging_allowed: true,
        send_retry_after: true,
        max_retry_after: 500_000,
        ..settings()
    };
    Scenario { settings, endpoints: 12, zones: 3, failure_fraction: 0.25, ..single() }
}

pub fn tenants() -> Scenario {
    let quotas = [5.0, 25.0, 0.0];
    let tenants = quotas.map(|quota_per_s| Tenant { quota_per_s }).to_vec();
    let classes = vec![
        class(500_000, 1.0, 0.5, Semantics::Idempotent),
        class(300_000, 5.0, 0.0, Semantics::Idempotent),
    ];
    let settings = Settings { classes, tenants, send_retry_after: true, ..settings() };
    Scenario { settings, ..single() }
}

pub fn load_reports() -> Scenario {
    let settings = Settings { balancers: 2, health_checks_allowed: true, ..settings() };
    Scenario { settings, zones: 2, load_reports: true, ..single() }
}

pub fn polled_discovery() -> Scenario {
    let settings = Settings {
        balancers: 10,
        rank: 3,
        poll_discovery: true,
        max_poll_interval: 2_000_000,
        classes: every_class(),
        timer_resolution: 1_000,
        ..settings()
    };
    Scenario { settings, endpoints: 40, zones: 2, failure_fraction: 0.1, ..single() }
}

pub fn deeper_tier() -> Scenario {
    let settings = Settings {
        balancers: 2,
        tier: 1,
        tiers: 3,
        classes: every_class(),
        send_retry_after: true,
        max_retry_after: 900_000,
        hedging_allowed: true,
        ..settings()
    };
    Scenario {
        settings,
        zones: 2,
        load_reports: true,
        failure_fraction: 0.1,
        service_time: 15_000,
        ..single()
    }
}

pub fn gossip() -> Scenario {
    let settings = Settings {
        balancers: 8,
        rank: 5,
        gossip_allowed: true,
        tier: 1,
        tiers: 2,
        classes: every_class(),
        can_cancel: true,
        ..settings()
    };
    Scenario { settings, endpoints: 12, zones: 3, failure_fraction: 0.1, ..single() }
}

pub fn sixty_with_gossip() -> Scenario {
    let settings = Settings {
        balancers: 60,
        rank: 59,
        gossip_allowed: true,
        classes: every_class(),
        cross_zone_price: 0.1,
        ..settings()
    };
    Scenario {
        settings,
        endpoints: 40,
        zones: 3,
        failure_fraction: 0.1,
        request_interval: 20_000,
        ..single()
    }
}

pub fn sixty_without_gossip() -> Scenario {
    let settings = Settings {
        balancers: 60,
        rank: 17,
        poll_discovery: true,
        max_poll_interval: 3_000_000,
        classes: every_class(),
        hedging_allowed: true,
        cross_zone_price: 0.05,
        zone: 1,
        ..settings()
    };
    Scenario { settings, endpoints: 200, zones: 3, failure_fraction: 0.1, load_reports: true, ..single() }
}

fn slow_start_settings() -> Settings {
    Settings {
        slow_start_min_capacity: 0.1,
        slow_start_duration: 10_000_000,
        overload_multiple: 1.5,
        overload_window: 1_000_000,
        ..settings()
    }
}

pub fn warming_endpoints() -> Scenario {
    let settings =
        Settings { balancers: 2, classes: every_class(), can_cancel: true, ..slow_start_settings() };
    Scenario { settings, zones: 2, endpoint_restarts: true, failure_fraction: 0.1, ..single() }
}

pub fn large_warming_pool() -> Scenario {
    let settings = Settings { balancers: 8, rank: 2, gossip_allowed: true, ..slow_start_settings() };
    Scenario {
        settings,
        endpoints: 200,
        zones: 2,
        endpoint_restarts: true,
        request_interval: 4_000,
        ..single()
    }
}

pub fn handovers() -> Scenario {
    let settings =
        Settings { balancers: 2, classes: every_class(), can_cancel: true, ..slow_start_settings() };
    Scenario {
        settings,
        endpoints: 40,
        zones: 3,
        endpoint_restarts: true,
        failure_fraction: 0.2,
        handovers: 5,
        events: 2 * EVENTS,
        ..single()
    }
}

/// Few requests, some of which take many control periods: samples arrive late or not at all.
pub fn slow_requests() -> Scenario {
    let classes = vec![
        class(200_000, 1.0, 0.0, Semantics::Idempotent),
        Class { deadline: 8_000_000, ..class(4_000_000, 2.0, 0.0, Semantics::Idempotent) },
    ];
    let settings = Settings { balancers: 2, classes, ..settings() };
    Scenario {
        settings,
        endpoints: 3,
        request_interval: 100_000,
        service_time: 60_000,
        events: 3_000,
        ..single()
    }
}

/// Settings that `Settings::check` does not accept; the balancer limits them to usable values.
pub fn unusable_settings() -> Scenario {
    let classes = vec![
        class(Micros::MAX, f64::NAN, -1.0, deduplicated(DeduplicationGroup::Zone)),
        class(0, f64::INFINITY, f64::NAN, Semantics::Idempotent),
        class(400_000, -3.0, 1.0, Semantics::AtMostOnce),
    ];
    let settings = Settings {
        balancers: 0,
        rank: 9,
        tier: 4,
        tiers: 0,
        max_attempts: 0,
        timer_resolution: 20_000,
        cross_zone_price: f64::NAN,
        slow_start_duration: Micros::MIN,
        overload_window: Micros::MAX,
        classes,
        ..settings()
    };
    Scenario { settings, zones: 2, endpoint_restarts: true, failure_fraction: 0.1, ..single() }
}
