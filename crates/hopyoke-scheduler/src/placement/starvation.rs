//! Starvation bounds for jobs that the regular queue order, by size and waiting time, would serve
//! too late.

use hopyoke_types::Micros;

/// Waiting time after which a large gang precedes all other jobs of its tier and priority.
const GANG_STARVATION_WAIT: Micros = Micros::from_secs(60);
/// Fraction of the team's limit up to which a gang relies on the regular order: newer jobs overtake
/// it less and less as it waits, until that much of the limit is free.
const LARGE_GANG_QUOTA_SHARE: f64 = 0.25;
/// Waiting time after which the first task of an array is placed early. Users expect even the
/// largest jobs to start within four minutes, including provisioning and image fetches.
const ARRAY_STARVATION_WAIT: Micros = Micros::from_secs(120);

/// Returns whether a gang that needs `quota_share` (0 to 1) of its team's limit at once has waited
/// long enough to go first.
///
/// The regular order lets every job come first eventually, which suffices for jobs whose tasks can
/// start one by one. A gang that needs much of the limit at once would never find it free: the jobs
/// that it holds back soon have waited long enough to overtake it. A team has few such gangs at a
/// time, so that giving them precedence starves no other job.
pub(super) fn is_gang_starving(quota_share: f64, waited: Micros) -> bool {
    quota_share > LARGE_GANG_QUOTA_SHARE && waited >= GANG_STARVATION_WAIT
}

/// Returns whether an array without any started task has waited long enough for its first task to
/// precede all other jobs of its tier and priority.
///
/// When a tenant submits 1.5 times what its limit allows, the regular order starts its largest jobs
/// after more than four minutes. Starting one task of each costs the other jobs little, however
/// many arrays wait. The rest of the array keeps its regular position.
pub(super) fn is_array_starving(waited: Micros) -> bool {
    waited >= ARRAY_STARVATION_WAIT
}
