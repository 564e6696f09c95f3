//! Tests the states of a key, and the table at its limits.

use idempotency::{IdempotencyTable, ReservationId, ReserveOutcome, StoredResponse, TableLimits, TableUsage};

fn reservation(outcome: &ReserveOutcome<u32>) -> ReservationId {
    let ReserveOutcome::Reserved(reservation) = outcome else { panic!("not reserved: {outcome:?}") };
    *reservation
}

fn response(response: u32, bytes: usize) -> StoredResponse<u32> {
    StoredResponse { response, bytes }
}

/// Guards against a key that skips a state, and against an ended reservation that affects a later one.
#[test]
fn key_is_in_progress_then_completed_then_expired() {
    let mut table = IdempotencyTable::new(TableLimits::default());
    let first = reservation(&table.reserve(0, "report", "k"));
    assert_eq!(table.reserve(1, "report", "k"), ReserveOutcome::InProgress);
    // The same key in another class is a different one.
    let other_class = reservation(&table.reserve(1, "close", "k"));
    table.complete(10, first, response(7, 100), 50);
    assert_eq!(table.reserve(59, "report", "k"), ReserveOutcome::Completed(7));
    let second = reservation(&table.reserve(60, "report", "k"));
    assert_ne!(second, first);
    // The end of the first reservation has no effect on the second.
    table.complete(61, first, response(8, 100), 50);
    table.release(first);
    assert_eq!(table.reserve(61, "report", "k"), ReserveOutcome::InProgress);
    table.release(second);
    table.release(other_class);
    assert_eq!(table.usage(), TableUsage { keys: 0, response_bytes: 0 });
}

/// Guards against a key that is removed before its retention ends, and so executed twice, because the table
/// is full.
#[test]
fn full_table_evicts_responses_and_rejects_new_keys() {
    let mut table = IdempotencyTable::new(TableLimits { max_keys: 2, max_response_bytes: 100 });
    let a = reservation(&table.reserve(0, "c", "a"));
    let b = reservation(&table.reserve(0, "c", "b"));
    assert_eq!(table.reserve(0, "c", "c"), ReserveOutcome::TableFull { retry_after: 0 });
    table.complete(0, a, response(1, 80), 1_000);
    table.complete(5, b, response(2, 80), 1_000);
    // The older response was evicted for the newer one, but its key is retained.
    assert_eq!(table.reserve(6, "c", "a"), ReserveOutcome::ResponseEvicted);
    assert_eq!(table.reserve(6, "c", "b"), ReserveOutcome::Completed(2));
    assert_eq!(table.reserve(6, "c", "c"), ReserveOutcome::TableFull { retry_after: 994 });
    assert_eq!(table.usage(), TableUsage { keys: 2, response_bytes: 80 });
    let c = reservation(&table.reserve(1_000, "c", "c"));
    table.complete(1_000, c, response(3, 101), 1_000);
    assert_eq!(
        table.reserve(1_001, "c", "c"),
        ReserveOutcome::ResponseEvicted,
        "a response above the limit is not stored"
    );
    assert_eq!(table.usage(), TableUsage { keys: 2, response_bytes: 80 });
}

/// Guards against a second execution of a request that may have been executed by endpoints that do not know its
/// key.
#[test]
fn key_with_an_unknown_result_is_retained() {
    let mut table = IdempotencyTable::<u32>::new(TableLimits::default());
    let first = reservation(&table.reserve(0, "c", "k"));
    table.retain_unknown(10, first, 50);
    table.release(first);
    assert_eq!(table.reserve(59, "c", "k"), ReserveOutcome::ResultUnknown);
    reservation(&table.reserve(60, "c", "k"));
    assert_eq!(table.usage(), TableUsage { keys: 1, response_bytes: 0 });
}
