//! Tests of the ids of runs, steps and their jobs.

use hopyoke_types::JobId;
use hopyoke_workflow::{RunId, StepNo, is_step_job_id, job_id, parse_job_id};

/// The exclusive upper bound of run numbers.
const RUN_COUNT: u64 = 1_000_000_000_000;

#[test]
fn ids_are_read_as_written() {
    let run = RunId::new(41_000_000_007).expect("in range");
    let job = job_id(run, StepNo(99_999), 99);
    assert_eq!(job.as_str(), "req-90410000000079999999");
    assert_eq!(parse_job_id(&job), Some((run, StepNo(99_999), 99)));
    assert!(JobId::parse(job.as_str()).is_some());
    assert!(!is_step_job_id(&JobId::new("req-9")));
    assert!(!is_step_job_id(&JobId::new("req-18446744073709551615")));
    assert_eq!(RunId::new(RUN_COUNT), None);
}
