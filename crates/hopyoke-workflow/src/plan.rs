//! The DAG of a run's steps, its validation and its division into pages for the key-value store.

use crate::ids::StepNo;
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_types::JobId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The maximum number of steps of a run; step numbers have five digits in job ids.
pub const MAX_STEPS: usize = 100_000;
/// The maximum number of direct dependencies of a step. Larger fan-ins go through steps without a job.
pub const MAX_DEPENDENCIES: usize = 256;
/// The maximum length of a step's path.
const MAX_PATH_BYTES: usize = 400;

/// A step: a job, or a join of its dependencies without a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanStep {
    /// The step's path in the workflow, such as `convert/split`.
    pub path: String,
    /// The steps that must be done before this one starts.
    #[serde(rename = "after", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<StepNo>,
    /// The index of its job's template in [`Plan::job_templates`], or `None` if the step has no job.
    #[serde(rename = "shape", default, skip_serializing_if = "Option::is_none")]
    pub job_template: Option<u32>,
    /// The number of tasks of its job.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tasks: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// The plan of a run: its DAG and job templates.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Job templates, shared by steps. Each step sets the id and the number of tasks.
    #[serde(rename = "shapes")]
    pub job_templates: Vec<JobSpec>,
    /// The steps; a step's number is its index.
    pub steps: Vec<PlanStep>,
    /// The run's outputs as JSON, valid once all steps are done.
    pub outputs: String,
}

/// A part of a plan, stored under `flowplan/RUN/PAGE` and never changed.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PlanPage {
    /// Job templates that follow those of earlier pages.
    #[serde(rename = "shapes", default, skip_serializing_if = "Vec::is_empty")]
    pub job_templates: Vec<JobSpec>,
    /// Steps that follow those of earlier pages.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<PlanStep>,
    /// The part of the outputs' text that follows those of earlier pages.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub outputs: String,
}

/// An error in a plan that prevents it from being executed or stored.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The plan has more than [`MAX_STEPS`] steps.
    #[error("{0} steps; a run may have at most {MAX_STEPS}")]
    TooManySteps(usize),
    /// A step is invalid.
    #[error("step {path}: {reason}")]
    InvalidStep {
        /// The step's path.
        path: String,
        /// Why the step is invalid.
        reason: String,
    },
    /// The dependencies have a cycle. Holds the path of a step on the cycle or downstream of it.
    #[error("the steps wait for each other in a circle: {0}")]
    Cycle(String),
    /// A part of the plan exceeds the maximum value size of the key-value store. Holds a description of the part.
    #[error("a page of the plan does not fit a value of the state service: {0}")]
    TooLarge(String),
    /// Not all pages exist.
    #[error("pages of the plan are missing")]
    Incomplete,
}

impl Plan {
    /// Checks that each step has a path, existing dependencies and a valid job of `team`, and that the graph is
    /// acyclic.
    ///
    /// # Errors
    /// Returns the first invalid step and the reason, or a cycle.
    pub fn check(&self, team: &str) -> Result<(), PlanError> {
        let n = self.steps.len();
        if n > MAX_STEPS {
            return Err(PlanError::TooManySteps(n));
        }
        for (i, step) in self.steps.iter().enumerate() {
            let invalid_step = |reason: String| {
                Err(PlanError::InvalidStep {
                    path: step.path.clone(),
                    reason,
                })
            };
            if step.path.is_empty() || step.path.len() > MAX_PATH_BYTES {
                return invalid_step(format!("its name must have 1 to {MAX_PATH_BYTES} bytes"));
            }
            if step.dependencies.len() > MAX_DEPENDENCIES {
                return invalid_step(format!(
                    "it waits for {} steps; at most {MAX_DEPENDENCIES} are allowed",
                    step.dependencies.len()
                ));
            }
            if let Some(s) = step.dependencies.iter().find(|s| s.0 as usize >= n) {
                return invalid_step(format!("it waits for step {}, and there are {n}", s.0));
            }
            let Some(t) = step.job_template else { continue };
            let Some(template) = self.job_templates.get(t as usize) else {
                return invalid_step(format!("its shape {t} is not in the plan"));
            };
            if template.team != team {
                return invalid_step(format!(
                    "its team is {}, the run's is {team}",
                    template.team
                ));
            }
            if template.kind == JobKind::Service {
                return invalid_step("a service never ends, so it can't be a step".into());
            }
            let spec = self.job_spec(StepNo(i as u32), JobId::new("req-0"));
            if let Some(Err(e)) = spec.map(|s| s.check()) {
                return invalid_step(e.to_string());
            }
        }
        match self.topological_order() {
            Ok(_) => Ok(()),
            Err(step) => Err(PlanError::Cycle(self.steps[step.0 as usize].path.clone())),
        }
    }

