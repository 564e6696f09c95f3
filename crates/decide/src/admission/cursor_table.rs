//! The cursor table: for each priority level, the part of the base threshold that holds at each slot.
//!
//! Rule: in the first slots each level has its starting part of the threshold, lower levels less. Further
//! right the levels fall one after another, the lowest first, each within a number of steps to nothing; the
//! highest keeps a small part, so that some answers still show when the overload ends. A cursor moves over the
//! slots, one a period.

use super::PriorityLevel;

/// Slots at rest: each level has its starting part of the base threshold (1.0 for the highest, 0.8 for the
/// lowest), so low priority can be shed here without [`CursorTable::is_shedding`].
const REST_SLOTS: usize = 3;
/// Steps in which one level falls to its end.
const STEPS_PER_LEVEL: usize = 6;
/// What the highest level keeps at the right end.
const TOP_LEVEL_END: f64 = 0.15;
/// How far the lowest level starts under the highest: a sudden peak is shed from low priority first.
const LEVEL_LEAD: f64 = 0.2;

/// The table and its cursor.
pub(crate) struct CursorTable {
    /// By level, then by slot: parts of the base threshold.
    levels: Vec<Vec<f64>>,
    cursor: usize,
}

impl CursorTable {
    /// A table of so many levels, at least one; the cursor stands at the left.
    pub fn new(levels: usize) -> Self {
        CursorTable { levels: (0..levels).map(|level| level_parts(level, levels)).collect(), cursor: 0 }
    }

    /// The part of the base threshold that holds for a level now.
    pub fn part(&self, level: PriorityLevel) -> f64 {
        self.levels[level.0][self.cursor]
    }

    /// Has the cursor left the slots at rest?
    pub fn is_shedding(&self) -> bool {
        self.cursor >= REST_SLOTS
    }

    /// Does the cursor stand at the left?
    pub fn is_at_start(&self) -> bool {
        self.cursor == 0
    }

    /// Sheds more.
    pub fn step_right(&mut self) {
        self.cursor = (self.cursor + 1).min(self.last_slot());
    }

    /// Sheds less.
    pub fn step_left(&mut self) {
        self.cursor = self.cursor.saturating_sub(1);
    }

    /// Where the cursor stands, from 0 to 1.
    pub fn position(&self) -> f64 {
        self.cursor as f64 / self.last_slot().max(1) as f64
    }

    /// Moves the cursor right to a position from 0 to 1, if it is not there yet.
    pub fn advance_to(&mut self, position: f64) {
        let slot = (position * self.last_slot() as f64) as usize;
        self.cursor = self.cursor.max(slot);
    }

    fn last_slot(&self) -> usize {
        self.levels[0].len() - 1
    }
}

/// One level's parts of the base threshold, by slot.
fn level_parts(level: usize, levels: usize) -> Vec<f64> {
    let levels_above = levels - 1 - level;
    let start = 1.0 - LEVEL_LEAD * levels_above as f64 / (levels - 1).max(1) as f64;
    let end = if levels_above == 0 { TOP_LEVEL_END } else { 0.0 };
    let slots = REST_SLOTS + levels * STEPS_PER_LEVEL;
    (0..slots).map(|slot| start * (1.0 - fallen_part(slot, level) * (1.0 - end))).collect()
}

/// How far a level has fallen at a slot, from 0 to 1.
fn fallen_part(slot: usize, level: usize) -> f64 {
    let last_rest_slot = REST_SLOTS - 1 + level * STEPS_PER_LEVEL;
    let steps = slot.saturating_sub(last_rest_slot).min(STEPS_PER_LEVEL);
    steps as f64 / STEPS_PER_LEVEL as f64
}

#[cfg(test)]
mod tests;
