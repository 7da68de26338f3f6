//! Replays a workload trace in virtual time: the production scheduler places the jobs on simulated workers, which
//! run them for their recorded run times. The leader's prediction of each job's completion is recorded when the
//! job is first observed running.

use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::user::{JobKind, JobSpec, Priority};
use hopyoke_scheduler::Team;
use hopyoke_simulator::{JobGroundTruth, Simulation};
use hopyoke_types::{JobId, Micros, TaskId};
use hopyoke_workload_trace::{Run, WorkloadTrace};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Options of a replay.
#[derive(Debug, Clone, Copy)]
pub struct ReplayOptions {
    /// Seed of the simulation.
    pub seed: u64,
    /// Interval at which the leader is killed; with `None` it never is.
    pub kill_every: Option<Micros>,
}

/// A job's predicted and actual completion. Times are in seconds since the start of the replay.
#[derive(Debug, Clone)]
pub struct JobOutcome {
    /// Job class.
    pub class: String,
    pub submitted_s: f64,
    pub predicted_at_s: f64,
    pub p10_s: f64,
    pub p50_s: f64,
    pub p90_s: f64,
    pub finished_s: f64,
    /// Recorded run time.
    pub run_time_s: f64,
    /// Run time that the submitter estimated; 0 if there is no estimate.
    pub estimate_s: f64,
}

/// Result of a replay.
#[derive(Debug, Clone, Default)]
pub struct ReplayResult {
    /// Outcomes in the order of their predictions.
    pub outcomes: Vec<JobOutcome>,
    /// Jobs that finished before a leader observed them running.
    pub unobserved_jobs: usize,
    /// Jobs that were not replayed because they exceed the simulated machines.
    pub skipped_jobs: usize,
    /// Number of leader elections.
    pub elected_leaders: u32,
    /// Duration of the replay in virtual seconds.
    pub virtual_time_s: f64,
}

/// Predictions recorded during a replay.
struct PredictionLog {
    /// Submitted jobs without a prediction, with their index in the trace.
    pending: BTreeMap<JobId, usize>,
    /// By index in the trace: time of the prediction, and p10, p50 and p90 of the completion time.
    predictions: BTreeMap<usize, (f64, f64, f64, f64)>,
}

/// CPUs of the only machine type.
const CPUS: f64 = 32.0;
/// Jobs with more tasks are not replayed.
const MAX_TASKS: u32 = 128;

/// Replays a workload trace.
///
/// # Errors
/// Returns a message if no run can be replayed, an invariant is violated, or jobs remain unfinished.
pub fn replay(history: &WorkloadTrace, options: ReplayOptions) -> Result<ReplayResult, String> {
    let runs: Vec<Run> = history
        .runs
        .iter()
        .filter(|r| r.tasks <= MAX_TASKS && r.cpus <= CPUS)
        .cloned()
        .collect();
    let skipped_jobs = history.runs.len() - runs.len();
    let Some(first) = runs.first().map(|r| r.submitted_us) else {
        return Err("no run in the trace can be replayed".into());
    };
    let start = Micros::from_secs(5);
    let at = |r: &Run| start + Micros(r.submitted_us - first);
    let last = runs.iter().map(at).max().unwrap_or(start);
    let mut simulation = Simulation::new(options.seed, 3);
    simulation.exhaustive_checks = false;
    simulation.machine_types.push(MachineType {
        name: "std".into(),
        cpus: CPUS,
        gpus: 8.0,
        memory_gb: 512.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.0,
        boot_s: 10.0,
        zones: simulation.config.zones.clone(),
    });
    let teams: std::collections::BTreeSet<&str> = runs.iter().map(|r| r.team.as_str()).collect();
    simulation.config.teams = teams
        .into_iter()
        .map(|t| Team {
            name: t.to_owned(),
            ..Team::default()
        })
        .collect();
    // The cluster has a fixed size that covers peak demand, because the replay evaluates run time
    // predictions and not queueing.
    simulation.tuning.idle_return = Micros::from_secs(100_000_000);
    let zones = simulation.config.zones.clone();
    for i in 0..machine_count(&runs) {
        simulation.add_machine(
            "std",
            &zones[i % zones.len()],
            false,
            Some(Micros::from_millis(10)),
        );
    }
    simulation.expire_leases();
    for i in 0..3 {
        simulation.start_node(i);
    }
    let log = Rc::new(RefCell::new(PredictionLog {
        pending: BTreeMap::new(),
        predictions: BTreeMap::new(),
    }));
    for (n, run) in runs.iter().enumerate() {
        let truth = ground_truth(n, run);
        let (id, log) = (truth.spec.id.clone(), log.clone());
        simulation.at(at(run), move |simulation| {
            simulation.jobs.insert(id.clone(), truth);
            log.borrow_mut().pending.insert(id.clone(), n);
            simulation.submit(id);
        });
    }
    record_predictions(&mut simulation, log.clone());
    if let Some(every) = options.kill_every {
        kill_leaders(&mut simulation, every);
    }
    let longest = runs.iter().map(|r| r.ran_s).fold(0.0, f64::max);
    let end = last + Micros::from_secs_f64(longest * 2.0 + 600.0);
    while simulation.now < end {
        let next = simulation.now + Micros::from_secs(60);
        simulation.run_until(next);
        if let Some(violation) = simulation.violations.first() {
            return Err(format!("invariant violated: {violation}"));
        }
        if simulation.now > last && simulation.jobs.values().all(|j| j.done_at.is_some()) {
            break;
        }
    }
    let unfinished = simulation
        .jobs
        .values()
        .filter(|j| j.done_at.is_none())
        .count();
    if unfinished > 0 {
        return Err(format!(
            "{unfinished} jobs unfinished after {:.0} s of virtual time",
            simulation.now.as_secs_f64()
        ));
    }
    let predictions = &log.borrow().predictions;
    let mut result = ReplayResult {
        unobserved_jobs: runs.len() - predictions.len(),
        skipped_jobs,
        elected_leaders: simulation.elected_leaders,
        virtual_time_s: simulation.now.as_secs_f64(),
        ..ReplayResult::default()
    };
    for (n, (predicted_at_s, p10_s, p50_s, p90_s)) in predictions {
        let run = &runs[*n];
        let Some(finished) = simulation.jobs.get(&job_id(*n)).and_then(|j| j.done_at) else {
            continue;
        };
        result.outcomes.push(JobOutcome {
            class: run.class.clone(),
            submitted_s: at(run).as_secs_f64(),
            predicted_at_s: *predicted_at_s,
            p10_s: *p10_s,
            p50_s: *p50_s,
            p90_s: *p90_s,
            finished_s: finished.as_secs_f64(),
            run_time_s: run.ran_s,
            estimate_s: run.estimate_s,
        });
    }
    result
        .outcomes
        .sort_by(|a, b| a.predicted_at_s.total_cmp(&b.predicted_at_s));
    Ok(result)
}

