//! Tests of commands that are pushed to an agent outside its heartbeats.

mod common;

use common::config;
use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::user::JobSpec;
use hopyoke_protocol::worker::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use hopyoke_scheduler::{Action, Batch, HeartbeatReply, JobRecord, RegistryPage, Scheduler, Write};
use hopyoke_types::{Attempt, FencingToken, JobId, MachineId, Micros, ModRevision};
use std::collections::BTreeMap;

fn machine_type() -> MachineType {
    MachineType {
        name: "std".into(),
        cpus: 16.0,
        gpus: 2.0,
        memory_gb: 64.0,
        cache_gb: 70.0,
        fetch_gb_per_s: 2.0,
        price: 7.0,
        spot_price: 2.5,
        boot_s: 10.0,
        zones: vec!["a".into()],
    }
}

fn spec() -> JobSpec {
    JobSpec {
        cpus: 6.0,
        gpus: 1.0,
        memory_gb: 20.0,
        image_gb: 2.0,
        ..JobSpec::with_defaults(JobId::new("req-1"), "any", "crew", "img-1")
    }
}

/// Token of the leader under test.
const GRANTED: FencingToken = FencingToken(5);

/// A leader with one machine and one job of one task, whose first start needs no write.
struct Leader {
    scheduler: Scheduler,
    now: Micros,
    /// Sequence number of the agent's latest status.
    sequence: u64,
    /// Highest token that the agent has received.
    agent_token: FencingToken,
}

impl Leader {
    /// Elects a leader whose machine has not answered it yet.
    fn elect() -> Leader {
        let now = Micros::from_secs(100);
        let page = RegistryPage {
            machine_type: "std".into(),
            zone: "a".into(),
            spot: false,
            machines: BTreeMap::from([(machine(), "10.1.0.1:9000".into())]),
        };
        // The record has a start attempt, so that no write must precede the start.
        let record = JobRecord {
            start_attempt: Attempt(1),
            ..JobRecord::accepted(spec(), 0)
        };
        let mut scheduler = Scheduler::new(
            config(),
            GRANTED,
            vec![(job(), record, ModRevision(3))],
            vec![("p".into(), ModRevision(2), Some(page))],
            now,
        );
        scheduler.set_catalog(vec![machine_type()]);
        Leader {
            scheduler,
            now,
            sequence: 2,
            agent_token: GRANTED,
        }
    }

    /// Elects a leader that pushes the start of the task, and returns the pushed attempt.
    fn with_pushed_start() -> (Leader, Attempt) {
        let mut leader = Leader::elect();
        let status = leader.status(Vec::new());
        leader
            .scheduler
            .push_answered(&machine(), true, Some(&status), leader.now);
        leader.wait(1);
        let attempt = leader
            .pushes()
            .iter()
            .flat_map(|(_, commands)| commands)
            .find_map(start_of)
            .expect("a pushed start");
        (leader, attempt)
    }

    /// Lets seconds pass and runs the scheduler.
    fn wait(&mut self, seconds: u64) {
        self.now += Micros::from_secs(seconds);
        self.scheduler.tick(self.now);
    }

