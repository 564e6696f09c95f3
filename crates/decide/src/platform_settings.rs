//! The settings object as a deployment writes it.
//!
//! The simulator's bridge and the real proxy are given the same JSON object. It gives the decisions indexes
//! and numbers ([`Settings`]), the names behind these indexes ([`NameTable`]), and what only a real proxy
//! needs ([`Transport`]). Unknown keys are ignored.

mod document;
mod load_report_field;
mod name_table;

pub use document::DocumentError;
pub use load_report_field::LoadReportField;
pub use name_table::NameTable;

use std::fmt;

use crate::{Micros, Settings, SettingsError};
use document::Config;

/// A settings object, read and checked.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// What the decisions are given.
    pub settings: Settings,
    /// The names behind the indexes.
    pub names: NameTable,
    /// What the sockets need.
    pub transport: Transport,
}

/// What only a real proxy needs to know; all times are in microseconds.
#[derive(Clone, Debug)]
pub struct Transport {
    /// An endpoint closes a connection that has been idle for this long.
    pub keepalive: Micros,
    /// A connection not made by then has failed.
    pub connect_timeout: Micros,
    /// Nothing new may go to an endpoint later than this after it was listed as draining or removed.
    pub drain_grace: Micros,
}

/// Why a settings object cannot be used.
#[derive(Debug)]
pub enum PlatformSettingsError {
    /// It is not the JSON that is expected.
    Json(serde_json::Error),
    /// A value in it is not known, or one that is needed is missing.
    Document(DocumentError),
    /// The decisions cannot be made with it.
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

/// For callers that report errors as one line of text.
impl From<PlatformSettingsError> for String {
    fn from(error: PlatformSettingsError) -> String {
        error.to_string()
    }
}

/// Milliseconds, as the settings and the wire count, in whole microseconds.
#[must_use]
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// Reads a settings object.
///
/// # Errors
/// What in it cannot be read or used.
pub fn parse(json: &str) -> Result<PlatformSettings, PlatformSettingsError> {
    let config: Config = serde_json::from_str(json).map_err(PlatformSettingsError::Json)?;
    let parsed = config.into_settings().map_err(PlatformSettingsError::Document)?;
    parsed.settings.check().map_err(PlatformSettingsError::Settings)?;
    Ok(parsed)
}

#[cfg(test)]
mod tests;
