//! The cursor table: a row for each priority level and a column (slot) for each position of the cursor. An
//! entry is the fraction of the base threshold that applies to the level while the cursor is at the slot.
//!
//! Rule: in the first slots each level has its starting fraction of the threshold, which is lower for lower
//! levels. In the slots to the right of these, the levels fall one after another, the lowest first, each to
//! zero within a fixed number of steps. The highest keeps a small fraction, so that some answers still show
//! when the overload ends. A cursor moves over the slots, at most one slot per control period.

use super::PriorityLevel;

/// The number of the first slots, in which the cursor is at rest. In them each level has its starting
/// fraction of the base threshold (1.0 for the highest, 0.8 for the lowest). Requests of low priority may
/// therefore be shed although [`CursorTable::is_shedding`] returns `false`.
const REST_SLOTS: usize = 3;
/// The number of steps in which one level falls to its end.
const STEPS_PER_LEVEL: usize = 6;
/// The fraction of the base threshold that the highest level keeps at the last slot.
const TOP_LEVEL_END: f64 = 0.15;
/// The difference of the starting fractions of the highest and the lowest level. Because of it, low priority
/// is shed first in a sudden peak, before the cursor has moved.
const STARTING_FRACTION_RANGE: f64 = 0.2;

/// The table and its cursor.
pub(crate) struct CursorTable {
    /// Fractions of the base threshold, by level, then by slot.
    levels: Vec<Vec<f64>>,
    cursor: usize,
}

impl CursorTable {
    /// Creates a table with a number of levels, at least one, and the cursor at the first slot.
    pub fn new(levels: usize) -> Self {
        CursorTable { levels: (0..levels).map(|level| level_fractions(level, levels)).collect(), cursor: 0 }
    }

    /// The fraction of the base threshold that applies to a level at the cursor.
    pub fn fraction(&self, level: PriorityLevel) -> f64 {
        self.levels[level.0][self.cursor]
    }

    /// Whether the cursor has left the slots at rest.
    pub fn is_shedding(&self) -> bool {
        self.cursor >= REST_SLOTS
    }

    /// Whether the cursor is at the first slot.
    pub fn is_at_start(&self) -> bool {
        self.cursor == 0
    }

    /// Moves the cursor one slot right, which sheds more, up to the last slot.
    pub fn step_right(&mut self) {
        self.cursor = (self.cursor + 1).min(self.last_slot());
    }

    /// Moves the cursor one slot left, which sheds less, down to the first slot.
    pub fn step_left(&mut self) {
        self.cursor = self.cursor.saturating_sub(1);
    }

    /// The position of the cursor, from 0 (first slot) to 1 (last slot).
    pub fn position(&self) -> f64 {
        self.cursor as f64 / self.last_slot().max(1) as f64
    }

    /// Moves the cursor right to a position from 0 to 1; a cursor at or beyond it stays.
    pub fn advance_to(&mut self, position: f64) {
        let slot = (position * self.last_slot() as f64) as usize;
        self.cursor = self.cursor.max(slot);
    }

    fn last_slot(&self) -> usize {
        self.levels[0].len() - 1
    }
}

/// The fractions of the base threshold of one level, by slot.
fn level_fractions(level: usize, levels: usize) -> Vec<f64> {
    let levels_above = levels - 1 - level;
    let start = 1.0 - STARTING_FRACTION_RANGE * levels_above as f64 / (levels - 1).max(1) as f64;
    let end = if levels_above == 0 { TOP_LEVEL_END } else { 0.0 };
    let slots = REST_SLOTS + levels * STEPS_PER_LEVEL;
    (0..slots).map(|slot| start * (1.0 - fallen_fraction(slot, level) * (1.0 - end))).collect()
}

/// The fraction of its fall that a level has completed at a slot, from 0 to 1.
fn fallen_fraction(slot: usize, level: usize) -> f64 {
    let last_rest_slot = REST_SLOTS - 1 + level * STEPS_PER_LEVEL;
    let steps = slot.saturating_sub(last_rest_slot).min(STEPS_PER_LEVEL);
    steps as f64 / STEPS_PER_LEVEL as f64
}

#[cfg(test)]
mod tests;
