//! Those who were told to come back: each keeps its place until then.

use hopyoke_types::{JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// So many places are kept; who is refused beyond them comes back as a newcomer.
const PLACES: usize = 1024;
/// A place is kept for this long after its holder was to come back: users add some of their own to what they are told.
const KEPT: Micros = Micros::from_secs(6);

#[derive(Debug, Clone)]
struct Place {
    job: JobId,
    tenant: usize,
    due: Micros,
    /// This node told it when to come back, no peer.
    own: bool,
}

/// Places in the order in which they were first given out.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitQueue {
    places: BTreeMap<u64, Place>,
    of_job: BTreeMap<JobId, u64>,
    by_due: BTreeSet<(Micros, u64)>,
    next: u64,
}

impl WaitQueue {
    /// Places whose holders did not come back when they were told to are given up.
    pub(crate) fn expire(&mut self, now: Micros) {
        while let Some((due, seq)) = self
            .by_due
            .first()
            .copied()
            .filter(|(due, _)| now >= *due + KEPT)
        {
            self.by_due.remove(&(due, seq));
            if let Some(place) = self.places.remove(&seq) {
                self.of_job.remove(&place.job);
            }
        }
    }

    /// The holder of a place was let in; false if it had none.
    pub(crate) fn leave(&mut self, job: &JobId) -> bool {
        let place = self
            .of_job
            .remove(job)
            .and_then(|seq| Some((seq, self.places.remove(&seq)?)));
        if let Some((seq, place)) = &place {
            self.by_due.remove(&(place.due, *seq));
        }
        place.is_some()
    }

    /// How many are ahead of the job: all that have a place, if it has none itself. `None`: no place is left for it.
    pub(crate) fn ahead_of(&self, job: &JobId) -> Option<usize> {
        match self.of_job.get(job) {
            Some(seq) => Some(self.places.range(..seq).count()),
            None => (self.places.len() < PLACES).then_some(self.places.len()),
        }
    }

    /// Those that are due by then, ahead of the job, and of a tenant that counts.
    pub(crate) fn due(&self, by: Micros, job: &JobId, counts: impl Fn(usize) -> bool) -> usize {
        let own = self.of_job.get(job).copied().unwrap_or(u64::MAX);
        let due = self
            .by_due
            .range(..=(by, u64::MAX))
            .filter(|(_, seq)| *seq < own);
        due.filter(|(_, seq)| self.places.get(seq).is_some_and(|p| counts(p.tenant)))
            .count()
    }

    /// The job keeps the place that it has, or gets the next one, and is to come back then.
    pub(crate) fn told(&mut self, job: &JobId, tenant: usize, due: Micros, own: bool) {
        if let Some(seq) = self.of_job.get(job)
            && let Some(place) = self.places.get_mut(seq)
        {
            self.by_due.remove(&(place.due, *seq));
            self.by_due.insert((due, *seq));
            (place.due, place.own) = (due, own);
            return;
        }
        if self.places.len() < PLACES {
            let seq = self.next;
            self.next += 1;
            self.places.insert(
                seq,
                Place {
                    job: job.clone(),
                    tenant,
                    due,
                    own,
                },
            );
            self.of_job.insert(job.clone(), seq);
            self.by_due.insert((due, seq));
        }
    }

    /// How many were told by this node.
    pub(crate) fn own(&self) -> usize {
        self.places.values().filter(|p| p.own).count()
    }
}