    /// Returns the steps in topological order.
    ///
    /// # Errors
    /// Returns a step on a cycle or downstream of one.
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
            for &dependent in &dependents[i as usize] {
                open_dependencies[dependent as usize] -= 1;
                if open_dependencies[dependent as usize] == 0 {
                    ready.push_back(dependent);
                }
            }
        }
        match open_dependencies.iter().position(|n| *n > 0) {
            Some(step) => Err(StepNo(step as u32)),
            None => Ok(topological_order),
        }
    }

    /// Returns the dependents of each step, indexed by step. A dependent that lists a step several times appears as
    /// often.
    pub fn dependents(&self) -> Vec<Vec<u32>> {
        let mut out = vec![Vec::new(); self.steps.len()];
        for (i, step) in self.steps.iter().enumerate() {
            for dependency in &step.dependencies {
                if let Some(dependents) = out.get_mut(dependency.0 as usize) {
                    dependents.push(i as u32);
                }
            }
        }
        out
    }

    /// Returns the specification of a step's job with this id, or `None` if the step has no job.
    pub fn job_spec(&self, step: StepNo, id: JobId) -> Option<JobSpec> {
        let step = self.steps.get(step.0 as usize)?;
        let template = self.job_templates.get(step.job_template? as usize)?;
        Some(JobSpec {
            id,
            tasks: step.tasks,
            ..template.clone()
        })
    }

    /// Returns the digest of the plan's JSON form, which is the same in all versions of the program.
    pub fn digest(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(serde_json::to_string(self).unwrap_or_default().as_bytes())
    }

    /// Splits the plan into pages of at most `value_bytes` bytes of JSON.
    ///
    /// # Errors
    /// Returns [`PlanError::TooLarge`] if a single part does not fit on a page.
    pub fn pages(&self, value_bytes: usize) -> Result<Vec<PlanPage>, PlanError> {
        // Reserves space for the page's braces, field names and commas.
        let max_bytes = value_bytes.saturating_sub(64);
        let size =
            |json: Result<String, serde_json::Error>| json.map_or(usize::MAX, |t| t.len() + 1);
        let mut pages = vec![PlanPage::default()];
        let mut used = 0;
        let mut reserve = |pages: &mut Vec<PlanPage>, bytes: usize, part: &str| {
            if bytes > max_bytes {
                return Err(PlanError::TooLarge(part.to_owned()));
            }
            if used + bytes > max_bytes {
                pages.push(PlanPage::default());
                used = 0;
            }
            used += bytes;
            Ok(())
        };
        for template in &self.job_templates {
            reserve(
                &mut pages,
                size(serde_json::to_string(template)),
                &format!("a job of class {}", template.class),
            )?;
            pages
                .last_mut()
                .expect("at least one page")
                .job_templates
                .push(template.clone());
        }
        for step in &self.steps {
            reserve(
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
        // JSON escaping can expand a byte to six.
        let mut rest = self.outputs.as_str();
        while !rest.is_empty() {
            let mut cut = (max_bytes / 6).min(rest.len());
            while !rest.is_char_boundary(cut) {
                cut -= 1;
            }
            let (part, remainder) = rest.split_at(cut);
            reserve(&mut pages, size(serde_json::to_string(part)), "the outputs")?;
            pages
                .last_mut()
                .expect("at least one page")
                .outputs
                .push_str(part);
            rest = remainder;
        }
        Ok(pages)
    }

    /// Joins the pages of a plan, which must be complete and in order.
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
