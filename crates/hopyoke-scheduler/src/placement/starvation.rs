//! Starvation bounds: work that the regular queue order, by size and wait, would serve too late.

use hopyoke_types::Micros;

/// After this wait a large gang goes before all work of its importance.
const GANG_STARVATION_WAIT: Micros = Micros::from_secs(60);
/// A gang that needs no more than this share of its team's limit finds room in the regular order: while it waits,
/// newcomers overtake it ever more rarely, and that much falls free.
const LARGE_GANG_QUOTA_SHARE: f64 = 0.25;
/// By then a job is to have begun: users expect that even of the largest within four minutes, provisioning and fetching
/// of images included.
const ARRAY_STARVATION_WAIT: Micros = Micros::from_secs(120);

/// A gang that needs `share` (0 to 1) of its team's limit at once has waited so long that it goes first.
///
/// The regular order lets every job come first by and by, which serves what can use room one task after the other. A
/// gang that needs much of the limit at once would never find it free, for those that it holds back have soon waited
/// long enough to overtake it. A team has few such gangs at a time, so that their going first starves nobody.
pub(super) fn is_gang_starving(quota_share: f64, waited: Micros) -> bool {
    quota_share > LARGE_GANG_QUOTA_SHARE && waited >= GANG_STARVATION_WAIT
}

/// An array with no task started has waited so long that its first task goes before all work of its importance.
///
/// Where a tenant offers half as much again as its limit allows, the regular order lets its largest jobs begin after
/// more than four minutes. One task each costs the others next to nothing, however many of them wait; the rest of the
/// job keeps its regular position.
pub(super) fn is_array_starving(waited: Micros) -> bool {
    waited >= ARRAY_STARVATION_WAIT
}
