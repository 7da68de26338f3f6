//! What operators may tune. None of it is read by code that keeps a rule; what each setting does,
//! and which range is safe, is said in `hopyoke-policy`'s `defaults.policy`.

use hopyoke_types::Micros;

/// The tuning in force. The defaults are those that the built-in policy file declares.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    pub idle_return: Micros,
    /// Ordinary machines kept idle while production work arrives.
    pub keep_ready: usize,
    pub keep_ready_for: Micros,
    /// In boot times of the machine's type.
    pub boot_patience: f64,
    pub rent_requests: usize,
    pub refusal_pause: Micros,
    /// A fraction of the price.
    pub zone_burden: f64,
    /// A fraction of the node's processor share.
    pub plan_share: f64,
    pub plan_gap_least: Micros,
    pub plan_gap_most: Micros,
    pub gang_reservations: usize,
    pub preempt_searches: usize,
    /// A fraction of all replicas' time.
    pub move_share: f64,
    pub move_cost: Micros,
    pub move_settled: Micros,
    pub drain_looks: usize,
    pub job_backoff: Micros,
    pub suspect_after: usize,
    /// Backoffs after which a step of a workflow is given up.
    pub step_patience: usize,
    pub machine_pause: Micros,
    pub faulty_after: usize,
    pub gather_least: Micros,
    pub gather: Micros,
    pub gather_most: Micros,
    /// Run times are learned.
    pub learn: bool,
    pub learn_classes: usize,
    /// A fraction of the state service's write rate.
    pub learn_write_share: f64,
    /// Runs after which an old one counts for a third.
    pub learn_memory: f64,
    pub use_for_victims: bool,
    pub use_for_backfill: bool,
    pub use_for_demand: bool,
    pub use_for_deadlines: bool,
    pub use_for_slow_machines: bool,
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
