//! Whose turn it is inside a tenant (a team with a class): see [`crate::placement::queue_order`].

use super::{Keyed, OVERDUE};
use crate::placement::queue_order::Waiting;
use crate::{Job, Scheduler};
use hopyoke_protocol::user::{JobKind, Priority};
use hopyoke_types::Micros;
use std::collections::BTreeMap;

impl Scheduler {
    /// Arrays and gangs of one tenant change places among themselves, within one importance: most are to
    /// be served when the tenant offers more than it can get. (Guards against a day on which less
    /// than half of a class ends although its team's limit was used all day; scenario
    /// burst_mostly_served.)
    pub(super) fn take_turns(&self, keyed: &mut [Keyed], now: Micros) {
        let mut tenants: BTreeMap<(u8, Priority, &str, &str), usize> = BTreeMap::new();
        let (mut places, mut waiting) = (Vec::new(), Vec::new());
        for (place, ((class, priority, accepted_us), id)) in keyed.iter().enumerate() {
            let queue = |j: &&Job| j.spec.kind != JobKind::Service && *accepted_us > OVERDUE;
            let Some(job) = self.jobs.get(id).filter(queue) else {
                continue;
            };
            let spec = &job.spec;
            let next = tenants.len();
            let tenant = *tenants
                .entry((*class, *priority, &spec.team, &spec.class))
                .or_insert(next);
            places.push(place);
            waiting.push(Waiting {
                tenant,
                work_s: f64::from(job.unplaced_tasks()) * spec.estimate_s.max(1.0),
                waited: self.ago(*accepted_us, now),
            });
        }
        let order = crate::placement::queue_order::take_turns(&waiting);
        let jobs: Vec<Keyed> = order
            .into_iter()
            .map(|i| keyed[places[i]].clone())
            .collect();
        for (place, job) in places.into_iter().zip(jobs) {
            keyed[place] = job;
        }
    }
}
