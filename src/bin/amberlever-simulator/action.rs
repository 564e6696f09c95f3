//! Writes the actions of an instance, one per line.

use std::fmt;
use std::io::{self, Write};

use decide::{Action, Micros};

const MICROS_PER_MS: u64 = 1000;

/// A time that is displayed in milliseconds, with three decimals, so that no microsecond is lost.
struct Milliseconds(Micros);

impl fmt::Display for Milliseconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = if self.0 < 0 { "-" } else { "" };
        let micros = self.0.unsigned_abs();
        write!(f, "{sign}{}.{:03}", micros / MICROS_PER_MS, micros % MICROS_PER_MS)
    }
}

/// Writes an action as one line.
pub fn write_action(output: &mut impl Write, action: &Action) -> io::Result<()> {
    match action {
        Action::Send { request, endpoint, deadline, .. } => {
            writeln!(output, "TRANSMIT {} {} {}", request.0, endpoint.0, Milliseconds(*deadline))
        }
        Action::Reject { request, retry_after } => {
            writeln!(output, "DECLINE {} {}", request.0, Milliseconds(*retry_after))
        }
        Action::Fail(request) => writeln!(output, "FAIL {}", request.0),
        Action::Cancel { request, attempt } => writeln!(output, "STOP_ATTEMPT {} {attempt}", request.0),
        Action::Timer { at, token } => writeln!(output, "REMIND {} {token}", Milliseconds(*at)),
        Action::PollDiscovery => writeln!(output, "TRACK 1"),
        Action::HealthCheck(endpoint) => writeln!(output, "SOUND_OUT {}", endpoint.0),
        Action::SendGossip { to, payload } => {
            write!(output, "TELL {to} ")?;
            payload.iter().try_for_each(|byte| write!(output, "{byte:02x}"))?;
            writeln!(output)
        }
        Action::Log(text) => writeln!(output, "SAY_LOG {}", text.replace(['\n', '\r'], " ")),
    }
}
