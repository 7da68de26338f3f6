//! The graph of a run's steps, and its pages in the key-value store.

use crate::ids::StepNo;
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_types::JobId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The most steps of a run: their numbers have five digits in job ids.
pub const MAX_STEPS: usize = 100_000;
/// The most direct dependencies of a step; steps without a job join more.
pub const MAX_DEPENDENCIES: usize = 256;
/// The longest path of a step.
const MAX_PATH_BYTES: usize = 400;

/// One step: a job, or a join of others without a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanStep {
    /// Its path in the workflow, such as `convert/split`.
    pub path: String,
    /// Its dependencies: steps that must be done before it starts.
    #[serde(rename = "after", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<StepNo>,
    /// Its job's template, as an index of [`Plan::shapes`]; `None`: no job.
    #[serde(rename = "shape", default, skip_serializing_if = "Option::is_none")]
    pub job_template: Option<u32>,
    /// How many tasks its job has.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tasks: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// A run's graph.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Job templates that steps share; id and number of tasks are a step's own.
    #[serde(rename = "shapes")]
    pub job_templates: Vec<JobSpec>,
    /// The steps; a step's number is its index.
    pub steps: Vec<PlanStep>,
    /// What the run yields once all steps are done, as JSON.
    pub outputs: String,
}

/// A part of a plan, under `flowplan/RUN/PAGE`; written once.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PlanPage {
    /// The next job templates.
    #[serde(rename = "shapes", default, skip_serializing_if = "Vec::is_empty")]
    pub job_templates: Vec<JobSpec>,
    /// The next steps.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<PlanStep>,
    /// The next part of the outputs.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub outputs: String,
}

/// Why a plan can't be run or stored.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// More than [`MAX_STEPS`] steps.
    #[error("{0} steps; a run may have at most {MAX_STEPS}")]
    TooManySteps(usize),
    /// A step is invalid.
    #[error("step {path}: {what}")]
    InvalidStep {
        /// The step's path.
        path: String,
        /// What is wrong with it.
        what: String,
    },
    /// The dependencies have a cycle; names a step on it, or after it.
    #[error("the steps wait for each other in a circle: {0}")]
    Cycle(String),
    /// A part is larger than a value of the key-value store may be; names the part.
    #[error("a page of the plan does not fit a value of the state service: {0}")]
    TooLarge(String),
    /// Not all pages are there.
    #[error("pages of the plan are missing")]
    Incomplete,
}

impl Plan {
    /// Checks that each step has a path, known dependencies and a valid job of `team`, and that the graph has no cycle.
    ///
    /// # Errors
    /// The first invalid step, and why.
    pub fn check(&self, team: &str) -> Result<(), PlanError> {
        let n = self.steps.len();
        if n > MAX_STEPS {
            return Err(PlanError::TooManySteps(n));
        }
        for (i, step) in self.steps.iter().enumerate() {
            let fault = |what: String| {
                Err(PlanError::InvalidStep {
                    path: step.path.clone(),
                    what,
                })
            };
            if step.path.is_empty() || step.path.len() > MAX_PATH_BYTES {
                return fault(format!("its name must have 1 to {MAX_PATH_BYTES} bytes"));
            }
            if step.dependencies.len() > MAX_DEPENDENCIES {
                return fault(format!(
                    "it waits for {} steps; at most {MAX_DEPENDENCIES} are allowed",
                    step.dependencies.len()
                ));
            }
            if let Some(s) = step.dependencies.iter().find(|s| s.0 as usize >= n) {
                return fault(format!("it waits for step {}, and there are {n}", s.0));
            }
            let Some(shape) = step.job_template else {
                continue;
            };
            let Some(shape) = self.job_templates.get(shape as usize) else {
                return fault(format!("its shape {shape} is not in the plan"));
            };
            if shape.team != team {
                return fault(format!("its team is {}, the run's is {team}", shape.team));
            }
            if shape.kind == JobKind::Service {
                return fault("a service never ends, so it can't be a step".into());
            }
            let spec = self.job_spec(StepNo(i as u32), JobId::new("req-0"));
            if let Some(Err(e)) = spec.map(|s| s.check()) {
                return fault(e.to_string());
            }
        }
        match self.topological_order() {
            Ok(_) => Ok(()),
            Err(step) => Err(PlanError::Cycle(self.steps[step.0 as usize].path.clone())),
        }
    }

