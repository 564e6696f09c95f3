//! Tests the limiter in simulated time: comparison with ideal fair shares for many seeds, and cases of
//! overload.

use limit::{
    max_min_fair_shares, Capacity, Demand, Limiter, Limits, Micros, Permit, RejectReason, ResourcesInUse,
    TenantId, IDLE_TIMEOUT, SHARE_PERIOD,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

fn capacity(requests_per_s: f64) -> Capacity {
    Capacity { requests_per_s, in_flight: 1_000_000, body_bytes: u64::MAX / 2 }
}

fn with_weight(weight: u32) -> Limits {
    Limits { weight, ..Limits::default() }
}

/// Sends requests of each tenant at `rates` (per second) for `time` from `from` on. Returns the number of
/// admitted requests of each tenant.
fn simulate(
    limiter: &mut Limiter,
    ids: &[TenantId],
    rates: &[f64],
    from: Micros,
    time: Micros,
    seed: u64,
) -> Vec<u64> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let gap = |rng: &mut fastrand::Rng, rate: f64| {
        if rate > 0.0 {
            (-(1.0 - rng.f64()).ln() / rate * 1e6) as Micros + 1
        } else {
            Micros::MAX / 4
        }
    };
    let mut next: Vec<Micros> = rates.iter().map(|r| from + gap(&mut rng, *r)).collect();
    let mut admitted = vec![0; ids.len()];
    loop {
        let (i, now) = next.iter().copied().enumerate().min_by_key(|(_, at)| *at).expect("tenants");
        if now >= from + time {
            return admitted;
        }
        next[i] = now + gap(&mut rng, rates[i]);
        if let Ok(permit) = limiter.admit(now, ids[i], 1.0, 0) {
            admitted[i] += 1;
            limiter.release(now, permit, 1);
        }
    }
}

/// Compares the admitted requests in ten seconds, after one second of settling, with the ideal shares.
/// Returns the maximum deviation in any second and over the ten seconds, as fractions of the capacity.
fn deviation(work: f64, weights: &[u32], rates: &[f64], seed: u64) -> (f64, f64) {
    let mut limiter = Limiter::new(capacity(work));
    let ids: Vec<TenantId> = weights.iter().map(|w| limiter.add_tenant(0, with_weight(*w))).collect();
    simulate(&mut limiter, &ids, rates, 0, SECOND, seed);
    let demand = |(rate, weight): (&f64, &u32)| Demand { amount: *rate, weight: f64::from(*weight) };
    let demands: Vec<Demand> = rates.iter().zip(weights).map(demand).collect();
    let ideal = max_min_fair_shares(work, &demands);
    let (mut worst, mut sums) = (0.0_f64, vec![0.0; ids.len()]);
    for second in 1..=10 {
        let admitted = simulate(&mut limiter, &ids, rates, second * SECOND, SECOND, seed + second as u64);
        for i in 0..ids.len() {
            sums[i] += admitted[i] as f64;
            worst = worst.max((admitted[i] as f64 - ideal[i]).abs() / work);
        }
    }
    let whole = sums.iter().zip(&ideal).map(|(sum, ideal)| (sum / 10.0 - ideal).abs() / work);
    (worst, whole.fold(0.0, f64::max))
}

/// Guards against shares that deviate from weighted max-min fairness. The tolerance covers the random
/// arrivals: the demand of a tenant in one second differs from its rate.
#[test]
fn admitted_rates_stay_near_ideal_fair_shares() {
    let (mut worst, mut worst_whole) = (0.0_f64, 0.0_f64);
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.usize(2..8);
        let weights: Vec<u32> = (0..count).map(|_| rng.u32(1..10)).collect();
        let rates: Vec<f64> = (0..count).map(|_| 20.0 * 10f64.powf(rng.f64() * 2.5)).collect();
        let (second, whole) = deviation(2000.0, &weights, &rates, seed * 1000);
        worst = worst.max(second);
        worst_whole = worst_whole.max(whole);
        assert!(
            second < 0.05 && whole < 0.03,
            "seed {seed}: {second:.3} in a second, {whole:.3} over ten seconds"
        );
    }
    eprintln!("maximum deviation from ideal shares, as a fraction of capacity: {worst:.3} in a second, {worst_whole:.3} over ten seconds");
}

