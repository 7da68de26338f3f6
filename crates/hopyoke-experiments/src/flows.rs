//! Workflow runs on an emulated cluster with real controller processes: CPU time and latency per step, and recovery
//! of many runs after a restart of all controllers.

use hopyoke::peers::client::proto::flow_request::Operation;
use hopyoke::peers::client::proto::{RunQuestion, SubmitRun};
use hopyoke_emulator::{Cluster, ClusterConfig};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client, Method};
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros};
use hopyoke_wes::calls::Controllers;
use hopyoke_workflow::{Plan, PlanStep, RunId, StepNo, parse_job_id};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// Result of an experiment.
pub struct ExperimentResult {
    /// Lines of the report.
    pub lines: Vec<String>,
    /// Whether all checks passed.
    pub passed: bool,
}

/// Run time of a task in seconds.
const TASK_S: f64 = 0.2;

fn job_spec(id: JobId, tasks: u32) -> JobSpec {
    let plain = JobSpec::with_defaults(id, "step", "crew", "img");
    JobSpec {
        tasks,
        image_gb: 0.1,
        estimate_s: TASK_S,
        ..plain
    }
}

/// Returns a plan of independent chains of `length` steps each.
fn chain_plan(chains: u32, length: u32) -> Plan {
    let step = |i: u32| PlanStep {
        path: format!("chain{}/step{}", i / length, i % length),
        dependencies: if i.is_multiple_of(length) {
            Vec::new()
        } else {
            vec![StepNo(i - 1)]
        },
        job_template: Some(0),
        tasks: 1,
    };
    Plan {
        job_templates: vec![job_spec(JobId::new("req-0"), 1)],
        steps: (0..chains * length).map(step).collect(),
        outputs: "{}".into(),
    }
}

fn cluster_config(
    program: &Path,
    dir: &Path,
    controllers: usize,
    machines: usize,
) -> ClusterConfig {
    ClusterConfig {
        controllers,
        max_machines: machines,
        boot_s: 0.3,
        max_writes_per_s: 4000.0,
        max_requests_per_s: 20_000.0,
        policy:
            "flows = true\nflow_write_share = 50%\nflow_read_share = 50%\nflow_steps = 1000\nflow_team_steps = \
                 5000\nlearn = false\nidle_return = 10min\nmove_share = 0%\n"
                .into(),
        log_level: "info".into(),
        ..ClusterConfig::new(program, dir)
    }
}

async fn submit(controllers: &Controllers, run: RunId, plan: &Plan) -> Result<(), String> {
    let ask = Operation::Submit(SubmitRun {
        run: run.number(),
        name: "evidence".into(),
        team: "crew".into(),
        plan: serde_json::to_vec(plan).unwrap_or_default(),
        ..SubmitRun::default()
    });
    controllers
        .call(ask, Micros::from_secs(60))
        .await
        .map(|_| ())
        .map_err(|e| e.to_string())
}

/// Waits until all these runs have an end record, and returns how long that took, or `None` after `limit_s`.
async fn wait_for_runs(cluster: &Cluster, runs: &[RunId], limit_s: u64) -> Option<Micros> {
    let began = runtime::now();
    let all_ended = |s: &Cluster| {
        runs.iter()
            .all(|r| s.store.get(&format!("flowend/{r}")).is_some())
    };
    cluster
        .wait_for(Micros::from_secs(limit_s), all_ended)
        .await
        .then(|| runtime::now() - began)
}

/// Returns the CPU time of all controllers so far, in milliseconds.
fn cpu_time_ms(cluster: &Cluster) -> f64 {
    (0..cluster.config.controllers)
        .map(|i| cluster.cpu_time_s(i))
        .sum::<f64>()
        * 1e3
}

fn run_id(n: u64) -> RunId {
    RunId::wrapping_new(n + 1)
}

