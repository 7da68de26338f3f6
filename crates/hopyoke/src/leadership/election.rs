//! Leadership: one node leads, named by a key on its lease in the state service. It leases all
//! blocks to itself, takes over the records, and runs the core.

use crate::agents::pushed_commands::CommandPusher;
use crate::node::{Leadership, Node};
use crate::operations::settings;
use crate::operations::staffed_hours;
use crate::store::client::{
    FLEET, JOBS, LEADER, LEARNED, StateError, TransactionOutcome, block_key, end_key, fleet_key,
    job_key, learned_key,
};
use crate::store::read_index::Replica;
use crate::store::watch::{self, WATCH, job_id_of, job_of};
use hopyoke_consistency::DeliveryCursors;
use hopyoke_consistency::leader_lease::LeaderLease;
use hopyoke_event_loop::{self as runtime, CancellationToken, Notify};
use hopyoke_heartbeat::HeartbeatMonitor;
use hopyoke_policy::Figures;
use hopyoke_protocol::cloud::ScaleOutRequest;
use hopyoke_protocol::state::{Compare, Mutation};
use hopyoke_scheduler::{Action, Batch, BatchError, JobRecord, RegistryPage, Scheduler, Write};
use hopyoke_types::Micros;
use hopyoke_types::{FencingToken, ModRevision};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tracing::{debug, info, warn};

/// The value of `leader` and of every `block/ZONE`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseHolder {
    node: String,
}

fn jitter(most: Micros) -> Micros {
    Micros(rand::random_range(0..=most.0))
}

/// Follows the leader key, and leads when nobody does.
pub async fn run(node: Rc<Node>) {
    let me = LeaseHolder {
        node: node.settings.node.clone(),
    };
    // A node that found itself cut off from the workers lets others lead first.
    let mut campaign_not_before = Micros::ZERO;
    let mut fresh_start = true;
    loop {
        let asked = runtime::now();
        let (found, mod_revision) = match node.state.critical().get::<LeaseHolder>(LEADER).await {
            Ok(Some((value, mod_revision))) => (value.readable(), mod_revision),
            Ok(None) => {
                // Nobody leads, so nobody's records need anything.
                node.admission.write_demand_received(0.0, asked);
                (None, ModRevision(0))
            }
            Err(e) => {
                debug!(error = %e, "leader unknown");
                runtime::sleep(Micros::from_millis(300) + jitter(Micros::from_millis(300))).await;
                continue;
            }
        };
        *node.leader.borrow_mut() = found.as_ref().map(|h| h.node.clone());
        // Our former process is dead: nothing of it can command any more but what carries its
        // token, so its lease need not run out.
        let own_former = found.as_ref() == Some(&me);
        let now = runtime::now();
        if (mod_revision == ModRevision(0) || own_former) && now >= campaign_not_before {
            if !own_former && !fresh_start {
                runtime::sleep(jitter(Micros::from_millis(150))).await;
            }
            // No wait between this look and the try: from here on nothing is promised.
            let kept = node.lease_support.kept_until(own_former);
            if runtime::now() < kept {
                runtime::sleep_until(kept).await;
                continue;
            }
            fresh_start = false;
            node.lease_support.leads.set(true);
            let acquired = acquire(&node, &me, mod_revision).await;
            if let Acquired::Unsure(lease) = acquired {
                // The try may yet be executed, late: until its lease is gone for certain, nothing
                // can be promised.
                while node.state.critical().release(lease).await.is_err() {
                    runtime::sleep(Micros::from_millis(500)).await;
                }
            }
            if let Acquired::Lead(lease, token, until) = acquired {
                let isolated = lead(&node, (lease, token, until)).await;
                if isolated {
                    campaign_not_before = runtime::now() + Micros::from_secs(12);
                }
            }
            node.lease_support.leads.set(false);
            continue;
        }
        fresh_start = false;
        // Wait until the key changes.
        let wait = if mod_revision == ModRevision(0) {
            Micros::from_secs(1)
        } else {
            Micros::from_secs(10)
        };
        match node
            .state
            .critical()
            .watch::<LeaseHolder>(LEADER, mod_revision.0.max(1), wait)
            .await
        {
            Ok(_) => {}
            Err(_) => {
                runtime::sleep(Micros::from_millis(200) + jitter(Micros::from_millis(300))).await
            }
        }
    }
}

