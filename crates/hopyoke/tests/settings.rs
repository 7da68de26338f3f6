//! The operators' settings and the scheduler's tuning agree.

use hopyoke::operations::settings::scheduler_tuning;
use hopyoke_policy::{Figures, Policy};
use hopyoke_scheduler::Tuning;

/// The scheduler's defaults are those of the policy language's built-in file.
#[test]
fn defaults_agree() {
    let values = Policy::defaults().evaluate(&Figures::default());
    assert_eq!(scheduler_tuning(&values), Tuning::default());
}
