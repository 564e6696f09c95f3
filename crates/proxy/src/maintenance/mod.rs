//! Which endpoints operators have drained: on its way to the endpoint registries, and in a file that outlives the process and is
//! shared with the process that takes over.

mod file;

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::Duration;

use membership::{Maintenance, MaintenanceRejection};
use tokio::time::sleep;

use crate::log::log_line;
use crate::membership::RegistryObserver;
use file::{FileChange, MaintenanceFile};

/// How often the file is checked, since another process may have written it. Well within the grace of a drain.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The maintenance store as one pool sees it, with the prefix of its endpoint names.
#[derive(Clone)]
pub struct PoolMaintenance {
    pub store: Rc<MaintenanceStore>,
    /// Precedes the names of its endpoints, where there are several pools.
    pub pool: Option<String>,
}

impl PoolMaintenance {
    /// Records that a list has this endpoint; returns whether it is drained.
    pub fn record_listed(&self, name: &str) -> bool {
        self.store.record_listed(&self.operator_name(name))
    }

    /// Whether operators drained the endpoint.
    pub fn is_drained(&self, name: &str) -> bool {
        self.store.is_drained(&self.operator_name(name))
    }

    /// What operators call an endpoint.
    pub fn operator_name(&self, name: &str) -> String {
        self.pool.as_ref().map_or_else(|| name.to_owned(), |pool| format!("{pool}/{name}"))
    }

    /// The endpoint that operators call this, if it would be one of this pool.
    pub fn endpoint_name<'a>(&self, operator_name: &'a str) -> Option<&'a str> {
        match &self.pool {
            Some(pool) => operator_name.strip_prefix(pool.as_str())?.strip_prefix('/'),
            None => Some(operator_name),
        }
    }
}

/// The maintenance state of this process, and its file.
pub struct MaintenanceStore {
    state: RefCell<Maintenance>,
    file: Option<MaintenanceFile>,
    /// Names are known that the file does not have.
    is_unsaved: Cell<bool>,
    write_fault_logged: Cell<bool>,
    observers: RefCell<Vec<Weak<dyn RegistryObserver>>>,
}

impl MaintenanceStore {
    /// Reads the file in this folder, if there is one.
    pub fn new(folder: Option<PathBuf>) -> MaintenanceStore {
        let store = MaintenanceStore {
            state: RefCell::default(),
            file: folder.map(MaintenanceFile::new),
            is_unsaved: Cell::new(false),
            write_fault_logged: Cell::new(false),
            observers: RefCell::default(),
        };
        store.read_changes();
        let drained = store.state.borrow().drained().count();
        if drained > 0 {
            log_line(format_args!("maintenance: {drained} backends are out by hand, from before"));
        }
        store
    }

    /// Notifies the observer of endpoints that are drained or restored, for as long as it exists.
    pub fn subscribe(&self, observer: Weak<dyn RegistryObserver>) {
        let mut observers = self.observers.borrow_mut();
        observers.retain(|known| known.strong_count() > 0);
        observers.push(observer);
    }

    /// Records that a list has this endpoint; returns whether it is drained.
    pub fn record_listed(&self, name: &str) -> bool {
        let mut state = self.state.borrow_mut();
        if state.record_listed(name) {
            self.is_unsaved.set(true);
        }
        state.is_drained(name)
    }

    /// Whether operators drained the endpoint.
    pub fn is_drained(&self, name: &str) -> bool {
        self.state.borrow().is_drained(name)
    }

    /// Drains an endpoint.
    ///
    /// # Errors
    /// See [`Maintenance::drain`].
    pub fn drain(&self, name: &str) -> Result<(), MaintenanceRejection> {
        self.change(name, |state| state.drain(name))
    }

    /// Restores an endpoint.
    ///
    /// # Errors
    /// See [`Maintenance::restore`].
    pub fn restore(&self, name: &str) -> Result<(), MaintenanceRejection> {
        self.change(name, |state| state.restore(name))
    }

    fn change(
        &self,
        name: &str,
        change: impl Fn(&mut Maintenance) -> Result<(), MaintenanceRejection>,
    ) -> Result<(), MaintenanceRejection> {
        let lock = self.file.as_ref().and_then(MaintenanceFile::lock);
        self.read_changes();
        change(&mut self.state.borrow_mut())?;
        self.write();
        drop(lock);
        self.notify(&[name.to_owned()]);
        Ok(())
    }

    fn notify(&self, names: &[String]) {
        for observer in self.observers.borrow().iter().filter_map(Weak::upgrade) {
            names.iter().for_each(|name| observer.maintenance_changed(name));
        }
    }

    /// Adopts what another process writes, and saves the names that lists had, for as long as it is polled.
    pub async fn follow(&self) {
        let Some(file) = &self.file else { return };
        loop {
            sleep(CHECK_INTERVAL).await;
            self.read_changes();
            if self.is_unsaved.get() {
                let lock = file.lock();
                self.read_changes();
                self.write();
                drop(lock);
            }
        }
    }

    /// Adopts the file, where it is not the one that was read or written last.
    fn read_changes(&self) {
        let Some(file) = &self.file else { return };
        let later = match file.read_if_changed() {
            FileChange::Unchanged => return,
            FileChange::Unreadable => None,
            FileChange::Content(bytes) => Maintenance::decode(&bytes),
        };
        match later {
            Some(later) => {
                let changed = self.state.borrow_mut().adopt(&later);
                self.notify(&changed);
            }
            None => {
                let path = file.path();
                log_line(format_args!("maintenance: passing over {}: not as it was written", path.display()));
            }
        }
    }

    fn write(&self) {
        self.is_unsaved.set(false);
        let Some(file) = &self.file else { return };
        if let Err(error) = file.write(&self.state.borrow().encode()) {
            if !self.write_fault_logged.replace(true) {
                log_line(format_args!("what is out by hand will not outlive this process: {error}"));
            }
        }
    }
}
