//! The graph of a run's steps, and its pages in the state service.

use crate::ids::StepNo;
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_types::JobId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The most steps of a run: their numbers have five digits in job ids.
pub const MOST_STEPS: usize = 100_000;
/// The most steps that one step may wait for; a step without work joins more.
pub const MOST_AFTER: usize = 256;
const MOST_PATH: usize = 400;

/// One step: a job, or only a place where others meet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanStep {
    /// Its name in the workflow, such as `convert/split`.
    pub path: String,
    /// Steps that must be done before it starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<StepNo>,
    /// Its job's shape, by its place in [`Plan::shapes`]; `None`: no work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shape: Option<u32>,
    /// Tasks of its job.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tasks: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// A run's graph.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Descriptions that steps share; id and number of tasks are a step's own.
    pub shapes: Vec<JobSpec>,
    pub steps: Vec<PlanStep>,
    /// What the run yields once all steps are done, as JSON.
    pub outputs: String,
}

/// A part of a plan, under `flowplan/RUN/PAGE`; written once.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PlanPage {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shapes: Vec<JobSpec>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<PlanStep>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub outputs: String,
}

/// Why a plan can't be run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    #[error("{0} steps; a run may have at most {MOST_STEPS}")]
    TooMany(usize),
    #[error("step {path}: {what}")]
    Step { path: String, what: String },
    #[error("the steps wait for each other in a circle: {0}")]
    Circle(String),
    #[error("a page of the plan does not fit a value of the state service: {0}")]
    TooLarge(String),
    #[error("pages of the plan are missing")]
    Incomplete,
}

impl Plan {
    /// Checks that every step can be told apart, waits for known steps, and has a valid job; that
    /// the graph has no circle; and that all jobs are of `team`.
    ///
    /// # Errors
    /// The first step at fault, and why.
    pub fn check(&self, team: &str) -> Result<(), PlanError> {
        let n = self.steps.len();
        if n > MOST_STEPS {
            return Err(PlanError::TooMany(n));
        }
        for (i, step) in self.steps.iter().enumerate() {
            let fault = |what: String| {
                Err(PlanError::Step {
                    path: step.path.clone(),
                    what,
                })
            };
            if step.path.is_empty() || step.path.len() > MOST_PATH {
                return fault(format!("its name must have 1 to {MOST_PATH} bytes"));
            }
            if step.after.len() > MOST_AFTER {
                return fault(format!(
                    "it waits for {} steps; at most {MOST_AFTER} are allowed",
                    step.after.len()
                ));
            }
            if let Some(s) = step.after.iter().find(|s| s.0 as usize >= n) {
                return fault(format!("it waits for step {}, and there are {n}", s.0));
            }
            let Some(shape) = step.shape else { continue };
            let Some(shape) = self.shapes.get(shape as usize) else {
                return fault(format!("its shape {shape} is not in the plan"));
            };
            if shape.team != team {
                return fault(format!("its team is {}, the run's is {team}", shape.team));
            }
            if shape.kind == JobKind::Service {
                return fault("a service never ends, so it can't be a step".into());
            }
            let spec = self.spec(StepNo(i as u32), JobId::new("req-0"));
            if let Some(Err(e)) = spec.map(|s| s.check()) {
                return fault(e.to_string());
            }
        }
        match self.order() {
            Ok(_) => Ok(()),
            Err(step) => Err(PlanError::Circle(self.steps[step.0 as usize].path.clone())),
        }
    }

    /// The steps in an order in which each comes after all that it waits for.
    ///
    /// # Errors
    /// A step on a circle, or after one.
    pub fn order(&self) -> Result<Vec<StepNo>, StepNo> {
        let n = self.steps.len();
        let mut waits: Vec<usize> = self.steps.iter().map(|s| s.after.len()).collect();
        let followers = self.followers();
        let mut ready: VecDeque<u32> = (0..n as u32).filter(|i| waits[*i as usize] == 0).collect();
        let mut order = Vec::with_capacity(n);
        while let Some(i) = ready.pop_front() {
            order.push(StepNo(i));
            for &f in &followers[i as usize] {
                waits[f as usize] -= 1;
                if waits[f as usize] == 0 {
                    ready.push_back(f);
                }
            }
        }
        match waits.iter().position(|w| *w > 0) {
            Some(step) => Err(StepNo(step as u32)),
            None => Ok(order),
        }
    }

    /// For each step, those that wait for it; once for each time that they name it.
    pub fn followers(&self) -> Vec<Vec<u32>> {
        let mut out = vec![Vec::new(); self.steps.len()];
        for (i, step) in self.steps.iter().enumerate() {
            for s in &step.after {
                if let Some(list) = out.get_mut(s.0 as usize) {
                    list.push(i as u32);
                }
            }
        }
        out
    }

    /// The job of a step under this id; `None`: it has no work.
    pub fn spec(&self, step: StepNo, id: JobId) -> Option<JobSpec> {
        let step = self.steps.get(step.0 as usize)?;
        let shape = self.shapes.get(step.shape? as usize)?;
        Some(JobSpec {
            id,
            tasks: step.tasks,
            ..shape.clone()
        })
    }

    /// The same for the same plan, whatever the version of the program that wrote it.
    pub fn digest(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(serde_json::to_string(self).unwrap_or_default().as_bytes())
    }

    /// Splits the plan into pages of at most `value_bytes` as JSON.
    ///
    /// # Errors
    /// A part that is too large alone.
    pub fn pages(&self, value_bytes: usize) -> Result<Vec<PlanPage>, PlanError> {
        // The page's own braces, names and commas.
        let most = value_bytes.saturating_sub(64);
        let size =
            |json: Result<String, serde_json::Error>| json.map_or(usize::MAX, |t| t.len() + 1);
        let mut pages = vec![PlanPage::default()];
        let mut used = 0;
        let mut place = |pages: &mut Vec<PlanPage>, bytes: usize, what: &str| {
            if bytes > most {
                return Err(PlanError::TooLarge(what.to_owned()));
            }
            if used + bytes > most {
                pages.push(PlanPage::default());
                used = 0;
            }
            used += bytes;
            Ok(())
        };
        for shape in &self.shapes {
            place(
                &mut pages,
                size(serde_json::to_string(shape)),
                &format!("a job of class {}", shape.class),
            )?;
            pages
                .last_mut()
                .expect("at least one page")
                .shapes
                .push(shape.clone());
        }
        for step in &self.steps {
            place(
                &mut pages,
                size(serde_json::to_string(step)),
                &format!("step {}", step.path),
            )?;
            pages
                .last_mut()
                .expect("at least one page")
                .steps
                .push(step.clone());
        }
        // Text may grow sixfold when it is escaped.
        let mut rest = self.outputs.as_str();
        while !rest.is_empty() {
            let mut cut = (most / 6).min(rest.len());
            while !rest.is_char_boundary(cut) {
                cut -= 1;
            }
            let (part, left) = rest.split_at(cut);
            place(&mut pages, size(serde_json::to_string(part)), "the outputs")?;
            pages
                .last_mut()
                .expect("at least one page")
                .outputs
                .push_str(part);
            rest = left;
        }
        Ok(pages)
    }

    /// Puts pages together again, in their order.
    pub fn of_pages(pages: impl IntoIterator<Item = PlanPage>) -> Plan {
        let mut plan = Plan::default();
        for p in pages {
            plan.shapes.extend(p.shapes);
            plan.steps.extend(p.steps);
            plan.outputs.push_str(&p.outputs);
        }
        plan
    }
}
