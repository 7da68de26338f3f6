//! A history against stand-in workers in virtual time: the real core places the jobs, workers run
//! them for as long as the history says, and the leader's predictions are written down as each
//! job is first seen running.

use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::user::{JobKind, JobSpec, Priority};
use hopyoke_scheduler::Team;
use hopyoke_simulator::{JobGroundTruth, Simulation};
use hopyoke_types::{JobId, Micros, TaskId};
use hopyoke_workload_trace::{Run, WorkloadTrace};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How a history is replayed.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    pub seed: u64,
    /// The leader is killed this often; `None`: never.
    pub kill_every: Option<Micros>,
}

/// One job's prediction, and what became of it.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub class: String,
    /// All in seconds since the start of the replay.
    pub submitted_s: f64,
    pub predicted_at_s: f64,
    pub p10_s: f64,
    pub p50_s: f64,
    pub p90_s: f64,
    pub finished_s: f64,
    /// What it ran, and what its owner had guessed; 0: no guess.
    pub ran_s: f64,
    pub guess_s: f64,
}

/// What came out of a replay.
#[derive(Debug, Clone, Default)]
pub struct Replayed {
    /// In the order of predictions.
    pub outcomes: Vec<Outcome>,
    /// Jobs that ended before a leader had seen them running.
    pub unseen: usize,
    /// Jobs that were left aside: wider than the machines here.
    pub left_aside: usize,
    /// Leaders that there were.
    pub leaders: u32,
    /// How long it took, in virtual seconds.
    pub span_s: f64,
}

struct Watch {
    /// Jobs without a prediction: accepted by the emulator's users, not yet seen running.
    open: BTreeMap<JobId, usize>,
    /// By job's place in the history: when, and p10, p50, p90 of its end.
    told: BTreeMap<usize, (f64, f64, f64, f64)>,
}

/// One kind of machine, wide enough for most jobs.
const CPUS: f64 = 32.0;
/// Jobs wider than this are left aside.
const MOST_TASKS: u32 = 128;

/// Replays a history.
///
/// # Errors
/// A rule that broke, or that the replay did not come to its end.
pub fn replay(history: &WorkloadTrace, options: Options) -> Result<Replayed, String> {
    let runs: Vec<Run> = history
        .runs
        .iter()
        .filter(|r| r.tasks <= MOST_TASKS && r.cpus <= CPUS)
        .cloned()
        .collect();
    let left_aside = history.runs.len() - runs.len();
    let Some(first) = runs.first().map(|r| r.submitted_us) else {
        return Err("no run can be replayed".into());
    };
    let start = Micros::from_secs(5);
    let at = |r: &Run| start + Micros(r.submitted_us - first);
    let last = runs.iter().map(at).max().unwrap_or(start);
    let mut w = Simulation::new(options.seed, 3);
    w.exhaustive_checks = false;
    w.machine_types.push(MachineType {
        name: "std".into(),
        cpus: CPUS,
        gpus: 8.0,
        memory_gb: 512.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.0,
        boot_s: 10.0,
        zones: w.config.zones.clone(),
    });
    let teams: std::collections::BTreeSet<&str> = runs.iter().map(|r| r.team.as_str()).collect();
    w.config.teams = teams
        .into_iter()
        .map(|t| Team {
            name: t.to_owned(),
            ..Team::default()
        })
        .collect();
    // Machines are there from the start, stay, and are enough for the busiest hour: it is run
    // times that are replayed, not queues.
    w.tuning.idle_return = Micros::from_secs(100_000_000);
    let zones = w.config.zones.clone();
    for i in 0..machines(&runs) {
        w.add_machine(
            "std",
            &zones[i % zones.len()],
            false,
            Some(Micros::from_millis(10)),
        );
    }
    w.expire_leases();
    for i in 0..3 {
        w.start_node(i);
    }
    let watch = Rc::new(RefCell::new(Watch {
        open: BTreeMap::new(),
        told: BTreeMap::new(),
    }));
    for (n, run) in runs.iter().enumerate() {
        let truth = truth_of(n, run);
        let (id, watch) = (truth.spec.id.clone(), watch.clone());
        w.at(at(run), move |w| {
            w.jobs.insert(id.clone(), truth);
            watch.borrow_mut().open.insert(id.clone(), n);
            w.submit(id);
        });
    }
    look(&mut w, watch.clone());
    if let Some(every) = options.kill_every {
        kill(&mut w, every);
    }
    let longest = runs.iter().map(|r| r.ran_s).fold(0.0, f64::max);
    let end = last + Micros::from_secs_f64(longest * 2.0 + 600.0);
    while w.now < end {
        let next = w.now + Micros::from_secs(60);
        w.run_until(next);
        if let Some(broken) = w.violations.first() {
            return Err(format!("a rule broke: {broken}"));
        }
        if w.now > last && w.jobs.values().all(|j| j.done_at.is_some()) {
            break;
        }
    }
    let undone = w.jobs.values().filter(|j| j.done_at.is_none()).count();
    if undone > 0 {
        return Err(format!(
            "{undone} jobs were not done after {:.0} s",
            w.now.as_secs_f64()
        ));
    }
    let told = &watch.borrow().told;
    let mut out = Replayed {
        unseen: runs.len() - told.len(),
        left_aside,
        leaders: w.elected_leaders,
        span_s: w.now.as_secs_f64(),
        ..Replayed::default()
    };
    for (n, (predicted_at_s, p10_s, p50_s, p90_s)) in told {
        let run = &runs[*n];
        let Some(finished) = w.jobs.get(&id_of(*n)).and_then(|j| j.done_at) else {
            continue;
        };
        out.outcomes.push(Outcome {
            class: run.class.clone(),
            submitted_s: at(run).as_secs_f64(),
            predicted_at_s: *predicted_at_s,
            p10_s: *p10_s,
            p50_s: *p50_s,
            p90_s: *p90_s,
            finished_s: finished.as_secs_f64(),
            ran_s: run.ran_s,
            guess_s: run.estimate_s,
        });
    }
    out.outcomes
        .sort_by(|a, b| a.predicted_at_s.total_cmp(&b.predicted_at_s));
    Ok(out)
}

