//! Errors that end the program.

use std::fmt;
use std::io;

use decide::platform_settings::PlatformSettingsError;

use crate::fields::MAX_TIME_MS;

/// The maximum number of characters of a line that an error message quotes.
const MAX_SHOWN_CHARACTERS: usize = 200;

/// An error that ends the program.
#[derive(Debug)]
pub enum SessionError {
    /// A line that the protocol does not allow.
    InvalidLine {
        /// The line number, from 1.
        number: u64,
        text: String,
        source: LineError,
    },
    /// The input ended inside a batch, after the line with this number.
    Truncated(u64),
    /// Reading or writing failed.
    Io(io::Error),
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionError::InvalidLine { number, text, source } => {
                let shown: String = text.chars().take(MAX_SHOWN_CHARACTERS).collect();
                write!(f, "line {number}: {source}: {shown:?}")
            }
            SessionError::Truncated(number) => write!(f, "line {number}: input ended inside a batch"),
            SessionError::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for SessionError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SessionError::InvalidLine { source, .. } => Some(source),
            SessionError::Truncated(_) => None,
            SessionError::Io(error) => Some(error),
        }
    }
}

impl From<io::Error> for SessionError {
    fn from(error: io::Error) -> Self {
        SessionError::Io(error)
    }
}

/// The reason why a line is invalid.
#[derive(Debug)]
pub enum LineError {
    /// A batch does not start with `BATCH`.
    ExpectedBatch,
    /// An entry of an endpoint list does not start with `BACKEND`.
    ExpectedBackend,
    /// The protocol has no event of this kind.
    UnknownEvent,
    /// The line has too few fields.
    MissingValue,
    /// A required time is `-`.
    MissingTime,
    /// The line has more fields than expected; the first of them.
    ExtraValue(String),
    /// A field is not a number, or is out of range for its type.
    InvalidNumber(String),
    /// A time in milliseconds is not finite, or is out of range.
    InvalidTime(f64),
    /// A flag is not 0, 1 or `-`.
    InvalidFlag(String),
    /// A payload is not pairs of hexadecimal digits.
    InvalidHex(String),
    /// A seed is not an unsigned 64-bit number.
    InvalidSeed(String),
    /// A load report is not a list of finite numbers.
    InvalidLoadReport(String),
    /// The state of an endpoint is unknown.
    UnknownState(String),
    /// The outcome of an attempt is unknown.
    UnknownOutcome(String),
    /// The scope of an endpoint update is unknown.
    UnknownScope(String),
    /// The settings of the instance have no such class.
    UnknownClass(String),
    /// An update refers to an endpoint list that was not sent.
    UnknownList,
    /// An event is for an instance that was not started.
    UnknownInstance(String),
    /// `POWER_ON` comes before any `SWITCH_TO` of the batch.
    NoInstanceSelected,
    /// The settings of an instance cannot be used.
    Settings(PlatformSettingsError),
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LineError::ExpectedBatch => f.write_str("expected BATCH"),
            LineError::ExpectedBackend => f.write_str("expected BACKEND"),
            LineError::UnknownEvent => f.write_str("unknown event"),
            LineError::MissingValue => f.write_str("a value is missing"),
            LineError::MissingTime => f.write_str("a time is required, got `-`"),
            LineError::ExtraValue(word) => write!(f, "unexpected value after the last field: {word}"),
            LineError::InvalidNumber(word) => write!(f, "not a number, or out of range: {word}"),
            LineError::InvalidTime(milliseconds) => {
                write!(f, "invalid time {milliseconds} ms: must be finite and at most {MAX_TIME_MS:e} ms in magnitude")
            }
            LineError::InvalidFlag(word) => write!(f, "invalid flag {word}: expected 0, 1 or `-`"),
            LineError::InvalidHex(word) => write!(f, "not hex-encoded bytes: {word}"),
            LineError::InvalidSeed(word) => {
                write!(f, "invalid seed {word}: expected an unsigned 64-bit number")
            }
            LineError::InvalidLoadReport(word) => {
                write!(f, "invalid load report {word}: expected finite numbers separated by commas")
            }
            LineError::UnknownState(word) => write!(f, "unknown endpoint state {word}: expected 0, 1 or 2"),
            LineError::UnknownOutcome(word) => write!(f, "unknown outcome {word}"),
            LineError::UnknownScope(word) => write!(f, "unknown update scope {word}: expected 0, 1, 2 or 4"),
            LineError::UnknownClass(word) => write!(f, "unknown class {word}"),
            LineError::UnknownList => f.write_str("unknown endpoint list: no POOL defines it"),
            LineError::UnknownInstance(name) => write!(f, "no instance {name:?}"),
            LineError::NoInstanceSelected => f.write_str("POWER_ON without SWITCH_TO in this batch"),
            LineError::Settings(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for LineError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            LineError::Settings(error) => Some(error),
            _ => None,
        }
    }
}
