//! Renewal of the leader's lease at the store.

use crate::{Host, Simulation};
use hopyoke_admission::RequestPriority;
use hopyoke_types::Micros;

impl Simulation {
    /// Renews the lease, four times in its time to live.
    pub(super) fn renew_lease(&mut self, i: usize, process: u64) {
        let Some(lease) = self.leadership(i, process).map(|l| l.lease) else {
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

    /// Sends a renewal again until it is accepted. `sent`: when the first try was sent, from which the lease counts at the
    /// earliest.
    fn send_lease_renewal(&mut self, i: usize, process: u64, lease: u64, sent: Micros) {
        if self.leadership(i, process).is_none_or(|l| l.lease != lease) {
            return;
        }
        self.send(Host::Node(i), Host::KvStore, move |w| {
            if w.store_rejects(i) {
                return;
            }
            if !w.store_accepts(0) {
                // Refused: tried again.
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
                let Some(leadership) = w.leadership(i, process) else {
                    return;
                };
                if alive {
                    leadership.leader_lease.lease_renewed(sent);
                } else if leadership.lease == lease {
                    w.nodes[i].leadership = None;
                    w.log(|| format!("node {i} lost its lease"));
                    w.campaign(i, process, false);
                }
            });
        });
    }
}
