//! What was learned, on its way from a process to the one that takes over: a file in the folder that both share. It
//! is believed as what outlives a process always is, by its age and as far as its servers are the same ones.

use std::cell::{Cell, RefCell};
use std::fs;
use std::path::Path;
use std::time::Duration;

use decide::platform_settings::NameTable;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::inbox::DriverHandle;
use crate::learned_state::{timestamped, SavedState};
use crate::log::say;
use crate::membership::RegisteredEndpoints;

/// The names of the file, and of what will be it.
const FILE: &str = "amberlever.learned";
const NEW: &str = "amberlever.learned.new";
/// The one pool of the platform's mode.
const POOL: &str = "platform";
/// How often it is written. The one that takes over may be started at any moment.
const EVERY: Duration = Duration::from_secs(1);
/// Not in the first while, in which little is learned that the process before did not know better.
const FIRST: Duration = Duration::from_secs(3);
/// The largest file that is read, in bytes.
const MOST_BYTES: u64 = 4 << 20;

/// What the process before left in this folder, if anything.
pub fn take_up(
    folder: &Path,
    known: &RegisteredEndpoints,
    clock: Clock,
    names: &NameTable,
    handle: &DriverHandle,
) {
    let path = folder.join(FILE);
    if !fs::metadata(&path).is_ok_and(|m| m.len() <= MOST_BYTES) {
        return;
    }
    let Ok(bytes) = fs::read(&path) else { return };
    let Some(told) = SavedState::decode(&bytes).and_then(|past| past.pool(POOL)) else {
        say(format_args!("knowledge: passing over {}: not as it was written", path.display()));
        return;
    };
    known.import_learned_state(told, clock, names, handle);
}

/// Leaves what is learned for the next process, until this one is told to end: then the next one knows better.
pub async fn leave(
    folder: &Path,
    known: &RegisteredEndpoints,
    clock: Clock,
    names: &RefCell<NameTable>,
    handle: DriverHandle,
    ending: &Cell<bool>,
) {
    sleep(FIRST).await;
    let mut complained = false;
    while !ending.get() {
        if let Some(learned) = handle.learned_state().await {
            let pools = vec![known.export_learned_state(POOL, &learned, clock, &names.borrow())];
            let snapshot =
                timestamped(learned_state::Snapshot { pools, ..learned_state::Snapshot::default() });
            // Not synced: it is for a process that follows on this machine.
            let made = fs::write(folder.join(NEW), learned_state::write(&snapshot))
                .and_then(|()| fs::rename(folder.join(NEW), folder.join(FILE)));
            if let (Err(e), false) = (made, complained) {
                complained = true;
                say(format_args!("knowledge: the next process will learn anew: {e}"));
            }
        }
        sleep(EVERY).await;
    }
}
