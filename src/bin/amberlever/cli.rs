//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// A load-balancing proxy for HTTP/1.1 and JSON-RPC between services.
///
/// Without arguments and with LB_CONFIG in the environment, it runs as a proxy of the platform.
#[derive(Parser)]
#[command(version, about)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serve a configuration file until SIGTERM; SIGHUP reloads it.
    Serve {
        /// The configuration file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Check a configuration file and evaluate its expectations, without sending anything.
    ///
    /// Exit status: 0 on success, 1 if an expectation fails, 2 if the configuration is invalid.
    Check {
        /// The configuration file.
        #[arg(value_name = "FILE")]
        config: PathBuf,
        /// The format of the output.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Serve an example on loopback, with mock endpoints, until Ctrl-C.
    Demo {
        /// The address for HTTP/1.1.
        #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8080")]
        listen: SocketAddr,
        /// The address of the administration API.
        #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8081")]
        admin: SocketAddr,
        /// The address for JSON-RPC, one message per line.
        #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8082")]
        jsonrpc: SocketAddr,
    },
    /// Manage tenants of a hosted service through its administration API.
    Tenant {
        #[command(flatten)]
        api: Api,
        #[command(subcommand)]
        command: TenantCommand,
    },
    /// Manage configurations and versions of a hosted service through its administration API.
    Config {
        #[command(flatten)]
        api: Api,
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Show and compare files of learned state.
    State {
        #[command(subcommand)]
        command: StateCommand,
        /// The format of the output.
        #[arg(long, value_enum, default_value_t = Format::Text, global = true)]
        format: Format,
    },
    /// Show, hold and release addresses that a running process announces by BGP.
    Bgp {
        /// The address of the API: `bgp.api` in the configuration of the process.
        #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8083", global = true)]
        api: SocketAddr,
        /// The format of the output.
        #[arg(long, value_enum, default_value_t = Format::Text, global = true)]
        format: Format,
        #[command(subcommand)]
        command: BgpCommand,
    },
    /// Manage tokens of the administration API.
    Token {
        #[command(flatten)]
        api: Api,
        #[command(subcommand)]
        command: TokenCommand,
    },
}

/// Options of the commands that use the administration API.
#[derive(Args)]
pub struct Api {
    /// The address of the API.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8081", global = true)]
    pub api: SocketAddr,
    /// A file that contains the token; the default is the value of AMBERLEVER_TOKEN.
    #[arg(long, value_name = "FILE", global = true)]
    pub token_file: Option<PathBuf>,
    /// The reason for the change, stored with the new version.
    #[arg(long, default_value = "", global = true)]
    pub why: String,
    /// Check the change without making it.
    #[arg(long, global = true)]
    pub dry_run: bool,
}

#[derive(Subcommand)]
pub enum TenantCommand {
    /// List the tenants that the token may see.
    List,
    /// Show the hosts, limits and configuration of a tenant.
    Get { name: String },
    /// Create or replace a tenant from a JSON or TOML file with `hosts`, `limits` and `config`.
    Put { name: String, file: PathBuf },
    /// Delete a tenant.
    Delete { name: String },
    /// Change limits of a tenant: KEY=NUMBER sets one, KEY=none removes it.
    Limits { name: String, limits: Vec<String> },
    /// Show the usage of a tenant, or of all tenants.
    Status { name: Option<String> },
    /// Set the state of a node: `draining` drains it, `ready` restores it.
    Node { name: String, pool: String, node: String, state: String },
}

#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Show the configuration of a tenant.
    Get { tenant: String },
    /// Replace the configuration of a tenant from a JSON or TOML file.
    Put { tenant: String, file: PathBuf },
    /// List all versions, newest first.
    Versions,
    /// Show a version and its content.
    Show { number: u64 },
    /// Show the differences between two versions.
    Diff { before: u64, after: u64 },
    /// Restore the content of a version; with --tenant, only the configuration of that tenant.
    Rollback {
        number: u64,
        #[arg(long)]
        tenant: Option<String>,
    },
}

#[derive(Subcommand)]
pub enum StateCommand {
    /// Show the content of a file.
    Show { file: PathBuf },
    /// Show the figures that differ between two files.
    Diff { before: PathBuf, after: PathBuf },
}

#[derive(Subcommand)]
pub enum BgpCommand {
    /// Show the state of peers and addresses, with reason and duration.
    Show,
    /// Withdraw an address until it is released.
    Hold {
        #[arg(value_name = "PREFIX")]
        prefix: String,
    },
    /// Release a held address: it is announced again once it has been ready for its hold-up time.
    Release {
        #[arg(value_name = "PREFIX")]
        prefix: String,
    },
}

#[derive(Subcommand)]
pub enum TokenCommand {
    /// Generate a token and its hash for the configuration file; no API is used.
    New,
    /// List the names and roles of all tokens.
    List,
    /// Issue a token; it is shown only once.
    Issue {
        name: String,
        /// `operator`, `administrator` or `reader`.
        role: String,
        #[arg(long)]
        tenant: Option<String>,
    },
    /// Revoke a token, effective immediately.
    Revoke { name: String },
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Text for a terminal.
    Text,
    /// One JSON object.
    Json,
}
