//! Checks that all sections share: reporting, names, references and bounded numbers.
//!
//! A [`Checker`] collects the diagnostics of one file and continues after each, so that one run reports all
//! of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};

use decide::Micros;
use toml::Spanned;

use crate::diagnostics::{suggest, Diagnostics, TextId};

/// A string and its position in the file.
pub(crate) type SpannedString = Spanned<String>;

/// The index of each defined name.
pub(crate) type NameIndex = BTreeMap<String, usize>;

/// The largest value of any duration: one day.
const MAX_DURATION_MS: u64 = 24 * 3600 * 1000;
const MICROS_PER_MS: Micros = 1000;
const MAX_NAME_BYTES: usize = 100;

/// Distinct strings in the order of their first use.
#[derive(Default)]
pub(crate) struct Interner(Vec<String>);

impl Interner {
    pub(crate) fn intern(&mut self, name: &str) {
        if !self.contains(name) {
            self.0.push(name.to_owned());
        }
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.0.iter().any(|known| known == name)
    }

    /// The strings that are not empty.
    pub(crate) fn non_empty(&self) -> Vec<&str> {
        self.0.iter().map(String::as_str).filter(|name| !name.is_empty()).collect()
    }

    pub(crate) fn into_names(self) -> Vec<String> {
        self.0
    }
}

/// Checks one file.
pub(crate) struct Checker<'a> {
    text: TextId,
    diagnostics: &'a mut Diagnostics,
    /// The number of diagnostics before this check.
    reported_before: usize,
    /// The zones that the file names.
    pub(crate) zones: Interner,
    /// The kinds of machines that the file names.
    pub(crate) machine_kinds: Interner,
}

impl<'a> Checker<'a> {
    pub(crate) fn new(text: TextId, diagnostics: &'a mut Diagnostics) -> Self {
        let reported_before = diagnostics.all().len();
        let zones = Interner::default();
        let machine_kinds = Interner::default();
        Checker { text, diagnostics, reported_before, zones, machine_kinds }
    }

    /// Reports a problem at a position of the file.
    pub(crate) fn report(&mut self, span: Range<usize>, message: impl Into<String>, help: Option<String>) {
        self.diagnostics.report(self.text, span, message, help);
    }

    /// Whether this check has reported nothing.
    pub(crate) fn is_clean(&self) -> bool {
        self.diagnostics.all().len() == self.reported_before
    }

    pub(crate) fn file_name(&self) -> String {
        self.diagnostics.name(self.text).to_owned()
    }

    /// The line of a byte offset, from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.diagnostics.line(self.text, offset)
    }

    /// Indexes the names of entries of one kind. Reports names that are malformed or defined twice.
    pub(crate) fn name_index<'w>(
        &mut self,
        noun: &str,
        words: impl Iterator<Item = &'w SpannedString>,
    ) -> NameIndex {
        let mut names = NameIndex::new();
        let mut lines: BTreeMap<&str, usize> = BTreeMap::new();
        for (index, word) in words.enumerate() {
            let name = word.get_ref();
            if !is_name(name) {
                let help = "use letters, digits, `-`, `_` and `.`, 100 at most".to_owned();
                self.report(word.span(), format!("{name:?} does not name a {noun}"), Some(help));
            }
            if let Some(line) = lines.get(name.as_str()) {
                let help = format!("the first is in line {line}");
                self.report(word.span(), format!("two {noun}s are named `{name}`"), Some(help));
            }
            lines.insert(name, self.line(word.span().start));
            names.insert(name.clone(), index);
        }
        names
    }

    /// The index of the entry that a word refers to. Reports a word that refers to none.
    pub(crate) fn resolve(&mut self, noun: &str, word: &SpannedString, names: &NameIndex) -> Option<usize> {
        let found = names.get(word.get_ref()).copied();
        if found.is_none() {
            let known: Vec<&str> = names.keys().map(String::as_str).collect();
            let message = format!("there is no {noun} `{}`", word.get_ref());
            self.report(word.span(), message, Some(suggest(word.get_ref(), &known)));
        }
        found
    }

    pub(crate) fn address(&mut self, key: &str, word: &SpannedString) -> SocketAddr {
        word.get_ref().parse().unwrap_or_else(|_| {
            let help = "write an IP address and a port, such as \"127.0.0.1:8080\"".to_owned();
            self.report(word.span(), format!("`{key}`: {:?} is no address", word.get_ref()), Some(help));
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// An address that only processes on this machine can reach. `section` is a prefix of the key in
    /// messages, with a space at its end, or empty.
    pub(crate) fn loopback_address(&mut self, section: &str, key: &str, word: &SpannedString) -> SocketAddr {
        let address = self.address(key, word);
        if !address.ip().is_loopback() {
            let help = "it knows no tokens, and so stands on loopback only".to_owned();
            self.report(word.span(), format!("{section}`{key}`: {address} is not on loopback"), Some(help));
        }
        address
    }

    /// A duration from `min_ms` to one day, in microseconds.
    pub(crate) fn milliseconds(&mut self, key: &str, value: &Spanned<u64>, min_ms: u64) -> Micros {
        let milliseconds = *value.get_ref();
        if !(min_ms..=MAX_DURATION_MS).contains(&milliseconds) {
            let message = format!("`{key}`: {milliseconds} is not from {min_ms} to {MAX_DURATION_MS} ms");
            self.report(value.span(), message, None);
        }
        milliseconds.min(MAX_DURATION_MS) as Micros * MICROS_PER_MS
    }

    pub(crate) fn number(&mut self, key: &str, value: &Spanned<f64>, bounds: RangeInclusive<f64>) -> f64 {
        let number = *value.get_ref();
        if !bounds.contains(&number) {
            let message = format!("`{key}`: {number} is not from {} to {}", bounds.start(), bounds.end());
            self.report(value.span(), message, None);
        }
        number
    }

    /// A number from 1 to `max`. The default if the key is absent or its value is out of bounds.
    pub(crate) fn bounded(
        &mut self,
        key: &str,
        value: &Option<Spanned<usize>>,
        default: usize,
        max: usize,
    ) -> usize {
        let Some(value) = value else { return default };
        let number = *value.get_ref();
        if !(1..=max).contains(&number) {
            self.report(value.span(), format!("`{key}`: {number} is not from 1 to {max}"), None);
            return default;
        }
        number
    }

    /// The name of a header field, in lower case.
    pub(crate) fn header(&mut self, key: &str, word: &SpannedString) -> String {
        if !is_token(word.get_ref()) {
            self.report(word.span(), format!("`{key}`: {:?} is no header field", word.get_ref()), None);
        }
        word.get_ref().to_ascii_lowercase()
    }
}

fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

/// Whether a string is a `token` of RFC 9110.
pub(crate) fn is_token(name: &str) -> bool {
    let is_token_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !name.is_empty() && name.bytes().all(is_token_byte)
}
