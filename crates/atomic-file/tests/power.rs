//! Tests of a store on a simulated disk that loses power at any operation: changes that were not synced are
//! dropped, torn or reordered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use atomic_file::{AtomicFileStore, FileStorage};

/// The index of the content of each file in [`Disk::contents`], by name.
type Names = BTreeMap<String, usize>;

/// A change of a name that a crash may undo.
enum Change {
    Named(String, usize),
    Removed(String),
}

#[derive(Default)]
struct Disk {
    /// The files as the running system sees them.
    names: Names,
    contents: Vec<Vec<u8>>,
    /// The names that are durable.
    synced_names: Names,
    /// The durable content for each content. `None` if it was never synced.
    synced: Vec<Option<Vec<u8>>>,
    /// Changes of names since the folder was synced.
    unsynced_changes: Vec<Change>,
    /// The number of operations until the power loss.
    operations_left: usize,
    is_full: bool,
}

#[derive(Clone)]
struct SimulatedStorage(Rc<RefCell<Disk>>);

impl SimulatedStorage {
    fn new() -> SimulatedStorage {
        SimulatedStorage(Rc::new(RefCell::new(Disk { operations_left: usize::MAX, ..Disk::default() })))
    }

    /// Counts an operation. Returns an error after the power loss.
    fn count_operation(&self) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        match disk.operations_left.checked_sub(1) {
            Some(operations_left) => {
                disk.operations_left = operations_left;
                Ok(())
            }
            None => Err(io::Error::other("no power")),
        }
    }

    /// Returns a disk with a random possible state after a power loss.
    fn crash(&self, random: &mut fastrand::Rng) -> SimulatedStorage {
        let disk = self.0.borrow();
        let mut names = disk.synced_names.clone();
        // Each change of a name is durable or not, and the changes take effect in any order.
        let mut changes: Vec<&Change> = disk.unsynced_changes.iter().filter(|_| random.bool()).collect();
        if random.bool() {
            random.shuffle(&mut changes);
        }
        for change in changes {
            match change {
                Change::Named(name, content) => drop(names.insert(name.clone(), *content)),
                Change::Removed(name) => drop(names.remove(name)),
            }
        }
        let content_after_crash = |content: usize, random: &mut fastrand::Rng| match &disk.synced[content] {
            Some(bytes) => bytes.clone(),
            // Content that was never synced is truncated, partly zero, or empty.
            None => {
                let mut bytes = disk.contents[content].clone();
                bytes.truncate(random.usize(..=bytes.len()));
                if !bytes.is_empty() && random.bool() {
                    let from = random.usize(..bytes.len());
                    bytes[from..].fill(0);
                }
                bytes
            }
        };
        let contents: Vec<Vec<u8>> =
            (0..disk.contents.len()).map(|index| content_after_crash(index, random)).collect();
        let synced = contents.iter().cloned().map(Some).collect();
        let after_crash = Disk {
            names: names.clone(),
            synced_names: names,
            contents,
            synced,
            operations_left: usize::MAX,
            ..Disk::default()
        };
        SimulatedStorage(Rc::new(RefCell::new(after_crash)))
    }
}

impl FileStorage for SimulatedStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        self.count_operation()?;
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.count_operation()?;
        let disk = self.0.borrow();
        let content = disk.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(disk.contents[*content].clone())
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let power = self.count_operation();
        let mut disk = self.0.borrow_mut();
        let written = if power.is_err() || disk.is_full { bytes.len() / 2 } else { bytes.len() };
        disk.contents.push(bytes[..written].to_vec());
        disk.synced.push(None);
        let content = disk.contents.len() - 1;
        disk.names.insert(name.to_owned(), content);
        disk.unsynced_changes.push(Change::Named(name.to_owned(), content));
        if disk.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        power
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let mut disk = self.0.borrow_mut();
        let content = *disk.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        disk.synced[content] = Some(disk.contents[content].clone());
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.count_operation()?;
        let mut disk = self.0.borrow_mut();
        let content = disk.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.names.insert(to.to_owned(), content);
        disk.unsynced_changes.push(Change::Removed(from.to_owned()));
        disk.unsynced_changes.push(Change::Named(to.to_owned(), content));
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.count_operation()?;
        let mut disk = self.0.borrow_mut();
        disk.synced_names = disk.names.clone();
        disk.unsynced_changes.clear();
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let mut disk = self.0.borrow_mut();
        disk.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        disk.unsynced_changes.push(Change::Removed(name.to_owned()));
        Ok(())
    }
}

