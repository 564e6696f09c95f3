//! A version store on disk.

use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

use atomic_file::{FileStorage, Folder};
use redb::{Database, ReadableTable, TableDefinition};

use crate::{Record, StoreError, VersionStore, RETAINED_VERSIONS};

const VERSIONS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("versions");
const VALUES: TableDefinition<'_, &str, &str> = TableDefinition::new("values");
const DATABASE: &str = "state.redb";
/// The files to which new versions are copied, alternately.
const RECENT: [&str; 2] = ["recent-0", "recent-1"];

/// A version store in a folder.
pub struct DiskStore {
    folder: PathBuf,
    database: Database,
}

/// The result of opening a store.
pub struct OpenedStore {
    /// The store.
    pub disk: DiskStore,
    /// The newest intact version. `None` if there is none.
    pub newest: Option<Record>,
    /// A line for each damaged or recovered part of the store.
    pub warnings: Vec<String>,
}

fn store_error(source: impl std::fmt::Display) -> StoreError {
    StoreError(source.to_string())
}

/// Converts a panic of the database library, which damaged data can cause, into an error.
fn catch_damage<T>(work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|_| Err(StoreError("the store is damaged".to_owned())))
}

impl DiskStore {
    /// Opens the store in a folder, or creates it. Damage causes warnings, not errors.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be created, read or written.
    pub fn open(folder: &Path) -> Result<OpenedStore, StoreError> {
        fs::create_dir_all(folder).map_err(|error| store_error(format!("{}: {error}", folder.display())))?;
        let mut warnings = Vec::new();
        let (database, versions) = open_or_replace(&folder.join(DATABASE), &mut warnings)?;
        let mut disk = DiskStore { folder: folder.to_owned(), database };
        let damaged = versions.iter().filter(|version| version.record.is_none());
        warnings.extend(
            damaged.map(|version| {
                format!("version {} in the database is damaged and is skipped", version.number)
            }),
        );
        let stored = versions.into_iter().rev().find_map(|version| version.record);
        let newest = newest_of_copies(folder, stored, &mut warnings);
        // A copy that is newer than the newest intact version in the database is stored in the database
        // again.
        if let Some(record) = newest.as_ref().filter(|newest| disk.get(newest.number).is_none()) {
            warnings.push(format!("version {} was found beside the store", record.number));
            disk.append(record)?;
        }
        Ok(OpenedStore { disk, newest, warnings })
    }

    /// Replaces a file atomically.
    fn write(&self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        // The lock of the database protects the folder.
        let files = Folder::without_lock(&self.folder);
        files.replace(&format!("{name}.next"), name, bytes)?;
        files.sync_folder()
    }
}

/// A version in the database.
struct StoredVersion {
    number: u64,
    /// The content of the version; `None` if it is damaged.
    record: Option<Record>,
}

/// Opens the database and reads all versions. A damaged database is renamed and replaced by an empty one.
fn open_or_replace(
    path: &Path,
    warnings: &mut Vec<String>,
) -> Result<(Database, Vec<StoredVersion>), StoreError> {
    // A panic caused by damage is reported as a warning below, so the panic hook must not print it.
    let panic_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let opened = catch_damage(|| open_checked(path));
    std::panic::set_hook(panic_hook);
    opened.or_else(|error| {
        let renamed_to = rename_damaged(path)?;
        warnings.push(format!(
            "the database {} cannot be opened ({error}): set aside as {}, replaced by an empty one",
            path.display(),
            renamed_to.display()
        ));
        let database = Database::create(path).map_err(store_error)?;
        Ok((database, Vec::new()))
    })
}

fn open_checked(path: &Path) -> Result<(Database, Vec<StoredVersion>), StoreError> {
    let mut database = Database::create(path).map_err(store_error)?;
    if !database.check_integrity().map_err(store_error)? {
        return Err(StoreError("checksum mismatch".to_owned()));
    }
    let versions = stored_versions(&database)?;
    Ok((database, versions))
}

