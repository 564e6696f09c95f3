//! The program `amberlever`: a proxy of the platform, a standalone proxy or a hosted service, and commands
//! for operators.

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

/// The exit code for a configuration that is invalid, or refers to something that cannot be used.
pub const BAD_CONFIGURATION: u8 = 2;
/// The exit code for a configuration that fails an expectation.
pub const FAILED_EXPECTATION: u8 = 1;

fn main() -> ExitCode {
    if std::env::args_os().len() == 1 {
        return run_platform();
    }
    match Cli::parse().command {
        Command::Serve { config } => serve(&config),
        Command::Check { config, format } => check::run(&config, format),
        Command::Demo { listen, admin, jsonrpc } => exit_code(demo::run(listen, admin, jsonrpc)),
        Command::Tenant { api, command } => remote::tenant(&api, &command),
        Command::Config { api, command } => remote::config(&api, &command),
        Command::Bgp { api, format, command } => announce::run_command(api, format, &command),
        Command::State { command, format } => state::run(&command, format),
        Command::Token { api, command } => remote::token(&api, &command),
    }
}

/// Runs as a proxy of the platform, which starts the program without arguments and with LB_CONFIG in the
/// environment.
fn run_platform() -> ExitCode {
    if std::env::var_os("LB_CONFIG").is_some() {
        return exit_code(proxy::platform::run().map_err(|error| error.to_string()));
    }
    exit_code(Err(
        "no command, and LB_CONFIG is not set; try `amberlever demo` or `amberlever --help`".to_owned()
    ))
}

fn exit_code(result: Result<(), String>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error, 1),
    }
}

fn failed(error: &str, code: u8) -> ExitCode {
    log_line(format_args!("amberlever: {error}"));
    ExitCode::from(code)
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| e.to_string())
}

/// Loads a configuration and evaluates its expectations.
///
/// # Errors
/// A one-line message and the exit code, if the configuration is invalid or fails an expectation.
fn load_checked(path: &Path) -> Result<Config, (String, u8)> {
    let Loaded { config, .. } = config::load(path, &read)
        .map_err(|diagnostics| (diagnostics.to_string(), BAD_CONFIGURATION))
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
    let config = match load_checked(path) {
        Ok(config) => config,
        Err((error, code)) => return failed(&error, code),
    };
    let reloaded_path = path.to_owned();
    let load_config = Box::new(move || load_checked(&reloaded_path).map_err(|(error, _)| error));
    let announcer = match announce::start(&config) {
        Ok(announcer) => announcer,
        Err(error) => return failed(&error, 1),
    };
    let options = standalone::Options { config, seed: seed(), load_config, announcer };
    exit_code(standalone::run(options, |_| {}).map_err(|error| error.to_string()))
}

/// Returns a seed that differs for each start. It need not be unpredictable, since nothing
/// secret is derived from it.
fn seed() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    (since.as_nanos() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id())
}
