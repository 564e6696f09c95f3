use super::{add_to, median, Evidence, MAX_SAMPLES};
use crate::ewma::Ewma;

fn evidence(value: f64) -> Evidence {
    Evidence { value, weight: 1.0 }
}

/// Guards the import against a balancer that exports a wrong figure: a mean of the three would follow it.
#[test]
fn one_wrong_figure_of_three_has_no_effect() {
    let figures = [2.0, 900.0, 3.0].map(evidence);
    assert_eq!(median(figures.into_iter(), 0.0), Some(evidence(3.0)));
}

/// Guards the choice between two figures: with only two there is no majority, so the more cautious one
/// counts.
#[test]
fn of_two_figures_the_one_nearer_to_neutral_counts() {
    let figures = [0.5, 4.0].map(evidence);
    assert_eq!(median(figures.into_iter(), 1.0), Some(evidence(0.5)));
    assert_eq!(median(figures.into_iter(), 5.0), Some(evidence(4.0)));
}

/// Guards that own samples soon outweigh imported ones, however many samples the exported figure claims.
#[test]
fn imported_samples_of_a_mean_are_bounded() {
    let mut mean = Ewma::default();
    add_to(&mut mean, 0, 1.0, Evidence { value: 2.0, weight: 100.0 });
    add_to(&mut mean, 0, 1.0, Evidence { value: 9.0, weight: 100.0 });
    assert!((mean.weight - MAX_SAMPLES).abs() < 1e-9);
    assert!((mean.sum - 2.0 * MAX_SAMPLES).abs() < 1e-9);
}