    /// Returns the agent's next status.
    fn status(&mut self, tasks: Vec<TaskStatus>) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: machine(),
            address: "10.1.0.1:9000".into(),
            machine_type: "std".into(),
            zone: "a".into(),
            spot: false,
            epoch: 1,
            sequence: self.sequence,
            token: self.agent_token,
            preemption_notice_s: None,
            tasks,
        }
    }

    /// Answers the push in flight with a status that lists these tasks.
    fn answer_push(&mut self, tasks: Vec<TaskStatus>) {
        let status = self.status(tasks);
        self.scheduler
            .push_answered(&machine(), true, Some(&status), self.now);
    }

    /// Lets the pushed start be answered, and the job be cancelled, so that the stop of its task is pushed.
    fn cancel_running(&mut self, attempt: Attempt) {
        self.answer_push(vec![running(attempt)]);
        self.scheduler.job_removed(&job(), self.now);
        self.wait(1);
    }

    /// Sends a heartbeat that lists these tasks. The agent receives the response.
    fn heartbeat(&mut self, tasks: Vec<TaskStatus>) -> HeartbeatReply {
        let heartbeat = self.status(tasks);
        let reply = self.scheduler.heartbeat(&heartbeat, self.now);
        self.agent_token = self.agent_token.max(reply.token);
        reply
    }

    /// Requires that an ended attempt is not acknowledged at first, and is once a write has given a higher token.
    fn assert_acknowledged_only_under_a_higher_token(
        &mut self,
        attempt: Attempt,
        exit_reason: ExitReason,
    ) {
        let reply = self.heartbeat(vec![ended(attempt, exit_reason)]);
        assert!(
            !acknowledges(&reply.commands, attempt),
            "{exit_reason:?}: acknowledged under the token of its push"
        );
        self.apply_write(9);
        let reply = self.heartbeat(vec![ended(attempt, exit_reason)]);
        assert!(acknowledges(&reply.commands, attempt), "{exit_reason:?}");
        assert_eq!(reply.token, FencingToken(9), "{exit_reason:?}");
    }

    /// Removes and returns the pushes that the leader has decided on, with their tokens.
    fn pushes(&mut self) -> Vec<(FencingToken, Vec<Command>)> {
        let actions = std::iter::from_fn(|| self.scheduler.next_action());
        let pushes = actions.filter_map(|action| match action {
            Action::PushCommands {
                token, commands, ..
            } => Some((token, commands)),
            _ => None,
        });
        pushes.collect()
    }

    /// Records that a write of this term was applied at a revision.
    fn apply_write(&mut self, revision: u64) {
        let batch = Batch {
            writes: vec![Write::Term { token: GRANTED }],
        };
        self.scheduler
            .batch_completed(batch, Ok(ModRevision(revision)), self.now);
    }
}

fn machine() -> MachineId {
    MachineId::new("m-1")
}

fn job() -> JobId {
    JobId::new("req-1")
}

fn start_of(command: &Command) -> Option<Attempt> {
    match command {
        Command::Start { attempt, .. } => Some(*attempt),
        _ => None,
    }
}

fn running(attempt: Attempt) -> TaskStatus {
    TaskStatus {
        task: "req-1/0".into(),
        attempt,
        state: TaskState::Running,
        exit_reason: None,
        checkpoint_saved: false,
    }
}

fn ended(attempt: Attempt, exit_reason: ExitReason) -> TaskStatus {
    TaskStatus {
        state: TaskState::Ended,
        exit_reason: Some(exit_reason),
        ..running(attempt)
    }
}

fn acknowledges(commands: &[Command], attempt: Attempt) -> bool {
    commands
        .iter()
        .any(|c| matches!(c, Command::Acknowledge { attempt: a, .. } if *a == attempt))
}

/// Tests that a task stays charged to its machine and team if its start was executed but the status in the
/// response can't be decoded: it may run until a heartbeat shows otherwise. Guards the invariants `quota` and
/// `ran_twice`.
#[test]
fn executed_start_without_readable_status_is_kept() {
    let (mut leader, _) = Leader::with_pushed_start();
    let now = leader.now;
    leader.scheduler.push_answered(&machine(), true, None, now);
    leader
        .scheduler
        .job_removed(&job(), now + Micros::from_secs(1));
    assert!(
        leader.scheduler.machines[&machine()].has_live_attempts(),
        "the allocation was removed although the task may run"
    );
}