fn job_id(n: usize) -> JobId {
    JobId::new(&format!("req-{n:06}"))
}

/// Returns the number of machines for the peak concurrent CPU demand plus 35 % headroom.
fn machine_count(runs: &[Run]) -> usize {
    let mut edges: Vec<(u64, f64)> = Vec::with_capacity(2 * runs.len());
    for r in runs {
        let cpus = f64::from(r.tasks) * r.cpus.max(0.1);
        edges.push((r.submitted_us, cpus));
        edges.push((
            r.submitted_us + Micros::from_secs_f64(r.ran_s + 20.0).0,
            -cpus,
        ));
    }
    edges.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
    let (mut used_cpus, mut peak_cpus) = (0.0f64, 0.0f64);
    for (_, cpus) in edges {
        used_cpus += cpus;
        peak_cpus = peak_cpus.max(used_cpus);
    }
    ((peak_cpus * 1.35 / CPUS).ceil() as usize).clamp(3, 2_000)
}

fn ground_truth(n: usize, run: &Run) -> JobGroundTruth {
    let spec = JobSpec {
        id: job_id(n),
        class: run.class.clone(),
        team: run.team.clone(),
        kind: if run.tasks == 1 {
            JobKind::Array
        } else {
            JobKind::Gang
        },
        priority: Priority::Normal,
        tasks: run.tasks,
        cpus: run.cpus.max(0.1),
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img-1".into(),
        image_gb: 0.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: run.estimate_s,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
    };
    JobGroundTruth {
        run_time: Micros::from_secs_f64(run.ran_s),
        done: vec![false; run.tasks as usize],
        spec: Rc::new(spec),
        ..JobGroundTruth::new(job_id(n))
    }
}

/// Every 500 ms, records the leader's predictions for jobs that have started since.
fn record_predictions(simulation: &mut Simulation, log: Rc<RefCell<PredictionLog>>) {
    let now = simulation.now;
    if let Some(scheduler) = simulation.leader_scheduler() {
        let mut entries = log.borrow_mut();
        let mut predictions = Vec::new();
        for (id, n) in &entries.pending {
            let Some(job) = scheduler.jobs.get(id) else {
                continue;
            };
            let Some((index, attempts)) = job.attempts.first_key_value() else {
                continue;
            };
            let Some((_, attempt)) = attempts.first() else {
                continue;
            };
            let task = TaskId {
                job: id.clone(),
                index: *index,
            };
            let remaining = |p: f64| scheduler.remaining_s(&task, *attempt, p, now);
            if let (Some(p10), Some(p50), Some(p90)) =
                (remaining(0.1), remaining(0.5), remaining(0.9))
            {
                let t = now.as_secs_f64();
                predictions.push((id.clone(), *n, (t, t + p10, t + p50, t + p90)));
            }
        }
        for (id, n, t) in predictions {
            entries.pending.remove(&id);
            entries.predictions.insert(n, t);
        }
        // Jobs that finished before they were observed running have no prediction.
        let finished_jobs: Vec<JobId> = entries
            .pending
            .keys()
            .filter(|id| {
                simulation
                    .jobs
                    .get(*id)
                    .is_some_and(|j| j.done_at.is_some())
            })
            .cloned()
            .collect();
        for id in finished_jobs {
            entries.pending.remove(&id);
        }
    }
    simulation.after(Micros::from_millis(500), move |simulation| {
        record_predictions(simulation, log)
    });
}

/// Crashes the leader's node for 6 s, at the given interval.
fn kill_leaders(simulation: &mut Simulation, every: Micros) {
    simulation.after(every, move |simulation| {
        if let Some(i) = simulation.leader() {
            simulation.crash_node(i, Micros::from_secs(6));
        }
        kill_leaders(simulation, every);
    });
}
