//! Runs of workflows on a site of real processes on loopback: what a step costs, what it waits, and
//! what is left of many runs when all controllers end. Figures are from stand-ins on one machine.

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

/// What one experiment showed, line by line, and whether what must hold did.
pub struct Shown {
    pub lines: Vec<String>,
    pub holds: bool,
}

/// How long a task runs.
const TASK_S: f64 = 0.2;

fn spec(id: JobId, tasks: u32) -> JobSpec {
    let plain = JobSpec::with_defaults(id, "step", "crew", "img");
    JobSpec {
        tasks,
        image_gb: 0.1,
        estimate_s: TASK_S,
        ..plain
    }
}

/// So many chains of so many steps, beside each other.
fn plan(chains: u32, length: u32) -> Plan {
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
        job_templates: vec![spec(JobId::new("req-0"), 1)],
        steps: (0..chains * length).map(step).collect(),
        outputs: "{}".into(),
    }
}

fn site_plan(program: &Path, dir: &Path, controllers: usize, machines: usize) -> ClusterConfig {
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

/// Waits until all these runs are over, by their records; the time that took.
async fn over(site: &Cluster, runs: &[RunId], limit_s: u64) -> Option<Micros> {
    let began = runtime::now();
    let all = |s: &Cluster| {
        runs.iter()
            .all(|r| s.store.get(&format!("flowend/{r}")).is_some())
    };
    site.wait_for(Micros::from_secs(limit_s), all)
        .await
        .then(|| runtime::now() - began)
}

fn processor_ms(site: &Cluster) -> f64 {
    (0..site.config.controllers)
        .map(|i| site.cpu_time_s(i))
        .sum::<f64>()
        * 1e3
}

fn run(n: u64) -> RunId {
    RunId::wrapping_new(n + 1)
}

/// What a step costs one controller beside what a native job costs it, and how long after a step's
/// end the next one begins.
pub async fn cost(program: &Path, dir: &Path, steps: u32) -> Result<Shown, String> {
    let mut lines = Vec::new();
    let chains = 40;
    let length = (steps / chains).max(2);
    let total = chains * length;
    // Natively: the same jobs, each submitted when the one before it in its chain is done.
    let site =
        Cluster::start(site_plan(program, &dir.join("native"), 1, 8)).map_err(|e| e.to_string())?;
    warm(&site).await?;
    let (before, began) = (processor_ms(&site), runtime::now());
    let mut next: Vec<u32> = vec![0; chains as usize];
    let client = Client::new(site.api_addrs[0]);
    let mut finished = 0;
    while finished < total {
        for (c, step) in next.iter_mut().enumerate() {
            if *step >= length * 2 {
                continue;
            }
            let id = JobId::new(&format!("req-{}", 1000 + c as u32 * length + *step / 2));
            if step.is_multiple_of(2) {
                let body = hopyoke_protocol::encode(&spec(id, 1));
                let answer = client
                    .send(Method::Post, "/api/jobs", &body, Micros::from_secs(5))
                    .await;
                *step += u32::from(answer.is_ok_and(|r| r.status < 300));
            } else if site.store.get(&format!("end/{id}")).is_some() {
                *step += 1;
                finished += 1;
            }
        }
        if runtime::now() > began + Micros::from_secs(300) {
            return Err("the native jobs take too long".into());
        }
        runtime::sleep(Micros::from_millis(5)).await;
    }
    let native_ms = (processor_ms(&site) - before) / f64::from(total);
    let native_gap = gap(&site, |job| {
        let n: u32 = job.as_str().strip_prefix("req-")?.parse().ok()?;
        let n = n.checked_sub(1000)?;
        Some((u64::from(n / length), n % length))
    });
    drop(site);
    // The same as a run.
    let site =
        Cluster::start(site_plan(program, &dir.join("run"), 1, 8)).map_err(|e| e.to_string())?;
    warm(&site).await?;
    let controllers = Controllers::new(site.mesh_addrs.clone());
    let before = processor_ms(&site);
    submit(&controllers, run(1), &plan(chains, length)).await?;
    let took = over(&site, &[run(1)], 300)
        .await
        .ok_or("the run takes too long")?;
    let run_ms = (processor_ms(&site) - before) / f64::from(total);
    let run_gap = gap(&site, |job| {
        let (r, step, _) = parse_job_id(job)?;
        (r == run(1)).then_some((u64::from(step.0 / length), step.0 % length))
    });
    let bytes = |prefix: &str| {
        site.store
            .written_bytes
            .borrow()
            .get(prefix)
            .copied()
            .unwrap_or(0) as f64
    };
    let per_step = |prefix: &str| bytes(prefix) / f64::from(total);
    lines.push(format!(
        "{total} steps in {chains} chains, tasks of {TASK_S} s, one controller, 8 machines"
    ));
    lines.push(format!(
        "processor a step: {run_ms:.2} ms, of a native job: {native_ms:.2} ms"
    ));
    lines.push(format!(
        "next step begins after the last one's end: median {run_gap:.2} s, natively {native_gap:.2} s"
    ));
    for share in [0.096, 0.16] {
        lines.push(format!(
            "steps a second at {:.1}% of a core: {:.0}",
            share * 100.0,
            share * 1e3 / run_ms
        ));
    }
    lines.push(format!(
        "bytes written a step: plan {:.0}, progress {:.0}, head and grant {:.0}; of its job {:.0}",
        per_step("flowplan"),
        per_step("flowpage"),
        per_step("flow") + per_step("flowend"),
        per_step("job") + per_step("end")
    ));
    lines.push(format!(
        "the run took {:.1} s, its controller {:.0} MB",
        took.as_secs_f64(),
        site.memory_mb(0)
    ));
    let holds = site.fleet.violations.borrow().is_empty();
    Ok(Shown { lines, holds })
}

/// Machines are up before anything is measured.
async fn warm(site: &Cluster) -> Result<(), String> {
    let client = Client::new(site.api_addrs[0]);
    let body = hopyoke_protocol::encode(&JobSpec {
        class: "warm".into(),
        ..spec(JobId::new("req-7"), 100)
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
            return Err("no controller takes jobs".into());
        }
        runtime::sleep(Micros::from_millis(200)).await;
    }
    let done = |s: &Cluster| s.store.get("end/req-7").is_some();
    if site.wait_for(Micros::from_secs(60), done).await {
        Ok(())
    } else {
        Err("machines don't come up".into())
    }
}

/// The median time from a step's end to the start of the next one in its chain, in seconds.
fn gap(site: &Cluster, place: impl Fn(&JobId) -> Option<(u64, u32)>) -> f64 {
    let mut task_starts: BTreeMap<(u64, u32), Micros> = BTreeMap::new();
    for s in site.fleet.task_starts.borrow().iter() {
        if let Some(p) = place(&s.task.job) {
            task_starts.entry(p).or_insert(s.at);
        }
    }
    let task = Micros::from_secs_f64(TASK_S * site.config.run_time_factor);
    let mut gaps: Vec<f64> = task_starts
        .iter()
        .filter_map(|((c, i), at)| {
            let next = task_starts.get(&(*c, i + 1))?;
            Some((*next - (*at + task)).as_secs_f64())
        })
        .collect();
    gaps.sort_by(f64::total_cmp);
    gaps.get(gaps.len() / 2).copied().unwrap_or(0.0)
}

/// All controllers end with many runs under way: how long until they go on, and whether all is done,
/// once.
pub async fn recovery(program: &Path, dir: &Path, runs: u64, steps: u32) -> Result<Shown, String> {
    let mut lines = Vec::new();
    let mut site = Cluster::start(site_plan(program, &dir.join("recovery"), 3, 60))
        .map_err(|e| e.to_string())?;
    warm(&site).await?;
    let controllers = Controllers::new(site.mesh_addrs.clone());
    let length = 10.min(steps);
    let plan = plan((steps / length).max(1), length);
    let total = runs * plan.steps.len() as u64;
    let ids: Vec<RunId> = (0..runs).map(run).collect();
    for id in &ids {
        submit(&controllers, *id, &plan).await?;
    }
    let ends = |s: &Cluster| s.store.keys("end/req-9").len() as u64;
    if !site
        .wait_for(Micros::from_secs(300), |s| ends(s) >= total * 2 / 5)
        .await
    {
        return Err(format!(
            "{} of {total} steps are done after 300 s",
            ends(&site)
        ));
    }
    let (done_then, open_then) = (ends(&site), site.store.keys("job/req-9").len());
    for i in 0..3 {
        site.kill_controller(i);
    }
    let open: Vec<RunId> = ids
        .iter()
        .copied()
        .filter(|r| site.store.get(&format!("flowend/{r}")).is_none())
        .collect();
    let killed = runtime::now();
    runtime::sleep(Micros::from_secs(5)).await;
    for i in 0..3 {
        site.start_controller(i).map_err(|e| e.to_string())?;
    }
    let restarted = runtime::now();
    let since = |t: Micros| (runtime::now() - t).as_secs_f64();
    // A run goes on once a job of it was accepted, or it ended, after the restart.
    let known: BTreeMap<String, u64> = open
        .iter()
        .map(|r| (r.to_string(), accepted(&site, *r)))
        .collect();
    let mut first = None;
    let mut all = None;
    let limit = runtime::now() + Micros::from_secs(120);
    while all.is_none() && runtime::now() < limit {
        let on = |r: &&RunId| {
            accepted(&site, **r) > known[&r.to_string()]
                || site.store.get(&format!("flowend/{r}")).is_some()
        };
        let n = open.iter().filter(on).count();
        if n > 0 && first.is_none() {
            first = Some(since(restarted));
        }
        if n == open.len() {
            all = Some(since(restarted));
        }
        runtime::sleep(Micros::from_millis(50)).await;
    }
    let ended = over(&site, &ids, 400).await;
    let states: Vec<String> = ids
        .iter()
        .filter_map(|r| site.store.get(&format!("flowend/{r}")))
        .filter_map(|v: Value| v["state"].as_str().map(str::to_owned))
        .collect();
    let done = states.iter().filter(|s| *s == "done").count();
    let jobs = site.store.keys("end/req-9");
    let steps_seen: std::collections::BTreeSet<(RunId, StepNo)> = jobs
        .iter()
        .filter_map(|k| parse_job_id(&JobId::parse(k.strip_prefix("end/")?)?))
        .map(|(r, s, _)| (r, s))
        .collect();
    let twice = jobs.len() - steps_seen.len();
    let violations = site.fleet.violations.borrow().len();
    let told = controllers.call(
        Operation::Get(RunQuestion {
            run: ids[0].number(),
            ..RunQuestion::default()
        }),
        Micros::from_secs(20),
    );
    let told = told.await.map_err(|e| e.to_string())?;
    lines.push(format!(
        "{runs} runs of {} steps, 3 controllers, 60 machines",
        plan.steps.len()
    ));
    lines.push(format!(
        "all controllers end with {done_then} of {total} steps done and {open_then} under way"
    ));
    lines.push(format!(
        "5 s later they are back; of {} open runs the first goes on after {}, all after {}",
        open.len(),
        first.map_or("-".into(), |t| format!("{t:.1} s")),
        all.map_or("-".into(), |t| format!("{t:.1} s"))
    ));
    lines.push(format!(
        "all over {:.1} s after the end of the controllers: {done} runs done, steps lost {}, jobs beside a step's own {twice}, rules broken {violations}",
        since(killed),
        total as usize - steps_seen.len().min(total as usize),
    ));
    lines.push(format!(
        "largest controller {:.0} MB; the first run is told as {}",
        (0..3).map(|i| site.memory_mb(i)).fold(0.0, f64::max),
        told.runs.first().map_or("-", |r| r.state.as_str())
    ));
    let holds = ended.is_some()
        && done == ids.len()
        && twice == 0
        && violations == 0
        && steps_seen.len() as u64 == total;
    Ok(Shown { lines, holds })
}

/// Jobs of a run that were ever accepted.
fn accepted(site: &Cluster, run: RunId) -> u64 {
    let under = |first: &str| {
        site.store
            .keys(&format!("{first}/{}", hopyoke_workflow::job_id_prefix(run)))
            .len() as u64
    };
    under("job") + under("end")
}
