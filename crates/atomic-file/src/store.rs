//! Numbered files of a folder, of which the newest valid one counts.

use std::collections::BTreeSet;
use std::io;

use crate::{FileStorage, MAX_FILE_BYTES};

/// The name of a file that is being written.
const TEMPORARY_NAME: &str = "new.tmp";
/// A file's name is its number, of this many digits, and this suffix.
const NUMBER_DIGITS: usize = 20;
/// From the former name of learned state, knowledge.
const SUFFIX: &str = ".known";

fn file_name(number: u64) -> String {
    format!("{number:0NUMBER_DIGITS$}{SUFFIX}")
}

fn file_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(SUFFIX)?;
    let is_number = digits.len() == NUMBER_DIGITS && digits.bytes().all(|byte| byte.is_ascii_digit());
    if is_number {
        digits.parse().ok()
    } else {
        None
    }
}

/// The newest valid file of a folder that another process may hold, as [`AtomicFileStore::newest_valid`]. It changes nothing.
///
/// # Errors
/// The folder cannot be listed.
pub fn newest_valid<T>(
    storage: &impl FileStorage,
    decode: impl FnMut(&[u8]) -> Option<T>,
) -> io::Result<Option<T>> {
    let numbers = storage.list()?.iter().filter_map(|name| file_number(name)).collect();
    Ok(newest_of(storage, &numbers, decode))
}

fn newest_of<T>(
    storage: &impl FileStorage,
    numbers: &BTreeSet<u64>,
    mut decode: impl FnMut(&[u8]) -> Option<T>,
) -> Option<T> {
    let contents = numbers.iter().rev().filter_map(|number| storage.read(&file_name(*number)).ok());
    contents.into_iter().find_map(|bytes| decode(&bytes))
}

/// Stores files in a folder, and finds the newest valid one.
pub struct AtomicFileStore<S> {
    storage: S,
    max_files: usize,
    numbers: BTreeSet<u64>,
}

impl<S: FileStorage> AtomicFileStore<S> {
    /// Opens a folder with its files, of which it keeps `max_files`, at least one.
    ///
    /// # Errors
    /// The folder cannot be listed.
    pub fn open(storage: S, max_files: usize) -> io::Result<AtomicFileStore<S>> {
        let names = storage.list()?;
        if names.iter().any(|name| name == TEMPORARY_NAME) {
            // A process ended while it wrote this. If it cannot be removed, the next write replaces it.
            let _ = storage.remove(TEMPORARY_NAME);
        }
        let numbers = names.iter().filter_map(|name| file_number(name)).collect();
        Ok(AtomicFileStore { storage, max_files: max_files.max(1), numbers })
    }

    /// The newest file that can be read, and that `decode` accepts.
    pub fn newest_valid<T>(&self, decode: impl FnMut(&[u8]) -> Option<T>) -> Option<T> {
        newest_of(&self.storage, &self.numbers, decode)
    }

    /// Stores the newest file.
    ///
    /// # Errors
    /// The file is not stored, may not be durable, or exceeds [`MAX_FILE_BYTES`]; older files are unchanged.
    pub fn put(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, "too large to be kept"));
        }
        let number = self.numbers.last().map_or(1, |newest| newest.saturating_add(1));
        let replaced = self.storage.replace(TEMPORARY_NAME, &file_name(number), bytes);
        if replaced.is_err() {
            // A full disk gets back the space of a partial file.
            let _ = self.storage.remove(TEMPORARY_NAME);
            return replaced;
        }
        self.numbers.insert(number);
        self.storage.sync_folder()?;
        self.remove_oldest();
        Ok(())
    }

    fn remove_oldest(&mut self) {
        while self.numbers.len() > self.max_files {
            let Some(oldest) = self.numbers.pop_first() else { break };
            // One that cannot be removed is tried again after the next opening.
            let _ = self.storage.remove(&file_name(oldest));
        }
    }
}