    /// The steps in topological order.
    ///
    /// # Errors
    /// A step on a cycle, or after one.
    pub fn topological_order(&self) -> Result<Vec<StepNo>, StepNo> {
        let n = self.steps.len();
        let mut open_dependencies: Vec<usize> =
            self.steps.iter().map(|s| s.dependencies.len()).collect();
        let dependents = self.dependents();
        let mut ready: VecDeque<u32> = (0..n as u32)
            .filter(|i| open_dependencies[*i as usize] == 0)
            .collect();
        let mut topological_order = Vec::with_capacity(n);
        while let Some(i) = ready.pop_front() {
            topological_order.push(StepNo(i));
            for &f in &dependents[i as usize] {
                open_dependencies[f as usize] -= 1;
                if open_dependencies[f as usize] == 0 {
                    ready.push_back(f);
                }
            }
        }
        match open_dependencies.iter().position(|w| *w > 0) {
            Some(step) => Err(StepNo(step as u32)),
            None => Ok(topological_order),
        }
    }

    /// The dependents of each step, by step; one that names it several times is there as often.
    pub fn dependents(&self) -> Vec<Vec<u32>> {
        let mut out = vec![Vec::new(); self.steps.len()];
        for (i, step) in self.steps.iter().enumerate() {
            for s in &step.dependencies {
                if let Some(list) = out.get_mut(s.0 as usize) {
                    list.push(i as u32);
                }
            }
        }
        out
    }

    /// The job of a step under this id; `None`: it has none.
    pub fn job_spec(&self, step: StepNo, id: JobId) -> Option<JobSpec> {
        let step = self.steps.get(step.0 as usize)?;
        let shape = self.job_templates.get(step.job_template? as usize)?;
        Some(JobSpec {
            id,
            tasks: step.tasks,
            ..shape.clone()
        })
    }

    /// A digest of the plan as JSON: equal for equal plans, in every version of the program.
    pub fn digest(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(serde_json::to_string(self).unwrap_or_default().as_bytes())
    }

    /// Splits the plan into pages of at most `value_bytes` as JSON.
    ///
    /// # Errors
    /// A part that is too large alone.
    pub fn pages(&self, value_bytes: usize) -> Result<Vec<PlanPage>, PlanError> {
        // The page's own braces, names and commas.
        let max_bytes = value_bytes.saturating_sub(64);
        let size =
            |json: Result<String, serde_json::Error>| json.map_or(usize::MAX, |t| t.len() + 1);
        let mut pages = vec![PlanPage::default()];
        let mut used = 0;
        let mut place = |pages: &mut Vec<PlanPage>, bytes: usize, what: &str| {
            if bytes > max_bytes {
                return Err(PlanError::TooLarge(what.to_owned()));
            }
            if used + bytes > max_bytes {
                pages.push(PlanPage::default());
                used = 0;
            }
            used += bytes;
            Ok(())
        };
        for shape in &self.job_templates {
            place(
                &mut pages,
                size(serde_json::to_string(shape)),
                &format!("a job of class {}", shape.class),
            )?;
            pages
                .last_mut()
                .expect("at least one page")
                .job_templates
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
            let mut cut = (max_bytes / 6).min(rest.len());
            while !rest.is_char_boundary(cut) {
                cut -= 1;
            }
            let (part, remainder) = rest.split_at(cut);
            place(&mut pages, size(serde_json::to_string(part)), "the outputs")?;
            pages
                .last_mut()
                .expect("at least one page")
                .outputs
                .push_str(part);
            rest = remainder;
        }
        Ok(pages)
    }

    /// Joins pages, which must be complete and in their order.
    pub fn from_pages(pages: impl IntoIterator<Item = PlanPage>) -> Plan {
        let mut plan = Plan::default();
        for p in pages {
            plan.job_templates.extend(p.job_templates);
            plan.steps.extend(p.steps);
            plan.outputs.push_str(&p.outputs);
        }
        plan
    }
}