/// Measures the CPU time that a controller spends per workflow step and per plain job, and the delay between the
/// end of a step and the start of the next one.
///
/// # Errors
/// Returns a message if the cluster cannot start or the jobs take too long.
pub async fn measure_step_cost(
    program: &Path,
    dir: &Path,
    steps: u32,
) -> Result<ExperimentResult, String> {
    let mut lines = Vec::new();
    let chains = 40;
    let length = (steps / chains).max(2);
    let total = chains * length;
    // Baseline: the same jobs without a workflow, each submitted once its predecessor is done.
    let cluster = Cluster::start(cluster_config(program, &dir.join("native"), 1, 8))
        .map_err(|e| e.to_string())?;
    warm_up(&cluster).await?;
    let (before, began) = (cpu_time_ms(&cluster), runtime::now());
    let mut next: Vec<u32> = vec![0; chains as usize];
    let client = Client::new(cluster.api_addrs[0]);
    let mut finished = 0;
    while finished < total {
        for (c, step) in next.iter_mut().enumerate() {
            if *step >= length * 2 {
                continue;
            }
            let id = JobId::new(&format!("req-{}", 1000 + c as u32 * length + *step / 2));
            if step.is_multiple_of(2) {
                let body = hopyoke_protocol::encode(&job_spec(id, 1));
                let answer = client
                    .send(Method::Post, "/api/jobs", &body, Micros::from_secs(5))
                    .await;
                *step += u32::from(answer.is_ok_and(|r| r.status < 300));
            } else if cluster.store.get(&format!("end/{id}")).is_some() {
                *step += 1;
                finished += 1;
            }
        }
        if runtime::now() > began + Micros::from_secs(300) {
            return Err("plain jobs not done after 300 s".into());
        }
        runtime::sleep(Micros::from_millis(5)).await;
    }
    let plain_ms = (cpu_time_ms(&cluster) - before) / f64::from(total);
    let plain_gap_s = median_step_gap_s(&cluster, |job| {
        let n: u32 = job.as_str().strip_prefix("req-")?.parse().ok()?;
        let n = n.checked_sub(1000)?;
        Some((u64::from(n / length), n % length))
    });
    drop(cluster);
    // The same steps as a workflow run.
    let cluster = Cluster::start(cluster_config(program, &dir.join("run"), 1, 8))
        .map_err(|e| e.to_string())?;
    warm_up(&cluster).await?;
    let controllers = Controllers::new(cluster.mesh_addrs.clone());
    let before = cpu_time_ms(&cluster);
    submit(&controllers, run_id(1), &chain_plan(chains, length)).await?;
    let took = wait_for_runs(&cluster, &[run_id(1)], 300)
        .await
        .ok_or("workflow run not done after 300 s")?;
    let run_ms = (cpu_time_ms(&cluster) - before) / f64::from(total);
    let run_gap_s = median_step_gap_s(&cluster, |job| {
        let (r, step, _) = parse_job_id(job)?;
        (r == run_id(1)).then_some((u64::from(step.0 / length), step.0 % length))
    });
    let written_bytes = |prefix: &str| {
        cluster
            .store
            .written_bytes
            .borrow()
            .get(prefix)
            .copied()
            .unwrap_or(0) as f64
    };
    let per_step = |prefix: &str| written_bytes(prefix) / f64::from(total);
    lines.push(format!(
        "{total} steps in {chains} chains, tasks of {TASK_S} s, one controller, 8 machines"
    ));
    lines.push(format!(
        "CPU time per step: {run_ms:.2} ms, per plain job: {plain_ms:.2} ms"
    ));
    lines.push(format!(
        "delay between steps: median {run_gap_s:.2} s, between plain jobs {plain_gap_s:.2} s"
    ));
    for share in [0.096, 0.16] {
        lines.push(format!(
            "steps per second at {:.1}% of a core: {:.0}",
            share * 100.0,
            share * 1e3 / run_ms
        ));
    }
    lines.push(format!(
        "bytes written per step: plan {:.0}, progress {:.0}, run and end records {:.0}; for its job {:.0}",
        per_step("flowplan"),
        per_step("flowpage"),
        per_step("flow") + per_step("flowend"),
        per_step("job") + per_step("end")
    ));
    lines.push(format!(
        "the run took {:.1} s, memory of its controller {:.0} MB",
        took.as_secs_f64(),
        cluster.memory_mb(0)
    ));
    let passed = cluster.fleet.violations.borrow().is_empty();
    Ok(ExperimentResult { lines, passed })
}

