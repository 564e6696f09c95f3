//! Log lines on standard error.

use std::io::Write;

/// Writes one line. Unlike `eprintln!` it does not panic when standard error is closed.
pub fn log_line(line: std::fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stderr(), "{line}");
}
