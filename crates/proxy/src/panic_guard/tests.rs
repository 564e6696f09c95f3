//! A panic is caught, and its future dropped.

use super::catch_panic;

#[test]
fn a_panic_is_caught() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        assert_eq!(catch_panic(async { 5 }).await, Some(5));
        assert_eq!(catch_panic(async { panic!("on purpose") }).await, None::<()>);
    });
}
