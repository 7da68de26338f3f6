//! Work that turns by size and wait serve too late.

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

/// After this a job is to have begun. Users expect that even of the largest within four minutes, boots and fetches of
/// images among them.
const OVERDUE: Micros = Micros::from_secs(120);

/// A job whose tasks need not run at once, and none of which runs yet, has waited so long that its first task comes before
/// all work of its importance.
///
/// Where a tenant offers half as much again as its limit lets run, turns by size and wait let its largest jobs begin
/// after more than four minutes. One task each costs the others next to nothing, however many of them wait; the rest
/// of the job goes on to take its turn.
pub fn is_overdue(waited: Micros) -> bool {
    waited >= OVERDUE
}
