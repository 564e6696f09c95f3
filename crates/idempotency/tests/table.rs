//! The life of a key in the table, and the table at its limits.

use idempotency::{IdempotencyTable, ReservationId, ReserveOutcome, StoredResponse, TableLimits, TableUsage};

fn reservation(outcome: &ReserveOutcome<u32>) -> ReservationId {
    let ReserveOutcome::Reserved(reservation) = outcome else { panic!("not reserved: {outcome:?}") };
    *reservation
}

fn response(response: u32, bytes: usize) -> StoredResponse<u32> {
    StoredResponse { response, bytes }
}

#[test]
fn a_key_is_in_progress_then_completed_then_expired() {
    let mut table = IdempotencyTable::new(TableLimits::default());
    let first = reservation(&table.reserve(0, "report", "k"));
    assert_eq!(table.reserve(1, "report", "k"), ReserveOutcome::InProgress);
    // The same key in another class is a different one.
    let other_class = reservation(&table.reserve(1, "close", "k"));
    table.complete(10, first, response(7, 100), 50);
    assert_eq!(table.reserve(59, "report", "k"), ReserveOutcome::Completed(7));
    let second = reservation(&table.reserve(60, "report", "k"));
    assert_ne!(second, first);
    // A late end of the first has no effect.
    table.complete(61, first, response(8, 100), 50);
    table.release(first);
    assert_eq!(table.reserve(61, "report", "k"), ReserveOutcome::InProgress);
    table.release(second);
    table.release(other_class);
    assert_eq!(table.usage(), TableUsage { keys: 0, response_bytes: 0 });
}

#[test]
fn no_key_is_executed_twice_at_the_limits() {
    let mut table = IdempotencyTable::new(TableLimits { max_keys: 2, max_response_bytes: 100 });
    let a = reservation(&table.reserve(0, "c", "a"));
    let b = reservation(&table.reserve(0, "c", "b"));
    assert_eq!(table.reserve(0, "c", "c"), ReserveOutcome::TableFull { retry_after: 0 });
    table.complete(0, a, response(1, 80), 1_000);
    table.complete(5, b, response(2, 80), 1_000);
    // The older response was evicted for the younger one; its key is still known.
    assert_eq!(table.reserve(6, "c", "a"), ReserveOutcome::ResponseEvicted);
    assert_eq!(table.reserve(6, "c", "b"), ReserveOutcome::Completed(2));
    assert_eq!(table.reserve(6, "c", "c"), ReserveOutcome::TableFull { retry_after: 994 });
    assert_eq!(table.usage(), TableUsage { keys: 2, response_bytes: 80 });
    let c = reservation(&table.reserve(1_000, "c", "c"));
    table.complete(1_000, c, response(3, 101), 1_000);
    assert_eq!(
        table.reserve(1_001, "c", "c"),
        ReserveOutcome::ResponseEvicted,
        "larger than all responses may be"
    );
    assert_eq!(table.usage(), TableUsage { keys: 2, response_bytes: 80 });
}