/// Guards against an agent that forgets an attempt while a repetition of its pushed start would still be executed,
/// whichever way the attempt ended. The agent refuses the repetition once it has seen a higher token.
#[test]
fn pushed_attempt_is_acknowledged_only_under_a_higher_token() {
    for exit_reason in [
        ExitReason::Stopped,
        ExitReason::Error,
        ExitReason::InsufficientResources,
        ExitReason::Busy,
        ExitReason::UnknownTask,
        ExitReason::Incomplete,
        ExitReason::GangPeersLost,
    ] {
        let (mut leader, attempt) = Leader::with_pushed_start();
        leader.answer_push(vec![ended(attempt, exit_reason)]);
        leader.assert_acknowledged_only_under_a_higher_token(attempt, exit_reason);
    }
}

/// Guards against a cancelled job's attempt that is acknowledged under the token of its pushed start, so that a
/// repetition starts it past the cancellation bound.
#[test]
fn attempt_of_a_cancelled_job_is_acknowledged_only_under_a_higher_token() {
    let (mut leader, attempt) = Leader::with_pushed_start();
    leader.cancel_running(attempt);
    leader.answer_push(vec![ended(attempt, ExitReason::Stopped)]);
    leader.assert_acknowledged_only_under_a_higher_token(attempt, ExitReason::Stopped);
}

/// Guards against a start whose outcome is unknown, and which is pushed again together with its stop: both pushes may
/// be repeated after the attempt was acknowledged.
#[test]
fn start_pushed_again_with_its_stop_is_acknowledged_only_under_a_higher_token() {
    let (mut leader, attempt) = Leader::with_pushed_start();
    leader.scheduler.push_failed(&machine(), true, leader.now);
    leader.scheduler.job_removed(&job(), leader.now);
    leader.wait(1);
    leader.wait(6);
    let pushes = leader.pushes();
    let repeats_start = |(_, commands): &(FencingToken, Vec<Command>)| {
        commands.iter().any(|c| start_of(c) == Some(attempt))
    };
    assert!(pushes.iter().any(repeats_start), "{pushes:?}");
    leader.answer_push(vec![ended(attempt, ExitReason::Stopped)]);
    leader.assert_acknowledged_only_under_a_higher_token(attempt, ExitReason::Stopped);
}

/// Guards against a token that is raised while a push with a lower one is in flight: the agent would refuse that push.
#[test]
fn token_is_not_raised_past_a_push_in_flight() {
    let (mut leader, attempt) = Leader::with_pushed_start();
    leader.cancel_running(attempt);
    assert_eq!(leader.pushes().len(), 1, "the stop");
    leader.heartbeat(vec![ended(attempt, ExitReason::Stopped)]);
    leader.apply_write(9);
    let reply = leader.heartbeat(vec![ended(attempt, ExitReason::Stopped)]);
    assert_eq!((reply.token, reply.commands.len()), (GRANTED, 0));
    leader.answer_push(vec![ended(attempt, ExitReason::Stopped)]);
    let reply = leader.heartbeat(vec![ended(attempt, ExitReason::Stopped)]);
    assert_eq!(reply.token, FencingToken(9));
}

/// Guards against pushes that an agent refuses because a response has raised its token before.
#[test]
fn pushes_carry_the_raised_token() {
    let (mut leader, attempt) = Leader::with_pushed_start();
    leader.answer_push(vec![ended(attempt, ExitReason::Stopped)]);
    leader.heartbeat(vec![ended(attempt, ExitReason::Stopped)]);
    leader.pushes();
    leader.apply_write(9);
    let reply = leader.heartbeat(vec![ended(attempt, ExitReason::Stopped)]);
    assert_eq!(reply.token, FencingToken(9));
    leader.heartbeat(Vec::new());
    leader.wait(1);
    let pushes = leader.pushes();
    assert!(!pushes.is_empty(), "no second start was pushed");
    assert!(
        pushes.iter().all(|(token, _)| *token == FencingToken(9)),
        "{pushes:?}"
    );
}

/// Guards against acknowledgements that wait for a write without need: a former leader's pushes have a lower token.
#[test]
fn attempt_of_a_former_leader_is_acknowledged_at_once() {
    let mut leader = Leader::elect();
    leader.agent_token = FencingToken(4);
    let former = Attempt(1);
    let reply = leader.heartbeat(vec![ended(former, ExitReason::Stopped)]);
    assert!(acknowledges(&reply.commands, former));
    assert_eq!(reply.token, GRANTED);
}

