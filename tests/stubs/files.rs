//! Files and folders of tests.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// Numbers them within the process.
static CONFIGS: AtomicU32 = AtomicU32::new(0);

/// Writes a configuration to a file of its own.
pub fn write_config(config: &str) -> PathBuf {
    let number = CONFIGS.fetch_add(1, Ordering::Relaxed);
    let name = format!("amberlever-test-{}-{number}.json", std::process::id());
    let path: PathBuf = [env!("CARGO_TARGET_TMPDIR"), &name].iter().collect();
    std::fs::write(&path, config).expect("written");
    path
}

/// A folder of its own.
pub fn temp_folder() -> PathBuf {
    let number = CONFIGS.fetch_add(1, Ordering::Relaxed);
    let name = format!("amberlever-test-{}-{number}", std::process::id());
    let path: PathBuf = [env!("CARGO_TARGET_TMPDIR"), &name].iter().collect();
    std::fs::create_dir_all(&path).expect("made");
    path
}
