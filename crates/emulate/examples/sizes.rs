//! Prints how a rolling release goes in fleets of 1, 10, 50 and 200 proxies before forty nodes, seed by seed.

use emulate::{run, Fleet, MS, S};

fn main() {
    println!("proxies seed | in time %  refused %  handshakes/proxy  list calls/proxy  turned away  herd  late  over");
    for (proxies, warms) in [(1, 15), (10, 15), (50, 15), (200, 15), (50, 5), (200, 5), (50, 1), (200, 1)] {
        println!("nodes are warm after {warms} s, and told to be after 15 s");
        for seed in 1..=3 {
            let release = Some((5 * S, 500 * MS, 55 * S));
            let r = run(&Fleet {
                proxies,
                seed,
                release,
                warms: warms * S,
                breaks: 0.02,
                silent: 0.02,
                ..Fleet::default()
            });
            let each = |x: u64| x as f64 / proxies as f64;
            println!(
                "{proxies:7} {seed:4} | {:9.1} {:10.1} {:17.1} {:17.1} {:12} {:5} {:5} {:5}",
                100.0 * r.served as f64 / r.asked as f64,
                100.0 * r.refused as f64 / r.tries as f64,
                each(r.handshakes),
                each(r.list_calls),
                r.turned_away,
                r.herd,
                r.late_sends,
                r.pushed_over,
            );
        }
    }
}
