//! Files and folders that tests create in the target directory.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// The number of the next file or folder of this process; makes their names unique.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Writes a configuration to a new file.
pub fn write_config(config: &str) -> PathBuf {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("amberlever-test-{}-{number}.json", std::process::id());
    let path: PathBuf = [env!("CARGO_TARGET_TMPDIR"), &name].iter().collect();
    std::fs::write(&path, config).expect("written");
    path
}

/// Creates a new folder.
pub fn temp_folder() -> PathBuf {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("amberlever-test-{}-{number}", std::process::id());
    let path: PathBuf = [env!("CARGO_TARGET_TMPDIR"), &name].iter().collect();
    std::fs::create_dir_all(&path).expect("made");
    path
}