/// Guards against acknowledgements that wait for a write without need: a start in a response can't be repeated.
#[test]
fn attempt_started_by_a_response_is_acknowledged_at_once() {
    let mut leader = Leader::elect();
    leader.heartbeat(Vec::new());
    leader.now += Micros::from_secs(1);
    let reply = leader.heartbeat(Vec::new());
    let attempt = reply.commands.iter().find_map(start_of);
    let attempt = attempt.expect("a start in the response");
    let reply = leader.heartbeat(vec![ended(attempt, ExitReason::Stopped)]);
    assert!(acknowledges(&reply.commands, attempt));
    assert_eq!(reply.token, GRANTED);
}

/// Guards against ended attempts that stay in heartbeats for good while nothing else is written.
#[test]
fn missing_token_is_written_for() {
    let (mut leader, attempt) = Leader::with_pushed_start();
    leader.cancel_running(attempt);
    leader.answer_push(vec![ended(attempt, ExitReason::Stopped)]);
    leader.heartbeat(vec![ended(attempt, ExitReason::Stopped)]);
    assert!(leader.scheduler.next_batch(leader.now).is_none());
    leader.wait(1);
    let batch = leader.scheduler.next_batch(leader.now).expect("a write");
    assert!(matches!(batch.writes[..], [Write::Term { token: GRANTED }]));
    leader
        .scheduler
        .batch_completed(batch, Ok(ModRevision(9)), leader.now);
    leader.wait(1);
    assert!(
        leader.scheduler.next_batch(leader.now).is_none(),
        "written twice"
    );
}

/// Guards against a leader that takes its own raised token for that of a later leader, or a later leader's for its own.
#[test]
fn only_a_later_leaders_token_supersedes() {
    let (mut leader, attempt) = Leader::with_pushed_start();
    leader.answer_push(vec![ended(attempt, ExitReason::Stopped)]);
    leader.heartbeat(vec![ended(attempt, ExitReason::Stopped)]);
    assert!(leader.scheduler.is_superseded_by(FencingToken(9)));
    leader.apply_write(9);
    assert!(!leader.scheduler.is_superseded_by(FencingToken(9)));
    assert!(leader.scheduler.is_superseded_by(FencingToken(10)));
}

/// Guards against a task that starts elsewhere while its former machine, which has restarted and lost it within the epoch,
/// would start it again on a repetition of its push. The machine may have kept its highest token or not.
#[test]
fn lost_attempt_is_replaced_only_once_its_agent_refuses_its_start() {
    for token_after_restart in [GRANTED, FencingToken(0)] {
        let (mut leader, attempt) = Leader::with_pushed_start();
        leader.answer_push(vec![running(attempt)]);
        leader.agent_token = token_after_restart;
        leader.heartbeat(Vec::new());
        leader.wait(1);
        leader.heartbeat(Vec::new());
        leader.wait(1);
        let is_placed = |leader: &Leader| leader.scheduler.machines[&machine()].has_live_attempts();
        assert!(is_placed(&leader), "given up under the token of its push");
        let starts = |pushes: Vec<(FencingToken, Vec<Command>)>| {
            let commands = pushes.into_iter().flat_map(|(_, commands)| commands);
            commands.filter_map(|c| start_of(&c)).count()
        };
        assert_eq!(starts(leader.pushes()), 0);
        leader.apply_write(9);
        let reply = leader.heartbeat(Vec::new());
        assert_eq!(reply.token, FencingToken(9));
        let reply = leader.heartbeat(Vec::new());
        leader.wait(1);
        let in_response = reply.commands.iter().filter_map(start_of).count();
        assert_eq!(starts(leader.pushes()) + in_response, 1, "a new attempt");
    }
}
