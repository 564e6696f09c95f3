//! Why the program stops.

use std::fmt;
use std::io;

use decide::platform_settings::PlatformSettingsError;

/// The most characters of a line that an error shows.
const MAX_SHOWN_CHARACTERS: usize = 200;

/// Why the program stops.
#[derive(Debug)]
pub enum SessionError {
    /// A line that the protocol does not allow.
    InvalidLine {
        /// Its number, from 1.
        number: u64,
        /// Its text.
        text: String,
        /// What is wrong with it.
        source: LineError,
    },
    /// The input ended inside a batch, after this line.
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

/// What is wrong with a line.
#[derive(Debug)]
pub enum LineError {
    /// A line other than the start of a batch.
    ExpectedBatch,
    /// A line other than an entry of the endpoint list.
    ExpectedBackend,
    /// An event of a kind that the protocol does not have.
    UnknownEvent,
    /// A field is missing.
    MissingValue,
    /// A time is `-`.
    MissingTime,
    /// More fields than the line has.
    ExtraValue(String),
    /// Not a number, or out of its range.
    InvalidNumber(String),
    /// Not finite, or out of the range of times; in milliseconds.
    InvalidTime(f64),
    /// Not 0 or 1.
    InvalidFlag(String),
    /// Not hexadecimal digits.
    InvalidHex(String),
    /// Not a seed.
    InvalidSeed(String),
    /// Not the values of a load report.
    InvalidLoadReport(String),
    /// Not the state of an endpoint.
    UnknownState(String),
    /// Not the outcome of an attempt.
    UnknownOutcome(String),
    /// Not the scope of an endpoint list.
    UnknownScope(String),
    /// Not a class of the settings.
    UnknownClass(String),
    /// An endpoint list that was not given.
    UnknownList,
    /// An instance that was not started.
    UnknownInstance(String),
    /// An instance is started before one is selected.
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
            LineError::MissingTime => f.write_str("a time is missing"),
            LineError::ExtraValue(word) => write!(f, "a value too many: {word}"),
            LineError::InvalidNumber(word) => write!(f, "not a number of the right kind: {word}"),
            LineError::InvalidTime(milliseconds) => write!(f, "not a time: {milliseconds}"),
            LineError::InvalidFlag(word) => write!(f, "not 0 or 1: {word}"),
            LineError::InvalidHex(word) => write!(f, "not hex digits: {word}"),
            LineError::InvalidSeed(word) => write!(f, "not a seed: {word}"),
            LineError::InvalidLoadReport(word) => write!(f, "not a load report: {word}"),
            LineError::UnknownState(word) => write!(f, "unknown stage {word}"),
            LineError::UnknownOutcome(word) => write!(f, "unknown outcome {word}"),
            LineError::UnknownScope(word) => write!(f, "unknown scope {word}"),
            LineError::UnknownClass(word) => write!(f, "unknown class {word}"),
            LineError::UnknownList => f.write_str("no such POOL"),
            LineError::UnknownInstance(name) => write!(f, "no instance {name:?}"),
            LineError::NoInstanceSelected => f.write_str("no SWITCH_TO before it"),
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