/// Guards against a tenant that keeps the unused share of another after that tenant becomes active again.
#[test]
fn lent_share_is_reclaimed_within_a_period() {
    let mut limiter = Limiter::new(capacity(1000.0));
    let ids = [limiter.add_tenant(0, with_weight(1)), limiter.add_tenant(0, with_weight(1))];
    // A single active tenant gets the whole capacity.
    let admitted = simulate(&mut limiter, &ids, &[5000.0, 0.0], 0, 3 * SECOND, 1);
    assert!(admitted[0] > 2700, "{admitted:?}");
    // The other tenant becomes active. It gets its guaranteed half at once, also within the first period.
    let admitted = simulate(&mut limiter, &ids, &[5000.0, 5000.0], 3 * SECOND, SHARE_PERIOD, 2);
    assert!(admitted[1] >= 40, "{admitted:?}");
    let admitted = simulate(&mut limiter, &ids, &[5000.0, 5000.0], 3 * SECOND + 2 * SHARE_PERIOD, SECOND, 3);
    assert!(admitted[0].abs_diff(admitted[1]) < 60, "{admitted:?}");
}

/// Guards against an overload by one tenant that causes rejections of other tenants within their shares.
#[test]
fn overload_by_one_tenant_rejects_only_its_requests() {
    let mut limiter = Limiter::new(capacity(1000.0));
    let ids: Vec<TenantId> = (0..3).map(|_| limiter.add_tenant(0, with_weight(1))).collect();
    let admitted = simulate(&mut limiter, &ids, &[5.0 * 333.0, 200.0, 300.0], 0, 60 * SECOND, 7);
    for (i, asked) in [(1, 200.0 * 60.0), (2, 300.0 * 60.0)] {
        let fraction = admitted[i] as f64 / asked;
        assert!(fraction > 0.97, "tenant {i}: {fraction:.3} of its requests admitted");
    }
    assert!(limiter.usage(ids[0]).expect("tenant exists").rejected[RejectReason::Share] > 50_000);
}

/// Guards against requests of low priority that use the share of the tenant before those of high priority.
#[test]
fn high_priority_is_admitted_first_within_a_tenant() {
    let mut limiter = Limiter::new(capacity(100.0));
    let id = limiter.add_tenant(0, with_weight(1));
    let mut admitted = [0, 0];
    for i in 0..4000 {
        // Half of the requests have the lowest priority, half the highest. Together they are twice the share.
        let priority = i % 2;
        if let Ok(permit) = limiter.admit(i * 5_000, id, priority as f64, 0) {
            admitted[priority as usize] += 1;
            limiter.release(i * 5_000, permit, 1);
        }
    }
    assert!(admitted[1] > 1900, "{admitted:?} of 2000 each");
    assert!(admitted[0] < 200, "{admitted:?}");
}

/// Guards against a limit that is not applied, or that rejects with the reason of another limit.
#[test]
fn each_limit_rejects_with_its_reason() {
    let mut limiter = Limiter::new(capacity(f64::INFINITY));
    let limits = Limits {
        requests_per_s: 10.0,
        burst: 5.0,
        in_flight: 3,
        connections: 2,
        body_bytes: 100,
        ..Limits::default()
    };
    let id = limiter.add_tenant(0, limits);
    let permits: Vec<Permit> = (0..3).map(|_| limiter.admit(0, id, 1.0, 20).expect("room")).collect();
    let reason =
        |limiter: &mut Limiter, now, body| limiter.admit(now, id, 1.0, body).expect_err("rejected").reason;
    assert_eq!(reason(&mut limiter, 0, 0), RejectReason::InFlight);
    permits.into_iter().for_each(|a| limiter.release(0, a, 1));
    assert_eq!(reason(&mut limiter, 0, 101), RejectReason::Bodies);
    for _ in 0..2 {
        let permit = limiter.admit(0, id, 1.0, 0).expect("burst");
        limiter.release(0, permit, 1);
    }
    let rejection = limiter.admit(0, id, 1.0, 0).expect_err("rejected");
    assert_eq!((rejection.reason, rejection.retry_after), (RejectReason::Rate, 100_000));
    let permit = limiter.admit(100_000, id, 1.0, 0).expect("a retry after the given time is admitted");
    limiter.release(100_000, permit, 1);
    assert!(limiter.connect(id).is_ok() && limiter.connect(id).is_ok());
    assert_eq!(limiter.connect(id).expect_err("rejected").reason, RejectReason::Connections);
    limiter.disconnect(id);
    assert!(limiter.connect(id).is_ok());
    let usage = limiter.usage(id).expect("tenant exists");
    assert_eq!(usage.rejected, [1, 0, 1, 1, 1].into());
    assert_eq!((usage.admitted, usage.in_flight, usage.body_bytes, usage.connections), (6, 0, 0, 2));
}

