//! Renewal of the leader's lease at the store.

use crate::{Host, Simulation};
use hopyoke_admission::RequestPriority;
use hopyoke_types::Micros;

impl Simulation {
    /// Renews the lease four times per time to live, from when it was granted.
    pub(super) fn renew_lease(&mut self, i: usize, process: u64) {
        let Some(lease) = self.held_lease(i, process) else {
            return;
        };
        let pause = Micros(self.lease_ttl.0 / 4);
        self.timer(i, pause, move |w| w.renew_lease(i, process));
        let sent = self.now;
        match self.acquire_request(i, RequestPriority::Critical) {
            Ok(()) => self.send_lease_renewal(i, process, lease, sent),
            Err(wait) => self.timer(i, wait, move |w| {
                w.send_lease_renewal(i, process, lease, sent)
            }),
        }
    }

    /// Returns the lease under which the process leads or reads the records.
    fn held_lease(&mut self, i: usize, process: u64) -> Option<u64> {
        if let Some(leadership) = self.leadership(i, process) {
            return Some(leadership.lease);
        }
        if !self.alive(i, process) {
            return None;
        }
        self.nodes[i].acquired_lease.map(|l| l.lease)
    }

    /// Sends a renewal and retries it until the store accepts it.
    ///
    /// `sent` is when the first try was sent; the renewed lease is counted from then, which is never too long.
    fn send_lease_renewal(&mut self, i: usize, process: u64, lease: u64, sent: Micros) {
        if self.held_lease(i, process) != Some(lease) {
            return;
        }
        self.send(Host::Node(i), Host::KvStore, move |w| {
            if w.store_rejects(i) {
                return;
            }
            if !w.store_accepts(0) {
                // A rejected renewal is retried.
                return w.after(Micros::from_millis(250), move |w| {
                    w.send_lease_renewal(i, process, lease, sent)
                });
            }
            let until = w.now + w.lease_ttl;
            let alive = match w.kv_store.leases.get_mut(&lease) {
                Some(t) => {
                    *t = until;
                    true
                }
                None => false,
            };
            if w.draws_fault(w.kv_store.lost_renewals) {
                return;
            }
            w.send(Host::KvStore, Host::Node(i), move |w| {
                if w.held_lease(i, process) == Some(lease) {
                    w.renewal_answered(i, process, sent, alive);
                }
            });
        });
    }

    /// Handles the response to a renewal of the lease that the process holds; `is_alive` is false if it has expired.
    fn renewal_answered(&mut self, i: usize, process: u64, sent: Micros, is_alive: bool) {
        let until = sent + self.lease_ttl.less_drift();
        match (self.leadership(i, process), is_alive) {
            (Some(leadership), true) => leadership.leader_lease.lease_renewed(sent),
            (Some(_), false) => {
                self.nodes[i].leadership = None;
                self.log(|| format!("node {i} lost its lease"));
                self.campaign(i, process, false);
            }
            (None, true) => {
                if let Some(acquired) = &mut self.nodes[i].acquired_lease {
                    acquired.until = acquired.until.max(until);
                }
            }
            (None, false) => self.nodes[i].acquired_lease = None,
        }
    }
}
