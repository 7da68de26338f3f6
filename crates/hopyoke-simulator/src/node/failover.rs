//! Failover: a new leader reads the machine registry and the jobs, then starts its scheduler.

use super::{AcquiredLease, Leadership, WATCH_TIMEOUT};
use crate::kv_store::{KvStore, Value};
use crate::{Host, Simulation};
use hopyoke_consistency::DeliveryCursors;
use hopyoke_consistency::leader_lease::LeaderLease;
use hopyoke_scheduler::{JobRecord, RegistryPage, Scheduler};
use hopyoke_types::{FencingToken, JobId, Micros, ModRevision};
use std::ops::Bound;

/// Job records per page if the store has no rate limits, few enough that a failover reads several pages.
const RECORDS_PER_PAGE: usize = 4;

/// The records that a new leader has read so far.
#[derive(Default)]
struct RecordScan {
    lease: u64,
    token: u64,
    /// When the lease was granted.
    granted_at: Micros,
    jobs: Vec<(JobId, JobRecord, ModRevision)>,
    registry: Vec<(String, ModRevision, Option<RegistryPage>)>,
    learned: Vec<(String, hopyoke_run_times::Page)>,
    /// Revision of the first page of jobs, from which a watch misses no change.
    revision: Option<ModRevision>,
    /// Last key read. `None` before the registry is read.
    last_key: Option<String>,
}

impl RecordScan {
    /// Reads the registry, or the next page of jobs. Returns whether more records follow.
    fn read_page(&mut self, store: &KvStore, max_records: usize) -> bool {
        let Some(last_key) = self.last_key.take() else {
            for (key, e) in &store.entries {
                match (&e.value, key.split_once('/')) {
                    (Value::RegistryPage(p), Some((_, k))) => {
                        self.registry.push((
                            k.to_owned(),
                            ModRevision(e.mod_revision),
                            Some(p.clone()),
                        ));
                    }
                    (Value::RunTimesPage(p), Some((_, k))) => {
                        self.learned.push((k.to_owned(), p.clone()))
                    }
                    _ => {}
                }
            }
            self.last_key = Some("job/".to_owned());
            return true;
        };
        self.revision.get_or_insert(ModRevision(store.revision));
        let after = (
            Bound::Excluded(last_key),
            Bound::Excluded("job0".to_owned()),
        );
        let mut found = store.entries.range(after);
        for (key, e) in found.by_ref().take(max_records) {
            if let Value::JobRecord(r) = &e.value {
                self.jobs.push((
                    JobId::new(&key[4..]),
                    r.clone(),
                    ModRevision(e.mod_revision),
                ));
            }
            self.last_key = Some(key.clone());
        }
        found.next().is_some()
    }
}

impl Simulation {
    /// Reads the records under a lease that was granted with the leader's key, then leads.
    pub(super) fn lease_granted(
        &mut self,
        node: usize,
        process: u64,
        lease: u64,
        token: u64,
        sent: Micros,
    ) {
        if !self.alive(node, process) || self.nodes[node].leadership.is_some() {
            return;
        }
        let until = sent + self.lease_ttl.less_drift();
        let granted_at = self.now;
        if granted_at >= until {
            return;
        }
        let scan = RecordScan {
            lease,
            token,
            granted_at,
            ..RecordScan::default()
        };
        self.nodes[node].acquired_lease = Some(AcquiredLease { lease, until });
        self.renew_lease(node, process);
        self.read_records(node, process, scan);
    }

    /// Reads the registry, then the jobs page by page, each page as of its own revision.
    fn read_records(&mut self, node: usize, process: u64, mut scan: RecordScan) {
        self.send(Host::Node(node), Host::KvStore, move |sim| {
            // A rejected read is retried.
            if sim.store_rejects(node) || !sim.store_accepts(0) {
                let retry_delay = Micros::from_millis(250);
                return sim.after(retry_delay, move |sim| {
                    if sim.may_take_over(node, process, scan.lease) {
                        sim.read_records(node, process, scan);
                    } else {
                        sim.abandon_takeover(node, process, scan.lease);
                    }
                });
            }
            let max_records = sim.limits.as_ref().map_or(RECORDS_PER_PAGE, |l| {
                if l.nodes_unlimited { 200 } else { 400 }
            });
            let has_more = scan.read_page(&sim.kv_store, max_records);
            sim.send(Host::KvStore, Host::Node(node), move |sim| {
                if !sim.may_take_over(node, process, scan.lease) {
                    return sim.abandon_takeover(node, process, scan.lease);
                }
                if has_more {
                    sim.read_records(node, process, scan)
                } else {
                    sim.failover(node, process, scan)
                }
            });
        });
    }

    /// Returns whether the node still holds the lease under which it reads the records and does not lead yet.
    fn may_take_over(&self, node: usize, process: u64, lease: u64) -> bool {
        let state = &self.nodes[node];
        self.alive(node, process)
            && state.leadership.is_none()
            && state.acquired_lease.is_some_and(|l| l.lease == lease)
            && self.is_taking_over(node)
    }

    /// Abandons the failover. The lease is left to expire, although a renewal may still extend it after an outage, and
    /// the node campaigns again. Tested by the scenario store_slow_then_outage.
    fn abandon_takeover(&mut self, node: usize, process: u64, lease: u64) {
        if !self.alive(node, process) {
            return;
        }
        let acquired = &mut self.nodes[node].acquired_lease;
        if acquired.is_some_and(|l| l.lease == lease) {
            *acquired = None;
        }
    }

    /// Starts to lead with the records read; the scheduler begins reconciliation.
    fn failover(&mut self, node: usize, process: u64, scan: RecordScan) {
        let (token, granted_at, revision) = (
            scan.token,
            scan.granted_at,
            scan.revision.unwrap_or_default(),
        );
        self.log(|| format!("node {node} leads with token {token}"));
        self.elected_leaders += 1;
        let mut scheduler = Scheduler::new(
            self.config.clone(),
            FencingToken(token),
            scan.jobs,
            scan.registry,
            granted_at,
        );
        scheduler.set_tuning(self.tuning.clone());
        scheduler.record_grant_time(self.now, self.now);
        scheduler.set_staffed_hours(self.hours.clone());
        scheduler.set_wall_clock(self.now, self.time_of_day(node));
        for (key, page) in &scan.learned {
            scheduler.load_run_times(key, Some(page));
        }
        scheduler.set_catalog(self.machine_types.clone());
        let acquired = self.nodes[node].acquired_lease.take();
        let until = acquired.map_or(Micros::ZERO, |l| l.until);
        let mut leader_lease =
            LeaderLease::new(until, self.lease_ttl, WATCH_TIMEOUT, self.nodes.len());
        leader_lease.changes_received(granted_at);
        scheduler.records_applied_to(revision, granted_at);
        for id in self.nodes[node].cancellation_log.entries_after(revision) {
            scheduler.job_removed(&id, self.now);
        }
        self.nodes[node]
            .cancellation_log
            .set_start_revision(revision);
        let leadership = Leadership {
            scheduler,
            lease: scan.lease,
            leader_lease,
            delivery_cursors: DeliveryCursors::new(self.nodes.len()),
            watch_number: 0,
            batch_in_flight: false,
            reconciling_since: Some(granted_at),
            next_audit_at: Micros::ZERO,
        };
        self.nodes[node].leadership = Some(leadership);
        self.nodes[node].observed_leader = Some(node);
        self.deliver_heartbeats_held_for_leader();
        self.open_watch(node, process);
        self.request_lease_support(node, process);
        self.tick(node, process);
        self.poll_cloud_inventory(node, process);
    }
}
