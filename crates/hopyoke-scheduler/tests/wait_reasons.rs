//! Tests that wait reasons keep their texts on the status page.

use hopyoke_scheduler::WaitReason;

#[test]
fn wait_reasons_have_stable_texts() {
    let texts = [
        (WaitReason::FirstPlacement, "its first placement"),
        (WaitReason::EndRecord, "its end to be recorded"),
        (WaitReason::StaffedHours, "staffed hours"),
        (WaitReason::Backoff, "its backoff"),
        (WaitReason::Reconciliation, "recovery"),
        (WaitReason::TeamLimit, "its team's limit"),
        (WaitReason::Machines, "machines"),
        (WaitReason::Provisioning, "machines to boot"),
        (WaitReason::PreviousAttempt, "its old attempt to end"),
        (WaitReason::SingleTaskTrial, "a trial of one task"),
        (WaitReason::EndingTasks, "running tasks that end soon"),
    ];
    for (reason, text) in texts {
        assert_eq!(reason.to_string(), text);
    }
}
