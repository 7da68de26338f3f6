//! Workload events: submissions, cancellations, and other requests of users and operators.

use super::parser::{Words, key_values, next_word, number, seconds};
use super::selectors::fault_end;
use crate::kv_store::FaultWindow;
use crate::{JobGroundTruth, START_TIME_OF_DAY, Simulation};
use hopyoke_calendar::StaffingOverride;
use hopyoke_protocol::user::{JobKind, JobSpec, Priority};
use hopyoke_scheduler::JobRecord;
use hopyoke_stored_form::json_len;
use hopyoke_types::{JobId, Micros};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Machine type of the simulated cluster.
const MACHINE_TYPE: &str = "std";

/// Executes a workload event. Returns false if `name` is not one.
pub(super) fn event(sim: &mut Simulation, name: &str, words: &mut Words<'_>) -> bool {
    match name {
        "submit" => {
            let (id, kind) = (JobId::new(next_word(words)), next_word(words));
            let truth = build_job(&id, kind, &key_values(words));
            sim.jobs.insert(id.clone(), truth);
            sim.submit(id);
        }
        "many" => {
            let n = number(next_word(words)) as u64;
            for id in add_jobs(sim, n, words) {
                sim.submit(id);
            }
        }
        "stream" => submit_stream(sim, words),
        "cancel" => sim.cancel(JobId::new(next_word(words))),
        "close_looks" => sim.user_behavior.concurrent_reads_until = fault_end(sim, words),
        "cancel_at_end" => {
            let percent = number(next_word(words)) as u64;
            sim.user_behavior.cancel_at_end = FaultWindow {
                percent,
                until: fault_end(sim, words),
            };
        }
        "cancel_now" => {
            let max_jobs = number(next_word(words)) as usize;
            let pairs = key_values(words);
            let hang = pairs.get("hang").map_or(Micros::ZERO, |s| seconds(s));
            sim.cancel_running_jobs(max_jobs, hang);
        }
        "odd_requests" => {
            sim.user_behavior.malformed_requests_until = fault_end(sim, words);
            sim.send_malformed_requests();
        }
        "staffed" => override_staffed_hours(sim, words),
        _ => return false,
    }
    true
}

/// `stream COUNT PER_SECOND PERCENT KIND KEY VALUE ...`: submits jobs at an even rate and cancels that share of them soon
/// after their submission.
fn submit_stream(sim: &mut Simulation, words: &mut Words<'_>) {
    let (n, rate, cancelled_percent) = (
        number(next_word(words)) as u64,
        number(next_word(words)),
        number(next_word(words)) as u64,
    );
    for (k, id) in (0..).zip(add_jobs(sim, n, words)) {
        let submit_delay = Micros::from_secs_f64(k as f64 / rate);
        if k * cancelled_percent % 100 < cancelled_percent {
            let (id, cancel_delay) = (id.clone(), Micros(sim.random(500_000, 10_000_000)));
            sim.after(submit_delay + cancel_delay, move |sim| sim.cancel(id));
        }
        sim.after(submit_delay, move |sim| sim.submit(id));
    }
}

/// `staffed on|off UNTIL`: an operator overrides the calendar.
fn override_staffed_hours(sim: &mut Simulation, words: &mut Words<'_>) {
    let (staffed, until) = (next_word(words) == "on", seconds(next_word(words)));
    let staffing_override = Some(StaffingOverride {
        staffed,
        expires_at_us: (START_TIME_OF_DAY + until).0,
        operator: "operator".into(),
    });
    if let Some(hours) = &mut sim.hours {
        hours.staffing_override.clone_from(&staffing_override);
    }
    for leadership in sim.nodes.iter_mut().filter_map(|n| n.leadership.as_mut()) {
        leadership
            .scheduler
            .set_staffing_override(staffing_override.clone());
    }
}