/// Guards against retries above the rate of the tenant.
#[test]
fn exhausted_retries_allow_one_attempt() {
    let mut limiter = Limiter::new(capacity(f64::INFINITY));
    let id = limiter.add_tenant(0, Limits { retries_per_s: 2.0, ..Limits::default() });
    let mut attempts = |now: Micros, made: usize| {
        let permit = limiter.admit(now, id, 1.0, 0).expect("room");
        let allowed = permit.max_attempts.unwrap_or(usize::MAX);
        limiter.release(now, permit, made.min(allowed));
        allowed
    };
    assert!(attempts(0, 3) > 1, "two retries have accumulated");
    assert_eq!(attempts(1, 3), 1, "no retry is left");
    assert_eq!(attempts(400_000, 3), 1);
    assert!(attempts(600_000, 1) > 1, "half a second adds one retry");
}

/// Guards against a tenant whose endpoints do not respond and whose requests in flight use up the guaranteed
/// quotas of the other tenants.
#[test]
fn tenant_that_borrows_all_it_can_leaves_the_others_their_guaranteed_quota() {
    let bounds = Capacity { requests_per_s: f64::INFINITY, in_flight: 90, body_bytes: 9000 };
    let mut limiter = Limiter::new(bounds);
    let ids: Vec<TenantId> = (0..3).map(|_| limiter.add_tenant(0, with_weight(1))).collect();
    // The second tenant is active, and the third has been idle from the start.
    let first = limiter.admit(0, ids[1], 1.0, 100).expect("room");
    let mut stuck = Vec::new();
    for now in 0..200 {
        stuck.extend(limiter.admit(now, ids[0], 1.0, 100));
    }
    assert!((30..=60).contains(&stuck.len()), "it may borrow, but not everything: {}", stuck.len());
    let others: Vec<Permit> =
        (0..29).map(|_| limiter.admit(300, ids[1], 1.0, 100).expect("its guaranteed quota")).collect();
    assert!(limiter.admit(300, ids[2], 1.0, 100).is_ok(), "a tenant that becomes active is admitted");
    stuck.into_iter().chain(others).chain([first]).for_each(|a| limiter.release(400, a, 1));
    assert_eq!(
        limiter.in_use(),
        ResourcesInUse { in_flight: 1, body_bytes: 100 },
        "all are released but the permit that the test dropped"
    );
}

/// Guards against requests of a removed tenant that change the usage of a new tenant in the same slot.
#[test]
fn tenant_added_again_inherits_nothing_from_the_removed_one() {
    let mut limiter = Limiter::new(capacity(1000.0));
    let old = limiter.add_tenant(0, Limits { in_flight: 1, connections: 1, ..Limits::default() });
    let permit = limiter.admit(0, old, 1.0, 10).expect("room");
    limiter.connect(old).expect("room");
    limiter.remove_tenant(old);
    assert!(limiter.admit(0, old, 1.0, 0).is_err() && limiter.usage(old).is_none());
    let new = limiter.add_tenant(0, Limits { in_flight: 1, connections: 1, ..Limits::default() });
    assert_eq!(limiter.usage(new), Some(limit::Usage::default()));
    let own = limiter.admit(0, new, 1.0, 0).expect("its own");
    // The request of the removed tenant ends and is not subtracted from the usage of the new one.
    limiter.release(0, permit, 1);
    limiter.disconnect(old);
    assert_eq!(limiter.usage(new).expect("tenant exists").in_flight, 1);
    limiter.release(0, own, 1);
    assert_eq!(limiter.in_use(), ResourcesInUse { in_flight: 0, body_bytes: 0 });
}

