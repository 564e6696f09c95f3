//! Partial writes of several messages. A call that is counted too early or twice would break the limit on
//! open calls.

use super::*;

#[test]
fn calls_complete_with_the_last_byte_of_their_message() {
    let mut queue = OutputQueue::default();
    queue.push(Bytes::from_static(b"abc"), 1);
    queue.push(Bytes::from_static(b"defg"), 2);
    queue.push(Bytes::from_static(b"h"), 0);
    assert_eq!(queue.remove_written(2), 0);
    assert_eq!(queue.remove_written(1), 1);
    assert_eq!(queue.remove_written(3), 0);
    assert!(!queue.is_empty());
    assert_eq!(queue.remove_written(2), 2);
    assert!(queue.is_empty());
    assert_eq!(queue.remove_written(0), 0);
}
