//! Passes learned state from a process to the one that takes over, in a file in the folder that both share.
//! It is imported like any saved state: weighted by its age, and only for endpoints that are still the same
//! processes.

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::time::Duration;
use std::{fs, io};

use decide::platform_settings::NameTable;
use learned_state::LearnedSnapshot;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::inbox::DriverHandle;
use crate::learned_state::{timestamped, SavedState};
use crate::log::log_line;
use crate::membership::RegisteredEndpoints;

const FILE_NAME: &str = "amberlever.learned";
/// The name of the file while it is being written.
const TEMPORARY_NAME: &str = "amberlever.learned.new";
/// The name of the single pool of the platform mode in the file.
const POOL_NAME: &str = "platform";
/// The interval at which the file is written, because the next process may start at any time.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// The delay of the first write. Earlier, the state contains little that was not imported from the previous
/// process.
const FIRST_WRITE_DELAY: Duration = Duration::from_secs(3);
/// The maximum size of a file that is read, in bytes. Writing has no bound: a larger file is written, and the
/// next process starts without it.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Imports the state that the previous process wrote to the folder, if any.
pub fn import(
    folder: &Path,
    endpoints: &RegisteredEndpoints,
    clock: Clock,
    names: &NameTable,
    driver: &DriverHandle,
) {
    let path = folder.join(FILE_NAME);
    if !fs::metadata(&path).is_ok_and(|metadata| metadata.len() <= MAX_FILE_BYTES) {
        return;
    }
    let Ok(bytes) = fs::read(&path) else { return };
    let Some(saved) = SavedState::decode(&bytes).and_then(|state| state.pool(POOL_NAME)) else {
        log_line(format_args!("learned state: ignoring invalid file {}", path.display()));
        return;
    };
    endpoints.import_learned_state(saved, clock, names, driver);
}

/// Writes the state for the next process until this process begins to shut down. From then on the next
/// process has more recent state.
pub async fn export(
    folder: &Path,
    endpoints: &RegisteredEndpoints,
    clock: Clock,
    names: &RefCell<NameTable>,
    driver: DriverHandle,
    shutting_down: &Cell<bool>,
) {
    sleep(FIRST_WRITE_DELAY).await;
    let mut fault_logged = false;
    while !shutting_down.get() {
        if let Some(learned) = driver.learned_state().await {
            let pool = endpoints.export_learned_state(POOL_NAME, &learned, clock, &names.borrow());
            let snapshot = timestamped(LearnedSnapshot { pools: vec![pool], ..LearnedSnapshot::default() });
            if let Err(error) = write(folder, &snapshot) {
                if !fault_logged {
                    fault_logged = true;
                    let folder = folder.display();
                    log_line(format_args!(
                        "learned state: cannot write to {folder}: {error}: next process starts without it"
                    ));
                }
            }
        }
        sleep(WRITE_INTERVAL).await;
    }
}

/// Replaces the file. The file is not synced to disk, because it is meant for a later process while the
/// machine is up.
fn write(folder: &Path, snapshot: &LearnedSnapshot) -> io::Result<()> {
    let temporary = folder.join(TEMPORARY_NAME);
    fs::write(&temporary, learned_state::encode(snapshot))?;
    fs::rename(&temporary, folder.join(FILE_NAME))
}
