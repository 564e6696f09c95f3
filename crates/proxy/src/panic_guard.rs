//! Guards against panics: one ends what it happened in, and no more.

use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::task::Poll;

/// Runs a future to its end; None if it panics. Guards against a panic that would take more with it than
/// what it happened in.
pub async fn caught<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    poll_fn(|cx| match catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(cx))) {
        Ok(poll) => poll.map(Some),
        Err(_) => Poll::Ready(None),
    })
    .await
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_panic_is_caught() {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(async {
            assert_eq!(caught(async { 5 }).await, Some(5));
            assert_eq!(caught(async { panic!("on purpose") }).await, None::<()>);
        });
    }
}
