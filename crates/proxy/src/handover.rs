//! Passes learned state from a process to the one that takes over: a file in the folder that both share. It is imported as any
//! saved state, with regard to its age and to the endpoints that are still the same processes.

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
/// The name of a file that is being written.
const TEMPORARY_NAME: &str = "amberlever.learned.new";
/// The name of the one pool of the platform mode.
const POOL_NAME: &str = "platform";
/// How often the file is written: the next process may start at any moment.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// The first write comes after this: before, little is learned that the previous process did not know.
const FIRST_WRITE_DELAY: Duration = Duration::from_secs(3);
/// The largest file that is read, in bytes. Writing has no bound: what is larger is written, and the next process starts
/// without it.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Imports the state that the previous process left in this folder, if any.
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
        log_line(format_args!("knowledge: passing over {}: not as it was written", path.display()));
        return;
    };
    endpoints.import_learned_state(saved, clock, names, driver);
}

/// Writes the state for the next process, until this one begins to shut down: from then on the next one knows more.
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
                    log_line(format_args!("knowledge: the next process will learn anew: {error}"));
                }
            }
        }
        sleep(WRITE_INTERVAL).await;
    }
}

/// Replaces the file. It is not synced: it is for a process that follows on this machine.
fn write(folder: &Path, snapshot: &LearnedSnapshot) -> io::Result<()> {
    let temporary = folder.join(TEMPORARY_NAME);
    fs::write(&temporary, learned_state::encode(snapshot))?;
    fs::rename(&temporary, folder.join(FILE_NAME))
}
