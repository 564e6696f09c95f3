//! The program: the platform's mode, or an own installation by a configuration file.

mod announce;
mod check;
mod cli;
mod demo;
mod hosted;
mod remote;
mod state;

use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use config::{Config, Loaded};
use proxy::log::log_line;
use proxy::standalone;

use crate::cli::{Cli, Command};

/// The configuration, or what it names, cannot be used.
pub const BAD_CONFIGURATION: u8 = 2;
/// The configuration fails an expectation.
pub const FAILED_EXPECTATION: u8 = 1;

fn main() -> ExitCode {
    if std::env::args_os().len() == 1 {
        return platform();
    }
    match Cli::parse().command {
        Command::Serve { config } => serve(&config),
        Command::Check { config, format } => check::run(&config, format),
        Command::Demo { listen, admin, jsonrpc } => ended(demo::run(listen, admin, jsonrpc)),
        Command::Tenant { api, command } => remote::tenant(&api, &command),
        Command::Config { api, command } => remote::config(&api, &command),
        Command::Bgp { api, format, command } => announce::run_command(api, format, &command),
        Command::State { command, format } => state::run(&command, format),
        Command::Token { api, command } => remote::token(&api, &command),
    }
}

/// The platform starts the program with nothing but its environment.
fn platform() -> ExitCode {
    if std::env::var_os("LB_CONFIG").is_some() {
        return ended(proxy::platform::run().map_err(|error| error.to_string()));
    }
    ended(Err("no command and no LB_CONFIG; try `amberlever demo` or `amberlever --help`".to_owned()))
}

fn ended(result: Result<(), String>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => failed(&fault, 1),
    }
}

fn failed(fault: &str, code: u8) -> ExitCode {
    log_line(format_args!("amberlever: {fault}"));
    ExitCode::from(code)
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| e.to_string())
}

/// A configuration that meets its expectations, or why it is not to serve, in a line, with the exit code.
fn ready(path: &Path) -> Result<Config, (String, u8)> {
    let Loaded { config, .. } = config::load(path, &read)
        .map_err(|faults| (faults.to_string(), BAD_CONFIGURATION))
        .and_then(|loaded| {
            let report = loaded.evaluate_expectations();
            if report.is_good() {
                Ok(loaded)
            } else {
                Err((report.summary(), FAILED_EXPECTATION))
            }
        })?;
    Ok(config)
}

fn serve(path: &Path) -> ExitCode {
    if let Some(code) = hosted::serve(path) {
        return code;
    }
    let config = match ready(path) {
        Ok(config) => config,
        Err((fault, code)) => return failed(&fault, code),
    };
    let reloaded_path = path.to_owned();
    let load_config = Box::new(move || ready(&reloaded_path).map_err(|(fault, _)| fault));
    let announcer = match announce::start(&config) {
        Ok(announcer) => announcer,
        Err(fault) => return failed(&fault, 1),
    };
    let options = standalone::Options { config, seed: seed(), load_config, announcer };
    ended(standalone::run(options, |_| {}).map_err(|error| error.to_string()))
}

/// New with each start; what hangs on it is nobody's secret.
fn seed() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    (since.as_nanos() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id())
}
