//! The file operations that a store requires.

use std::io;

/// The files of one folder. [`Folder`](crate::Folder) implements it for the file system; tests implement it
/// with simulated failures.
pub trait FileStorage {
    /// Returns the names of all files.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Returns the content of a file.
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
    /// Renames a file. A crash may undo the renaming until the folder is synced.
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

    /// Creates or replaces the file `name` by writing `temporary` and renaming it. The new file is durable
    /// once the folder is synced.
    ///
    /// # Errors
    /// See [`FileStorage::list`]. On an error the file `name` is unchanged.
    fn replace(&self, temporary: &str, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.write(temporary, bytes)?;
        self.sync(temporary)?;
        self.rename(temporary, name)
    }
}
