//! Renewal of the leader's lease at the store.

use crate::{Host, Simulation};
use hopyoke_admission::RequestPriority;
use hopyoke_types::Micros;

impl Simulation {
    /// Renews the lease four times per time to live, from when it was granted.
    pub(super) fn renew_lease(&mut self, node: usize, process: u64) {
        let Some(lease) = self.held_lease(node, process) else {
            return;
        };
        let pause = Micros(self.lease_ttl.0 / 4);
        self.timer(node, pause, move |sim| sim.renew_lease(node, process));
        let sent = self.now;
        match self.acquire_request(node, RequestPriority::Critical) {
            Ok(()) => self.send_lease_renewal(node, process, lease, sent),
            Err(wait) => self.timer(node, wait, move |sim| {
                sim.send_lease_renewal(node, process, lease, sent)
            }),
        }
    }

    /// Returns the lease under which the process leads or reads the records.
    fn held_lease(&mut self, node: usize, process: u64) -> Option<u64> {
        if let Some(leadership) = self.leadership(node, process) {
            return Some(leadership.lease);
        }
        if !self.alive(node, process) {
            return None;
        }
        self.nodes[node].acquired_lease.map(|l| l.lease)
    }

    /// Sends a renewal, and retries it while the store's rate limit rejects it.
    ///
    /// The renewed lease counts from `sent`, when the first try was sent, so that the node never relies on it too long.
    fn send_lease_renewal(&mut self, node: usize, process: u64, lease: u64, sent: Micros) {
        if self.held_lease(node, process) != Some(lease) {
            return;
        }
        self.send(Host::Node(node), Host::KvStore, move |sim| {
            if sim.store_rejects(node) {
                return;
            }
            if !sim.store_accepts(0) {
                // A rejected renewal is retried.
                return sim.after(Micros::from_millis(250), move |sim| {
                    sim.send_lease_renewal(node, process, lease, sent)
                });
            }
            let until = sim.now + sim.lease_ttl;
            let is_renewed = match sim.kv_store.leases.get_mut(&lease) {
                Some(t) => {
                    *t = until;
                    true
                }
                None => false,
            };
            if sim.draws_fault(sim.kv_store.lost_renewals) {
                return;
            }
            sim.send(Host::KvStore, Host::Node(node), move |sim| {
                if sim.held_lease(node, process) == Some(lease) {
                    sim.renewal_answered(node, process, sent, is_renewed);
                }
            });
        });
    }

    /// Handles the response to a renewal of the lease that the process holds. `is_renewed` is false if the lease has
    /// expired.
    fn renewal_answered(&mut self, node: usize, process: u64, sent: Micros, is_renewed: bool) {
        let until = sent + self.lease_ttl.less_drift();
        match (self.leadership(node, process), is_renewed) {
            (Some(leadership), true) => leadership.leader_lease.lease_renewed(sent),
            (Some(_), false) => {
                self.nodes[node].leadership = None;
                self.log(|| format!("node {node} lost its lease"));
                self.campaign(node, process, false);
            }
            (None, true) => {
                if let Some(acquired) = &mut self.nodes[node].acquired_lease {
                    acquired.until = acquired.until.max(until);
                }
            }
            (None, false) => self.nodes[node].acquired_lease = None,
        }
    }
}
