//! Compares the processor time of two proxies for small requests. Rounds alternate between them, so that a
//! temporary load on the machine affects both.

use crate::stubs::*;

/// Returns a line with the processor time per request of the second proxy as a fraction of that of the first:
/// median and quartiles over the rounds. The first round opens connections and warms up, and is not counted.
pub fn compare(proxies: [&Process; 2], endpoints: &[MockEndpoint], rounds: usize, requests: usize) -> String {
    let request = read("0000000000000000", 9000);
    let mut ratios: Vec<f64> = Vec::new();
    for round in 0..rounds {
        let mut cost = [0.0; 2];
        // The order within a round alternates too.
        for side in [round % 2, 1 - round % 2] {
            let proxy = proxies[side];
            let before = proxy.cpu_time_ns();
            let mut client = proxy.connect();
            for i in 0..requests {
                let response = client.ask(&request.replace("0000000000000000", &format!("{i:016x}")));
                assert_eq!(response.status(), 200, "{i} of round {round}, side {side}");
            }
            cost[side] = (proxy.cpu_time_ns() - before) as f64;
            endpoints.iter().for_each(|endpoint| drop(endpoint.requests()));
        }
        ratios.extend((round > 0).then(|| cost[1] / cost[0]));
    }
    ratios.sort_by(f64::total_cmp);
    let quantile = |q: f64| ratios[((ratios.len() - 1) as f64 * q) as usize];
    let (median, low, high) = (quantile(0.5), quantile(0.25), quantile(0.75));
    let pairs = ratios.len();
    format!("processor time per request, {pairs} pairs of {requests}: median {median:.3}, quartiles {low:.3} to {high:.3}")
}
