//! Runs the scheduler and executes its actions: scale-out, scale-in, reloads of records, and commands pushed to agents.

use crate::agents::pushed_commands::CommandPusher;
use crate::node::{Leadership, Node};
use crate::store::keys::job_key;
use hopyoke_event_loop as runtime;
use hopyoke_protocol::cloud::ScaleOutRequest;
use hopyoke_scheduler::{Action, JobRecord};
use hopyoke_types::{JobId, MachineId, Micros};
use std::rc::Rc;
use tracing::warn;

/// How often the validity of the leader lease is checked: the scheduler does not run without a valid lease.
const LEASE_CHECK_INTERVAL: Micros = Micros::from_millis(250);
/// Delay before a deletion that the cloud did not confirm may be retried.
const DELETE_RETRY_INTERVAL: Micros = Micros::from_secs(2);
/// Delay before a failed reload of a record may be retried.
const RELOAD_RETRY_INTERVAL: Micros = Micros::from_millis(300);

/// Runs the scheduler when it is due or notified, and spawns a task for each of its actions.
pub(super) async fn run(node: Rc<Node>, leadership: Rc<Leadership>) {
    let command_pusher = Rc::new(CommandPusher::new(
        node.settings.platform.limits.max_connections,
    ));
    loop {
        let mut next_tick_at = runtime::now() + LEASE_CHECK_INTERVAL;
        if leadership.lease_is_valid() {
            next_tick_at = tick(&node, &leadership, &command_pusher);
        }
        leadership.wakeup.wait_until(next_tick_at).await;
    }
}

/// Runs the scheduler once and returns when it is due next.
fn tick(
    node: &Rc<Node>,
    leadership: &Rc<Leadership>,
    command_pusher: &Rc<CommandPusher>,
) -> Micros {
    let mut scheduler = leadership.scheduler.borrow_mut();
    scheduler.set_wall_clock(runtime::now(), runtime::unix_time());
    let next_tick_at = leadership.track_placement_cost(node, &mut scheduler, |scheduler| {
        scheduler.tick(runtime::now());
        scheduler.next_due(runtime::now())
    });
    let mut actions = Vec::new();
    while let Some(action) = scheduler.next_action() {
        actions.push(action);
    }
    let has_writes = scheduler.has_writes();
    drop(scheduler);
    for action in actions {
        let executor = ActionExecutor {
            node: node.clone(),
            leadership: leadership.clone(),
            command_pusher: command_pusher.clone(),
        };
        runtime::spawn_until(leadership.cancel.clone(), executor.execute(action));
    }
    if has_writes {
        leadership.write_wakeup.notify();
    }
    next_tick_at
}

/// Executes one action and reports its outcome to the scheduler.
struct ActionExecutor {
    node: Rc<Node>,
    leadership: Rc<Leadership>,
    command_pusher: Rc<CommandPusher>,
}

impl ActionExecutor {
    async fn execute(self, action: Action) {
        match action {
            Action::ScaleOut {
                request,
                machine_type,
                zone,
                spot,
                count,
            } => {
                self.scale_out(ScaleOutRequest {
                    request: &request,
                    machine_type: &machine_type,
                    zone: &zone,
                    spot,
                    count,
                })
                .await;
            }
            Action::Delete { machines } => self.delete(machines).await,
            Action::ReloadRecord { job } => self.reload_record(job).await,
            Action::PushCommands {
                machine,
                address,
                token,
                epoch,
                commands,
            } => {
                self.command_pusher
                    .push(&self.leadership, token, machine, address, epoch, commands)
                    .await;
            }
        }
        self.leadership.wakeup.notify();
        self.leadership.write_wakeup.notify();
    }

    async fn scale_out(&self, request: ScaleOutRequest<'_>) {
        let outcome = self.node.cloud.scale_out(&request).await;
        self.leadership.scheduler.borrow_mut().scale_out_ended(
            request.request,
            outcome,
            runtime::now(),
        );
    }

    async fn delete(&self, machines: Vec<MachineId>) {
        let scheduler = &self.leadership.scheduler;
        if self.node.cloud.delete(machines.clone()).await {
            scheduler
                .borrow_mut()
                .deletion_confirmed(&machines, runtime::now());
        } else {
            runtime::sleep(DELETE_RETRY_INTERVAL).await;
            scheduler.borrow_mut().deletion_failed(&machines);
        }
    }

    async fn reload_record(&self, job: JobId) {
        let scheduler = &self.leadership.scheduler;
        let read = self
            .node
            .store
            .records()
            .get::<JobRecord>(&job_key(&job))
            .await;
        let Ok(found) = read else {
            runtime::sleep(RELOAD_RETRY_INTERVAL).await;
            scheduler.borrow_mut().record_reload_failed(job);
            return;
        };
        let reloaded = match found {
            Some((value, mod_revision)) => match value.decoded() {
                Some(record) => Some((record, mod_revision)),
                None => {
                    warn!(job = %job, "cannot decode job record");
                    return;
                }
            },
            None => None,
        };
        scheduler
            .borrow_mut()
            .record_reloaded(job, reloaded, runtime::now());
    }
}
