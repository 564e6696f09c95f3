//! The limits of a tenant, as administrators write them.

use serde::{Deserialize, Serialize};

const MIN_RATE: f64 = 0.001;
const MAX_RATE: f64 = 1e9;
const MAX_WEIGHT: u32 = 10_000;

/// Limits as they are written; what is left out is not bounded, but for connections and sockets to nodes, which go by
/// weight.
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TenantLimits {
    /// Against the other tenants', from 1 to 10,000; 1 where it is left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Requests a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Requests at once after a pause; a second's worth where it is left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<f64>,
    /// Requests in flight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u64>,
    /// Connections of callers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections: Option<u64>,
    /// Bytes of bodies held.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
    /// Attempts beyond the first, a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retries_per_s: Option<f64>,
}

impl TenantLimits {
    /// The weight, or the default.
    pub(crate) fn weight_or_default(&self) -> u32 {
        self.weight.unwrap_or(1)
    }

    /// Checks the bounds.
    ///
    /// # Errors
    /// If a value is out of bounds, returns a message with its key and the bounds.
    pub(crate) fn check(&self) -> Result<(), String> {
        check_rate("requests_per_s", self.requests_per_s)?;
        check_rate("burst", self.burst)?;
        check_rate("retries_per_s", self.retries_per_s)?;
        match self.weight {
            Some(weight) if !(1..=MAX_WEIGHT).contains(&weight) => {
                Err(format!("`weight`: {weight} is not from 1 to {MAX_WEIGHT}"))
            }
            _ => Ok(()),
        }
    }
}

fn check_rate(key: &str, rate: Option<f64>) -> Result<(), String> {
    match rate {
        Some(rate) if !(rate.is_finite() && (MIN_RATE..=MAX_RATE).contains(&rate)) => {
            Err(format!("`{key}`: {rate} is not from {MIN_RATE} to {MAX_RATE}"))
        }
        _ => Ok(()),
    }
}