/// Adds `n` jobs of one kind, `KIND KEY VALUE ...`, which are not submitted yet.
fn add_jobs(sim: &mut Simulation, n: u64, words: &mut Words<'_>) -> Vec<JobId> {
    let (kind, pairs) = (next_word(words), key_values(words));
    let add = |_| {
        let id = JobId::new(&format!("req-{:06}", 1000 + sim.jobs.len()));
        sim.jobs.insert(id.clone(), build_job(&id, kind, &pairs));
        id
    };
    (0..n).map(add).collect()
}

/// Adds names of control characters to the allowed machine types, until the job's first record takes `record_bytes` bytes
/// of JSON. Such a character takes one byte in MessagePack and six in JSON.
fn with_odd_machine_types(mut spec: JobSpec, record_bytes: usize) -> JobSpec {
    const MAX_NAME_CHARS: usize = 150;
    let rest = json_len(&JobRecord::accepted(spec.clone(), START_TIME_OF_DAY.0)) - json_len(&spec);
    let mut names = vec![MACHINE_TYPE.to_owned(), String::new()];
    loop {
        spec.machine_types = Some(names.clone());
        let missing = record_bytes.saturating_sub(rest + json_len(&spec));
        let last = names.last_mut().expect("a name");
        match missing {
            0 => return spec,
            1..=5 => last.push('x'),
            _ if last.len() < MAX_NAME_CHARS => last.push('\u{1}'),
            // A further name begins with a comma and quotes.
            6..=8 => last.push('x'),
            _ => names.push(String::new()),
        }
    }
}

/// Builds a job of a kind (`array`, `gang`, `service`) with the given properties, and defaults for the others.
///
/// # Panics
///
/// Panics if the kind is unknown or a property is not a number.
pub(super) fn build_job(id: &JobId, kind: &str, pairs: &BTreeMap<&str, &str>) -> JobGroundTruth {
    let get = |k: &str, d: f64| pairs.get(k).map_or(d, |v| number(v));
    let yes = |k: &str| pairs.get(k) == Some(&"yes");
    let tasks = get("tasks", 1.0) as u32;
    let run = get("run", 10.0);
    let spec = JobSpec {
        id: id.clone(),
        class: pairs.get("class").unwrap_or(&"c").to_string(),
        team: pairs.get("team").unwrap_or(&"crew").to_string(),
        kind: match kind {
            "array" => JobKind::Array,
            "gang" => JobKind::Gang,
            "service" => JobKind::Service,
            other => panic!("unknown kind {other}"),
        },
        priority: match pairs.get("priority").copied() {
            Some("production") => Priority::Production,
            Some("high") => Priority::High,
            Some("low") => Priority::Low,
            _ => Priority::Normal,
        },
        tasks,
        cpus: get("cpus", 6.0),
        gpus: get("gpus", 1.0),
        memory_gb: get("mem", 20.0),
        image: pairs.get("image").unwrap_or(&"img-1").to_string(),
        image_gb: get("image_gb", 2.0),
        machine_types: None,
        zone: pairs.get("zone").map(|z| (*z).to_string()),
        one_zone: yes("together"),
        spread: yes("apart"),
        spot: yes("spot"),
        estimate_s: if kind == "service" {
            0.0
        } else {
            run * get("owner", 1.0)
        },
        checkpoint_interval_s: get("checkpoint", 0.0),
        checkpoint_save_s: get("save", 0.0),
        deadline_s: pairs.get("deadline").map(|v| number(v)),
    };
    let spec = match pairs.get("odd") {
        Some(bytes) => with_odd_machine_types(spec, number(bytes) as usize),
        None => spec,
    };
    JobGroundTruth {
        run_time: Micros::from_secs_f64(run),
        always_fails: yes("fails"),
        is_workflow_step: yes("flow"),
        done: vec![false; tasks as usize],
        spec: Rc::new(spec),
        ..JobGroundTruth::new(id.clone())
    }
}