/// A new leader takes no new connections for so long while it reads the records.
const FAILOVER: Micros = Micros::from_secs(6);

/// How a try to lead ended.
enum Acquired {
    Lead(u64, FencingToken, Micros),
    No,
    /// No answer: it may be executed late, while this lease lives.
    Unsure(u64),
}

/// Tries to become the leader and to lease all blocks; the revision of that write is the token.
async fn acquire(node: &Rc<Node>, me: &LeaseHolder, mod_revision: ModRevision) -> Acquired {
    let ttl = node.settings.leader_ttl();
    let sent = runtime::now();
    let lease = match node.state.critical().grant(ttl).await {
        Ok(l) => l,
        Err(e) => {
            debug!(error = %e, "no lease");
            runtime::sleep(Micros::from_millis(300)).await;
            return Acquired::No;
        }
    };
    let mut mutations = vec![Mutation::Put {
        key: LEADER.to_owned(),
        value: me.clone(),
        lease: Some(lease),
    }];
    for zone in &node.config.zones {
        mutations.push(Mutation::Put {
            key: block_key(zone),
            value: me.clone(),
            lease: Some(lease),
        });
    }
    let until = sent + ttl.less_drift();
    let outcome = loop {
        let compares = vec![Compare {
            key: LEADER.to_owned(),
            mod_revision,
        }];
        match node.state.critical().txn(compares, mutations.clone()).await {
            // Certainly not executed: the same lease serves the next try, while enough of it is left.
            Err(e) if e.is_refusal() && runtime::now() < until - Micros(ttl.0 / 2) => {
                debug!(error = %e, "leadership not decided");
                runtime::sleep(Micros::from_millis(100) + jitter(Micros::from_millis(150))).await;
            }
            outcome => break outcome,
        }
    };
    match outcome {
        Ok(TransactionOutcome::Applied(m)) => {
            info!(token = m.0, blocks = ?node.config.zones, "leading: all blocks granted to this node");
            Acquired::Lead(lease, FencingToken(m.0), until)
        }
        Err(e) if e.is_refusal() => {
            let _ = node.state.critical().release(lease).await;
            Acquired::No
        }
        Ok(TransactionOutcome::Failed(_)) => {
            let _ = node.state.critical().release(lease).await;
            Acquired::No
        }
        Err(e) => {
            debug!(error = %e, "leadership not decided");
            Acquired::Unsure(lease)
        }
    }
}