fn id_of(n: usize) -> JobId {
    JobId::new(&format!("req-{n:06}"))
}

/// Machines for the largest sum of what runs at once, and a third more.
fn machines(runs: &[Run]) -> usize {
    let mut edges: Vec<(u64, f64)> = Vec::with_capacity(2 * runs.len());
    for r in runs {
        let takes = f64::from(r.tasks) * r.cpus.max(0.1);
        edges.push((r.submitted_us, takes));
        edges.push((
            r.submitted_us + Micros::from_secs_f64(r.ran_s + 20.0).0,
            -takes,
        ));
    }
    edges.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
    let (mut now, mut most) = (0.0f64, 0.0f64);
    for (_, takes) in edges {
        now += takes;
        most = most.max(now);
    }
    ((most * 1.35 / CPUS).ceil() as usize).clamp(3, 2_000)
}

fn truth_of(n: usize, run: &Run) -> JobGroundTruth {
    let spec = JobSpec {
        id: id_of(n),
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
        ..JobGroundTruth::new(id_of(n))
    }
}

/// Twice a second, whoever leads is asked about jobs that are newly seen running.
fn look(w: &mut Simulation, watch: Rc<RefCell<Watch>>) {
    let now = w.now;
    if let Some(scheduler) = w.leader_scheduler() {
        let mut watch_now = watch.borrow_mut();
        let mut told = Vec::new();
        for (id, n) in &watch_now.open {
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
            let left = |p: f64| scheduler.remaining_s(&task, *attempt, p, now);
            if let (Some(p10), Some(p50), Some(p90)) = (left(0.1), left(0.5), left(0.9)) {
                let t = now.as_secs_f64();
                told.push((id.clone(), *n, (t, t + p10, t + p50, t + p90)));
            }
        }
        for (id, n, t) in told {
            watch_now.open.remove(&id);
            watch_now.told.insert(n, t);
        }
        // What ended before it was seen running has no prediction.
        let over: Vec<JobId> = watch_now
            .open
            .keys()
            .filter(|id| w.jobs.get(*id).is_some_and(|j| j.done_at.is_some()))
            .cloned()
            .collect();
        for id in over {
            watch_now.open.remove(&id);
        }
    }
    w.after(Micros::from_millis(500), move |w| look(w, watch));
}

fn kill(w: &mut Simulation, every: Micros) {
    w.after(every, move |w| {
        if let Some(i) = w.leader() {
            w.crash_node(i, Micros::from_secs(6));
        }
        kill(w, every);
    });
}
