//! The operations on files that a store needs.

use std::io;

/// The files of one folder. [`Folder`](crate::Folder) is the real one; tests have others that fail.
pub trait FileStorage {
    /// The names of all files.
    ///
    /// # Errors
    /// The operating system's error; so for all operations.
    fn list(&self) -> io::Result<Vec<String>>;
    /// The content of a file.
    ///
    /// # Errors
    /// See [`FileStorage::list`].
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates or truncates a file and writes its content, which may be lost until it is synced.
    ///
    /// # Errors
    /// See [`FileStorage::list`].
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// See [`FileStorage::list`].
    fn sync(&self, name: &str) -> io::Result<()>;
    /// Renames a file. It may be undone until the folder is synced.
    ///
    /// # Errors
    /// See [`FileStorage::list`].
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    /// See [`FileStorage::list`].
    fn sync_folder(&self) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// See [`FileStorage::list`].
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Replaces the file of this name, if there is one, by way of a temporary name. The new file is durable once the folder is
    /// synced.
    ///
    /// # Errors
    /// See [`FileStorage::list`]; then the file of this name is unchanged.
    fn replace(&self, temporary: &str, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.write(temporary, bytes)?;
        self.sync(temporary)?;
        self.rename(temporary, name)
    }
}