/// Guards against capacity that is reserved for idle tenants while active ones are rejected.
#[test]
fn idle_tenants_have_no_share() {
    let mut limiter = Limiter::new(capacity(1000.0));
    let ids: Vec<TenantId> = (0..1000).map(|_| limiter.add_tenant(0, with_weight(1))).collect();
    let rates: Vec<f64> = (0..10).map(|_| 300.0).collect();
    // In the first periods no demand has been measured yet.
    simulate(&mut limiter, &ids[..10], &rates, 0, SECOND, 5);
    let admitted = simulate(&mut limiter, &ids[..10], &rates, SECOND, 10 * SECOND, 5);
    assert!(admitted.iter().all(|count| (900..=1100).contains(count)), "{admitted:?}");
    // After a pause all tenants are idle, and the first request is admitted.
    assert!(limiter.admit(11 * SECOND + 2 * IDLE_TIMEOUT, ids[999], 1.0, 0).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Guards against rejections of a tenant within its guaranteed share, at any rates of the other tenants.
    #[test]
    fn tenant_within_its_guaranteed_share_is_not_starved(
        weights in prop::collection::vec(1..20_u32, 2..8),
        other_rates in prop::collection::vec(0.0..8000.0_f64, 8),
        seed in any::<u32>(),
    ) {
        let mut limiter = Limiter::new(capacity(2000.0));
        let ids: Vec<TenantId> = weights.iter().map(|w| limiter.add_tenant(0, with_weight(*w))).collect();
        let all: u32 = weights.iter().sum();
        let own = 0.8 * 2000.0 * f64::from(weights[0]) / f64::from(all);
        let mut rates: Vec<f64> = other_rates[..weights.len()].to_vec();
        rates[0] = own;
        simulate(&mut limiter, &ids, &rates, 0, SECOND, seed.into());
        let before = limiter.usage(ids[0]).expect("tenant exists");
        simulate(&mut limiter, &ids, &rates, SECOND, 4 * SECOND, u64::from(seed) + 1);
        let after = limiter.usage(ids[0]).expect("tenant exists");
        let rejected = after.rejected.total() - before.rejected.total();
        let asked = after.admitted - before.admitted + rejected;
        prop_assert!(rejected as f64 <= 0.10 * asked as f64 + 5.0, "{rejected} of {asked} rejected");
    }

    /// Guards against shares that are not max-min fair: the shares add up to the demand or to the capacity,
    /// none exceeds its demand, and none could grow without reducing a share that is smaller per weight.
    #[test]
    fn max_min_shares_are_fair(asks in prop::collection::vec((0.0..1000.0_f64, 1.0..20.0_f64), 1..20), work in 0.0..4000.0_f64) {
        let demands: Vec<Demand> = asks.iter().map(|(amount, weight)| Demand { amount: *amount, weight: *weight }).collect();
        let shares = max_min_fair_shares(work, &demands);
        let (sum, demand): (f64, f64) = (shares.iter().sum(), demands.iter().map(|demand| demand.amount).sum());
        prop_assert!((sum - work.min(demand)).abs() < 1e-6 * (1.0 + work));
        let level = |i: usize| shares[i] / demands[i].weight;
        for i in 0..demands.len() {
            prop_assert!(shares[i] <= demands[i].amount + 1e-9);
            if shares[i] < demands[i].amount - 1e-6 {
                prop_assert!((0..demands.len()).all(|j| level(j) <= level(i) + 1e-6));
            }
        }
    }

    /// Guards against resources that are leaked or released twice, in any order of events.
    #[test]
    fn acquired_resources_are_released(events in prop::collection::vec((0..6_u8, 0..4_usize, 0..500_u64), 0..200)) {
        let bounds = Capacity { requests_per_s: 500.0, in_flight: 20, body_bytes: 3000 };
        let mut limiter = Limiter::new(bounds);
        let mut ids: Vec<TenantId> = (0..4).map(|i| limiter.add_tenant(0, with_weight(i + 1))).collect();
        let mut open: Vec<Permit> = Vec::new();
        let mut now = 0;
        for (event, i, amount) in events {
            now += amount as Micros * 100;
            match event {
                0..=2 => open.extend(limiter.admit(now, ids[i], 0.5, amount)),
                3 if !open.is_empty() => {
                    let permit = open.swap_remove(i % open.len());
                    limiter.release(now, permit, i);
                }
                4 => {
                    limiter.remove_tenant(ids[i]);
                    ids[i] = limiter.add_tenant(now, with_weight(1));
                }
                5 => limiter.set_limits(now, ids[i], Limits { in_flight: amount % 10, ..with_weight(2) }),
                _ => {}
            }
            let ResourcesInUse { in_flight, body_bytes } = limiter.in_use();
            prop_assert_eq!(in_flight, open.len() as u64);
            prop_assert!(in_flight <= bounds.in_flight && body_bytes <= bounds.body_bytes);
        }
        open.into_iter().for_each(|a| limiter.release(now, a, 1));
        prop_assert_eq!(limiter.in_use(), ResourcesInUse { in_flight: 0, body_bytes: 0 });
    }
}
