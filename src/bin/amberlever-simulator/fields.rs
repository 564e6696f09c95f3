//! Reads the fields of a line: words separated by single spaces, with `-` for an absent value.

use std::str::{FromStr, Split};

use decide::platform_settings::micros;
use decide::Micros;

use crate::error::LineError;

/// The field of an absent value.
pub const ABSENT: &str = "-";
/// The largest magnitude of a time, in milliseconds: far beyond `decide::TIME_LIMIT`, and safe to convert to
/// microseconds in an `i64`.
pub const MAX_TIME_MS: f64 = 1e15;

/// Reads the fields of a line from the left.
pub struct FieldReader<'a> {
    words: Split<'a, char>,
}

impl<'a> FieldReader<'a> {
    pub fn new(text: &'a str) -> Self {
        FieldReader { words: text.split(' ') }
    }

    /// Reads a field of any kind.
    pub fn word(&mut self) -> Result<&'a str, LineError> {
        self.words.next().filter(|word| !word.is_empty()).ok_or(LineError::MissingValue)
    }

    /// Reads a number.
    pub fn number<T: FromStr>(&mut self) -> Result<T, LineError> {
        parse_number(self.word()?)
    }

    /// Reads a number. Returns `None` if it is absent.
    pub fn optional<T: FromStr>(&mut self) -> Result<Option<T>, LineError> {
        match self.word()? {
            ABSENT => Ok(None),
            word => parse_number(word).map(Some),
        }
    }

    /// Reads a time in milliseconds.
    pub fn time(&mut self) -> Result<Micros, LineError> {
        self.optional_time()?.ok_or(LineError::MissingTime)
    }

    /// Reads a time in milliseconds. Returns `None` if it is absent.
    pub fn optional_time(&mut self) -> Result<Option<Micros>, LineError> {
        match self.optional::<f64>()? {
            Some(time) if !time.is_finite() || time.abs() > MAX_TIME_MS => Err(LineError::InvalidTime(time)),
            time => Ok(time.map(micros)),
        }
    }

    /// Reads a flag: 1 is true, 0 and `-` are false.
    pub fn flag(&mut self) -> Result<bool, LineError> {
        match self.word()? {
            "0" | ABSENT => Ok(false),
            "1" => Ok(true),
            word => Err(LineError::InvalidFlag(word.to_owned())),
        }
    }

    /// Reads bytes in hexadecimal; `-` is an empty sequence.
    pub fn bytes(&mut self) -> Result<Vec<u8>, LineError> {
        match self.word()? {
            ABSENT => Ok(Vec::new()),
            word => decode_hex(word).ok_or_else(|| LineError::InvalidHex(word.to_owned())),
        }
    }

    /// Checks that no field is left.
    pub fn end(&mut self) -> Result<(), LineError> {
        match self.words.next() {
            None => Ok(()),
            Some(word) => Err(LineError::ExtraValue(word.to_owned())),
        }
    }
}

fn parse_number<T: FromStr>(word: &str) -> Result<T, LineError> {
    word.parse().map_err(|_| LineError::InvalidNumber(word.to_owned()))
}

fn decode_hex(word: &str) -> Option<Vec<u8>> {
    if !word.is_ascii() || !word.len().is_multiple_of(2) {
        return None;
    }
    let digits = (0..word.len()).step_by(2).map(|index| &word[index..index + 2]);
    digits.map(|digits| u8::from_str_radix(digits, 16).ok()).collect()
}
