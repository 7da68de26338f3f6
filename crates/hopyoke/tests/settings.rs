//! Agreement of the policy language's defaults with the scheduler's tuning.

use hopyoke::operations::settings::scheduler_tuning;
use hopyoke_policy::{Metrics, Policy};
use hopyoke_scheduler::Tuning;

/// The scheduler's default tuning equals the values of the built-in policy file.
#[test]
fn defaults_agree() {
    let values = Policy::defaults().evaluate(&Metrics::default());
    assert_eq!(scheduler_tuning(&values), Tuning::default());
}
