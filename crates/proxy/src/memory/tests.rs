use super::*;

const MEBIBYTE: usize = 1 << 20;

/// Guards against a division that exceeds the limit, or that leaves nothing for connections or requests.
#[test]
fn plan_divides_the_limit() {
    for limit in [32, 48, 64, 192] {
        for sockets in [224, 992] {
            let plan = MemoryPlan::new(limit * MEBIBYTE, sockets);
            let connections = plan.max_sockets.min(sockets) * CONNECTION_BYTES;
            let total = FIXED_BYTES + connections + plan.request_bytes;
            assert!(total <= limit * MEBIBYTE * 4 / 5, "{limit} MB, {sockets} sockets: {plan:?}");
            assert!(plan.max_sockets >= 224 && plan.request_bytes > 64 * REQUEST_BYTES, "{plan:?}");
        }
    }
    assert!(MemoryPlan::new(32 * MEBIBYTE, 992).max_sockets < 992, "idle connections alone exceed the limit");
    assert!(MemoryPlan::new(192 * MEBIBYTE, 992).max_sockets >= 992, "a large limit bounds no connection");
    assert!(MemoryPlan::new(0, 992).request_bytes > 0);
}

/// Guards against reservations that are refused although there is room, or that are never released.
#[test]
fn reservation_is_released_with_its_last_buffer() {
    let refusals = Counter::default();
    let budget = MemoryBudget::new(100, refusals.clone());
    let mut reservation = budget.reserve(60).expect("there is room");
    assert_eq!(budget.reserve(41).map(drop), Err(MemoryExhausted));
    assert_eq!(refusals.get(), 1);
    reservation.grow(40).expect("there is room");
    reservation.shrink_to(50);
    let buffer = reservation.tie_to(Bytes::from_static(b"body"));
    let part = buffer.slice(1..2);
    assert_eq!((&buffer[..], budget.used()), (&b"body"[..], 50));
    drop(buffer);
    assert_eq!(budget.used(), 50);
    drop(part);
    assert_eq!(budget.used(), 0);
    drop(budget.reserve(10).expect("there is room").tie_to(Bytes::new()));
    assert_eq!(budget.used(), 0);
}