/// Leads until the lease is lost; true if it was given up for lack of reports.
async fn lead(node: &Rc<Node>, (lease, token, until): (u64, FencingToken, Micros)) -> bool {
    *node.leader.borrow_mut() = Some(node.settings.node.clone());
    // From the grant, not from the reading of the records: old holders had stopped by then.
    let granted_at = runtime::now();
    let cancel = CancellationToken::new();
    let ttl = node.settings.leader_ttl();
    let leader_lease = Rc::new(RefCell::new(LeaderLease::new(
        until,
        ttl,
        WATCH,
        node.peers.all().len(),
    )));
    let lost = Notify::default();
    runtime::spawn_until(
        cancel.clone(),
        keep_lease_alive(
            node.clone(),
            lease,
            leader_lease.clone(),
            lost.clone(),
            cancel.clone(),
        ),
    );
    // Nobody is served before the records are read, and a whole fleet knocks once a second.
    node.open.pause_accept_until(granted_at + FAILOVER);
    let taken = cancel.run(fail_over(node, token, granted_at)).await;
    node.open.pause_accept_until(Micros::ZERO);
    let Some(Some(mut scheduler)) = taken else {
        cancel.cancel();
        return false;
    };
    let now = runtime::now();
    info!(
        token = token.0,
        jobs = scheduler.jobs.len(),
        machines = scheduler.machines.len(),
        "records read"
    );
    // What users were told here while the records were read may be missing in them.
    for id in node
        .lease_support
        .confirmed
        .borrow()
        .after(scheduler.applied())
    {
        scheduler.job_dropped(&id, now);
    }
    // A process that has just begun may not have learned a revision yet; this one does as well.
    node.lease_support
        .confirmed
        .borrow_mut()
        .began_before(scheduler.applied());
    // All that was cancelled before the records were read is missing in them.
    leader_lease.borrow_mut().heard(granted_at);
    let leadership = Rc::new(Leadership {
        scheduler: RefCell::new(scheduler),
        leader_lease,
        heartbeat_monitor: RefCell::new(HeartbeatMonitor::new(
            node.config.heartbeat_interval,
            node.settings.facts.nodes,
            now,
        )),
        wakeup: Notify::default(),
        write_wakeup: Notify::default(),
        cancel: cancel.clone(),
        replica: Replica::default(),
        delivered: RefCell::new(DeliveryCursors::new(node.peers.all().len())),
        plan_cost: Cell::new(Micros::ZERO),
        plans_from: Cell::new(now),
        plans_may: node.settings.facts.limits.cpu_share,
    });
    *node.leadership.borrow_mut() = Some(leadership.clone());
    runtime::spawn_until(
        cancel.clone(),
        watch::watch(node.clone(), leadership.clone()),
    );
    runtime::spawn_until(cancel.clone(), watch::ask(node.clone(), leadership.clone()));
    runtime::spawn_until(
        cancel.clone(),
        write_records(node.clone(), leadership.clone()),
    );
    runtime::spawn_until(
        cancel.clone(),
        list_machines(node.clone(), leadership.clone()),
    );
    runtime::spawn_until(
        cancel.clone(),
        staffed_hours::follow(node.clone(), leadership.clone()),
    );
    runtime::spawn_until(cancel.clone(), act(node.clone(), leadership.clone()));
    runtime::spawn_until(
        cancel.clone(),
        read_learned(node.clone(), leadership.clone()),
    );
    if node.policy.is_live() {
        runtime::spawn_until(
            cancel.clone(),
            follow_figures(node.clone(), leadership.clone()),
        );
    }
    // Until the lease is lost, or no worker reaches us.
    let isolated = loop {
        if cancel.is_cancelled() {
            break false;
        }
        lost.wait_until(runtime::now() + Micros::from_millis(200))
            .await;
        if is_isolated(&leadership) {
            break true;
        }
    };
    *node.leadership.borrow_mut() = None;
    cancel.cancel();
    if isolated {
        info!(
            token = token.0,
            "giving up leadership: no worker reaches this node"
        );
        let _ = node.state.critical().release(lease).await;
        *node.leader.borrow_mut() = None;
    } else {
        info!(token = token.0, "leadership lost");
    }
    isolated
}

/// Machines are up but none reports: this node is cut off from the workers, another may not be.
fn is_isolated(leadership: &Leadership) -> bool {
    let scheduler = leadership.scheduler.borrow();
    let expected = scheduler
        .machines
        .values()
        .filter(|m| m.is_registered && !m.deleting)
        .count();
    leadership.heartbeat_monitor.borrow_mut().is_cut_off(
        expected,
        leadership.lease_is_valid(),
        runtime::now(),
    )
}

/// The least wait for the answer to a renewal. One that is lost is soon repeated; where the service is slow, up to half of
/// the lease is waited: each renewal that is carried out and not waited for would prolong the lease of a leader that
/// may do nothing, and nobody else could lead. (Test a_slow_state_service_keeps_its_leader.)
const RENEWAL: Micros = Micros::from_secs(1);

