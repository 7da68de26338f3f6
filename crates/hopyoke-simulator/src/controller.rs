//! Controllers: the real core, with leadership and messages as `lead` does them.

use super::digest::Channel;
use super::store::{Mutation, Store, Value};
use super::worker::{MOST_CHARS, heartbeat_chars};
use super::{Host, World};
use hopyoke_admission::RequestPriority;
use hopyoke_consistency::leader_lease::{LeaderLease, SUPPORT_DURATION};
use hopyoke_consistency::{CancellationLog, DeliveryCursors};
use hopyoke_protocol::cloud::ScaleOutRequest;
use hopyoke_protocol::user::JobState;
use hopyoke_protocol::worker::Heartbeat;
use hopyoke_scheduler::{
    Action, Batch, BatchError, JobRecord, RegistryPage, ScaleOutOutcome, Scheduler, Write,
};
use hopyoke_types::Micros;
use hopyoke_types::{FencingToken, JobId, MachineId, ModRevision};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::rc::Rc;

pub struct Node {
    /// What it may ask of the state service, where that has limits.
    pub part: Option<super::limits::Part>,
    pub up: bool,
    /// Counts the processes; what an old one sent off finds the number changed.
    pub process: u64,
    pub lead: Option<Lead>,
    pub leader_seen: Option<usize>,
    /// It does not try to lead before this, by its own promise or what a former process may have
    /// promised.
    kept_until: Micros,
    own_kept_until: Micros,
    /// Tries to lead that have no answer: they may succeed late.
    tries: u32,
    /// Cancellations that users were told of here.
    pub(crate) confirmed: CancellationLog,
    /// Final states that it has written or read.
    pub finals: BTreeMap<JobId, JobState>,
}

/// So few cancellations are remembered that days reach the bound.
const MOST_CONFIRMED: usize = 6;

pub struct Lead {
    pub scheduler: Scheduler,
    pub lease: u64,
    pub leader_lease: LeaderLease,
    delivered: DeliveryCursors,
    /// Number of the watch that is open.
    watch: u64,
    writing: bool,
    /// When it was granted its token, until its recovery is over.
    recovers_since: Option<Micros>,
    next_audit: Micros,
}

const WATCH: Micros = Micros::from_secs(2);

/// Changes of jobs' records: job, record unless it is gone, revision, dropped.
pub(crate) struct News {
    events: Vec<(JobId, Option<JobRecord>, ModRevision, bool)>,
    revision: ModRevision,
}

/// Pages of so few records are read where the state service has no limits, that takeovers take several.
const SMALL_PAGE: usize = 4;

/// What a new leader has read so far.
#[derive(Default)]
struct Reading {
    lease: u64,
    token: u64,
    /// How long the lease lasts, and when it was granted.
    until: Micros,
    at: Micros,
    jobs: Vec<(JobId, JobRecord, ModRevision)>,
    register: Vec<(String, ModRevision, Option<RegistryPage>)>,
    learned: Vec<(String, hopyoke_run_times::Page)>,
    /// Of the first page of jobs: watching from there on misses nothing.
    revision: Option<ModRevision>,
    last: Option<String>,
}

impl Reading {
    /// Takes the register in, or a page of jobs; true if there is more.
    fn take_page(&mut self, store: &Store, most: usize) -> bool {
        let Some(last) = self.last.take() else {
            for (key, e) in &store.keys {
                match (&e.value, key.split_once('/')) {
                    (Value::Page(p), Some((_, k))) => {
                        self.register.push((
                            k.to_owned(),
                            ModRevision(e.mod_revision),
                            Some(p.clone()),
                        ));
                    }
                    (Value::Learned(p), Some((_, k))) => {
                        self.learned.push((k.to_owned(), p.clone()))
                    }
                    _ => {}
                }
            }
            self.last = Some("job/".to_owned());
            return true;
        };
        self.revision.get_or_insert(ModRevision(store.revision));
        let after = (Bound::Excluded(last), Bound::Excluded("job0".to_owned()));
        let mut found = store.keys.range(after);
        for (key, e) in found.by_ref().take(most) {
            if let Value::Job(r) = &e.value {
                self.jobs.push((
                    JobId::new(&key[4..]),
                    r.clone(),
                    ModRevision(e.mod_revision),
                ));
            }
            self.last = Some(key.clone());
        }
        found.next().is_some()
    }
}

impl Default for Node {
    fn default() -> Node {
        Node {
            part: None,
            up: false,
            process: 0,
            lead: None,
            leader_seen: None,
            kept_until: Micros::ZERO,
            own_kept_until: Micros::ZERO,
            tries: 0,
            confirmed: CancellationLog::new(MOST_CONFIRMED),
            finals: BTreeMap::new(),
        }
    }
}

