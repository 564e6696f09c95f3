//! A running instance of the balancer.

use std::panic::{catch_unwind, AssertUnwindSafe};

use decide::platform_settings::{self, NameTable, PlatformSettings};
use decide::{Action, Balancer, Event, LoadReport, Micros};

use crate::error::LineError;
use crate::fields::ABSENT;

/// An instance of the balancer and the names that its events use.
pub struct Instance {
    balancer: Balancer,
    /// Maps the names of classes, tenants, zones and machine kinds to indexes.
    pub names: NameTable,
}

impl Instance {
    /// Starts an instance from its settings in JSON.
    pub fn start(seed: u64, settings: &str) -> Result<Instance, LineError> {
        let PlatformSettings { settings, names, .. } =
            platform_settings::parse(settings).map_err(LineError::Settings)?;
        Ok(Instance { balancer: Balancer::new(settings, seed), names })
    }

    /// Handles an event and appends the resulting actions.
    ///
    /// # Errors
    /// If the balancer panics, the message of the panic in one line.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) -> Result<(), String> {
        let handled = catch_unwind(AssertUnwindSafe(|| self.balancer.handle(now, event, actions)));
        handled.map_err(|panic| {
            let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
            let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
            text.unwrap_or_else(|| "panic without a text".to_owned()).replace(['\n', '\r'], " ")
        })
    }

    /// Parses a load report: values separated by commas, in the order of the field names in the settings.
    /// Returns `None` for `-`.
    pub fn parse_load_report(&self, word: &str) -> Result<Option<LoadReport>, LineError> {
        if word == ABSENT {
            return Ok(None);
        }
        let mut report = LoadReport::default();
        for (value, field) in word.split(',').zip(&self.names.fields) {
            if matches!(value, ABSENT | "") {
                continue;
            }
            let value = value.parse::<f64>().ok().filter(|value| value.is_finite());
            let value = value.ok_or_else(|| LineError::InvalidLoadReport(word.to_owned()))?;
            field.store(&mut report, value);
        }
        Ok(Some(report))
    }
}
