//! Prints the results of a rolling release in fleets of 1, 10, 50 and 200 proxies with forty endpoints, for
//! each seed. The fleets of 50 and 200 proxies are also simulated with a shorter actual slow start.

use emulate::{run, Fleet, Release, MILLISECOND, SECOND};

fn main() {
    println!("proxies seed | in time % rejected %  handshakes/proxy queued calls/proxy  rejected calls  burst  late  overloaded");
    for (proxies, warm_after_s) in
        [(1, 15), (10, 15), (50, 15), (200, 15), (50, 5), (200, 5), (50, 1), (200, 1)]
    {
        println!("actual slow start {warm_after_s} s, announced slow start 15 s");
        for seed in 1..=3 {
            let release = Some(Release { start: 5 * SECOND, interval: 500 * MILLISECOND, end: 55 * SECOND });
            let report = run(&Fleet {
                proxies,
                seed,
                release,
                actual_slow_start: warm_after_s * SECOND,
                truncated_fraction: 0.02,
                silent_fraction: 0.02,
                ..Fleet::default()
            });
            let per_proxy = |count: u64| count as f64 / proxies as f64;
            println!(
                "{proxies:7} {seed:4} | {:9.1} {:10.1} {:17.1} {:17.1} {:12} {:5} {:5} {:5}",
                100.0 * report.served as f64 / report.requests as f64,
                100.0 * report.rejected as f64 / report.client_attempts as f64,
                per_proxy(report.handshakes),
                per_proxy(report.queued_calls),
                report.rejected_calls,
                report.max_burst,
                report.late_forwards,
                report.overloaded_endpoints,
            );
        }
    }
}
