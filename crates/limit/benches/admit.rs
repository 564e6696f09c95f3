//! Measures the cost of the limiter per request, by the number of tenants. At most ten tenants send requests,
//! in turn.

use limit::{Capacity, Limiter, Limits};

fn main() {
    divan::main();
}

#[divan::bench(args = [1, 10, 1_000], sample_size = 1000)]
fn admit_and_release(bencher: divan::Bencher<'_, '_>, tenants: usize) {
    let mut limiter = Limiter::new(Capacity { requests_per_s: 1e7, in_flight: 10_000, body_bytes: 1 << 30 });
    let limits = Limits { requests_per_s: 1e7, burst: 1e6, retries_per_s: 1e5, ..Limits::default() };
    let ids: Vec<_> = (0..tenants).map(|_| limiter.add_tenant(0, limits)).collect();
    let (mut now, mut next) = (0, 0);
    bencher.bench_local(|| {
        now += 10;
        next = (next + 1) % tenants.min(10);
        if let Ok(permit) = limiter.admit(now, ids[next], 1.0, 100) {
            limiter.release(now, permit, 1);
        }
    });
}
