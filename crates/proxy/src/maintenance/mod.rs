//! The maintenance state: which endpoints operators have drained. Changes are passed on to the endpoint
//! registries, and stored in a file that outlives the process and is shared with the process that takes over.

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

/// The interval at which the file is checked, because another process may have written it. It is much
/// shorter than the drain grace.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The maintenance state of one pool: the store, and the prefix of the pool's endpoints in the operators'
/// names.
#[derive(Clone)]
pub struct PoolMaintenance {
    pub store: Rc<MaintenanceStore>,
    /// The prefix of the pool's endpoints in the operators' names: `POOL` or `TENANT/POOL`. `None` in the
    /// platform mode, which has a single pool.
    pub pool: Option<String>,
}

impl PoolMaintenance {
    /// Records that an endpoint is listed. Returns whether operators drained it.
    pub fn record_listed(&self, name: &str) -> bool {
        self.store.record_listed(&self.operator_name(name))
    }

    /// Whether operators drained the endpoint.
    pub fn is_drained(&self, name: &str) -> bool {
        self.store.is_drained(&self.operator_name(name))
    }

    /// The operators' name of an endpoint: its name in the pool after the prefix and `/`, or alone if there
    /// is no prefix.
    pub fn operator_name(&self, name: &str) -> String {
        self.pool.as_ref().map_or_else(|| name.to_owned(), |pool| format!("{pool}/{name}"))
    }

    /// The name within this pool of the endpoint with this operators' name; `None` if the name belongs to
    /// another pool.
    pub fn endpoint_name<'a>(&self, operator_name: &'a str) -> Option<&'a str> {
        match &self.pool {
            Some(pool) => operator_name.strip_prefix(pool.as_str())?.strip_prefix('/'),
            None => Some(operator_name),
        }
    }
}

/// The maintenance state of this process and the file in which it is stored.
pub struct MaintenanceStore {
    state: RefCell<Maintenance>,
    file: Option<MaintenanceFile>,
    /// Whether endpoints were listed whose names the file does not contain.
    is_unsaved: Cell<bool>,
    write_fault_logged: Cell<bool>,
    observers: RefCell<Vec<Weak<dyn RegistryObserver>>>,
}

impl MaintenanceStore {
    /// Creates the store and reads the file in the folder, if there is one. Without a folder the state is not
    /// stored.
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
            log_line(format_args!("maintenance: {drained} endpoints were drained in an earlier process"));
        }
        store
    }

    /// Subscribes an observer to drains and restores of endpoints, for as long as the observer exists.
    pub fn subscribe(&self, observer: Weak<dyn RegistryObserver>) {
        let mut observers = self.observers.borrow_mut();
        observers.retain(|known| known.strong_count() > 0);
        observers.push(observer);
    }

    /// Records that an endpoint with this operators' name is listed. Returns whether operators drained it.
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

    /// Adopts changes of the file by another process, and saves the names of newly listed endpoints, for as
    /// long as it is polled.
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

    /// Adopts the content of the file if it is not the one that was read or written last.
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
                log_line(format_args!("maintenance: ignoring invalid file {}", path.display()));
            }
        }
    }

    fn write(&self) {
        self.is_unsaved.set(false);
        let Some(file) = &self.file else { return };
        if let Err(error) = file.write(&self.state.borrow().encode()) {
            if !self.write_fault_logged.replace(true) {
                let path = file.path();
                log_line(format_args!(
                    "maintenance: cannot write {}: {error}: drains will be lost when this process ends",
                    path.display()
                ));
            }
        }
    }
}
