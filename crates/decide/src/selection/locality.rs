//! Locality: the contribution of an endpoint's zone to its score.
//!
//! Rule: the score of an endpoint in another zone is raised by the price of crossing zones and by the
//! fraction of the attempts into that zone that got no answer. The fraction is counted per zone because, if a
//! zone is partitioned, ejecting each of its endpoints separately would cost at least one failure per
//! endpoint.

use std::collections::BTreeMap;

use crate::ewma::Ewma;
use crate::index::ZoneIndex;
use crate::time::{Micros, ObservationWindow};
use crate::{Outcome, Settings};

/// The weight of the price of crossing zones in the score.
const CROSS_ZONE_PRICE_WEIGHT: f64 = 25.0;
/// The weight in the score of the fraction of attempts lost in another zone.
const ZONE_LOSS_WEIGHT: f64 = 30.0;
/// The weight of the prior of no loss, in samples.
const NO_LOSS_PRIOR_WEIGHT: f64 = 3.0;

/// The zone of the balancer, and the losses by zone.
pub(crate) struct Locality {
    zone: ZoneIndex,
    cross_zone_price: f64,
    /// The fraction of the attempts that got no answer, by zone.
    pub loss_by_zone: BTreeMap<ZoneIndex, Ewma>,
}

impl Locality {
    /// Creates the state without losses.
    pub fn new(settings: &Settings) -> Self {
        Locality {
            zone: ZoneIndex(settings.zone),
            cross_zone_price: settings.cross_zone_price,
            loss_by_zone: BTreeMap::new(),
        }
    }

    /// Records the outcome of an attempt into a zone.
    pub fn record(&mut self, now: Micros, window: ObservationWindow, zone: ZoneIndex, outcome: Outcome) {
        let loss = self.loss_by_zone.entry(zone).or_default();
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected => loss.record(now, window.time_constant, 0.0),
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                loss.record(now, window.time_constant, 1.0);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// The score of an endpoint in this zone; `score` is the score that it would have in the zone of the
    /// balancer.
    pub fn weigh(&self, score: f64, zone: ZoneIndex) -> f64 {
        if zone == self.zone {
            return score;
        }
        let priced = score * (1.0 + self.cross_zone_price * CROSS_ZONE_PRICE_WEIGHT);
        let loss = self.loss_by_zone.get(&zone).map_or(0.0, |loss| loss.mean(0.0, NO_LOSS_PRIOR_WEIGHT));
        priced * (1.0 + ZONE_LOSS_WEIGHT * loss)
    }
}

#[cfg(test)]
mod tests;
