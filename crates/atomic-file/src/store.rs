//! A store of numbered files in a folder, of which the newest valid one is used.

use std::collections::BTreeSet;
use std::io;

use crate::{FileStorage, MAX_FILE_BYTES};

/// The name of a file while it is written.
const TEMPORARY_NAME: &str = "new.tmp";
/// The number of digits in the name of a file. The name consists of the number of the file and [`SUFFIX`].
const NUMBER_DIGITS: usize = 20;
/// The suffix of the name of a file, from knowledge, the former name of learned state.
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

/// Returns the newest file that can be read and that `decode` accepts, as [`AtomicFileStore::newest_valid`]
/// does. Changes no file, so another process may hold the lock of the folder.
///
/// # Errors
/// Returns an error if the folder cannot be listed.
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

/// A store of numbered files in a folder.
pub struct AtomicFileStore<S> {
    storage: S,
    max_files: usize,
    numbers: BTreeSet<u64>,
}

impl<S: FileStorage> AtomicFileStore<S> {
    /// Opens a folder. The newest `max_files` files are retained, at least one.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be listed.
    pub fn open(storage: S, max_files: usize) -> io::Result<AtomicFileStore<S>> {
        let names = storage.list()?;
        if names.iter().any(|name| name == TEMPORARY_NAME) {
            // A process ended while it wrote this file. If the file cannot be removed, the next write
            // replaces it.
            let _ = storage.remove(TEMPORARY_NAME);
        }
        let numbers = names.iter().filter_map(|name| file_number(name)).collect();
        Ok(AtomicFileStore { storage, max_files: max_files.max(1), numbers })
    }

    /// Returns the newest file that can be read and that `decode` accepts. `None` if there is no such file.
    pub fn newest_valid<T>(&self, decode: impl FnMut(&[u8]) -> Option<T>) -> Option<T> {
        newest_of(&self.storage, &self.numbers, decode)
    }

    /// Stores a new file, which becomes the newest one.
    ///
    /// # Errors
    /// Returns an error if the file exceeds [`MAX_FILE_BYTES`], is not stored, or may not be durable. Older
    /// files are then unchanged.
    pub fn put(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() as u64 > MAX_FILE_BYTES {
            let message =
                format!("{} bytes to store, larger than the limit of {MAX_FILE_BYTES}", bytes.len());
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, message));
        }
        let number = self.numbers.last().map_or(1, |newest| newest.saturating_add(1));
        let replaced = self.storage.replace(TEMPORARY_NAME, &file_name(number), bytes);
        if replaced.is_err() {
            // Removing the partial file frees its space on a full disk.
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
            // The removal of a file that cannot be removed is retried after the folder is opened again.
            let _ = self.storage.remove(&file_name(oldest));
        }
    }
}