/// Reads all versions of a database, ordered by number.
fn stored_versions(database: &Database) -> Result<Vec<StoredVersion>, StoreError> {
    let transaction = database.begin_read().map_err(store_error)?;
    let Ok(table) = transaction.open_table(VERSIONS) else { return Ok(Vec::new()) };
    let mut versions = Vec::new();
    for entry in table.iter().map_err(store_error)? {
        let (number, bytes) = entry.map_err(store_error)?;
        let number = number.value();
        let record = Record::decode(bytes.value()).filter(|record| record.number == number);
        versions.push(StoredVersion { number, record });
    }
    Ok(versions)
}

/// Returns the newest of the stored version and the copies beside the database.
fn newest_of_copies(folder: &Path, stored: Option<Record>, warnings: &mut Vec<String>) -> Option<Record> {
    let mut newest = stored;
    for name in RECENT {
        let path = folder.join(name);
        let Ok(bytes) = fs::read(&path) else { continue };
        match Record::decode(&bytes) {
            Some(record) if newest.as_ref().is_none_or(|newest| newest.number < record.number) => {
                newest = Some(record);
            }
            Some(_) => {}
            None => warnings.push(format!("the copy {} is damaged and is skipped", path.display())),
        }
    }
    newest
}

/// Renames a damaged database to the first free name with the extension `damaged-N`, and returns that name.
fn rename_damaged(path: &Path) -> Result<PathBuf, StoreError> {
    let mut names = (1..).map(|number| path.with_extension(format!("damaged-{number}")));
    let free_name = names.find(|name| !name.exists());
    let new_path = free_name.unwrap_or_else(|| path.with_extension("damaged"));
    fs::rename(path, &new_path).map_err(store_error)?;
    Ok(new_path)
}

impl VersionStore for DiskStore {
    fn append(&mut self, record: &Record) -> Result<(), StoreError> {
        let bytes = record.encode();
        catch_damage(|| {
            let transaction = self.database.begin_write().map_err(store_error)?;
            {
                let mut table = transaction.open_table(VERSIONS).map_err(store_error)?;
                table.insert(record.number, bytes.as_slice()).map_err(store_error)?;
                if let Some(old) = record.number.checked_sub(RETAINED_VERSIONS) {
                    table.remove(old).map_err(store_error)?;
                }
            }
            transaction.commit().map_err(store_error)
        })?;
        // The version is already stored. The copy is only for recovery, so its failure is not an error.
        let _ = self.write(RECENT[(record.number % 2) as usize], &bytes);
        Ok(())
    }

    fn get(&self, number: u64) -> Option<Record> {
        let read = || {
            let transaction = self.database.begin_read().map_err(store_error)?;
            let table = transaction.open_table(VERSIONS).map_err(store_error)?;
            let bytes = table.get(number).map_err(store_error)?;
            Ok(bytes.and_then(|bytes| Record::decode(bytes.value())))
        };
        catch_damage(read).ok().flatten()
    }

    fn list(&self, max: usize) -> Vec<Record> {
        let read = || {
            let transaction = self.database.begin_read().map_err(store_error)?;
            let table = transaction.open_table(VERSIONS).map_err(store_error)?;
            let newest = table.iter().map_err(store_error)?.rev().take(max).flatten();
            let intact = newest.filter_map(|(_, bytes)| Record::decode(bytes.value()));
            Ok(intact.map(|record| Record { body: String::new(), ..record }).collect())
        };
        catch_damage(read).unwrap_or_default()
    }

    fn put(&mut self, name: &str, value: &str) -> Result<(), StoreError> {
        catch_damage(|| {
            let transaction = self.database.begin_write().map_err(store_error)?;
            transaction.open_table(VALUES).map_err(store_error)?.insert(name, value).map_err(store_error)?;
            transaction.commit().map_err(store_error)
        })
    }

    fn value(&self, name: &str) -> Option<String> {
        let read = || {
            let transaction = self.database.begin_read().map_err(store_error)?;
            let table = transaction.open_table(VALUES).map_err(store_error)?;
            Ok(table.get(name).map_err(store_error)?.map(|value| value.value().to_owned()))
        };
        catch_damage(read).ok().flatten()
    }
}
