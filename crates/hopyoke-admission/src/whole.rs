//! Work that needs much of its team's limit at once.

use hopyoke_types::Micros;

/// After this it comes before all work of its importance.
const PATIENCE: Micros = Micros::from_secs(60);
/// What needs no more than this part of the limit finds room by its turn: while it waits, newcomers pass it ever
/// more slowly, and that much falls free.
const LARGE: f64 = 0.25;

/// A gang that needs `part` of its team's limit (from 0 to 1) has waited so long that it comes first.
///
/// Turns by size and wait give way to a job by and by. What one task after the other can use, that serves; a
/// gang that needs much of the limit at once would never find it free, for whoever it holds back has soon
/// waited long enough to pass it. There are at most a few such gangs at once in a team, so that by the age
/// of these alone no others starve.
pub fn is_due(part: f64, waited: Micros) -> bool {
    part > LARGE && waited >= PATIENCE
}
