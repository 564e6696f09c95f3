//! Compares announcement policies by simulation: fifty sites with random faults behind two routers, for four
//! hours of simulated time and over several seeds. Run by `cargo bench -p bgp`.
#[path = "../tests/common/sites.rs"]
mod sites;

use bgp::SECOND;
use sites::*;

fn main() {
    // Cargo passes these flags to list or test the benchmarks of a target without the standard harness.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    println!("| load | policy | sent to failed sites | served | announcements per hour and site | most per minute of one site | without any site, s |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let (seeds, hours) = (1..=4u64, 4);
    for load in [0.4, 0.6, 0.8] {
        for (name, policy) in
            [("static", Policy::Static), ("undamped", Policy::Undamped), ("damped", Policy::Damped)]
        {
            let mut all = Outcome::default();
            for seed in seeds.clone() {
                let duration = hours * 3600 * SECOND;
                let one = simulate(policy, &random_faults(seed, duration), duration, load);
                all.sent_to_failed_sites += one.sent_to_failed_sites / 4.0;
                all.served += one.served / 4.0;
                all.announcements += one.announcements;
                all.max_announcements_per_minute =
                    all.max_announcements_per_minute.max(one.max_announcements_per_minute);
                all.seconds_without_site += one.seconds_without_site;
            }
            let per_hour_and_site = all.announcements as f64 / (4 * hours) as f64 / SITES as f64;
            println!(
                "| {load} | {name} | {:.3} % | {:.2} % | {per_hour_and_site:.1} | {} | {:.0} |",
                all.sent_to_failed_sites * 100.0,
                all.served * 100.0,
                all.max_announcements_per_minute,
                all.seconds_without_site
            );
        }
    }
}
