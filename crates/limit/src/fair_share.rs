//! Weighted max-min fair shares.

/// The demand of one tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// The amount that the tenant would use, in the unit of the capacity.
    pub amount: f64,
    /// The weight of the tenant, above 0.
    pub weight: f64,
}

impl Demand {
    fn amount_by_weight(&self) -> f64 {
        self.amount / self.weight
    }
}

/// Divides `capacity` by progressive filling: each tenant gets its demand, or the same amount per weight as
/// all others whose demand is not met. Returns the shares in the order of `demands`. Capacity beyond the
/// total demand is not assigned.
#[must_use]
pub fn max_min_fair_shares(capacity: f64, demands: &[Demand]) -> Vec<f64> {
    // The smallest demand per weight is met first.
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].amount_by_weight().total_cmp(&demands[*b].amount_by_weight()));
    let mut remaining_weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut remaining_capacity = capacity.max(0.0);
    let mut shares = vec![0.0; demands.len()];
    for index in order {
        let Demand { amount, weight } = demands[index];
        shares[index] = amount.min(remaining_capacity * weight / remaining_weight);
        // Rounding must not make the remainder negative.
        remaining_capacity = (remaining_capacity - shares[index]).max(0.0);
        remaining_weight = (remaining_weight - weight).max(f64::MIN_POSITIVE);
    }
    shares
}