/// Runs one job, so that the machines have booted before the measurement.
///
/// # Errors
/// Returns a message if the job is not accepted or not done in time.
async fn warm_up(cluster: &Cluster) -> Result<(), String> {
    let client = Client::new(cluster.api_addrs[0]);
    let body = hopyoke_protocol::encode(&JobSpec {
        class: "warm".into(),
        ..job_spec(JobId::new("req-7"), 100)
    });
    let began = runtime::now();
    loop {
        let answer = client
            .send(Method::Post, "/api/jobs", &body, Micros::from_secs(5))
            .await;
        if answer.is_ok_and(|r| r.status < 300) {
            break;
        }
        if runtime::now() > began + Micros::from_secs(30) {
            return Err("no controller accepts jobs".into());
        }
        runtime::sleep(Micros::from_millis(200)).await;
    }
    let done = |s: &Cluster| s.store.get("end/req-7").is_some();
    if cluster.wait_for(Micros::from_secs(60), done).await {
        Ok(())
    } else {
        Err("warm-up job not done after 60 s".into())
    }
}

/// Returns the median time from the end of a step to the start of the next one in its chain, in seconds.
fn median_step_gap_s(cluster: &Cluster, position: impl Fn(&JobId) -> Option<(u64, u32)>) -> f64 {
    let mut task_starts: BTreeMap<(u64, u32), Micros> = BTreeMap::new();
    for s in cluster.fleet.task_starts.borrow().iter() {
        if let Some(p) = position(&s.task.job) {
            task_starts.entry(p).or_insert(s.at);
        }
    }
    let task = Micros::from_secs_f64(TASK_S * cluster.config.run_time_factor);
    let mut gaps_s: Vec<f64> = task_starts
        .iter()
        .filter_map(|((c, i), at)| {
            let next = task_starts.get(&(*c, i + 1))?;
            Some((*next - (*at + task)).as_secs_f64())
        })
        .collect();
    gaps_s.sort_by(f64::total_cmp);
    gaps_s.get(gaps_s.len() / 2).copied().unwrap_or(0.0)
}

