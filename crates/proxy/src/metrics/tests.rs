//! Counting under random sequences of events, and the exposed text. Guards against an outcome that is counted
//! twice or not at all, a gauge that does not return to 0, and an unbounded number of time series.

use super::*;

#[test]
fn outcomes_are_counted_once_and_open_requests_are_in_flight() {
    let metrics = Metrics::new(false);
    let classes = ["C", "D"].map(|class| metrics.request_counters(class, &vec![]));
    let mut rng = fastrand::Rng::with_seed(11);
    let (mut open, mut received, mut counted) = (Vec::new(), 0, 0);
    for _ in 0..10_000 {
        match rng.u8(0..4) {
            0 => {
                let recorder = RequestRecorder::default();
                if rng.u8(0..9) > 0 {
                    recorder.set_counters(Some(Rc::clone(&classes[rng.usize(0..2)])));
                    counted += 1;
                    if rng.bool() {
                        recorder.on_received();
                        recorder.on_received();
                        received += 1;
                        open.push(recorder);
                    }
                }
            }
            1 if !open.is_empty() => {
                let recorder = open.swap_remove(rng.usize(0..open.len()));
                let outcome = [RequestOutcome::Served, RequestOutcome::Rejected, RequestOutcome::Failed]
                    [rng.usize(0..3)];
                recorder.record(outcome);
                recorder.record(RequestOutcome::Served);
            }
            2 if !open.is_empty() => drop(open.swap_remove(rng.usize(0..open.len()))),
            _ => {}
        }
        let ended: u64 = classes.iter().map(|c| c.ok.get() + c.shed.get() + c.errors.get()).sum();
        assert_eq!(metrics.active.get(), open.len() as i64);
        assert_eq!(ended + open.len() as u64, counted);
    }
    assert!(received > 100);
}

fn assert_contains_lines(text: &str, lines: &[&str]) {
    for line in lines {
        assert!(text.lines().any(|l| l == *line), "{line} in {text}");
    }
}

#[test]
fn encoded_text_has_the_exposed_names_and_formats() {
    let metrics = Metrics::new(false);
    let recorder = RequestRecorder::default();
    recorder.set_counters(Some(metrics.request_counters("C", &vec![])));
    recorder.on_received();
    recorder.record(RequestOutcome::Served);
    metrics.attempts(&vec![]).inc();
    assert_contains_lines(
        &metrics.encode(&[PoolGauges { labels: vec![], endpoints: 7, unused: 2 }]),
        &[
            "edge_lb_ok_total{kind=\"C\"} 1",
            "edge_lb_shed_total{kind=\"C\"} 0",
            "edge_lb_errors_total{kind=\"C\"} 0",
            "edge_lb_tries_total 1",
            "edge_lb_active 0",
            "edge_lb_pool_size 7",
            "edge_lb_pool_ejected 2",
        ],
    );
}

#[test]
fn removed_pools_lose_their_gauges_and_label_sets_are_bounded() {
    let metrics = Metrics::new(true);
    let labels = |pool: &str| vec![("pool", pool.to_owned())];
    metrics.request_counters("C", &labels("p")).ok.inc();
    metrics.attempts(&labels("p")).inc();
    let gauges = |name: &str| PoolGauges { labels: labels(name), endpoints: 3, unused: 1 };
    assert_contains_lines(
        &metrics.encode(&[gauges("p"), gauges("q")]),
        &[
            "edge_lb_ok_total{kind=\"C\",pool=\"p\"} 1",
            "edge_lb_tries_total{pool=\"p\"} 1",
            "edge_lb_pool_size{pool=\"q\"} 3",
        ],
    );
    assert!(!metrics.encode(&[gauges("q")]).contains("pool_size{pool=\"p\"}"), "a removed pool is exposed");
    // A pool that is restarted many times still has one time series.
    for _ in 0..2 * MAX_LABEL_SETS {
        metrics.attempts(&labels("p")).inc();
    }
    assert_contains_lines(
        &metrics.encode(&[]),
        &[&format!("edge_lb_tries_total{{pool=\"p\"}} {}", 2 * MAX_LABEL_SETS + 1)],
    );
    for class in 0..2 * MAX_LABEL_SETS {
        metrics.request_counters(&class.to_string(), &labels("p")).ok.inc();
    }
    let text = metrics.encode(&[]);
    assert_eq!(text.matches("\nedge_lb_ok_total").count(), MAX_LABEL_SETS + 1);
    assert_contains_lines(
        &text,
        &[&format!("edge_lb_ok_total{{kind=\"_other\",pool=\"_other\"}} {}", MAX_LABEL_SETS + 1)],
    );
}