async fn keep_lease_alive(
    node: Rc<Node>,
    lease: u64,
    leader_lease: Rc<RefCell<LeaderLease>>,
    lost: Notify,
    cancel: CancellationToken,
) {
    let ttl = node.settings.leader_ttl();
    let longest = Micros(ttl.0 / 2).max(RENEWAL);
    let mut patience = RENEWAL;
    loop {
        let sent = runtime::now();
        match node.state.critical().renew(lease, patience).await {
            Ok(()) => {
                patience = (runtime::now() - sent).times(2).clamp(RENEWAL, longest);
                leader_lease.borrow_mut().renewed(sent);
                lost.notify();
                runtime::sleep(Micros(ttl.0 / 4)).await;
            }
            Err(StateError::Gone) => {
                cancel.cancel();
                lost.notify();
                return;
            }
            // Our lease may outlive an outage: try on until the service says that it is gone.
            Err(e) => {
                debug!(error = %e, "lease not renewed");
                if e == StateError::Unknown {
                    patience = patience.times(2).min(longest);
                }
                runtime::sleep(Micros::from_millis(250)).await;
            }
        }
    }
}

async fn fail_over(node: &Rc<Node>, token: FencingToken, granted_at: Micros) -> Option<Scheduler> {
    let (pages, _) = retry(|| node.state.critical().list::<RegistryPage>(FLEET)).await?;
    let (jobs, revision) = retry(|| node.state.critical().list::<JobRecord>(JOBS)).await?;
    let register = pages
        .into_iter()
        .filter_map(|p| {
            let key = p.key.strip_prefix(FLEET)?.to_owned();
            let page = p.value.readable();
            if page.is_none() {
                warn!(page = %key, "unreadable page of the register");
            }
            Some((key, p.mod_revision, page))
        })
        .collect();
    let jobs = jobs.into_iter().filter_map(job_of).collect();
    let mut scheduler = Scheduler::new(node.config.clone(), token, jobs, register, granted_at);
    scheduler.caught_up(ModRevision(revision), granted_at);
    scheduler.set_tuning(settings::tuning_of(
        &node.policy.evaluate(&Figures::default()),
    ));
    scheduler.set_time_of_day(runtime::now(), runtime::time_of_day());
    scheduler.set_hours(staffed_hours::initial(node));
    scheduler.set_catalog(node.catalog.borrow().clone());
    Some(scheduler)
}

async fn retry<T, F, G>(mut f: F) -> Option<T>
where
    F: FnMut() -> G,
    G: Future<Output = Result<T, StateError>>,
{
    for _ in 0..60 {
        match f().await {
            Ok(t) => return Some(t),
            Err(e) => debug!(error = %e, "taking over"),
        }
        runtime::sleep(Micros::from_millis(250)).await;
    }
    None
}

/// Writes what the core wants recorded, one batch at a time.
async fn write_records(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        let batch = {
            let mut scheduler = leadership.scheduler.borrow_mut();
            scheduler.set_pressed(node.admission.is_overloaded());
            if leadership.lease_is_valid() {
                scheduler.next_batch(runtime::now())
            } else {
                None
            }
        };
        let Some(batch) = batch else {
            let more = leadership.scheduler.borrow().has_writes();
            if leadership.scheduler.borrow().short_of_writes() {
                node.admission.writes_deferred();
            }
            let pause = if more {
                Micros::from_millis(50)
            } else {
                Micros::from_secs(1)
            };
            leadership
                .write_wakeup
                .wait_until(runtime::now() + pause)
                .await;
            continue;
        };
        let token = leadership.scheduler.borrow().token;
        node.admission.changes_written(batch.changes());
        let result = commit(&node, token, &batch).await;
        if result == Err(BatchError::Deposed) {
            // Only our grant itself can have failed: somebody else leads.
            warn!(token = token.0, "a write found our grant gone");
            leadership.cancel.cancel();
            return;
        }
        if result.is_ok() {
            // Polls of these need not ask for them.
            for w in &batch.writes {
                if let Write::End { job, end, .. } = w {
                    node.terminal_states.add(job, *end);
                }
            }
        }
        leadership
            .scheduler
            .borrow_mut()
            .batch_ended(batch, result, runtime::now());
        leadership.wakeup.notify();
    }
}

