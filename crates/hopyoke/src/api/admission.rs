//! Who of those that bring new work is let in: [`hopyoke_admission::AdmissionController`] with this node's clock.

use crate::node::Node;
use crate::peers::client::proto::Place;
use hopyoke_admission::{AdmissionController as Decisions, Bounds, QueueGossip, RetryAfter};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros};
use std::cell::RefCell;

pub struct AdmissionController {
    decisions: RefCell<Decisions>,
    teams: Vec<String>,
}

impl AdmissionController {
    /// `changes`: what the state service takes a second from all nodes, and how many nodes there are.
    pub fn new(changes: Bounds, teams: &[hopyoke_scheduler::Team]) -> AdmissionController {
        let guaranteed: Vec<bool> = teams.iter().map(|t| t.cpus > 0.0 || t.gpus > 0.0).collect();
        let decisions = Decisions::new(changes, &guaranteed, runtime::now());
        AdmissionController {
            decisions: RefCell::new(decisions),
            teams: teams.iter().map(|t| t.name.clone()).collect(),
        }
    }

    fn team(&self, name: &str) -> usize {
        self.teams
            .iter()
            .position(|t| t == name)
            .unwrap_or(self.teams.len())
    }

    /// One asks to be let in with a job.
    ///
    /// # Errors
    /// There is no room: when to come back.
    pub fn enter(&self, node: &Node, spec: &JobSpec) -> Result<(), RetryAfter> {
        let (team, leads) = (self.team(&spec.team), node.leadership().is_some());
        self.decisions
            .borrow_mut()
            .enter(&spec.id, team, leads, runtime::now())
    }

    /// One was let in, and found no room further on.
    pub fn refuse(&self, node: &Node, id: &JobId, team: &str) -> RetryAfter {
        let (team, leads) = (self.team(team), node.leadership().is_some());
        self.decisions
            .borrow_mut()
            .refuse(id, team, leads, runtime::now())
    }

    /// The leader told what its records need, in answer to what was sent at `sent`.
    pub fn heard(&self, need: f64, sent: Micros) {
        self.decisions.borrow_mut().heard(need, sent);
    }

    /// What we ask our peers for.
    pub fn wants(&self) -> f64 {
        self.decisions.borrow_mut().wants(runtime::now())
    }

    /// A peer asks; what it gets.
    pub fn lend(&self, peer: usize, wants: f64) -> f64 {
        self.decisions
            .borrow_mut()
            .lend(peer, wants, runtime::now())
    }

    /// A peer lent us changes, in answer to what was asked at `sent`.
    pub fn borrowed(&self, peer: usize, rate: f64, sent: Micros) {
        self.decisions.borrow_mut().borrowed(peer, rate, sent);
    }

    /// What to tell a peer of our line.
    pub fn words(&self, peer: usize) -> Vec<Place> {
        let words = self.decisions.borrow_mut().words(peer, runtime::now());
        let place = |w: QueueGossip| Place {
            job: w.job.to_string(),
            team: w.tenant as u32,
            due_us: w.due_in.map_or(0, |span| span.0.max(1)),
        };
        words.into_iter().map(place).collect()
    }

    /// A peer told of its line. What is no job's id is passed over.
    pub fn heard_words(&self, peer: usize, places: &[Place]) {
        let word = |p: &Place| {
            let due_in = (p.due_us > 0).then_some(Micros(p.due_us));
            Some(QueueGossip {
                job: JobId::parse(&p.job)?,
                tenant: p.team as usize,
                due_in,
            })
        };
        let words: Vec<QueueGossip> = places.iter().filter_map(word).collect();
        self.decisions
            .borrow_mut()
            .heard_words(peer, &words, runtime::now());
    }

    pub fn is_pressed(&self) -> bool {
        self.decisions.borrow_mut().is_pressed(runtime::now())
    }

    /// We lead, and wrote so many changes.
    pub fn wrote(&self, changes: usize) {
        self.decisions.borrow_mut().wrote(changes, runtime::now());
    }

    /// We lead, and have more to write than the rate allows.
    pub fn short(&self) {
        self.decisions.borrow_mut().short(runtime::now());
    }

    /// What our records need while we lead.
    pub fn need(&self) -> f64 {
        self.decisions.borrow_mut().write_demand(runtime::now())
    }

    /// Let in, refused, the line, and the rate, for operators.
    pub fn counts(&self) -> (u64, u64, Micros, f64) {
        self.decisions.borrow_mut().counts(runtime::now())
    }

    /// By team: its name, let in, refused, for operators.
    pub fn team_counts(&self) -> Vec<(String, u64, u64)> {
        let names = self.teams.iter().cloned().chain(["others".to_owned()]);
        let decisions = self.decisions.borrow();
        names
            .zip(decisions.team_counts())
            .map(|(name, (let_in, refused))| (name, let_in, refused))
            .collect()
    }
}
