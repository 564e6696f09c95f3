//! Starts proxies in standalone mode.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use super::files::temp_folder;
use super::process::Process;

/// Starts a proxy in standalone mode. `extra_files` (name, text) are written to the folder of its
/// configuration.
#[track_caller]
pub fn start_standalone(config: &str, extra_files: &[(&str, &str)]) -> Process {
    let (child, path) = spawn_standalone(config, extra_files);
    Process::attach(child, path)
}

/// Starts the program in standalone mode without waiting for its address, because it may exit at once.
/// Returns the process and the path of its configuration.
pub fn spawn_standalone(config: &str, extra_files: &[(&str, &str)]) -> (Child, PathBuf) {
    let folder = temp_folder();
    for (name, text) in extra_files {
        std::fs::write(folder.join(name), text).expect("written");
    }
    let path = folder.join("lb.toml");
    std::fs::write(&path, config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_amberlever"));
    command.args(["serve", "--config"]).arg(&path).env_remove("LB_CONFIG").stderr(Stdio::piped());
    (command.spawn().expect("the proxy starts"), path)
}