#[derive(Serialize)]
#[serde(untagged)]
enum Value<'a> {
    Job(&'a JobRecord),
    End(&'a hopyoke_scheduler::EndRecord),
    Page(&'a RegistryPage),
    Learned(&'a hopyoke_run_times::Page),
}

/// Every write is conditional on our grant, so that late ones of old holders fail.
async fn commit(
    node: &Node,
    token: FencingToken,
    batch: &Batch,
) -> Result<ModRevision, BatchError> {
    let mut compares = vec![Compare {
        key: LEADER.to_owned(),
        mod_revision: ModRevision(token.0),
    }];
    let mut mutations = Vec::new();
    for w in &batch.writes {
        match w {
            Write::Update {
                job,
                mod_revision,
                record,
            } => {
                compares.push(Compare {
                    key: job_key(job),
                    mod_revision: *mod_revision,
                });
                mutations.push(Mutation::Put {
                    key: job_key(job),
                    value: Value::Job(record),
                    lease: None,
                });
            }
            Write::End {
                job,
                mod_revision,
                end,
            } => {
                compares.push(Compare {
                    key: job_key(job),
                    mod_revision: *mod_revision,
                });
                mutations.push(Mutation::Delete { key: job_key(job) });
                mutations.push(Mutation::Put {
                    key: end_key(job),
                    value: Value::End(end),
                    lease: None,
                });
            }
            Write::Page {
                key,
                mod_revision,
                page,
            } => {
                compares.push(Compare {
                    key: fleet_key(key),
                    mod_revision: *mod_revision,
                });
                mutations.push(match page {
                    Some(p) => Mutation::Put {
                        key: fleet_key(key),
                        value: Value::Page(p),
                        lease: None,
                    },
                    None => Mutation::Delete {
                        key: fleet_key(key),
                    },
                });
            }
            Write::Learned { key, page } => {
                mutations.push(Mutation::Put {
                    key: learned_key(*key),
                    value: Value::Learned(page),
                    lease: None,
                });
            }
            Write::DropPage { key } => mutations.push(Mutation::Delete {
                key: fleet_key(key),
            }),
        }
    }
    match node.state.records().txn(compares, mutations).await {
        Ok(TransactionOutcome::Applied(mod_revision)) => Ok(mod_revision),
        Ok(TransactionOutcome::Failed(keys)) => {
            if keys.iter().any(|k| k == LEADER) {
                return Err(BatchError::Deposed);
            }
            let pages = keys
                .iter()
                .filter_map(|k| k.strip_prefix(FLEET))
                .map(str::to_owned)
                .collect();
            Err(BatchError::Conflict {
                jobs: keys.iter().filter_map(|k| job_id_of(k)).collect(),
                pages,
            })
        }
        Err(e) if e.is_refusal() => {
            debug!(error = %e, "records not written");
            Err(BatchError::Refused)
        }
        Err(_) => Err(BatchError::Unknown),
    }
}

/// The list shows failed machines and ones that nobody knows of.
async fn list_machines(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        if let Some(list) = node.cloud.list().await {
            leadership
                .scheduler
                .borrow_mut()
                .listed(&list, runtime::now());
            leadership.wakeup.notify();
        }
        let pause = node.config.list_lag.max(Micros::from_secs(5));
        runtime::sleep(pause + jitter(Micros::from_secs(1))).await;
    }
}

/// Reads what earlier leaders have learned of run times. Nothing waits for it.
async fn read_learned(node: Rc<Node>, leadership: Rc<Leadership>) {
    if !leadership.scheduler.borrow().tuning.learn {
        return;
    }
    let Some((pages, _)) = retry(|| {
        node.state
            .background()
            .list::<hopyoke_run_times::Page>(LEARNED)
    })
    .await
    else {
        return;
    };
    let mut scheduler = leadership.scheduler.borrow_mut();
    for pair in pages {
        if let Some(key) = pair.key.strip_prefix(LEARNED) {
            scheduler.learned(key, pair.value.readable().as_ref());
        }
    }
}

/// Settings that depend on live figures follow them.
async fn follow_figures(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        settings::refresh(&node.policy, &leadership);
        runtime::sleep(Micros::from_secs(1)).await;
    }
}

/// Lets the core decide, and does what it wants done.
async fn act(node: Rc<Node>, leadership: Rc<Leadership>) {
    let command_pusher = Rc::new(CommandPusher::new(
        node.settings.facts.limits.max_connections,
    ));
    loop {
        let mut next = runtime::now() + Micros::from_millis(250);
        if leadership.lease_is_valid() {
            let mut scheduler = leadership.scheduler.borrow_mut();
            scheduler.note_time(runtime::now(), runtime::time_of_day());
            let due = leadership.planning(&node, &mut scheduler, |scheduler| {
                scheduler.tick(runtime::now());
                scheduler.next_due(runtime::now())
            });
            let mut actions = Vec::new();
            while let Some(a) = scheduler.next_action() {
                actions.push(a);
            }
            let (token, writes) = (scheduler.token, scheduler.has_writes());
            drop(scheduler);
            for action in actions {
                perform(&node, &leadership, &command_pusher, token, action);
            }
            if writes {
                leadership.write_wakeup.notify();
            }
            next = due;
        }
        leadership.wakeup.wait_until(next).await;
    }
}

/// Starts a routine for one action.
fn perform(
    node: &Rc<Node>,
    leadership: &Rc<Leadership>,
    command_pusher: &Rc<CommandPusher>,
    token: FencingToken,
    action: Action,
) {
    let (node, l, command_pusher) = (node.clone(), leadership.clone(), command_pusher.clone());
    runtime::spawn_until(leadership.cancel.clone(), async move {
        match action {
            Action::ScaleOut {
                request,
                machine_type,
                zone,
                spot,
                count,
            } => {
                let rent = ScaleOutRequest {
                    request: &request,
                    machine_type: &machine_type,
                    zone: &zone,
                    spot,
                    count,
                };
                let outcome = node.cloud.rent(&rent).await;
                l.scheduler
                    .borrow_mut()
                    .rented(&request, outcome, runtime::now());
            }
            Action::Delete { machines } => {
                if node.cloud.delete(machines.clone()).await {
                    l.scheduler.borrow_mut().deleted(&machines, runtime::now());
                } else {
                    runtime::sleep(Micros::from_secs(2)).await;
                    l.scheduler.borrow_mut().delete_failed(&machines);
                }
            }
            Action::ReloadRecord { job } => {
                match node.state.records().get::<JobRecord>(&job_key(&job)).await {
                    Ok(found) => {
                        let found = found.map(|(v, mod_revision)| (v.readable(), mod_revision));
                        match found {
                            Some((Some(record), mod_revision)) => {
                                l.scheduler.borrow_mut().record_reloaded(
                                    job,
                                    Some((record, mod_revision)),
                                    runtime::now(),
                                );
                            }
                            Some((None, _)) => warn!(job = %job, "unreadable record"),
                            None => {
                                l.scheduler
                                    .borrow_mut()
                                    .record_reloaded(job, None, runtime::now())
                            }
                        }
                    }
                    Err(_) => {
                        runtime::sleep(Micros::from_millis(300)).await;
                        l.scheduler.borrow_mut().record_reload_failed(job);
                    }
                }
            }
            Action::Direct {
                machine,
                address,
                epoch,
                commands,
            } => {
                command_pusher
                    .push(&l, token, machine, address, epoch, commands)
                    .await;
            }
        }
        l.wakeup.notify();
        l.write_wakeup.notify();
    });
}
