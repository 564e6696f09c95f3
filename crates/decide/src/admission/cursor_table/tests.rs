use super::{CursorTable, PriorityLevel, REST_SLOTS, STEPS_PER_LEVEL, TOP_LEVEL_END};

/// Guards the order of shedding. If the highest level fell to zero, no answer would show that the overload is
/// over.
#[test]
fn lower_levels_fall_first_and_the_highest_keeps_a_fraction() {
    let mut table = CursorTable::new(2);
    let (low, high) = (PriorityLevel(0), PriorityLevel(1));
    assert!(table.fraction(low) < table.fraction(high));
    for _ in 0..REST_SLOTS + STEPS_PER_LEVEL {
        table.step_right();
    }
    assert!(table.fraction(low).abs() < 1e-9);
    assert!(table.fraction(high) > 0.5);
    table.advance_to(1.0);
    assert!((table.fraction(high) - TOP_LEVEL_END).abs() < 1e-9);
}

/// Guards against a position outside the table, which would panic when it is read.
#[test]
fn cursor_stays_within_the_table() {
    let mut table = CursorTable::new(1);
    table.step_left();
    assert!(table.is_at_start());
    table.advance_to(1.0);
    table.step_right();
    assert!((table.position() - 1.0).abs() < 1e-9);
    assert!(table.is_shedding());
}
