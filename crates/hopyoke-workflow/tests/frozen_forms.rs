//! The stored form of workflow records and the digest of a plan are stable across versions, because a node of one
//! version may take over a run from a node of another.

#[path = "../../hopyoke-protocol/tests/frozen/mod.rs"]
mod frozen;

use frozen::{assert_read_as, assert_stored, read, text};
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::JobId;
use hopyoke_workflow::{
    Head, OnError, Plan, PlanPage, PlanStep, RunClaim, RunId, RunState, StepNo, StepPage, StepState,
};
use std::collections::BTreeMap;

fn run(number: u64) -> Option<RunId> {
    RunId::new(number)
}

fn plan() -> Plan {
    let step = |path: &str, after: &[u32], shape, tasks| PlanStep {
        path: path.into(),
        dependencies: after.iter().map(|n| StepNo(*n)).collect(),
        job_template: shape,
        tasks,
    };
    Plan {
        job_templates: vec![JobSpec::with_defaults(
            JobId::new("req-0"),
            "convert",
            "vision",
            "registry/convert:3",
        )],
        steps: vec![
            step("split", &[], Some(0), 1),
            step("convert", &[0], Some(0), 8),
            step("join", &[0, 1], None, 0),
        ],
        outputs: r#"{"video":"join/out"}"#.into(),
    }
}

fn new_head() -> Head {
    Head::new(
        "nightly",
        "vision",
        "ana",
        &plan(),
        1,
        1_700_000_000_000_000,
    )
}

#[test]
fn heads() {
    assert_stored("head-fresh", &new_head());
    let full = Head {
        ended_us: 1_700_000_360_000_000,
        on_error: OnError::Continue,
        state: RunState::Failed,
        reason: "step convert: exit 2".into(),
        done: 2,
        resumes: run(41_000_000_007),
        plan_source: run(41_000_000_005),
        tags: BTreeMap::from([
            ("color".into(), "red".into()),
            ("shift".into(), "night".into()),
        ]),
        ..new_head()
    };
    assert_stored("head-full", &full);
    assert_stored(
        "run-states",
        &vec![
            RunState::Running,
            RunState::Failing,
            RunState::Cancelling,
            RunState::Done,
            RunState::Failed,
            RunState::Cancelled,
        ],
    );
    assert_stored("on-error", &vec![OnError::Stop, OnError::Continue]);
}

/// Heads that lack the fields with a default can be read.
#[test]
fn heads_of_earlier_versions() {
    let earlier = Head {
        owner: String::new(),
        digest: 12_345_678_901_234_567_890,
        ..new_head()
    };
    assert_read_as("head-older", &earlier);
}

#[test]
fn run_claims() {
    assert_stored(
        "hold",
        &RunClaim {
            node: "node-2".into(),
            lease: 31,
        },
    );
}

#[test]
fn step_pages() {
    let page = StepPage {
        states: "dfws.?d".into(),
        attempts: BTreeMap::from([(1, 3), (4, 1)]),
    };
    assert_stored("step-page", &page);
    let states: Vec<_> = read::<StepPage>("step-page").decode(0).collect();
    let want = [
        (StepNo(0), StepState::Done, 0),
        (StepNo(1), StepState::Failed, 3),
        (StepNo(2), StepState::Cancelled, 0),
        (StepNo(3), StepState::Skipped, 0),
        (StepNo(4), StepState::Open, 1),
        (StepNo(5), StepState::Open, 0),
        (StepNo(6), StepState::Done, 0),
    ];
    assert_eq!(states, want);
    assert_stored(
        "step-page-no-tries",
        &StepPage {
            states: "d.".into(),
            attempts: BTreeMap::new(),
        },
    );
}

#[test]
fn plan_pages() {
    let pages = plan().pages(4096).expect("fits");
    let [page] = &pages[..] else {
        panic!("one page: {pages:?}")
    };
    assert_stored("plan-page", page);
    assert_stored("plan-page-empty", &PlanPage::default());
}

/// Clients submit plans as JSON, and the digest identifies a repeated submission.
#[test]
fn plans_as_json() {
    let old = text("plan.json");
    let read: Plan = serde_json::from_str(&old).expect("a plan");
    assert_eq!(read, plan());
    assert_eq!(serde_json::to_string(&read).expect("JSON") + "\n", old);
    assert_eq!(format!("{:016x}\n", read.digest()), text("plan-digest.txt"));
}
