//! The settings object of a deployment.
//!
//! The program for the simulator (`amberlever-simulator`) and the proxy read the same JSON object. It
//! contains the indexes and numbers of the decisions ([`Settings`]), the names of these indexes
//! ([`NameTable`]), and the settings that only the proxy uses ([`Transport`]). Unknown keys are ignored.

mod document;
mod load_report_field;
mod name_table;

pub use document::DocumentError;
pub use load_report_field::LoadReportField;
pub use name_table::NameTable;

use std::fmt;

use crate::{Micros, Settings, SettingsError};
use document::Config;

/// A settings object, parsed and checked.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names of the indexes.
    pub names: NameTable,
    /// The settings of the sockets.
    pub transport: Transport,
}

/// The settings that only the proxy uses, not the simulator; all times are in microseconds.
#[derive(Clone, Debug)]
pub struct Transport {
    /// The time after which an endpoint closes an idle connection.
    pub keepalive: Micros,
    /// The time after which an unfinished connection attempt has failed.
    pub connect_timeout: Micros,
    /// The time after an endpoint was listed as draining or removed from which it must get no new attempts.
    pub drain_grace: Micros,
}

/// The reason why a settings object cannot be used.
#[derive(Debug)]
pub enum PlatformSettingsError {
    /// The JSON is invalid or not of the expected form.
    Json(serde_json::Error),
    /// A value is unknown, or a required one is missing.
    Document(DocumentError),
    /// The settings are unusable for the decisions.
    Settings(SettingsError),
}

impl fmt::Display for PlatformSettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformSettingsError::Json(error) => write!(f, "bad settings: {error}"),
            PlatformSettingsError::Document(error) => error.fmt(f),
            PlatformSettingsError::Settings(error) => write!(f, "unusable settings: {error}"),
        }
    }
}

impl std::error::Error for PlatformSettingsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            PlatformSettingsError::Json(error) => Some(error),
            PlatformSettingsError::Document(error) => Some(error),
            PlatformSettingsError::Settings(error) => Some(error),
        }
    }
}

/// Converts the error for code that reports errors as one line of text.
impl From<PlatformSettingsError> for String {
    fn from(error: PlatformSettingsError) -> String {
        error.to_string()
    }
}

/// Converts milliseconds, the unit of the settings and of the wire, to whole microseconds.
#[must_use]
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// Parses and checks a settings object.
///
/// # Errors
/// Returns what cannot be parsed or used.
pub fn parse(json: &str) -> Result<PlatformSettings, PlatformSettingsError> {
    let config: Config = serde_json::from_str(json).map_err(PlatformSettingsError::Json)?;
    let parsed = config.into_settings().map_err(PlatformSettingsError::Document)?;
    parsed.settings.check().map_err(PlatformSettingsError::Settings)?;
    Ok(parsed)
}

#[cfg(test)]
mod tests;
