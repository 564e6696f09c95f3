//! Files that are replaced whole, whatever fails in between: a crash at any moment, or a loss of power that drops, tears
//! and reorders all that was not synced, leaves the file before or the one after.
//!
//! Each [`Keeper::put`] writes a new file: under a temporary name, synced, renamed to its number, and the folder synced.
//! Only then are older files taken away, all but so many. [`Keeper::newest`] reads the newest one that its reader finds
//! sound, so that damage costs one file and not all.
#![warn(missing_docs)]

mod folder;

use std::collections::BTreeSet;
use std::io;

pub use folder::{Folder, Unopened};

/// What a keeper does with files of one folder. [`Folder`] is the real one; tests have others that fail.
pub trait Files {
    /// The names of all files.
    ///
    /// # Errors
    /// As the system says; so for all of these.
    fn list(&self) -> io::Result<Vec<String>>;
    /// All of a file.
    ///
    /// # Errors
    /// See [`Files::list`].
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes a file, or empties it, and writes this to it. It may be lost until it is synced.
    ///
    /// # Errors
    /// See [`Files::list`].
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// What was written to a file survives from here on.
    ///
    /// # Errors
    /// See [`Files::list`].
    fn sync(&self, name: &str) -> io::Result<()>;
    /// Gives a file another name. It may be undone until the folder is synced.
    ///
    /// # Errors
    /// See [`Files::list`].
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Names given and taken away survive from here on.
    ///
    /// # Errors
    /// See [`Files::list`].
    fn sync_folder(&self) -> io::Result<()>;
    /// Takes a file away.
    ///
    /// # Errors
    /// See [`Files::list`].
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Puts a whole file in place of the one of this name, if there is one, by way of a temporary name. It survives once
    /// the folder is synced.
    ///
    /// # Errors
    /// See [`Files::list`]; the file of this name is as it was.
    fn replace(&self, temporary: &str, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.write(temporary, bytes)?;
        self.sync(temporary)?;
        self.rename(temporary, name)
    }
}

/// The largest file that is kept, or read, in bytes.
pub const MOST_BYTES: u64 = 64 << 20;

/// The name that a file has until it is whole.
const TEMPORARY: &str = "new.tmp";
/// What the others are called, with a number of twenty digits before it.
const ENDING: &str = ".known";

fn name(number: u64) -> String {
    format!("{number:020}{ENDING}")
}

fn number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(ENDING)?;
    (digits.len() == 20 && digits.bytes().all(|b| b.is_ascii_digit())).then(|| digits.parse().ok())?
}

/// The newest file of a folder that another process may hold: as [`Keeper::newest`], and nothing is touched.
///
/// # Errors
/// The folder cannot be listed.
pub fn newest<T>(files: &impl Files, sound: impl FnMut(&[u8]) -> Option<T>) -> io::Result<Option<T>> {
    let numbers = files.list()?.iter().filter_map(|n| number(n)).collect();
    Ok(soundest(files, &numbers, sound))
}

fn soundest<T>(
    files: &impl Files,
    numbers: &BTreeSet<u64>,
    mut sound: impl FnMut(&[u8]) -> Option<T>,
) -> Option<T> {
    let readable = |n: &u64| files.read(&name(*n)).ok();
    numbers.iter().rev().filter_map(readable).find_map(|bytes| sound(&bytes))
}

/// Keeps files in a folder, and the newest of them findable.
pub struct Keeper<F> {
    files: F,
    /// How many are kept.
    most: usize,
    numbers: BTreeSet<u64>,
}

impl<F: Files> Keeper<F> {
    /// Takes up what is in a folder; of its files `most` are kept, one at least.
    ///
    /// # Errors
    /// The folder cannot be listed.
    pub fn open(files: F, most: usize) -> io::Result<Keeper<F>> {
        let names = files.list()?;
        if names.iter().any(|n| n == TEMPORARY) {
            // Of a process that ended in mid-write. Where it stays the next write goes over it.
            let _ = files.remove(TEMPORARY);
        }
        let numbers = names.iter().filter_map(|n| number(n)).collect();
        Ok(Keeper { files, most: most.max(1), numbers })
    }

    /// The newest file that can be read, and that `sound` makes something of.
    pub fn newest<T>(&self, sound: impl FnMut(&[u8]) -> Option<T>) -> Option<T> {
        soundest(&self.files, &self.numbers, sound)
    }

    /// Keeps this as the newest.
    ///
    /// # Errors
    /// It is not kept, or may not survive, or is over [`MOST_BYTES`]; what was kept before is as it was.
    pub fn put(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() as u64 > MOST_BYTES {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, "too large to be kept"));
        }
        let next = self.numbers.last().map_or(1, |n| n.saturating_add(1));
        let made = self.files.replace(TEMPORARY, &name(next), bytes);
        if made.is_err() {
            // A full disk gets back what half a file took.
            let _ = self.files.remove(TEMPORARY);
            return made;
        }
        self.numbers.insert(next);
        self.files.sync_folder()?;
        while self.numbers.len() > self.most {
            let Some(oldest) = self.numbers.first().copied() else { break };
            // One that cannot be taken away is tried again at the next opening.
            let _ = self.files.remove(&name(oldest));
            self.numbers.remove(&oldest);
        }
        Ok(())
    }
}
