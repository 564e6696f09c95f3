//! The endpoints that operators have drained for maintenance.
//!
//! Discovery and operators both determine which endpoints are used, and the more restrictive state applies: a
//! drained endpoint is not used, whatever discovery lists, until an operator restores it. The module does no
//! I/O and reads no clock. State that outlives a process, or is shared with another process, is written with
//! [`Maintenance::encode`] and read with [`Maintenance::decode`].

use std::collections::{BTreeSet, VecDeque};
use std::fmt;

/// The maximum number of drained endpoints. A further drain is rejected rather than restoring a drained
/// endpoint.
pub const MAX_DRAINED: usize = 1024;
/// The maximum number of remembered names of listed endpoints, not counting the drained ones. The oldest name
/// is removed first.
pub const MAX_KNOWN_NAMES: usize = 8192;
/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 320;

/// The beginning of the first line of the stored form, before the checksum.
const MAGIC: &str = "amberlever-maintenance 1 ";

/// The prefix of a drained endpoint's line in the stored form.
const DRAINED_PREFIX: char = '-';
/// The prefix of a known name's line in the stored form.
const KNOWN_PREFIX: char = '+';

/// The reason for which a request of an operator is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceRejection {
    /// No list has ever contained an endpoint of this name.
    UnknownEndpoint,
    /// [`MAX_DRAINED`] endpoints are already drained.
    TooManyDrained,
    /// Several pools have an endpoint of this name.
    AmbiguousName,
}

impl fmt::Display for MaintenanceRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MaintenanceRejection::UnknownEndpoint => f.write_str("no such backend was ever listed"),
            MaintenanceRejection::AmbiguousName => f.write_str("several pools have it: write POOL/NAME"),
            MaintenanceRejection::TooManyDrained => write!(f, "{MAX_DRAINED} backends are out already"),
        }
    }
}

impl std::error::Error for MaintenanceRejection {}

/// The drained endpoints, and the names that operators may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Maintenance {
    drained: BTreeSet<String>,
    known: BTreeSet<String>,
    /// The names in `known`, the oldest first.
    known_order: VecDeque<String>,
}

impl Maintenance {
    /// Records that a list contains an endpoint of this name. Returns whether the name is new and valid.
    pub fn record_listed(&mut self, name: &str) -> bool {
        if self.known.contains(name) || !is_valid_name(name) {
            return false;
        }
        if self.known_order.len() == MAX_KNOWN_NAMES {
            if let Some(oldest) = self.known_order.pop_front() {
                self.known.remove(&oldest);
            }
        }
        self.known.insert(name.to_owned());
        self.known_order.push_back(name.to_owned());
        true
    }

    /// Drains an endpoint. Draining it again changes nothing.
    ///
    /// # Errors
    /// Returns an error if the name was never listed, or if [`MAX_DRAINED`] endpoints are drained.
    pub fn drain(&mut self, name: &str) -> Result<(), MaintenanceRejection> {
        if !self.is_known(name) {
            return Err(MaintenanceRejection::UnknownEndpoint);
        }
        if self.drained.len() >= MAX_DRAINED && !self.drained.contains(name) {
            return Err(MaintenanceRejection::TooManyDrained);
        }
        self.drained.insert(name.to_owned());
        Ok(())
    }

    /// Restores an endpoint. One request is enough, however often the endpoint was drained.
    ///
    /// # Errors
    /// Returns an error if the name was never listed.
    pub fn restore(&mut self, name: &str) -> Result<(), MaintenanceRejection> {
        if !self.is_known(name) {
            return Err(MaintenanceRejection::UnknownEndpoint);
        }
        // The name stays known even if it was removed from the known names while the endpoint was drained.
        self.record_listed(name);
        self.drained.remove(name);
        Ok(())
    }

    /// Returns whether an operator drained the endpoint.
    #[must_use]
    pub fn is_drained(&self, name: &str) -> bool {
        self.drained.contains(name)
    }

    /// Returns the names of the drained endpoints.
    pub fn drained(&self) -> impl Iterator<Item = &str> {
        self.drained.iter().map(String::as_str)
    }

    /// Adopts the state of another process: replaces the drained endpoints and adds the known names. Returns
    /// the names of the endpoints that are drained or restored by this. The method cannot check that `later`
    /// is the later of the two states.
    pub fn adopt(&mut self, later: &Maintenance) -> Vec<String> {
        for name in &later.known_order {
            self.record_listed(name);
        }
        let changed = self.drained.symmetric_difference(&later.drained).cloned().collect();
        self.drained.clone_from(&later.drained);
        changed
    }

    fn is_known(&self, name: &str) -> bool {
        self.known.contains(name) || self.drained.contains(name)
    }

    /// Returns the stored form: a line with a version and a checksum, then a line for each drained and each
    /// known name.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut names = String::new();
        for name in &self.drained {
            push_line(&mut names, DRAINED_PREFIX, name);
        }
        for name in &self.known_order {
            push_line(&mut names, KNOWN_PREFIX, name);
        }
        format!("{MAGIC}{:08x}\n{names}", crc32c::crc32c(names.as_bytes())).into_bytes()
    }

    /// Reads the stored form. Returns `None` if it is incomplete, damaged or of another version.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Maintenance> {
        let (head, names) = std::str::from_utf8(bytes).ok()?.split_once('\n')?;
        let checksum = u32::from_str_radix(head.strip_prefix(MAGIC)?, 16).ok()?;
        if checksum != crc32c::crc32c(names.as_bytes()) {
            return None;
        }
        let mut state = Maintenance::default();
        for line in names.lines() {
            if let Some(name) = line.strip_prefix(DRAINED_PREFIX) {
                if state.drained.len() < MAX_DRAINED {
                    state.drained.insert(name.to_owned());
                }
            } else {
                state.record_listed(line.strip_prefix(KNOWN_PREFIX)?);
            }
        }
        Some(state)
    }
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains('\n')
}

fn push_line(lines: &mut String, prefix: char, name: &str) {
    lines.push(prefix);
    lines.push_str(name);
    lines.push('\n');
}
