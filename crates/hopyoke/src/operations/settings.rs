//! Converts the operators' settings to the scheduler's tuning, the staffed hours and the limits on workflows, and computes
//! the live figures that expressions in the settings may refer to.

use crate::node::Leadership;
use hopyoke_calendar::{Calendar, CalendarError, HoldSelector, StaffedHours};
use hopyoke_event_loop as runtime;
use hopyoke_policy::{Figures, Values};
use hopyoke_scheduler::{MachinePhase, Scheduler, Tuning};
use hopyoke_settings::Settings;
use hopyoke_types::Micros;
use hopyoke_workflow::Limits;
use tracing::info;

/// Returns the scheduler's tuning for these values of the settings.
#[must_use]
pub fn scheduler_tuning(v: &Values) -> Tuning {
    Tuning {
        idle_return: v.duration("idle_return"),
        keep_ready: v.count("keep_ready"),
        keep_ready_for: v.duration("keep_ready_for"),
        boot_patience: v.number("boot_patience"),
        rent_requests: v.count("rent_requests"),
        refusal_pause: v.duration("refusal_pause"),
        zone_burden: v.share("zone_burden"),
        plan_share: v.share("plan_share"),
        plan_gap_least: v.duration("plan_gap_least"),
        plan_gap_most: v.duration("plan_gap_most"),
        gang_reservations: v.count("gang_reservations"),
        preempt_searches: v.count("preempt_searches"),
        move_share: v.share("move_share"),
        move_cost: v.duration("move_cost"),
        move_settled: v.duration("move_settled"),
        drain_looks: v.count("drain_looks"),
        job_backoff: v.duration("job_backoff"),
        suspect_after: v.count("suspect_after"),
        step_patience: v.count("step_patience"),
        machine_pause: v.duration("machine_pause"),
        faulty_after: v.count("faulty_after"),
        gather_least: v.duration("gather_least"),
        gather: v.duration("gather"),
        gather_most: v.duration("gather_most"),
        learn: v.boolean("learn"),
        learn_classes: v.count("learn_classes"),
        learn_write_share: v.share("learn_write_share"),
        learn_memory: v.number("learn_memory"),
        use_for_victims: v.boolean("use_for_victims"),
        use_for_backfill: v.boolean("use_for_backfill"),
        use_for_demand: v.boolean("use_for_demand"),
        use_for_deadlines: v.boolean("use_for_deadlines"),
        use_for_slow_machines: v.boolean("use_for_slow_machines"),
        slow_factor: v.number("slow_factor"),
    }
}

/// Returns the staffed hours for these values of the settings, or `None` if no work is held outside of staffed hours. `skew`
/// is the upper bound on clock skew between nodes.
///
/// # Errors
/// Returns which setting is malformed, and where, even if no work is held.
pub fn staffed_hours(v: &Values, skew: Micros) -> Result<Option<StaffedHours>, CalendarError> {
    let hours = StaffedHours {
        calendar: Calendar::parse(v.text("hours"), v.text("hours_zone"), v.text("holidays"))?,
        hold_selector: HoldSelector::parse(v.text("held"))?,
        drain: v.boolean("hold_drain"),
        placement_margin: v.duration("hold_margin"),
        max_clock_skew: skew,
        staffing_override: None,
    };
    Ok(v.boolean("hold").then_some(hours))
}

/// Returns the limits on workflow execution at this node, including its share of the key-value store's rates.
pub(crate) fn workflow_limits(v: &Values, settings: &Settings) -> Limits {
    let platform = &settings.platform;
    let nodes = f64::from(platform.nodes.max(1));
    Limits {
        max_run_steps_in_flight: v.count("flow_steps"),
        max_team_steps_in_flight: v.count("flow_team_steps"),
        max_owned_runs: v.count("flow_runs"),
        max_owned_steps: v.count("flow_steps_carried"),
        max_writes_per_s: platform.store.max_writes_per_s * v.share("flow_write_share") / nodes,
        max_reads_per_s: platform.store.max_requests_per_s * v.share("flow_read_share") / nodes,
        write_batch_delay: v.duration("flow_gather"),
        ..Limits::default()
    }
}

/// Computes the live figures. Visits all machines and jobs, so it is too expensive for every scheduling cycle.
fn live_figures(scheduler: &Scheduler, plan_busy: f64, now: Micros) -> Figures {
    let up = || {
        scheduler
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Up)
    };
    let day_us = 86_400_000_000;
    let hour = (runtime::unix_time().0 % day_us) as f64 / 3_600_000_000.0;
    Figures::default()
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
        .number("plan_busy", plan_busy)
        .number("hour", hour)
}

/// Evaluates the settings with the current live figures, and updates the scheduler's tuning if it has changed.
pub(crate) fn refresh_tuning(policy: &hopyoke_policy::Policy, leadership: &Leadership) {
    let now = runtime::now();
    let mut scheduler = leadership.scheduler.borrow_mut();
    let values = policy.evaluate(&live_figures(
        &scheduler,
        leadership.plan_utilization(),
        now,
    ));
    let tuning = scheduler_tuning(&values);
    if tuning != scheduler.tuning {
        info!(?tuning, "scheduler tuning changed");
        scheduler.set_tuning(tuning);
    }
}