impl World {
    pub fn start_node(&mut self, i: usize) {
        let (now, nodes) = (self.now, self.nodes.len());
        let part = self
            .limits
            .as_ref()
            .map(|l| l.part(nodes, &self.cfg.teams, now));
        let n = &mut self.nodes[i];
        n.part = part;
        n.up = true;
        n.process += 1;
        n.lead = None;
        n.kept_until = self.now + SUPPORT_DURATION.with_drift();
        n.own_kept_until = Micros::ZERO;
        n.tries = 0;
        n.confirmed = CancellationLog::new(MOST_CONFIRMED);
        n.finals.clear();
        let p = n.process;
        self.learn_beginning(i, p);
        let wait = Micros(self.random(1_000, 100_000));
        self.timer(i, wait, move |w| w.seek(i, p, true));
        if self.limits.is_some() {
            self.tell_line(i, p);
        }
    }

    pub fn crash_node(&mut self, i: usize, back: Micros) {
        let n = &mut self.nodes[i];
        n.up = false;
        n.lead = None;
        n.process += 1;
        self.standstills.remove(&i);
        self.log(|| format!("node {i} crashes"));
        self.after(back, move |w| w.start_node(i));
    }

    /// Reads a revision, so as to know what former processes may have confirmed.
    fn learn_beginning(&mut self, i: usize, process: u64) {
        if !self.alive(i, process) {
            return;
        }
        self.send(Host::Node(i), Host::State, move |w| {
            if w.state_refuses(i) {
                return w.after(Micros::from_millis(500), move |w| {
                    w.learn_beginning(i, process)
                });
            }
            let revision = ModRevision(w.store.revision);
            w.send(Host::State, Host::Node(i), move |w| {
                if w.alive(i, process) {
                    w.nodes[i].confirmed.started_before(revision);
                }
            });
        });
    }