/// Kills and restarts all controllers during many runs; measures the time until the runs make progress, and checks that
/// each step is done exactly once.
///
/// # Errors
/// Returns a message if the cluster cannot start or the runs make no progress before the restart.
pub async fn measure_recovery(
    program: &Path,
    dir: &Path,
    runs: u64,
    steps: u32,
) -> Result<ExperimentResult, String> {
    let mut lines = Vec::new();
    let mut cluster = Cluster::start(cluster_config(program, &dir.join("recovery"), 3, 60))
        .map_err(|e| e.to_string())?;
    warm_up(&cluster).await?;
    let controllers = Controllers::new(cluster.mesh_addrs.clone());
    let length = 10.min(steps);
    let plan = chain_plan((steps / length).max(1), length);
    let total = runs * plan.steps.len() as u64;
    let ids: Vec<RunId> = (0..runs).map(run_id).collect();
    for id in &ids {
        submit(&controllers, *id, &plan).await?;
    }
    let finished_steps = |s: &Cluster| s.store.keys("end/req-9").len() as u64;
    if !cluster
        .wait_for(Micros::from_secs(300), |s| {
            finished_steps(s) >= total * 2 / 5
        })
        .await
    {
        return Err(format!(
            "{} of {total} steps are done after 300 s",
            finished_steps(&cluster)
        ));
    }
    let (done_at_kill, open_at_kill) = (
        finished_steps(&cluster),
        cluster.store.keys("job/req-9").len(),
    );
    for i in 0..3 {
        cluster.kill_controller(i);
    }
    let open: Vec<RunId> = ids
        .iter()
        .copied()
        .filter(|r| cluster.store.get(&format!("flowend/{r}")).is_none())
        .collect();
    let killed = runtime::now();
    runtime::sleep(Micros::from_secs(5)).await;
    for i in 0..3 {
        cluster.start_controller(i).map_err(|e| e.to_string())?;
    }
    let restarted = runtime::now();
    let since = |t: Micros| (runtime::now() - t).as_secs_f64();
    // A run has resumed once one of its jobs was accepted, or it ended, after the restart.
    let accepted_before: BTreeMap<String, u64> = open
        .iter()
        .map(|r| (r.to_string(), accepted_jobs(&cluster, *r)))
        .collect();
    let mut first_resumed = None;
    let mut all_resumed = None;
    let limit = runtime::now() + Micros::from_secs(120);
    while all_resumed.is_none() && runtime::now() < limit {
        let has_resumed = |r: &&RunId| {
            accepted_jobs(&cluster, **r) > accepted_before[&r.to_string()]
                || cluster.store.get(&format!("flowend/{r}")).is_some()
        };
        let n = open.iter().filter(has_resumed).count();
        if n > 0 && first_resumed.is_none() {
            first_resumed = Some(since(restarted));
        }
        if n == open.len() {
            all_resumed = Some(since(restarted));
        }
        runtime::sleep(Micros::from_millis(50)).await;
    }
    let ended = wait_for_runs(&cluster, &ids, 400).await;
    let states: Vec<String> = ids
        .iter()
        .filter_map(|r| cluster.store.get(&format!("flowend/{r}")))
        .filter_map(|v: Value| v["state"].as_str().map(str::to_owned))
        .collect();
    let done = states.iter().filter(|s| *s == "done").count();
    let jobs = cluster.store.keys("end/req-9");
    let steps_done: std::collections::BTreeSet<(RunId, StepNo)> = jobs
        .iter()
        .filter_map(|k| parse_job_id(&JobId::parse(k.strip_prefix("end/")?)?))
        .map(|(r, s, _)| (r, s))
        .collect();
    let duplicates = jobs.len() - steps_done.len();
    let violations = cluster.fleet.violations.borrow().len();
    let response = controllers.call(
        Operation::Get(RunQuestion {
            run: ids[0].number(),
            ..RunQuestion::default()
        }),
        Micros::from_secs(20),
    );
    let response = response.await.map_err(|e| e.to_string())?;
    lines.push(format!(
        "{runs} runs of {} steps, 3 controllers, 60 machines",
        plan.steps.len()
    ));
    lines.push(format!(
        "all controllers killed with {done_at_kill} of {total} steps done and {open_at_kill} in progress"
    ));
    lines.push(format!(
        "restarted 5 s later; of {} unfinished runs the first resumed after {}, all after {}",
        open.len(),
        first_resumed.map_or("-".into(), |t| format!("{t:.1} s")),
        all_resumed.map_or("-".into(), |t| format!("{t:.1} s"))
    ));
    lines.push(format!(
        "all runs ended {:.1} s after the kill: {done} runs done, {} steps lost, {duplicates} duplicate jobs, {violations} invariant violations",
        since(killed),
        total as usize - steps_done.len().min(total as usize),
    ));
    lines.push(format!(
        "largest controller {:.0} MB; state of the first run: {}",
        (0..3).map(|i| cluster.memory_mb(i)).fold(0.0, f64::max),
        response.runs.first().map_or("-", |r| r.state.as_str())
    ));
    let passed = ended.is_some()
        && done == ids.len()
        && duplicates == 0
        && violations == 0
        && steps_done.len() as u64 == total;
    Ok(ExperimentResult { lines, passed })
}

/// Counts the jobs of a run that were ever accepted.
fn accepted_jobs(cluster: &Cluster, run: RunId) -> u64 {
    let under = |first: &str| {
        cluster
            .store
            .keys(&format!("{first}/{}", hopyoke_workflow::job_id_prefix(run)))
            .len() as u64
    };
    under("job") + under("end")
}
