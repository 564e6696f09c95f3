//! A disk that loses power: what was not synced is dropped, torn or reordered, at every operation.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use atomic_file::{Files, Keeper};

/// A file's content, by number; names point at them.
type Names = BTreeMap<String, usize>;

enum Change {
    Name(String, usize),
    Gone(String),
}

#[derive(Default)]
struct Disk {
    /// As the running system sees it.
    names: Names,
    contents: Vec<Vec<u8>>,
    /// What would be left, at the least.
    synced_names: Names,
    synced: Vec<Option<Vec<u8>>>,
    /// Changes of names since the folder was synced.
    pending: Vec<Change>,
    /// Operations until the power goes; and whether it does in the middle of that one.
    left: usize,
    full: bool,
}

#[derive(Clone)]
struct Shim(Rc<RefCell<Disk>>);

impl Shim {
    fn new() -> Shim {
        Shim(Rc::new(RefCell::new(Disk { left: usize::MAX, ..Disk::default() })))
    }

    /// Counts an operation; an error once there is no power.
    fn step(&self) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        match disk.left.checked_sub(1) {
            Some(left) => {
                disk.left = left;
                Ok(())
            }
            None => Err(io::Error::other("no power")),
        }
    }

    /// What is left after the power was gone, by chance.
    fn crash(&self, random: &mut fastrand::Rng) -> Shim {
        let disk = self.0.borrow();
        let mut names = disk.synced_names.clone();
        // Changes of names may each have come to the disk or not, in any order that the system likes.
        let mut changes: Vec<&Change> = disk.pending.iter().filter(|_| random.bool()).collect();
        if random.bool() {
            random.shuffle(&mut changes);
        }
        for change in changes {
            match change {
                Change::Name(name, content) => drop(names.insert(name.clone(), *content)),
                Change::Gone(name) => drop(names.remove(name)),
            }
        }
        let torn = |content: usize, random: &mut fastrand::Rng| match &disk.synced[content] {
            Some(bytes) => bytes.clone(),
            // Never synced: a part of it, with holes, or nothing.
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
        let contents: Vec<Vec<u8>> = (0..disk.contents.len()).map(|c| torn(c, random)).collect();
        let synced = contents.iter().cloned().map(Some).collect();
        let after = Disk {
            names: names.clone(),
            synced_names: names,
            contents,
            synced,
            left: usize::MAX,
            ..Disk::default()
        };
        Shim(Rc::new(RefCell::new(after)))
    }
}

impl Files for Shim {
    fn list(&self) -> io::Result<Vec<String>> {
        self.step()?;
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.step()?;
        let disk = self.0.borrow();
        let content = disk.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(disk.contents[*content].clone())
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let powered = self.step();
        let mut disk = self.0.borrow_mut();
        let part = if powered.is_err() || disk.full { bytes.len() / 2 } else { bytes.len() };
        disk.contents.push(bytes[..part].to_vec());
        disk.synced.push(None);
        let content = disk.contents.len() - 1;
        disk.names.insert(name.to_owned(), content);
        disk.pending.push(Change::Name(name.to_owned(), content));
        if disk.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        powered
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        self.step()?;
        let mut disk = self.0.borrow_mut();
        let content = *disk.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        disk.synced[content] = Some(disk.contents[content].clone());
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let mut disk = self.0.borrow_mut();
        let content = disk.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.names.insert(to.to_owned(), content);
        disk.pending.push(Change::Gone(from.to_owned()));
        disk.pending.push(Change::Name(to.to_owned(), content));
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.step()?;
        let mut disk = self.0.borrow_mut();
        disk.synced_names = disk.names.clone();
        disk.pending.clear();
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.step()?;
        let mut disk = self.0.borrow_mut();
        disk.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        disk.pending.push(Change::Gone(name.to_owned()));
        Ok(())
    }
}

/// A file that tells whether it is whole.
fn file(number: u8) -> Vec<u8> {
    let mut bytes = vec![number + 1; 300];
    bytes.push(bytes.iter().fold(0, |sum: u8, b| sum.wrapping_add(*b)));
    bytes
}

fn whole(bytes: &[u8]) -> Option<u8> {
    let (sum, body) = bytes.split_last()?;
    let same = body.iter().all(|b| *b == body[0]);
    (body.len() == 300 && same && body.iter().fold(0, |s: u8, b| s.wrapping_add(*b)) == *sum)
        .then(|| body[0] - 1)
}

#[test]
fn a_loss_of_power_at_any_operation_leaves_the_one_before_or_the_one_after() {
    let mut random = fastrand::Rng::with_seed(11);
    let mut at_a_put = 0;
    for most in 1..4 {
        for left in 0..60 {
            for _ in 0..40 {
                let shim = Shim::new();
                shim.0.borrow_mut().left = left;
                let mut kept = None;
                let mut tried = None;
                if let Ok(mut keeper) = Keeper::open(shim.clone(), most) {
                    for number in 0..8 {
                        tried = Some(number);
                        if keeper.put(&file(number)).is_err() {
                            break;
                        }
                        kept = Some(number);
                    }
                }
                at_a_put += usize::from(kept != tried);
                let after = shim.crash(&mut random);
                let mut keeper = Keeper::open(after.clone(), most).expect("power is back");
                let found = keeper.newest(whole);
                // The last that was told to be kept, or one that came after.
                assert!(
                    found == kept || found == tried,
                    "{left} operations, {most} kept: {found:?}, not {kept:?} or {tried:?}"
                );
                // And it goes on from there.
                keeper.put(&file(100)).expect("kept");
                assert_eq!(Keeper::open(after, most).expect("opened").newest(whole), Some(100));
            }
        }
    }
    assert!(at_a_put > 1_000, "{at_a_put} losses within a put");
}

#[test]
fn a_full_disk_costs_the_new_file_and_nothing_else() {
    let shim = Shim::new();
    let mut keeper = Keeper::open(shim.clone(), 2).expect("opened");
    (0..3).for_each(|n| keeper.put(&file(n)).expect("kept"));
    shim.0.borrow_mut().full = true;
    for _ in 0..3 {
        assert!(keeper.put(&file(9)).is_err());
        assert_eq!((keeper.newest(whole), shim.0.borrow().names.len()), (Some(2), 2));
    }
    shim.0.borrow_mut().full = false;
    keeper.put(&file(10)).expect("there is room again");
    assert_eq!((keeper.newest(whole), shim.0.borrow().names.len()), (Some(10), 2));
}

#[test]
fn a_damaged_file_costs_itself() {
    let shim = Shim::new();
    let mut keeper = Keeper::open(shim.clone(), 3).expect("opened");
    (0..3).for_each(|n| keeper.put(&file(n)).expect("kept"));
    let mut disk = shim.0.borrow_mut();
    let newest = *disk.names.last_key_value().expect("some").1;
    disk.contents[newest][7] ^= 4;
    drop(disk);
    assert_eq!(keeper.newest(whole), Some(1));
}
