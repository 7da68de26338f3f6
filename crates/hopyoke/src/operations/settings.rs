//! Converts the operators' settings to the scheduler's tuning, the staffed hours and the limits on workflows, and computes
//! the live metrics that expressions in the settings may refer to.

use crate::node::Leadership;
use hopyoke_calendar::{Calendar, CalendarError, HoldSelector, StaffedHours};
use hopyoke_event_loop as runtime;
use hopyoke_policy::{Metrics, Values};
use hopyoke_scheduler::{MachinePhase, Scheduler, Tuning};
use hopyoke_settings::Settings;
use hopyoke_types::Micros;
use hopyoke_workflow::Limits;
use tracing::info;

/// Returns the scheduler's tuning for these values of the settings.
#[must_use]
pub fn scheduler_tuning(values: &Values) -> Tuning {
    Tuning {
        idle_return: values.duration("idle_return"),
        keep_ready: values.count("keep_ready"),
        keep_ready_for: values.duration("keep_ready_for"),
        boot_patience: values.number("boot_patience"),
        rent_requests: values.count("rent_requests"),
        refusal_pause: values.duration("refusal_pause"),
        zone_burden: values.share("zone_burden"),
        plan_share: values.share("plan_share"),
        plan_gap_least: values.duration("plan_gap_least"),
        plan_gap_most: values.duration("plan_gap_most"),
        gang_reservations: values.count("gang_reservations"),
        preempt_searches: values.count("preempt_searches"),
        move_share: values.share("move_share"),
        move_cost: values.duration("move_cost"),
        move_settled: values.duration("move_settled"),
        drain_looks: values.count("drain_looks"),
        job_backoff: values.duration("job_backoff"),
        suspect_after: values.count("suspect_after"),
        step_patience: values.count("step_patience"),
        machine_pause: values.duration("machine_pause"),
        faulty_after: values.count("faulty_after"),
        gather_least: values.duration("gather_least"),
        gather: values.duration("gather"),
        gather_most: values.duration("gather_most"),
        learn: values.boolean("learn"),
        learn_classes: values.count("learn_classes"),
        learn_write_share: values.share("learn_write_share"),
        learn_memory: values.number("learn_memory"),
        use_for_victims: values.boolean("use_for_victims"),
        use_for_backfill: values.boolean("use_for_backfill"),
        use_for_demand: values.boolean("use_for_demand"),
        use_for_deadlines: values.boolean("use_for_deadlines"),
        use_for_slow_machines: values.boolean("use_for_slow_machines"),
        slow_factor: values.number("slow_factor"),
    }
}

/// Returns the staffed hours for these values of the settings, or `None` if no work is held outside of staffed hours. `skew`
/// is the upper bound on clock skew between nodes.
///
/// # Errors
/// Returns which setting is malformed, and where, even if no work is held.
pub fn staffed_hours(values: &Values, skew: Micros) -> Result<Option<StaffedHours>, CalendarError> {
    let hours = StaffedHours {
        calendar: Calendar::parse(
            values.text("hours"),
            values.text("hours_zone"),
            values.text("holidays"),
        )?,
        hold_selector: HoldSelector::parse(values.text("held"))?,
        drain: values.boolean("hold_drain"),
        placement_margin: values.duration("hold_margin"),
        max_clock_skew: skew,
        staffing_override: None,
    };
    Ok(values.boolean("hold").then_some(hours))
}

/// Returns the limits on workflow execution at this node, including its share of the key-value store's rates.
pub(crate) fn workflow_limits(values: &Values, settings: &Settings) -> Limits {
    let platform = &settings.platform;
    let nodes = f64::from(platform.nodes.max(1));
    Limits {
        max_run_steps_in_flight: values.count("flow_steps"),
        max_team_steps_in_flight: values.count("flow_team_steps"),
        max_owned_runs: values.count("flow_runs"),
        max_owned_steps: values.count("flow_steps_carried"),
        max_writes_per_s: platform.store.max_writes_per_s * values.share("flow_write_share")
            / nodes,
        max_reads_per_s: platform.store.max_requests_per_s * values.share("flow_read_share")
            / nodes,
        write_batch_delay: values.duration("flow_gather"),
        ..Limits::default()
    }
}

/// Computes the live metrics. Visits all machines and jobs, so it is too expensive for every scheduling cycle.
fn live_metrics(scheduler: &Scheduler, placement_utilization: f64, now: Micros) -> Metrics {
    let up = || {
        scheduler
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Up)
    };
    let day_us = 86_400_000_000;
    let hour = (runtime::unix_time().0 % day_us) as f64 / 3_600_000_000.0;
    Metrics::default()
        .number("machines", up().count() as f64)
        .number(
            "idle_machines",
            up().filter(|m| m.allocations().is_empty()).count() as f64,
        )
        .number("spot_machines", up().filter(|m| m.spot).count() as f64)
        .number("unfinished_jobs", scheduler.jobs.len() as f64)
        .number(
            "unplaced_jobs",
            scheduler
                .jobs
                .values()
                .filter(|j| j.unplaced_tasks() > 0)
                .count() as f64,
        )
        .boolean(
            "production_arriving",
            scheduler.has_recent_production_work(now),
        )
        .number("plan_busy", placement_utilization)
        .number("hour", hour)
}

/// Evaluates the settings with the current live metrics, and updates the scheduler's tuning if it has changed.
pub(crate) fn refresh_tuning(policy: &hopyoke_policy::Policy, leadership: &Leadership) {
    let now = runtime::now();
    let mut scheduler = leadership.scheduler.borrow_mut();
    let values = policy.evaluate(&live_metrics(
        &scheduler,
        leadership.take_placement_utilization(),
        now,
    ));
    let tuning = scheduler_tuning(&values);
    if tuning != scheduler.tuning {
        info!(?tuning, "scheduler tuning changed");
        scheduler.set_tuning(tuning);
    }
}
