//! Replicas are moved together, so that whole machines fall free.

use super::TaskKey;
use super::snapshot::{Bin, ClusterSnapshot};
use crate::Scheduler;
use crate::ledger::{Allocation, Machine};
use crate::resources::Resources;
use hopyoke_types::Micros;
use tracing::info;

impl Scheduler {
    /// Moves replicas off machines that hold little else than free room, to ones that are fuller:
    /// the machine can then hold a gang, or be returned. A move costs the replica a moment, so a
    /// small share of all replicas' time is what moves may take. (Moving replicas to drain a
    /// machine is allowed.)
    pub(super) fn defragment(&mut self, snapshot: &ClusterSnapshot, now: Micros) {
        let replicas: u32 = snapshot.bins.iter().map(|b| b.replicas).sum();
        let move_s = self.tuning.move_cost.as_secs_f64();
        // A small deployment earns a move a minute.
        let earned = f64::from(replicas.max(16))
            * self.tuning.move_share
            * (now - self.defragmentation.credited_at).as_secs_f64();
        self.defragmentation.credited_at = now;
        // At most what 20 s earn is kept, but enough for one move.
        let most = (f64::from(replicas) * self.tuning.move_share * 20.0).max(move_s + 30.0);
        self.defragmentation.budget_s = (self.defragmentation.budget_s + earned).min(most);
        if now < self.defragmentation.next_at || self.is_reconciling() {
            return;
        }
        self.defragmentation.next_at = now + Micros::from_secs(2);
        let usage = |b: &Bin| {
            1.0 - (b.free.gpus + b.free.cpus)
                / (snapshot.kinds[b.kind].gpus + snapshot.kinds[b.kind].cpus)
        };
        let room =
            |b: &Bin| b.free.gpus > 0.0 || snapshot.kinds[b.kind].gpus == 0.0 && b.free.cpus > 0.0;
        let mut hosts: Vec<(f64, usize)> = snapshot
            .bins
            .iter()
            .enumerate()
            .filter(|(_, b)| b.ready && b.replicas > 0 && room(b))
            .map(|(i, b)| (usage(b), i))
            .collect();
        hosts.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free: Vec<Resources> = hosts.iter().map(|h| snapshot.bins[h.1].free).collect();
        let mut moves = Vec::new();
        // Each look searches all hosts; what is not reached now is reached when others have gone.
        for from in 0..hosts.len().min(self.tuning.drain_looks) {
            let bin = &snapshot.bins[hosts[from].1];
            let Some(m) = bin.machine.as_ref().and_then(|id| self.machines.get(id)) else {
                continue;
            };
            self.add_visited(hosts.len());
            let Some(drain) = self.drain_of(m, now) else {
                continue;
            };
            let mut targets = Vec::new();
            let mut cost = 0.0;
            for (task, attempt) in drain {
                let Some(mut request) = self.request(&task.job) else {
                    break;
                };
                request.zones[bin.zone] = request.zones[bin.zone].saturating_sub(1);
                let fits = |i: usize| {
                    let b = &snapshot.bins[hosts[i].1];
                    request.task.fits_in(&free[i])
                        && self.allowed(&request, b)
                        && request.zone_allows(b.zone)
                };
                let image =
                    |i: &usize| snapshot.has_image(&snapshot.bins[hosts[*i].1], request.image);
                // The fullest first. Each drained machine is one machine less, so this comes to an end.
                let fuller = || (from + 1..hosts.len()).rev();
                let Some(to) = fuller()
                    .filter(image)
                    .find(|&i| fits(i))
                    .or_else(|| fuller().find(|&i| fits(i)))
                else {
                    break;
                };
                let fetch = self.types[snapshot.bins[hosts[to].1].kind].fetch_gb_per_s;
                cost += move_s
                    + if image(&to) {
                        0.0
                    } else {
                        request.spec.image_gb / fetch.max(0.05)
                    };
                free[to] = free[to] - request.task;
                targets.push((
                    to,
                    request.task,
                    (m.id.clone(), task, attempt, request.spec.save_s),
                ));
            }
            if targets.len() as u32 == bin.replicas && cost <= self.defragmentation.budget_s {
                self.defragmentation.budget_s -= cost;
                // Nothing is moved to a machine that is being drained.
                free[from] = Resources::default();
                moves.extend(targets.into_iter().map(|t| t.2));
            } else {
                for (to, task, _) in targets {
                    free[to] = free[to] + task;
                }
            }
        }
        for (machine, task, attempt, grace) in moves {
            info!(machine = %machine, task = %task, "moving replica to drain machine");
            self.stop_allocation(&machine, &task.job, task.index, attempt, grace);
        }
    }

    /// The replicas whose leaving would empty a machine, if it holds nothing else and all of them
    /// have run for a while.
    pub(super) fn drain_of(&self, m: &Machine, now: Micros) -> Option<Vec<TaskKey>> {
        let is_reconciled = self.tuning.move_settled;
        let load = m.cached_load()?;
        if load.live == 0 || load.live != load.replicas {
            return None;
        }
        let ran = |s: &Allocation| {
            s.stop.is_none() && s.running_since.is_some_and(|t| now >= t + is_reconciled)
        };
        let live = || m.allocations().iter().filter(|(_, s)| s.is_live());
        live()
            .all(|(_, s)| ran(s))
            .then(|| live().map(|(k, _)| k.clone()).collect())
    }
}
