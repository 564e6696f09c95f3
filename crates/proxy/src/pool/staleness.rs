//! Warnings about an endpoint list whose source does not respond. The list stays in use.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::log::log_line;

/// The age of the list at which the first warning is logged. Further ones are logged each time the age has
/// doubled.
const WARNING_AGE: Duration = Duration::from_secs(10);
/// The interval at which the age is checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Logs warnings about a stale endpoint list, for as long as it is polled.
pub(super) async fn warn_when_stale(pool: String, last_contact: Rc<Cell<Instant>>) {
    let mut next_warning_age = WARNING_AGE;
    loop {
        sleep(CHECK_INTERVAL).await;
        let age = last_contact.get().elapsed();
        if age < WARNING_AGE {
            next_warning_age = WARNING_AGE;
        } else if age >= next_warning_age {
            let seconds = age.as_secs();
            log_line(format_args!(
                "pool `{pool}`: source of the endpoint list unresponsive for {seconds} s: keeping the list"
            ));
            next_warning_age *= 2;
        }
    }
}
