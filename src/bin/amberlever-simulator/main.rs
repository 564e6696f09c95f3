//! Runs the balancer for the simulator: reads events from standard input and writes actions to standard
//! output.
//!
//! [`session`] reads batches of lines, [`event`] and [`endpoint_list`] parse them, and [`action`] writes the
//! actions of the balancer, which is in the package `decide`.

mod action;
mod endpoint_list;
mod error;
mod event;
mod fields;
mod instance;
mod session;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// The size of the buffers of input and output, in bytes.
const BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    // The message of a panic is reported by the protocol; the default hook would print it a second time.
    std::panic::set_hook(Box::new(|_| {}));
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match session::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("amberlever-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
