//! Reads the simulator's wire on standard input and answers on standard output; it decides nothing.

mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    // The text of a panic goes out on the wire; the default hook would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    let input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    match wire::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("amberlever-simulator: {fault}");
            ExitCode::FAILURE
        }
    }
}
