//! What a small request costs two proxies, paired: rounds alternate between them, so that a machine that is busy for a
//! while is busy for both.

use crate::stubs::*;

/// The second proxy's processor time a request over the first one's, a ratio a round, as a line. The first round makes
/// connections and warms up, and is not told.
pub fn told(proxies: [&Process; 2], nodes: &[MockEndpoint], rounds: usize, requests: usize) -> String {
    let request = read("0000000000000000", 9000);
    let mut ratios: Vec<f64> = Vec::new();
    for round in 0..rounds {
        let mut cost = [0.0; 2];
        // Who goes first alternates too.
        for side in [round % 2, 1 - round % 2] {
            let proxy = proxies[side];
            let before = proxy.cpu_time_ns();
            let mut caller = proxy.connect();
            for i in 0..requests {
                let answer = caller.ask(&request.replace("0000000000000000", &format!("{i:016x}")));
                assert_eq!(answer.status(), 200, "{i} of round {round}, side {side}");
            }
            cost[side] = (proxy.cpu_time_ns() - before) as f64;
            nodes.iter().for_each(|n| drop(n.requests()));
        }
        ratios.extend((round > 0).then(|| cost[1] / cost[0]));
    }
    ratios.sort_by(f64::total_cmp);
    let at = |part: f64| ratios[((ratios.len() - 1) as f64 * part) as usize];
    let (median, low, high) = (at(0.5), at(0.25), at(0.75));
    let pairs = ratios.len();
    format!("processor time a request, {pairs} pairs of {requests}: median {median:.3}, quartiles {low:.3} to {high:.3}")
}
