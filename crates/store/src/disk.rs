//! Versions in a folder.

use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

use atomic_file::{FileStorage, Folder};
use redb::{Database, ReadableTable, TableDefinition};

use crate::{Record, StoreError, Versions, KEPT};

const VERSIONS: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("versions");
const VALUES: TableDefinition<'_, &str, &str> = TableDefinition::new("values");
/// The newest versions stand in these files in turn.
const RECENT: [&str; 2] = ["recent-0", "recent-1"];

/// A folder with versions.
pub struct Disk {
    folder: PathBuf,
    db: Database,
}

/// A folder that has been opened.
pub struct Opened {
    /// The folder.
    pub disk: Disk,
    /// The newest version that is whole, if there is any.
    pub newest: Option<Record>,
    /// What was found damaged, in a line each.
    pub warnings: Vec<String>,
}

fn fault(e: impl std::fmt::Display) -> StoreError {
    StoreError(e.to_string())
}

/// A damaged store may panic where it should fail.
fn guarded<T>(work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|_| Err(StoreError("the store is damaged".to_owned())))
}

impl Disk {
    /// Opens a folder, or makes it. Damage is told and got round, never a reason not to start.
    ///
    /// # Errors
    /// The folder cannot be used at all.
    pub fn open(folder: &Path) -> Result<Opened, StoreError> {
        fs::create_dir_all(folder).map_err(|e| fault(format!("{}: {e}", folder.display())))?;
        let mut warnings = Vec::new();
        let path = folder.join("state.redb");
        // What panics over damage is told of in a line below, and not as it panics.
        let hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(|_| {}));
        let read = guarded(|| {
            let mut db = Database::create(&path).map_err(fault)?;
            if !db.check_integrity().map_err(fault)? {
                return Err(StoreError("its checksums do not hold".to_owned()));
            }
            let stored = stored(&db)?;
            Ok((db, stored))
        });
        std::panic::set_hook(hook);
        let (db, stored) = match read {
            Ok(read) => read,
            Err(e) => {
                let aside = set_aside(&path)?;
                warnings.push(format!("{}: {e}; set aside as {}", path.display(), aside.display()));
                (Database::create(&path).map_err(fault)?, Vec::new())
            }
        };
        let mut disk = Disk { folder: folder.to_owned(), db };
        let damaged = stored.iter().filter(|(_, record)| record.is_none()).map(|(number, _)| *number);
        warnings.extend(damaged.map(|number| format!("version {number} is damaged and passed over")));
        let mut newest = stored.into_iter().rev().find_map(|(_, record)| record);
        for name in RECENT {
            let path = folder.join(name);
            let Ok(bytes) = fs::read(&path) else { continue };
            match Record::decode(&bytes) {
                Some(record) if newest.as_ref().is_none_or(|n| n.number < record.number) => {
                    newest = Some(record);
                }
                Some(_) => {}
                None => warnings.push(format!("{} is damaged and passed over", path.display())),
            }
        }
        // What was found beside the store goes into it again.
        if let Some(record) = newest.as_ref().filter(|n| disk.get(n.number).is_none()) {
            warnings.push(format!("version {} was found beside the store", record.number));
            disk.append(record)?;
        }
        Ok(Opened { disk, newest, warnings })
    }

    /// Writes a file whole or not at all.
    fn write(&self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        // The store's own lock holds the folder.
        let files = Folder::without_lock(&self.folder);
        files.replace(&format!("{name}.next"), name, bytes)?;
        files.sync_folder()
    }
}

/// All versions of a store in order, None for those that are damaged.
fn stored(db: &Database) -> Result<Vec<(u64, Option<Record>)>, StoreError> {
    let read = db.begin_read().map_err(fault)?;
    let Ok(table) = read.open_table(VERSIONS) else { return Ok(Vec::new()) };
    let mut all = Vec::new();
    for entry in table.iter().map_err(fault)? {
        let (number, bytes) = entry.map_err(fault)?;
        let record = Record::decode(bytes.value()).filter(|r| r.number == number.value());
        all.push((number.value(), record));
    }
    Ok(all)
}

fn set_aside(path: &Path) -> Result<PathBuf, StoreError> {
    let aside = (1..).map(|n| path.with_extension(format!("damaged-{n}"))).find(|p| !p.exists());
    let aside = aside.unwrap_or_else(|| path.with_extension("damaged"));
    fs::rename(path, &aside).map_err(fault)?;
    Ok(aside)
}

impl Versions for Disk {
    fn append(&mut self, record: &Record) -> Result<(), StoreError> {
        let bytes = record.encode();
        guarded(|| {
            let write = self.db.begin_write().map_err(fault)?;
            {
                let mut table = write.open_table(VERSIONS).map_err(fault)?;
                table.insert(record.number, bytes.as_slice()).map_err(fault)?;
                if let Some(old) = record.number.checked_sub(KEPT) {
                    table.remove(old).map_err(fault)?;
                }
            }
            write.commit().map_err(fault)
        })?;
        // The version is kept; its copy only shortens the way back after damage.
        let _ = self.write(RECENT[(record.number % 2) as usize], &bytes);
        Ok(())
    }

    fn get(&self, number: u64) -> Option<Record> {
        let read = || {
            let read = self.db.begin_read().map_err(fault)?;
            let table = read.open_table(VERSIONS).map_err(fault)?;
            let bytes = table.get(number).map_err(fault)?;
            Ok(bytes.and_then(|bytes| Record::decode(bytes.value())))
        };
        guarded(read).ok().flatten()
    }

    fn list(&self, most: usize) -> Vec<Record> {
        let read = || {
            let read = self.db.begin_read().map_err(fault)?;
            let table = read.open_table(VERSIONS).map_err(fault)?;
            let newest = table.iter().map_err(fault)?.rev().take(most).flatten();
            let whole = newest.filter_map(|(_, bytes)| Record::decode(bytes.value()));
            Ok(whole.map(|record| Record { body: String::new(), ..record }).collect())
        };
        guarded(read).unwrap_or_default()
    }

    fn put(&mut self, name: &str, value: &str) -> Result<(), StoreError> {
        guarded(|| {
            let write = self.db.begin_write().map_err(fault)?;
            write.open_table(VALUES).map_err(fault)?.insert(name, value).map_err(fault)?;
            write.commit().map_err(fault)
        })
    }

    fn value(&self, name: &str) -> Option<String> {
        let read = || {
            let read = self.db.begin_read().map_err(fault)?;
            let table = read.open_table(VALUES).map_err(fault)?;
            Ok(table.get(name).map_err(fault)?.map(|v| v.value().to_owned()))
        };
        guarded(read).ok().flatten()
    }
}