    pub(crate) fn alive(&self, i: usize, process: u64) -> bool {
        self.nodes[i].up && self.nodes[i].process == process
    }

    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|n| n.lead.is_some())
    }

    fn lease_is_valid(&self, i: usize) -> bool {
        self.nodes[i]
            .lead
            .as_ref()
            .is_some_and(|l| l.leader_lease.is_valid(self.now))
    }

    /// Looks who leads; tries to lead if nobody does.
    fn seek(&mut self, i: usize, process: u64, first: bool) {
        if !self.alive(i, process) || self.nodes[i].lead.is_some() {
            return;
        }
        let sent = self.now;
        let n = &mut self.nodes[i];
        let others_too = sent >= n.kept_until;
        if sent < n.own_kept_until {
            let wait = n.own_kept_until - sent;
            return self.timer(i, wait, move |w| w.seek(i, process, first));
        }
        if let Err(wait) = self.finds_room(i, RequestPriority::Critical) {
            return self.timer(i, wait, move |w| w.seek(i, process, first));
        }
        self.nodes[i].tries += 1;
        self.send(Host::Node(i), Host::State, move |w| {
            let answered = move |w: &mut World| {
                if w.alive(i, process) {
                    w.nodes[i].tries = w.nodes[i].tries.saturating_sub(1);
                }
            };
            // It reads who leads, asks for a lease, and writes the grant with a block for each zone.
            let blocks = 1 + w.cfg.zones.len();
            if w.state_refuses(i)
                || !w.state_takes(0)
                || !w.state_takes(0)
                || !w.state_takes(blocks)
            {
                return w.send(Host::State, Host::Node(i), answered);
            }
            let holder = match w.store.keys.get("leader") {
                Some(e) => match e.value {
                    Value::Holder(h) => Some((h, e.mod_revision)),
                    _ => None,
                },
                None => None,
            };
            let mod_revision = match holder {
                None if !others_too => return w.send(Host::State, Host::Node(i), answered),
                None => 0,
                // A former process of the same node: its lease need not run out.
                Some((h, mod_revision)) if h == i && first => mod_revision,
                Some((h, _)) => {
                    return w.send(Host::State, Host::Node(i), move |w| {
                        answered(w);
                        w.nodes[i].leader_seen = Some(h);
                    });
                }
            };
            let until = w.now + w.ttl;
            let lease = w.store.grant(until);
            let put = Mutation::Put("leader".into(), Value::Holder(i), Some(lease));
            match w.transact(&[("leader".into(), mod_revision)], vec![put]) {
                // Who leads counts as trying for as long as its process lives: it never promises.
                Some(Ok(token)) => w.send(Host::State, Host::Node(i), move |w| {
                    w.granted(i, process, lease, token, sent)
                }),
                Some(Err(_)) => w.send(Host::State, Host::Node(i), answered),
                // The lease is given back before anything is promised or tried again.
                None => w.timer(i, Micros::from_millis(2_500), move |w| {
                    w.give_back(i, process, lease)
                }),
            }
        });
        let pause = Micros(self.random(200_000, 500_000));
        self.timer(i, pause, move |w| w.seek(i, process, first));
    }

    /// Ends the lease of a try to lead that had no answer.
    fn give_back(&mut self, i: usize, process: u64, lease: u64) {
        if !self.alive(i, process) {
            return;
        }
        self.send(Host::Node(i), Host::State, move |w| {
            if w.state_refuses(i) {
                return w.after(Micros::from_millis(500), move |w| {
                    w.give_back(i, process, lease)
                });
            }
            w.store.end_lease(lease);
            w.send(Host::State, Host::Node(i), move |w| {
                if w.alive(i, process) {
                    w.nodes[i].tries = w.nodes[i].tries.saturating_sub(1);
                }
            });
        });
    }

    fn granted(&mut self, i: usize, process: u64, lease: u64, token: u64, sent: Micros) {
        if !self.alive(i, process) || self.nodes[i].lead.is_some() {
            return;
        }
        let until = sent + self.ttl.less_drift();
        let granted_at = self.now;
        if granted_at >= until {
            return;
        }
        let reading = Reading {
            lease,
            token,
            until,
            at: granted_at,
            ..Reading::default()
        };
        self.read_records(i, process, reading);
    }

    /// Reads the register, then the jobs in pages, as they are at the moment of each.
    fn read_records(&mut self, i: usize, process: u64, mut r: Reading) {
        self.send(Host::Node(i), Host::State, move |w| {
            // A refused page is asked for again.
            if w.state_refuses(i) || !w.state_takes(0) {
                let again = Micros::from_millis(250);
                return w.after(again, move |w| {
                    if w.alive(i, process) && w.now < r.until && w.nodes[i].lead.is_none() {
                        w.read_records(i, process, r);
                    }
                });
            }
            let page = w
                .limits
                .as_ref()
                .map_or(SMALL_PAGE, |l| if l.unpaced { 200 } else { 400 });
            let more = r.take_page(&w.store, page);
            w.send(Host::State, Host::Node(i), move |w| {
                if !w.alive(i, process) || w.nodes[i].lead.is_some() || w.now >= r.until {
                    return;
                }
                if more {
                    w.read_records(i, process, r)
                } else {
                    w.take_over(i, process, r)
                }
            });
        });
    }

    /// Leads with what was read.
    fn take_over(&mut self, i: usize, process: u64, r: Reading) {
        let (token, at, revision) = (r.token, r.at, r.revision.unwrap_or_default());
        self.log(|| format!("node {i} leads with token {token}"));
        self.leaders += 1;
        let mut scheduler = Scheduler::new(
            self.cfg.clone(),
            FencingToken(token),
            r.jobs,
            r.register,
            at,
        );
        scheduler.set_tuning(self.tuning.clone());
        scheduler.set_time_of_day(self.now, self.now);
        scheduler.set_hours(self.hours.clone());
        scheduler.note_time(self.now, self.time_of_day(i));
        for (key, page) in &r.learned {
            scheduler.learned(key, Some(page));
        }
        scheduler.set_catalog(self.types.clone());
        let mut leader_lease = LeaderLease::new(r.until, self.ttl, WATCH, self.nodes.len());
        leader_lease.changes_received(at);
        scheduler.caught_up(revision, at);
        for id in self.nodes[i].confirmed.entries_after(revision) {
            scheduler.job_dropped(&id, self.now);
        }
        self.nodes[i].confirmed.started_before(revision);
        let lead = Lead {
            scheduler,
            lease: r.lease,
            leader_lease,
            delivered: DeliveryCursors::new(self.nodes.len()),
            watch: 0,
            writing: false,
            recovers_since: Some(at),
            next_audit: Micros::ZERO,
        };
        self.nodes[i].lead = Some(lead);
        self.nodes[i].leader_seen = Some(i);
        self.next_leader_begins();
        self.renew(i, process);
        self.watch(i, process);
        self.greet(i, process);
        self.tick(i, process);
        self.list(i, process);
    }

    pub(crate) fn lead(&mut self, i: usize, process: u64) -> Option<&mut Lead> {
        if !self.alive(i, process) {
            return None;
        }
        self.nodes[i].lead.as_mut()
    }

    fn renew(&mut self, i: usize, process: u64) {
        let Some(lease) = self.lead(i, process).map(|l| l.lease) else {
            return;
        };
        let pause = Micros(self.ttl.0 / 4);
        self.timer(i, pause, move |w| w.renew(i, process));
        let sent = self.now;
        match self.finds_room(i, RequestPriority::Critical) {
            Ok(()) => self.renew_once(i, process, lease, sent),
            Err(wait) => self.timer(i, wait, move |w| w.renew_once(i, process, lease, sent)),
        }
    }

    /// `sent`: when the first try was sent, from which the lease counts at the earliest.
    fn renew_once(&mut self, i: usize, process: u64, lease: u64, sent: Micros) {
        if self.lead(i, process).is_none_or(|l| l.lease != lease) {
            return;
        }
        self.send(Host::Node(i), Host::State, move |w| {
            if w.state_refuses(i) {
                return;
            }
            if !w.state_takes(0) {
                // Refused: tried again.
                return w.after(Micros::from_millis(250), move |w| {
                    w.renew_once(i, process, lease, sent)
                });
            }
            let until = w.now + w.ttl;
            let alive = match w.store.leases.get_mut(&lease) {
                Some(t) => {
                    *t = until;
                    true
                }
                None => false,
            };
            if w.hits(w.store.lost_renewals) {
                return;
            }
            w.send(Host::State, Host::Node(i), move |w| {
                let Some(lead) = w.lead(i, process) else {
                    return;
                };
                if alive {
                    lead.leader_lease.lease_renewed(sent);
                } else if lead.lease == lease {
                    w.nodes[i].lead = None;
                    w.log(|| format!("node {i} lost its lease"));
                    w.seek(i, process, false);
                }
            });
        });
    }

    /// Gives up leadership, as a node does that no worker reaches; others lead first then.
    pub fn give_up(&mut self, i: usize) {
        let now = self.now;
        let n = &mut self.nodes[i];
        let Some(lead) = n.lead.take() else { return };
        let process = n.process;
        n.own_kept_until = n.own_kept_until.max(now + Micros::from_secs(12));
        n.tries += 1;
        self.give_back(i, process, lead.lease);
        self.seek(i, process, false);
    }

    /// Asks the peers for promises.
    fn greet(&mut self, i: usize, process: u64) {
        let Some(lead) = self.lead(i, process) else {
            return;
        };
        let (applied, delivered) = (lead.scheduler.applied(), lead.delivered.clone());
        // Who is not entitled gets no promises; its own place among the peers needs none.
        let lease_is_valid = self.lease_is_valid(i);
        let sent = self.now;
        for j in (0..self.nodes.len()).filter(|j| *j != i) {
            let cursor = delivered.cursor(j);
            self.send(Host::Node(i), Host::Node(j), move |w| {
                if !w.nodes[j].up {
                    return;
                }
                let (now, refused) = (
                    w.now,
                    w.state_refuses(j) || w.cut(Host::Node(j), Host::State).is_some(),
                );
                let n = &mut w.nodes[j];
                let delta = n
                    .confirmed
                    .delta_since(applied, cursor.sequence_in(n.process));
                let may = lease_is_valid && delta.is_complete && n.lead.is_none() && n.tries == 0;
                let span = (refused && may).then_some(SUPPORT_DURATION);
                if span.is_some() {
                    n.own_kept_until = n.own_kept_until.max(now + SUPPORT_DURATION.with_drift());
                }
                let its = n.process;
                // The peer hears with it what our records need.
                let need = w.nodes[i].part.as_mut().map(|p| p.door.write_demand(now));
                if let (Some(need), Some(p)) = (need, w.nodes[j].part.as_mut()) {
                    p.door.write_demand_received(need, sent);
                }
                w.send(Host::Node(j), Host::Node(i), move |w| {
                    let now = w.now;
                    let Some(lead) = w.lead(i, process) else {
                        return;
                    };
                    for id in &delta.jobs {
                        lead.scheduler.job_dropped(id, now);
                    }
                    lead.delivered.advance(j, its, delta.last_sequence);
                    lead.leader_lease.support_answered(j, sent, span, now);
                });
            });
        }
        // Our own place among the peers: nothing is asked of it, but what it confirmed itself counts as well.
        let span = self.nodes[i]
            .confirmed
            .covers(applied)
            .then_some(SUPPORT_DURATION);
        if let Some(lead) = self.lead(i, process) {
            lead.leader_lease.support_answered(i, sent, span, sent);
        }
        self.timer(i, Micros::from_millis(600), move |w| w.greet(i, process));
    }

    fn watch(&mut self, i: usize, process: u64) {
        let sent = self.now;
        let Some(lead) = self.lead(i, process) else {
            return;
        };
        lead.watch += 1;
        let (since, number) = (lead.scheduler.applied(), lead.watch);
        self.send(Host::Node(i), Host::State, move |w| {
            if w.state_refuses(i) {
                // Only watches that are open wait; a new one is refused, and asked for again.
                let again = Micros::from_millis(200);
                return w.send(Host::State, Host::Node(i), move |w| {
                    w.timer(i, again, move |w| {
                        if w.lead(i, process).is_some_and(|l| l.watch == number) {
                            w.watch(i, process);
                        }
                    });
                });
            }
            w.watch_at_store(i, process, since, number, sent);
        });
        // An answer that got lost: ask again.
        self.timer(i, WATCH + Micros::from_millis(1500), move |w| {
            if w.lead(i, process).is_some_and(|l| l.watch == number) {
                w.watch(i, process);
            }
        });
    }

    fn watch_at_store(
        &mut self,
        i: usize,
        process: u64,
        since: ModRevision,
        number: u64,
        sent: Micros,
    ) {
        if self.lead(i, process).is_none_or(|l| l.watch != number) {
            return;
        }
        let news = self.news_since(since);
        let over = self.now >= sent + WATCH;
        if (news.events.is_empty() && !over) || self.state_refuses(i) {
            let wait = Micros::from_millis(20);
            return self.after(wait, move |w| {
                w.watch_at_store(i, process, since, number, sent)
            });
        }
        self.send(Host::State, Host::Node(i), move |w| {
            if w.lead(i, process).is_none_or(|l| l.watch != number) {
                return;
            }
            w.take_news(i, process, news, sent);
            w.act(i, process);
            w.watch(i, process);
        });
    }

    /// What has changed among the jobs' records after a revision.
    pub(crate) fn news_since(&self, since: ModRevision) -> News {
        let mut events = Vec::new();
        for (mod_revision, key, dropped) in self
            .store
            .since(since.0)
            .iter()
            .filter(|(_, k, _)| k.starts_with("job/"))
        {
            let record = match self.store.keys.get(key) {
                Some(super::store::Entry {
                    value: Value::Job(r),
                    mod_revision: m,
                    ..
                }) if m == mod_revision => Some(r.clone()),
                _ => None,
            };
            events.push((
                JobId::new(&key[4..]),
                record,
                ModRevision(*mod_revision),
                *dropped,
            ));
        }
        News {
            events,
            revision: ModRevision(self.store.revision),
        }
    }

    pub(crate) fn take_news(&mut self, i: usize, process: u64, news: News, sent: Micros) {
        let now = self.now;
        let Some(lead) = self.lead(i, process) else {
            return;
        };
        lead.leader_lease.changes_received(sent);
        for (id, record, mod_revision, dropped) in news.events {
            match record {
                Some(r) => lead.scheduler.job_seen(id, r, mod_revision, now),
                None if dropped => lead.scheduler.job_dropped(&id, now),
                None => {}
            }
        }
        lead.scheduler.caught_up(news.revision, sent);
    }

    fn tick(&mut self, i: usize, process: u64) {
        if self.lead(i, process).is_none() {
            return;
        }
        self.act(i, process);
        self.timer(i, Micros::from_millis(100), move |w| w.tick(i, process));
    }

    /// Lets the core decide and does what it wants done.
    fn act(&mut self, i: usize, process: u64) {
        if !self.lease_is_valid(i) || self.stands_still(i) {
            return;
        }
        let now = self.now;
        let behind = self.lag(Host::Node(i)) >= Micros::from_millis(400);
        let thorough = self.looks_closely();
        let time_of_day = self.time_of_day(i);
        let pressed = self.nodes[i]
            .part
            .as_mut()
            .is_some_and(|p| p.door.is_overloaded(now));
        let Some(lead) = self.lead(i, process) else {
            return;
        };
        let looks = lead.scheduler.entities_visited();
        if behind {
            lead.scheduler.set_receive_overloaded(now);
        }
        lead.scheduler.note_time(now, time_of_day);
        lead.scheduler.tick(now);
        let looks = lead.scheduler.entities_visited() - looks;
        let recovered = if lead.scheduler.is_reconciling() {
            None
        } else {
            lead.recovers_since.take()
        };
        // Auditing a whole fleet at every event would take minutes.
        let faults = if !thorough && now < lead.next_audit {
            Vec::new()
        } else {
            lead.scheduler.audit()
        };
        if now >= lead.next_audit {
            lead.next_audit = now + Micros::from_secs(1);
        }
        let mut actions = Vec::new();
        while let Some(a) = lead.scheduler.next_action() {
            actions.push(a);
        }
        lead.scheduler.set_pressed(pressed);
        let batch = if lead.writing {
            None
        } else {
            lead.scheduler.next_batch(now)
        };
        let short = batch.is_none() && lead.scheduler.short_of_writes();
        lead.writing |= batch.is_some();
        let token = lead.scheduler.token;
        if let Some(p) = self.nodes[i].part.as_mut().filter(|_| short) {
            p.door.writes_deferred(now);
        }
        self.tick_looks = self.tick_looks.max(looks);
        if let Some(since) = recovered {
            self.longest_recovery = self.longest_recovery.max(now - since);
        }
        for f in faults {
            self.broke("audit", f);
        }
        for a in actions {
            self.perform(i, process, token, a);
        }
        if let Some(b) = batch {
            self.commit(i, process, token, b);
        }
    }

    fn perform(&mut self, i: usize, process: u64, token: FencingToken, action: Action) {
        match action {
            Action::ScaleOut {
                request,
                machine_type,
                zone,
                spot,
                count,
            } => {
                self.send(Host::Node(i), Host::Cloud, move |w| {
                    let rent = ScaleOutRequest {
                        request: &request,
                        machine_type: &machine_type,
                        zone: &zone,
                        spot,
                        count,
                    };
                    w.digest_message(Channel::ScaleOut, &rent);
                    let got = w.cloud_rent(&request, &machine_type, &zone, spot, count);
                    w.send(Host::Cloud, Host::Node(i), move |w| {
                        let now = w.now;
                        let out = if got.is_empty() {
                            ScaleOutOutcome::NoCapacity
                        } else {
                            ScaleOutOutcome::Rented(got)
                        };
                        if let Some(l) = w.lead(i, process) {
                            l.scheduler.rented(&request, out, now);
                        }
                    });
                });
            }
            Action::Delete { machines } => {
                self.send(Host::Node(i), Host::Cloud, move |w| {
                    for m in &machines {
                        w.digest_bytes(Channel::ScaleIn, m.as_str().as_bytes());
                        w.remove_machine(m);
                    }
                    w.send(Host::Cloud, Host::Node(i), move |w| {
                        let now = w.now;
                        if let Some(l) = w.lead(i, process) {
                            l.scheduler.deleted(&machines, now);
                        }
                    });
                });
            }
            Action::ReloadRecord { job } => self.record_reloaded(i, process, job),
            Action::Direct {
                machine,
                epoch,
                commands,
                ..
            } => {
                self.log(|| format!("node {i} to {machine} session {epoch} {commands:?}"));
                let m = machine.clone();
                let sent = self.now;
                if self.no_sockets.get(&i).is_some_and(|t| sent < *t) {
                    if let Some(l) = self.lead(i, process) {
                        l.scheduler.direct_failed(&m, false, sent);
                    }
                    return;
                }
                self.send(Host::Node(i), self.worker(&machine), move |w| {
                    w.direct_arrives(i, process, machine, token, epoch, commands, sent);
                });
                self.timer(i, Micros::from_secs(3), move |w| {
                    let now = w.now;
                    if let Some(l) = w.lead(i, process)
                        && l.scheduler
                            .machines
                            .get(&m)
                            .is_some_and(|x| x.direct_open && x.epoch.max(1) == epoch)
                    {
                        l.scheduler.direct_failed(&m, true, now);
                    }
                });
            }
        }
    }

    /// Reads a job's record; what has no answer within 1.5 s has failed.
    fn record_reloaded(&mut self, i: usize, process: u64, job: JobId) {
        let open = Rc::new(Cell::new(true));
        let (late, unanswered) = (job.clone(), open.clone());
        self.timer(i, Micros::from_millis(1500), move |w| {
            if unanswered.replace(false)
                && let Some(l) = w.lead(i, process)
            {
                l.scheduler.record_reload_failed(late);
            }
        });
        self.send(Host::Node(i), Host::State, move |w| {
            let found = match w.store.keys.get(&format!("job/{job}")) {
                Some(super::store::Entry {
                    value: Value::Job(r),
                    mod_revision,
                    ..
                }) => Some((r.clone(), ModRevision(*mod_revision))),
                _ => None,
            };
            let refused = w.state_refuses(i);
            w.send(Host::State, Host::Node(i), move |w| {
                let now = w.now;
                let Some(l) = w.lead(i, process).filter(|_| open.replace(false)) else {
                    return;
                };
                if refused {
                    l.scheduler.record_reload_failed(job)
                } else {
                    l.scheduler.record_reloaded(job, found, now)
                }
            });
        });
    }

    #[allow(clippy::too_many_arguments)]
    fn direct_arrives(
        &mut self,
        i: usize,
        process: u64,
        machine: MachineId,
        token: FencingToken,
        epoch: u64,
        commands: Vec<hopyoke_protocol::worker::Command>,
        sent: Micros,
    ) {
        let held = self
            .machines
            .get(&machine)
            .map(|m| m.orders_held_until)
            .filter(|t| *t > self.now);
        if let Some(t) = self.hung(&machine).or(held) {
            return self.at(t, move |w| {
                w.direct_arrives(i, process, machine, token, epoch, commands, sent)
            });
        }
        if self.hits(self.late_commands) {
            let late = Micros(self.random(2_000_000, 16_000_000));
            // It reaches the worker, whoever leads by now; nobody waits for the answer.
            return self.on_machine(&machine.clone(), late, move |w| {
                w.log(|| format!("{machine} takes orders of token {} late", token.0));
                w.direct(&machine, token, epoch, commands);
            });
        }
        let Some((executed, heartbeat)) = self.direct(&machine, token, epoch, commands) else {
            return;
        };
        let leaves = self
            .machines
            .get(&machine)
            .map_or(self.now, |m| m.answers_held_until);
        if self.now.max(leaves) >= sent + Micros::from_secs(3) {
            return;
        }
        self.at(leaves, move |w| {
            w.send(w.worker(&machine), Host::Node(i), move |w| {
                let now = w.now;
                if now < sent + Micros::from_secs(3)
                    && let Some(l) = w.lead(i, process)
                {
                    l.scheduler
                        .direct_answer(&machine, executed, Some(&heartbeat), now);
                    w.act(i, process);
                }
            });
        });
    }

    fn commit(&mut self, i: usize, process: u64, token: FencingToken, batch: Batch) {
        let mut when = vec![("leader".to_owned(), token.0)];
        let mut apply = Vec::new();
        for wr in &batch.writes {
            match wr {
                Write::Update {
                    job,
                    mod_revision,
                    record,
                } => {
                    when.push((format!("job/{job}"), mod_revision.0));
                    apply.push(Mutation::Put(
                        format!("job/{job}"),
                        Value::Job(record.clone()),
                        None,
                    ));
                }
                Write::End {
                    job,
                    mod_revision,
                    end,
                } => {
                    when.push((format!("job/{job}"), mod_revision.0));
                    apply.push(Mutation::Delete(format!("job/{job}")));
                    apply.push(Mutation::Put(format!("end/{job}"), Value::End(*end), None));
                }
                Write::Page {
                    key,
                    mod_revision,
                    page,
                } => {
                    when.push((format!("fleet/{key}"), mod_revision.0));
                    apply.push(match page {
                        Some(p) => {
                            Mutation::Put(format!("fleet/{key}"), Value::Page(p.clone()), None)
                        }
                        None => Mutation::Delete(format!("fleet/{key}")),
                    });
                }
                Write::Learned { key, page } => {
                    apply.push(Mutation::Put(
                        format!("learn/{key}"),
                        Value::Learned(page.clone()),
                        None,
                    ));
                }
                Write::DropPage { key } => apply.push(Mutation::Delete(format!("fleet/{key}"))),
            }
        }
        let (sent, changes) = (self.now, batch.changes());
        if let Some(p) = &mut self.nodes[i].part {
            p.door.changes_written(changes, sent);
        }
        let open = Rc::new(Cell::new(true));
        let (a, b) = (open.clone(), open);
        let (batch, late) = (batch.clone(), batch);
        self.send(Host::Node(i), Host::State, move |w| {
            let refused = w.state_refuses(i) || !w.state_takes(changes);
            let result = if refused {
                Err(BatchError::Refused)
            } else {
                let Some(result) = w.transact(&when, apply) else {
                    return;
                };
                result.map(ModRevision).map_err(|keys| {
                    if keys.iter().any(|k| k == "leader") {
                        return BatchError::Deposed;
                    }
                    let jobs = keys
                        .iter()
                        .filter_map(|k| k.strip_prefix("job/"))
                        .map(JobId::new)
                        .collect();
                    let pages = keys
                        .iter()
                        .filter_map(|k| k.strip_prefix("fleet/"))
                        .map(str::to_owned)
                        .collect();
                    BatchError::Conflict { jobs, pages }
                })
            };
            w.send(Host::State, Host::Node(i), move |w| {
                // What comes too late is left to the timer, which may be late as well.
                if w.now < sent + Micros::from_millis(2500) && a.replace(false) {
                    w.batch_over(i, process, batch, result);
                }
            });
        });
        self.timer(i, Micros::from_millis(2500), move |w| {
            if b.replace(false) {
                w.batch_over(i, process, late, Err(BatchError::Unknown));
            }
        });
    }

    fn batch_over(
        &mut self,
        i: usize,
        process: u64,
        batch: Batch,
        result: Result<ModRevision, BatchError>,
    ) {
        let now = self.now;
        let Some(l) = self.lead(i, process) else {
            return;
        };
        if result == Err(BatchError::Deposed) {
            self.nodes[i].lead = None;
            return self.seek(i, process, false);
        }
        l.writing = false;
        let ends = batch
            .writes
            .iter()
            .filter(|_| result.is_ok())
            .filter_map(|w| match w {
                Write::End { job, end, .. } => Some((job.clone(), end.state)),
                _ => None,
            });
        let ends: Vec<(JobId, JobState)> = ends.collect();
        l.scheduler.batch_ended(batch, result, now);
        self.nodes[i].finals.extend(ends);
        self.act(i, process);
    }

    /// A report reaches a node.
    pub fn node_heartbeat(&mut self, i: usize, heartbeat: Heartbeat, number: u64, copy: bool) {
        if !self.nodes[i].up && copy {
            return;
        }
        if !self.nodes[i].up {
            let (m, s) = (heartbeat.machine.clone(), heartbeat.epoch);
            let sent = self.now;
            return self.after(Micros::from_millis(5), move |w| {
                w.heartbeat_answered(&m, s, number, sent, Some(Err(None)))
            });
        }
        self.digest_message(Channel::Heartbeat, &heartbeat);
        let now = self.now;
        let lease_is_valid = self.lease_is_valid(i);
        let seen = self.nodes[i].leader_seen;
        let answer = match &mut self.nodes[i].lead {
            // No node takes a longer body.
            _ if heartbeat_chars(&heartbeat) > MOST_CHARS => Err(None),
            Some(l) if lease_is_valid && heartbeat.token <= l.scheduler.token => {
                let (looks, plans) = (l.scheduler.entities_visited(), l.scheduler.plans());
                let a = l.scheduler.heartbeat(&heartbeat, now);
                if l.scheduler.plans() == plans {
                    self.report_looks = self
                        .report_looks
                        .max(l.scheduler.entities_visited() - looks);
                }
                Ok((a.token, a.commands))
            }
            Some(_) => Err(None),
            None => Err(seen.filter(|s| *s != i)),
        };
        let p = self.nodes[i].process;
        if copy {
            // Nobody waits for its answer.
            return self.act(i, p);
        }
        let (m, s) = (heartbeat.machine.clone(), heartbeat.epoch);
        let sent = self.machines.get(&m).map_or(now, |m| m.last_report);
        let to = self.worker(&m);
        self.send(Host::Node(i), to, move |w| {
            w.heartbeat_answered(&m, s, number, sent, Some(answer))
        });
        self.act(i, p);
    }

    fn list(&mut self, i: usize, process: u64) {
        if self.lead(i, process).is_none() {
            return;
        }
        let now = self.now;
        let listed = self.cloud_list();
        if let Some(l) = self.lead(i, process) {
            l.scheduler.listed(&listed, now);
        }
        self.timer(i, Micros::from_secs(5), move |w| w.list(i, process));
    }

    fn cloud_rent(
        &mut self,
        request: &str,
        kind: &str,
        zone: &str,
        spot: bool,
        count: u32,
    ) -> Vec<MachineId> {
        if let Some(ids) = self.charters.get(request) {
            return ids.clone();
        }
        let key = (kind.to_owned(), zone.to_owned(), spot);
        let free = self.capacity.get(&key).copied().unwrap_or(0).min(count);
        if free == 0 {
            return Vec::new();
        }
        if let Some(c) = self.capacity.get_mut(&key) {
            *c -= free;
        }
        let boot = Micros::from_secs_f64(self.machine_type(kind).boot_s);
        let ids: Vec<MachineId> = (0..free)
            .map(|_| {
                let fails = self.never_boot > 0;
                self.never_boot = self.never_boot.saturating_sub(1);
                let spread = Micros(self.random(boot.0 * 6 / 10, boot.0 * 15 / 10));
                let takes = self.boot_takes(spread);
                self.add_machine(kind, zone, spot, (!fails).then_some(takes))
            })
            .collect();
        self.charters.insert(request.to_owned(), ids.clone());
        ids
    }
}
