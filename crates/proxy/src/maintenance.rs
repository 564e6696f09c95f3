//! What operators took out by hand, on its way to the roster, and in a file that outlives the process and is shared
//! with the one that takes over.

use std::cell::{Cell, RefCell};
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime};

use membership::{Maintenance, Refused};
use tokio::time::sleep;

use crate::log::say;
use crate::membership::RegistryObserver;

/// How often the file is looked at: another process may have written it. Far less than what a drain is granted.
const LOOK: Duration = Duration::from_millis(50);
/// The largest file that is read, in bytes.
const MOST_BYTES: u64 = 4 << 20;

/// The names of the file, of what will be it, and of the lock.
const FILE: &str = "amberlever.maintenance";
const NEW: &str = "amberlever.maintenance.new";
const LOCK: &str = "amberlever.maintenance.lock";

/// What tells one state of the file from another.
type Mark = (u64, Option<SystemTime>);

/// What operators say of the nodes of one pool.
#[derive(Clone)]
pub struct MaintenanceOverrides {
    pub store: Rc<MaintenanceStore>,
    /// Stands before its nodes' names, where there are several pools.
    pub pool: Option<String>,
}

impl MaintenanceOverrides {
    /// A list has this node: is it out by hand?
    pub fn listed(&self, name: &str) -> bool {
        self.store.listed(&self.called(name))
    }

    pub fn is_out(&self, name: &str) -> bool {
        self.store.is_out(&self.called(name))
    }

    /// What operators call a node.
    pub fn called(&self, name: &str) -> String {
        self.pool.as_ref().map_or_else(|| name.to_owned(), |pool| format!("{pool}/{name}"))
    }

    /// The node that operators call this, if it would be one of this pool.
    pub fn node<'a>(&self, called: &'a str) -> Option<&'a str> {
        match &self.pool {
            Some(pool) => called.strip_prefix(pool.as_str())?.strip_prefix('/'),
            None => Some(called),
        }
    }
}

/// The state of this process, and where it is kept.
pub struct MaintenanceStore {
    state: RefCell<Maintenance>,
    folder: Option<PathBuf>,
    mark: Cell<Option<Mark>>,
    /// Names are known that the file has not.
    unsaved: Cell<bool>,
    complained: Cell<bool>,
    rosters: RefCell<Vec<Weak<dyn RegistryObserver>>>,
}

impl MaintenanceStore {
    /// Takes up what the folder has, if there is one.
    pub fn new(folder: Option<PathBuf>) -> MaintenanceStore {
        let desk = MaintenanceStore {
            state: RefCell::default(),
            folder,
            mark: Cell::new(None),
            unsaved: Cell::new(false),
            complained: Cell::new(false),
            rosters: RefCell::default(),
        };
        desk.catch_up();
        let out = desk.state.borrow().out().count();
        if out > 0 {
            say(format_args!("maintenance: {out} backends are out by hand, from before"));
        }
        desk
    }

    /// Who is told of nodes whose state has changed, for as long as it is there.
    pub fn tell(&self, roster: Weak<dyn RegistryObserver>) {
        let mut rosters = self.rosters.borrow_mut();
        rosters.retain(|known| known.strong_count() > 0);
        rosters.push(roster);
    }

    /// A list has this node: is it out by hand?
    pub fn listed(&self, name: &str) -> bool {
        let mut state = self.state.borrow_mut();
        if state.listed(name) {
            self.unsaved.set(true);
        }
        state.is_out(name)
    }

    pub fn is_out(&self, name: &str) -> bool {
        self.state.borrow().is_out(name)
    }

    /// Takes a node out.
    pub fn enter(&self, name: &str) -> Result<(), Refused> {
        self.change(name, |state| state.enter(name))
    }

    /// Puts a node back.
    pub fn exit(&self, name: &str) -> Result<(), Refused> {
        self.change(name, |state| state.exit(name))
    }

    fn change(
        &self,
        name: &str,
        change: impl Fn(&mut Maintenance) -> Result<(), Refused>,
    ) -> Result<(), Refused> {
        let lock = self.lock();
        self.catch_up();
        change(&mut self.state.borrow_mut())?;
        self.write();
        drop(lock);
        self.changed(&[name.to_owned()]);
        Ok(())
    }

    fn changed(&self, names: &[String]) {
        for roster in self.rosters.borrow().iter().filter_map(Weak::upgrade) {
            names.iter().for_each(|name| roster.changed(name));
        }
    }

    /// Follows what another process writes, and keeps the names that lists had, for as long as it is polled.
    pub async fn follow(&self) {
        if self.folder.is_none() {
            return;
        }
        loop {
            sleep(LOOK).await;
            self.catch_up();
            if self.unsaved.get() {
                let lock = self.lock();
                self.catch_up();
                self.write();
                drop(lock);
            }
        }
    }

    // ---- The file ----

    fn in_folder(&self, name: &str) -> Option<PathBuf> {
        self.folder.as_ref().map(|folder| folder.join(name))
    }

    /// Held while the file is changed. Without it both could only lose a word where they are told in the same moment.
    fn lock(&self) -> Option<File> {
        let path = self.in_folder(LOCK)?;
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(path).ok()?;
        file.lock().ok()?;
        Some(file)
    }

    /// Takes in what the file has, where it is another than the one seen last.
    fn catch_up(&self) {
        let Some(path) = self.in_folder(FILE) else { return };
        let mark = mark(&path);
        if mark.is_none() || mark == self.mark.get() {
            return;
        }
        self.mark.set(mark);
        let read = fs::metadata(&path).is_ok_and(|m| m.len() <= MOST_BYTES).then(|| fs::read(&path).ok());
        match read.flatten().and_then(|bytes| Maintenance::decode(&bytes)) {
            Some(later) => {
                let changed = self.state.borrow_mut().adopt(&later);
                self.changed(&changed);
            }
            None => say(format_args!("maintenance: passing over {}: not as it was written", path.display())),
        }
    }

    fn write(&self) {
        self.unsaved.set(false);
        let (Some(path), Some(new)) = (self.in_folder(FILE), self.in_folder(NEW)) else { return };
        let bytes = self.state.borrow().encode();
        // Not synced: it is for processes that follow on this machine, not for what is left after its end.
        let made: io::Result<()> = fs::write(&new, bytes).and_then(|()| fs::rename(&new, &path));
        self.mark.set(mark(&path));
        if let Err(e) = made {
            if !self.complained.replace(true) {
                say(format_args!("what is out by hand will not outlive this process: {e}"));
            }
        }
    }
}

fn mark(path: &Path) -> Option<Mark> {
    let meta = fs::metadata(path).ok()?;
    Some((meta.ino(), meta.modified().ok()))
}
