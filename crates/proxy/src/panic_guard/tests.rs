//! A panicking future yields `None` and does not unwind into its task.

use super::catch_panic;

#[test]
fn panicking_future_returns_none() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        assert_eq!(catch_panic(async { 5 }).await, Some(5));
        assert_eq!(catch_panic(async { panic!("on purpose") }).await, None::<()>);
    });
}
