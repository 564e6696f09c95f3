//! Which nodes operators have taken out by hand.
//!
//! Discovery and operators are two sources of one roster, and the stricter word holds: a node that is out is not used,
//! whatever discovery lists, until an operator puts it back. No clock and no I/O; what outlives a process or is shared
//! with another one goes through [`Maintenance::encode`] and [`Maintenance::decode`].

use std::collections::{BTreeSet, VecDeque};
use std::fmt;

/// Nodes that may be out at once. One more is turned away: the operator hears it, and none that is out comes back by itself.
pub const MOST_OUT: usize = 1024;
/// Names that are known to have been listed, beside those that are out. The one known for longest is forgotten first.
pub const MOST_KNOWN: usize = 8192;
/// The longest name, in bytes.
pub const MOST_NAME: usize = 320;

/// The first line of what [`Maintenance::encode`] writes, before the checksum.
const MAGIC: &str = "amberlever-maintenance 1 ";

/// Why an operator's word is not followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No list has ever had a node of this name.
    Unknown,
    /// [`MOST_OUT`] are out.
    TooMany,
    /// Several pools have a node of this name.
    Several,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Unknown => f.write_str("no such backend was ever listed"),
            Refused::Several => f.write_str("several pools have it: write POOL/NAME"),
            Refused::TooMany => write!(f, "{MOST_OUT} backends are out already"),
        }
    }
}

impl std::error::Error for Refused {}

/// What operators said, and of which nodes they may speak.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Maintenance {
    out: BTreeSet<String>,
    known: BTreeSet<String>,
    /// The names of `known`, the one known for longest first.
    order: VecDeque<String>,
}

impl Maintenance {
    /// A list has a node of this name. True where that was not known.
    pub fn listed(&mut self, name: &str) -> bool {
        if self.known.contains(name) || !(1..=MOST_NAME).contains(&name.len()) || name.contains('\n') {
            return false;
        }
        if self.order.len() == MOST_KNOWN {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
        self.known.insert(name.to_owned());
        self.order.push_back(name.to_owned());
        true
    }

    /// Takes a node out; as often as anybody likes.
    ///
    /// # Errors
    /// It was never listed, or too many are out.
    pub fn enter(&mut self, name: &str) -> Result<(), Refused> {
        if !self.is_known(name) {
            return Err(Refused::Unknown);
        }
        if self.out.len() >= MOST_OUT && !self.out.contains(name) {
            return Err(Refused::TooMany);
        }
        self.out.insert(name.to_owned());
        Ok(())
    }

    /// Puts a node back; one call is enough however often it was taken out.
    ///
    /// # Errors
    /// It was never listed.
    pub fn exit(&mut self, name: &str) -> Result<(), Refused> {
        if !self.is_known(name) {
            return Err(Refused::Unknown);
        }
        // It goes on to be known, also where its name was forgotten while it was out.
        self.listed(name);
        self.out.remove(name);
        Ok(())
    }

    /// Is it out by hand?
    #[must_use]
    pub fn is_out(&self, name: &str) -> bool {
        self.out.contains(name)
    }

    /// Those that are out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.out.iter().map(String::as_str)
    }

    /// Takes over what another process wrote later: its word on what is out, and the names that it knows beside the own.
    /// The names whose state that changes.
    pub fn adopt(&mut self, later: &Maintenance) -> Vec<String> {
        later.order.iter().for_each(|name| {
            self.listed(name);
        });
        let changed = self.out.symmetric_difference(&later.out).cloned().collect();
        self.out.clone_from(&later.out);
        changed
    }

    fn is_known(&self, name: &str) -> bool {
        self.known.contains(name) || self.out.contains(name)
    }

    /// As bytes: a line with a version and a checksum, then a name a line, those that are out with `-` before them.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut names = String::new();
        self.out.iter().for_each(|name| names.extend(["-", name, "\n"]));
        self.order.iter().for_each(|name| names.extend(["+", name, "\n"]));
        format!("{MAGIC}{:08x}\n{names}", crc32c::crc32c(names.as_bytes())).into_bytes()
    }

    /// What bytes say; None where they are not whole, of another version, or not as they were written.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Maintenance> {
        let (head, names) = std::str::from_utf8(bytes).ok()?.split_once('\n')?;
        let sum = u32::from_str_radix(head.strip_prefix(MAGIC)?, 16).ok()?;
        if sum != crc32c::crc32c(names.as_bytes()) {
            return None;
        }
        let mut read = Maintenance::default();
        for line in names.lines() {
            if let Some(name) = line.strip_prefix('-') {
                if read.out.len() < MOST_OUT {
                    read.out.insert(name.to_owned());
                }
            } else {
                read.listed(line.strip_prefix('+')?);
            }
        }
        Some(read)
    }
}