/// Returns the content of a file: 300 equal bytes and a checksum.
fn content_of(number: u8) -> Vec<u8> {
    let mut bytes = vec![number + 1; 300];
    bytes.push(bytes.iter().fold(0, |sum: u8, byte| sum.wrapping_add(*byte)));
    bytes
}

fn decode(bytes: &[u8]) -> Option<u8> {
    let (sum, body) = bytes.split_last()?;
    let is_uniform = body.iter().all(|byte| *byte == body[0]);
    (body.len() == 300 && is_uniform && body.iter().fold(0, |sum: u8, byte| sum.wrapping_add(*byte)) == *sum)
        .then(|| body[0] - 1)
}

/// Guards against a power loss during a write that loses the previous file too, or leaves a torn file as the
/// newest.
#[test]
fn power_loss_at_any_operation_leaves_the_previous_or_the_new_file() {
    let mut random = fastrand::Rng::with_seed(11);
    let mut losses_during_put = 0;
    for max_files in 1..4 {
        for operations_left in 0..60 {
            for _ in 0..40 {
                let storage = SimulatedStorage::new();
                storage.0.borrow_mut().operations_left = operations_left;
                let mut acknowledged = None;
                let mut attempted = None;
                if let Ok(mut store) = AtomicFileStore::open(storage.clone(), max_files) {
                    for number in 0..8 {
                        attempted = Some(number);
                        if store.put(&content_of(number)).is_err() {
                            break;
                        }
                        acknowledged = Some(number);
                    }
                }
                losses_during_put += usize::from(acknowledged != attempted);
                let after_crash = storage.crash(&mut random);
                let mut store = AtomicFileStore::open(after_crash.clone(), max_files).expect("power is back");
                let newest = store.newest_valid(decode);
                // The newest file is the last acknowledged one, or the one that was being written.
                assert!(
                    newest == acknowledged || newest == attempted,
                    "{operations_left} operations, {max_files} files: {newest:?}, not {acknowledged:?} or {attempted:?}"
                );
                // The store accepts another file.
                store.put(&content_of(100)).expect("stored");
                assert_eq!(
                    AtomicFileStore::open(after_crash, max_files).expect("opened").newest_valid(decode),
                    Some(100)
                );
            }
        }
    }
    assert!(losses_during_put > 1_000, "{losses_during_put} power losses during a put");
}

/// Guards against a full disk that loses older files or keeps partial ones.
#[test]
fn full_disk_loses_only_the_new_file() {
    let storage = SimulatedStorage::new();
    let mut store = AtomicFileStore::open(storage.clone(), 2).expect("opened");
    (0..3).for_each(|number| store.put(&content_of(number)).expect("stored"));
    storage.0.borrow_mut().is_full = true;
    for _ in 0..3 {
        assert!(store.put(&content_of(9)).is_err());
        assert_eq!((store.newest_valid(decode), storage.0.borrow().names.len()), (Some(2), 2));
    }
    storage.0.borrow_mut().is_full = false;
    store.put(&content_of(10)).expect("the disk has space again");
    assert_eq!((store.newest_valid(decode), storage.0.borrow().names.len()), (Some(10), 2));
}

/// Guards against a damaged newest file that hides the valid ones before it.
#[test]
fn damaged_newest_file_falls_back_to_the_previous_file() {
    let storage = SimulatedStorage::new();
    let mut store = AtomicFileStore::open(storage.clone(), 3).expect("opened");
    (0..3).for_each(|number| store.put(&content_of(number)).expect("stored"));
    let mut disk = storage.0.borrow_mut();
    let newest = *disk.names.last_key_value().expect("some").1;
    disk.contents[newest][7] ^= 4;
    drop(disk);
    assert_eq!(store.newest_valid(decode), Some(1));
}
