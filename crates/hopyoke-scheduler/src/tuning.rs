//! Parameters that operators may tune at run time. No invariant depends on them.
//!
//! The fields have the names of the settings in the operators' policy file. Their permitted ranges are declared
//! in the file `defaults.policy` of `hopyoke-policy`.

use hopyoke_types::Micros;

/// Tunable parameters. The defaults are those of the built-in policy file.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Idle time after which a machine is scaled in.
    pub idle_return: Micros,
    /// On-demand machines kept idle while production jobs arrive.
    pub keep_ready: usize,
    /// Time after the last production job for which production jobs count as arriving.
    pub keep_ready_for: Micros,
    /// Age at which provisioning counts as failed, in nominal boot times of the type.
    pub boot_patience: f64,
    /// Maximum number of pending scale-out requests, each for a different offer.
    pub rent_requests: usize,
    /// First backoff of an offer that lacks capacity; doubled up to fourfold.
    pub refusal_pause: Micros,
    /// Surcharge for a zone that holds the whole fleet, as a fraction of the price.
    pub zone_burden: f64,
    /// Share of the node's processor time for placement cycles, 0 to 1.
    pub plan_share: f64,
    /// Minimum time between two placement cycles.
    pub plan_gap_least: Micros,
    /// Maximum time between two placement cycles while changes are pending.
    pub plan_gap_most: Micros,
    /// Maximum number of gangs for which one cycle reserves machines.
    pub gang_reservations: usize,
    /// Maximum number of preemption searches in one cycle.
    pub preempt_searches: usize,
    /// Share of all replicas' run time that migrations may interrupt, 0 to 1.
    pub move_share: f64,
    /// Interruption of a migrated replica whose image is cached on the target.
    pub move_cost: Micros,
    /// Time for which a replica must have run before it is migrated.
    pub move_settled: Micros,
    /// Maximum number of machines considered in one search for machines to drain.
    pub drain_looks: usize,
    /// First backoff of a job that fails on several machines; doubled up to four times.
    pub job_backoff: Micros,
    /// Number of machines on which a job must have failed to count as crash-looping.
    pub suspect_after: usize,
    /// Number of backoffs after which a crash-looping step of a workflow is cancelled.
    pub step_patience: usize,
    /// Time without new tasks on a machine on which a task failed.
    pub machine_pause: Micros,
    /// Number of jobs that must have failed on a machine before it counts as faulty.
    pub faulty_after: usize,
    /// Batching delay of results while most of the write rate is free.
    pub gather_least: Micros,
    /// Batching delay of results while half of the write rate is free.
    pub gather: Micros,
    /// Batching delay of results otherwise.
    pub gather_most: Micros,
    /// True if run times are learned.
    pub learn: bool,
    /// Maximum number of job classes whose run times are kept.
    pub learn_classes: usize,
    /// Share of the key-value store's write rate for learned run times, 0 to 1.
    pub learn_write_share: f64,
    /// Number of newer runs after which the weight of a run has fallen to 1/e.
    pub learn_memory: f64,
    /// True if learned run times influence the choice of preemption victims.
    pub use_for_victims: bool,
    /// True if reserved machines are backfilled based on learned run times.
    pub use_for_backfill: bool,
    /// True if no instance is requested where running tasks are expected to free resources in time.
    pub use_for_demand: bool,
    /// True if jobs with deadlines are ordered by their latest start.
    pub use_for_deadlines: bool,
    /// True if machines that run tasks more slowly than learned are drained.
    pub use_for_slow_machines: bool,
    /// Ratio of run time to learned run time from which a machine counts as slow.
    pub slow_factor: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            idle_return: Micros::from_secs(10),
            keep_ready: 1,
            keep_ready_for: Micros::from_secs(120),
            boot_patience: 4.0,
            rent_requests: 4,
            refusal_pause: Micros::from_secs(8),
            zone_burden: 0.4,
            plan_share: 1.0 / 3.0,
            plan_gap_least: Micros::from_millis(20),
            plan_gap_most: Micros::from_millis(600),
            gang_reservations: 16,
            preempt_searches: 32,
            move_share: 0.0015,
            move_cost: Micros::from_millis(1500),
            move_settled: Micros::from_secs(40),
            drain_looks: 64,
            job_backoff: Micros::from_secs(10),
            suspect_after: 3,
            step_patience: 4,
            machine_pause: Micros::from_secs(5),
            faulty_after: 2,
            gather_least: Micros::from_secs(1),
            gather: Micros::from_secs(4),
            gather_most: Micros::from_secs(12),
            learn: true,
            learn_classes: 600,
            learn_write_share: 0.01,
            learn_memory: 40.0,
            use_for_victims: false,
            use_for_backfill: false,
            use_for_demand: false,
            use_for_deadlines: false,
            use_for_slow_machines: false,
            slow_factor: 1.5,
        }
    }
}
