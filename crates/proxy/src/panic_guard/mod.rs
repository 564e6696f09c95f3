//! Containment of panics: a panic ends only the future in which it occurs.

#[cfg(test)]
mod tests;

use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::task::Poll;

/// Runs a future to completion; returns `None` if it panics.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    poll_fn(|cx| match catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(cx))) {
        Ok(poll) => poll.map(Some),
        Err(_) => Poll::Ready(None),
    })
    .await
}
