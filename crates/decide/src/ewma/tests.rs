use super::Ewma;

/// Guards the decay, and that an earlier time does not undo it.
#[test]
fn samples_decay_by_the_time_constant() {
    let mut ewma = Ewma::default();
    ewma.record(0, 100.0, 8.0);
    ewma.decay(100, 100.0);
    let remaining = (-1.0_f64).exp();
    assert!((ewma.sum - 8.0 * remaining).abs() < 1e-9);
    assert!((ewma.weight - remaining).abs() < 1e-9);
    ewma.decay(50, 100.0);
    assert_eq!(ewma.updated_at, 100, "an earlier time has no effect");
}

/// Guards the mean with few samples: without the prior, one sample would decide.
#[test]
fn prior_counts_as_samples() {
    let mut ewma = Ewma::default();
    assert!((ewma.mean(5.0, 2.0) - 5.0).abs() < 1e-9);
    ewma.record(0, 100.0, 2.0);
    assert!((ewma.mean(5.0, 2.0) - 4.0).abs() < 1e-9);
    ewma.add_to_sum(0, 100.0, 3.0);
    assert!((ewma.mean(5.0, 2.0) - 5.0).abs() < 1e-9, "time without an answer adds to the sum only");
}
