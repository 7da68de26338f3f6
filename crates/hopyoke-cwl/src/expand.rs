//! Expands a validated document and its inputs into a plan of tasks and their dependencies.

use crate::command::{CommandError, Description, IN_DIR, OUT_DIR, amount, describe};
use crate::diagnostic::{Diagnostics, Pos};
use crate::expr::{EvalContext, EvalError, Evaluator, deferred, find_deferred, is_deferred};
use crate::hints::{self, Scheduling};
use crate::js::{JsEngine, Limits};
use crate::load::Source;
use crate::model::{
    Input, Kind, LinkMerge, Output, PickValue, Process, ScatterMethod, Scope, SecondaryFile,
    Sources, Step, StepInput, Tool,
};
use crate::scatter;
use crate::types::Type;
use crate::yaml::{Data, Node};
use hopyoke_protocol::user::{JobKind, JobSpec, MAX_TASKS};
use hopyoke_types::JobId;
use hopyoke_workflow::{MAX_DEPENDENCIES, MAX_STEPS, Plan, PlanStep, RunId, StepNo};
use indexmap::IndexMap;
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of tasks in a run.
pub const MAX_RUN_TASKS: usize = 1_000_000;
/// The maximum number of values in all invocations of one scatter together.
const MAX_SCATTER_VALUES: usize = 20_000_000;
/// The maximum size of a file read for `loadContents`, as defined by CWL v1.2.
const MAX_CONTENTS_BYTES: usize = 64 * 1024;

/// Submission parameters that are not part of the document.
pub struct Options<'a> {
    pub run: RunId,
    /// The team. A document that names a different one is rejected.
    pub team: Option<String>,
    /// The team used if neither the submitter nor the document names one.
    pub fallback_team: Option<String>,
    /// The job class used if the document names none.
    pub class: Option<String>,
    /// The image of tools without a `DockerRequirement`.
    pub image: String,
    /// The source of files read for `loadContents`.
    pub source: Option<&'a dyn Source>,
    pub limits: Limits,
}

impl Options<'_> {
    pub fn new(run: RunId) -> Options<'static> {
        Options {
            run,
            team: None,
            fallback_team: None,
            class: None,
            image: "default".into(),
            source: None,
            limits: Limits::default(),
        }
    }
}

/// A plan with its team and task descriptions.
#[derive(Debug)]
pub struct Expanded {
    pub plan: Plan,
    pub team: String,
    /// The task descriptions of each step, for workers.
    pub tasks: BTreeMap<StepNo, Vec<Description>>,
}

/// Expands a document with its inputs.
///
/// Returns `None` if an error was reported: every error in the inputs, or the first error in the
/// document that appears only with these inputs.
pub fn expand(
    process: &Process,
    inputs: &Node,
    options: &Options<'_>,
    diagnostics: &mut Diagnostics,
) -> Option<Expanded> {
    let js = match JsEngine::new(options.limits) {
        Ok(js) => js,
        Err(e) => {
            diagnostics.error(process.pos, e.to_string(), "a working JavaScript engine");
            return None;
        }
    };
    let mut e = Expander {
        options,
        js: &js,
        diagnostics,
        plan: Plan::default(),
        shapes: BTreeMap::new(),
        tasks: BTreeMap::new(),
        task_count: 0,
        team: options.team.clone(),
        barrier: (BTreeSet::new(), 0),
    };
    let scope = Scope::default().nested(&process.requirement_set);
    let values = e.input_values(process, inputs).ok()?;
    let out = e
        .process(process, "", process.id.as_str(), values, &scope)
        .ok()?;
    let outputs: Map<String, Value> = out.into_iter().map(|(k, v)| (k, v.value)).collect();
    e.plan.outputs = Value::Object(outputs).to_string();
    let team = e.team.clone().unwrap_or_default();
    let (plan, tasks) = (e.plan, e.tasks);
    if plan.steps.iter().any(|s| s.job_template.is_some()) && team.is_empty() {
        diagnostics.error(
            process.pos,
            "no team is set",
            format!("{}: team, or --team", hints::CLASS),
        );
        return None;
    }
    if let Err(e) = plan.check(&team) {
        diagnostics.error(process.pos, e.to_string(), "a valid plan");
        return None;
    }
    Some(Expanded { plan, team, tasks })
}

/// Marks a failure whose error has already been added to the diagnostics.
struct Reported;

type Result<T> = std::result::Result<T, Reported>;

/// A value with the steps that must complete before it is available.
#[derive(Debug, Clone, Default)]
struct TrackedValue {
    value: Value,
    deps: BTreeSet<StepNo>,
}

type Values = IndexMap<String, TrackedValue>;

struct Expander<'a, 'f> {
    options: &'a Options<'a>,
    js: &'a JsEngine,
    diagnostics: &'f mut Diagnostics,
    plan: Plan,
    /// Indices of shapes keyed by their JSON, for deduplication.
    shapes: BTreeMap<String, u32>,
    tasks: BTreeMap<StepNo, Vec<Description>>,
    /// The number of tasks expanded so far.
    task_count: usize,
    team: Option<String>,
    /// The dependencies of the step being expanded and the index of its first own plan step. Anything
    /// that depends on one of its own plan steps already depends on all of these.
    barrier: (BTreeSet<StepNo>, u32),
}

/// One task of a tool, before tasks of equal shape are grouped into jobs.
struct Task {
    shape: u32,
    description: Description,
    context: EvalContext,
}

impl<'a> Expander<'a, '_> {
    fn fail<T>(
        &mut self,
        pos: Pos,
        message: impl Into<String>,
        expected: impl Into<String>,
    ) -> Result<T> {
        self.diagnostics.error(pos, message, expected);
        Err(Reported)
    }

    fn fail_with<T>(&mut self, e: CommandError) -> Result<T> {
        self.fail(
            e.pos,
            e.message,
            "a value that is known before the task runs",
        )
    }

    fn evaluator(&self, scope: &Scope) -> Evaluator<'a> {
        let requirement = scope.find("InlineJavascriptRequirement");
        let library = requirement
            .and_then(|w| w.body.get("expressionLib"))
            .and_then(Node::as_seq)
            .unwrap_or_default()
            .iter()
            .filter_map(|n| n.as_str().map(str::to_owned))
            .collect();
        Evaluator {
            js: requirement.map(|_| self.js),
            library,
        }
    }

    /// Returns the submitted inputs after type checks, with defaults applied.
    fn input_values(&mut self, process: &Process, inputs: &Node) -> Result<Values> {
        let entries = match &inputs.data {
            Data::Map(entries) => entries.as_slice(),
            Data::Null => &[],
            _ => {
                return self.fail(
                    inputs.pos,
                    "inputs must be a map",
                    "a map keyed by input id",
                );
            }
        };
        let mut valid = true;
        for e in entries {
            if process.input(&e.key).is_none() && !e.key.contains(':') && e.key != "id" {
                let ids: Vec<&str> = process.inputs.iter().map(|i| i.id.as_str()).collect();
                let expected = format!("one of {}", ids.join(", "));
                self.diagnostics.error(
                    e.pos,
                    format!("{} has no input '{}'", process.class(), e.key),
                    expected,
                );
                valid = false;
            }
        }
        let mut out = Values::new();
        for input in &process.inputs {
            let entry = entries.iter().find(|e| e.key == input.id);
            let provided = entry.map(|e| e.node.to_value()).filter(|v| !v.is_null());
            let value = provided
                .or_else(|| input.default.clone())
                .unwrap_or(Value::Null);
            if !input.ty.accepts(&value) {
                let (pos, message) = match entry {
                    Some(e) => (
                        e.node.pos,
                        format!("input '{}' cannot be {}", input.id, e.node.kind()),
                    ),
                    None => (inputs.pos, format!("input '{}' is missing", input.id)),
                };
                self.diagnostics.error(pos, message, input.ty.to_string());
                valid = false;
            }
            out.insert(
                input.id.clone(),
                TrackedValue {
                    value,
                    deps: BTreeSet::new(),
                },
            );
        }
        if valid { Ok(out) } else { Err(Reported) }
    }

    /// Adds the tasks of a process to the plan and returns its outputs.
    fn process(
        &mut self,
        p: &Process,
        path: &str,
        name: &str,
        inputs: Values,
        scope: &Scope,
    ) -> Result<Values> {
        match &p.kind {
            Kind::Tool(tool) => {
                let mut all = self.tool(p, tool, path, name, vec![inputs], scope)?;
                all.pop().ok_or(Reported)
            }
            Kind::Expression(text) => {
                let inputs = self.prepare_inputs(p, inputs, scope)?;
                let context = eval_context(&inputs, Value::Null, json!({}));
                let value = match self.evaluator(scope).value(&text.text, &context) {
                    Ok(v) => v,
                    Err(e) => {
                        return self.fail(text.pos, e.to_string(), "ExpressionTool: expression");
                    }
                };
                let deps = all_deps(inputs.values());
                let mut out = Values::new();
                for o in &p.outputs {
                    let v = value.get(&o.id).cloned().unwrap_or(Value::Null);
                    if !o.ty.accepts(&v) {
                        return self.fail(
                            o.pos,
                            format!("output '{}' cannot be {v}", o.id),
                            o.ty.to_string(),
                        );
                    }
                    out.insert(
                        o.id.clone(),
                        TrackedValue {
                            value: v,
                            deps: deps.clone(),
                        },
                    );
                }
                Ok(out)
            }
            Kind::Workflow(steps) => self.workflow(p, steps, path, inputs, scope),
        }
    }

    fn workflow(
        &mut self,
        p: &Process,
        steps: &[Step],
        path: &str,
        inputs: Values,
        scope: &Scope,
    ) -> Result<Values> {
        let inputs = self.prepare_inputs(p, inputs, scope)?;
        let mut values_by_source: IndexMap<String, TrackedValue> = inputs;
        // Expands the steps in topological order: repeatedly those whose sources have been expanded.
        let mut remaining: Vec<&Step> = steps.iter().collect();
        while !remaining.is_empty() {
            let ids: BTreeSet<&str> = remaining.iter().map(|s| s.id.as_str()).collect();
            let waits = |s: &Step| {
                let sources = s.inputs.iter().flat_map(|i| &i.source.from);
                sources
                    .filter_map(|t| t.text.split_once('/'))
                    .any(|(step, _)| ids.contains(step))
            };
            let (ready, deferred): (Vec<&Step>, Vec<&Step>) =
                remaining.iter().copied().partition(|s| !waits(s));
            let Some(first) = deferred.first().filter(|_| ready.is_empty()) else {
                for step in ready {
                    let path = if path.is_empty() {
                        step.id.clone()
                    } else {
                        format!("{path}/{}", step.id)
                    };
                    let out = self.step(step, &path, &values_by_source, scope)?;
                    for (id, tracked) in out {
                        values_by_source.insert(format!("{}/{id}", step.id), tracked);
                    }
                }
                remaining = deferred;
                continue;
            };
            return self.fail(
                first.pos,
                format!("step '{}' depends on itself", first.id),
                "steps without cycles",
            );
        }
        let mut out = Values::new();
        for o in &p.outputs {
            let tracked = self.gather(&o.source, &values_by_source, o.pos)?;
            if !o.ty.accepts(&tracked.value) {
                let message = format!("output '{}' cannot be {}", o.id, abbreviate(&tracked.value));
                return self.fail(o.pos, message, o.ty.to_string());
            }
            out.insert(o.id.clone(), tracked);
        }
        Ok(out)
    }

    /// Combines the values of all sources of a link, as linkMerge and pickValue specify.
    fn gather(&mut self, s: &Sources, values_by_source: &Values, pos: Pos) -> Result<TrackedValue> {
        let mut list = Vec::new();
        let mut deps = BTreeSet::new();
        for source in &s.from {
            let Some(tracked) = values_by_source.get(&source.text) else {
                return self.fail(
                    source.pos,
                    format!("unknown source '{}'", source.text),
                    "an input or a step output",
                );
            };
            deps.extend(tracked.deps.iter().copied());
            list.push(tracked.value.clone());
        }
        if !s.is_list {
            return Ok(TrackedValue {
                value: list.pop().unwrap_or(Value::Null),
                deps,
            });
        }
        if s.merge == LinkMerge::Flattened {
            let mut flat = Vec::new();
            for v in list {
                match v {
                    Value::Array(items) => flat.extend(items),
                    v if is_deferred(&v) && may_be_list(&v) => {
                        let of = find_deferred(&v).unwrap_or_default().to_owned();
                        return self.fail(
                            pos,
                            EvalError::Deferred(of).to_string(),
                            "linkMerge: lists whose length is known before the run",
                        );
                    }
                    v => flat.push(v),
                }
            }
            list = flat;
        }
        let Some(pick) = s.pick else {
            return Ok(TrackedValue {
                value: Value::Array(list),
                deps,
            });
        };
        if let Some(v) = list
            .iter()
            .find(|v| is_deferred(v) && v.get("optional").is_some())
        {
            let of = find_deferred(v).unwrap_or_default().to_owned();
            return self.fail(
                pos,
                EvalError::Deferred(of).to_string(),
                "pickValue: values whose nullness is known before the run",
            );
        }
        let mut non_null: Vec<Value> = list.into_iter().filter(|v| !v.is_null()).collect();
        let value = match pick {
            PickValue::AllNonNull => Value::Array(non_null),
            PickValue::FirstNonNull if non_null.is_empty() => {
                return self.fail(pos, "all values are null", "pickValue: first_non_null");
            }
            PickValue::OnlyNonNull if non_null.len() != 1 => {
                let message = format!("{} values are not null", non_null.len());
                return self.fail(pos, message, "pickValue: the_only_non_null");
            }
            _ => non_null.swap_remove(0),
        };
        Ok(TrackedValue { value, deps })
    }

    fn step(
        &mut self,
        step: &Step,
        path: &str,
        values_by_source: &Values,
        scope: &Scope,
    ) -> Result<Values> {
        let scope = scope
            .nested(&step.requirement_set)
            .nested(&step.run.requirement_set);
        let mut inputs = Values::new();
        for input in &step.inputs {
            let mut tracked = self.gather(&input.source, values_by_source, input.pos)?;
            if tracked.value.is_null()
                && let Some(default) = &input.default
            {
                tracked.value = default.clone();
            }
            inputs.insert(input.id.clone(), tracked);
        }
        // A step depends on all its sources, including those that its process does not declare as inputs.
        let mut barrier = all_deps(inputs.values());
        if barrier.iter().all(|s| s.0 < self.barrier.1) {
            barrier.extend(self.barrier.0.iter().copied());
        }
        let barrier = self.limit_fan_in(barrier, path, step.pos)?;
        let outer = std::mem::replace(&mut self.barrier, (barrier, self.plan.steps.len() as u32));
        let out = self.step_inside_barrier(step, path, inputs, &scope);
        self.barrier = outer;
        Ok(out?
            .into_iter()
            .filter(|(id, _)| step.outputs.contains(id))
            .collect())
    }

    fn step_inside_barrier(
        &mut self,
        step: &Step,
        path: &str,
        inputs: Values,
        scope: &Scope,
    ) -> Result<Values> {
        if step.scatter.is_empty() {
            let deps = all_deps(inputs.values());
            match self.evaluate_inputs(step, inputs, scope)? {
                None => Ok(null_outputs(step, &deps)),
                Some(inputs) => {
                    let inputs = self.step_inputs(step, inputs)?;
                    self.process(&step.run, path, &step.id, inputs, scope)
                }
            }
        } else {
            self.scatter_step(step, path, inputs, scope)
        }
    }

    /// Evaluates `valueFrom` and `when` of one invocation. Returns `None` if `when` is false.
    fn evaluate_inputs(
        &mut self,
        step: &Step,
        inputs: Values,
        scope: &Scope,
    ) -> Result<Option<Values>> {
        let eval = self.evaluator(scope);
        let mut out = inputs.clone();
        for StepInput { id, value_from, .. } in &step.inputs {
            let Some(from) = value_from else { continue };
            let self_value = inputs.get(id).map_or(Value::Null, |b| b.value.clone());
            let context = eval_context(&inputs, self_value, json!({}));
            match eval.value(&from.text, &context) {
                // The expression may use any input of the step.
                Ok(value) => {
                    out.insert(
                        id.clone(),
                        TrackedValue {
                            value,
                            deps: all_deps(inputs.values()),
                        },
                    );
                }
                Err(e) => {
                    return self.fail(from.pos, e.to_string(), "WorkflowStepInput: valueFrom");
                }
            }
        }
        let Some(when) = &step.when else {
            return Ok(Some(out));
        };
        match eval.value(&when.text, &eval_context(&out, Value::Null, json!({}))) {
            Ok(Value::Bool(true)) => Ok(Some(out)),
            Ok(Value::Bool(false)) => Ok(None),
            Ok(v) => self.fail(
                when.pos,
                format!("when must be true or false, not {v}"),
                "WorkflowStep: when",
            ),
            Err(e) => self.fail(when.pos, e.to_string(), "WorkflowStep: when"),
        }
    }

    /// Maps a step's values to its process's declared inputs, with defaults applied.
    fn step_inputs(&mut self, step: &Step, mut inputs: Values) -> Result<Values> {
        let mut out = Values::new();
        for input in &step.run.inputs {
            let mut tracked = inputs.swap_remove(&input.id).unwrap_or_default();
            if tracked.value.is_null()
                && let Some(default) = &input.default
            {
                tracked.value = default.clone();
            }
            if !input.ty.accepts(&tracked.value) {
                let pos = step
                    .inputs
                    .iter()
                    .find(|i| i.id == input.id)
                    .map_or(step.pos, |i| i.pos);
                let message = format!(
                    "input '{}' of step '{}' cannot be {}",
                    input.id,
                    step.id,
                    abbreviate(&tracked.value)
                );
                return self.fail(pos, message, input.ty.to_string());
            }
            out.insert(input.id.clone(), tracked);
        }
        Ok(out)
    }

    fn scatter_step(
        &mut self,
        step: &Step,
        path: &str,
        mut inputs: Values,
        scope: &Scope,
    ) -> Result<Values> {
        let mut lists: Vec<(&str, Vec<Value>)> = Vec::new();
        for s in &step.scatter {
            let value = inputs
                .get_mut(&s.text)
                .map_or(Value::Null, |b| std::mem::take(&mut b.value));
            match value {
                Value::Array(list) => lists.push((&s.text, list)),
                v => {
                    let why = match find_deferred(&v) {
                        Some(of) => EvalError::Deferred(of.to_owned()).to_string(),
                        None => format!("its value is {}", abbreviate(&v)),
                    };
                    let message = format!("cannot scatter '{}': {why}", s.text);
                    return self.fail(
                        s.pos,
                        message,
                        "scatter: a list whose length is known before the run",
                    );
                }
            }
        }
        let scatter_method = step.scatter_method.unwrap_or(ScatterMethod::Dot);
        let lengths: Vec<usize> = lists.iter().map(|(_, l)| l.len()).collect();
        let limit = MAX_RUN_TASKS - self.task_count;
        let invocations = match scatter::invocations(scatter_method, &lengths, limit) {
            Ok(p) => p,
            Err(e) => return self.fail(step.pos, e, "WorkflowStep: scatter"),
        };
        // Each invocation has its own copy of the inputs that are not scattered.
        let total_values = invocations
            .len()
            .saturating_mul(inputs.values().map(|b| value_count(&b.value)).sum());
        if total_values > MAX_SCATTER_VALUES {
            let message = format!(
                "{} invocations with {} values each",
                invocations.len(),
                total_values / invocations.len().max(1)
            );
            return self.fail(
                step.pos,
                message,
                format!("at most {MAX_SCATTER_VALUES} values in all invocations of a scatter"),
            );
        }
        let deps = all_deps(inputs.values());
        let mut running: Vec<(usize, Values)> = Vec::new();
        for (k, indices) in invocations.iter().enumerate() {
            let mut invocation_inputs = inputs.clone();
            for ((id, list), i) in lists.iter().zip(indices) {
                if let Some(tracked) = invocation_inputs.get_mut(*id) {
                    tracked.value = list[*i].clone();
                }
            }
            if let Some(evaluated) = self.evaluate_inputs(step, invocation_inputs, scope)? {
                running.push((k, self.step_inputs(step, evaluated)?));
            }
        }
        let mut results: Vec<Option<Values>> = invocations.iter().map(|_| None).collect();
        match &step.run.kind {
            // Tasks of equal shape become one job.
            Kind::Tool(tool) => {
                let (order, running): (Vec<usize>, Vec<Values>) = running.into_iter().unzip();
                let all = self.tool(&step.run, tool, path, &step.id, running, scope)?;
                for (k, out) in order.into_iter().zip(all) {
                    results[k] = Some(out);
                }
            }
            _ => {
                for (k, one) in running {
                    let path = format!("{path}[{k}]");
                    results[k] = Some(self.process(&step.run, &path, &step.id, one, scope)?);
                }
            }
        }
        let mut out = Values::new();
        for id in &step.outputs {
            let mut values = Vec::with_capacity(results.len());
            // An invocation that runs already depends on the step's sources.
            let mut all = if results.iter().any(Option::is_some) {
                BTreeSet::new()
            } else {
                deps.clone()
            };
            for r in &results {
                let tracked = r.as_ref().and_then(|r| r.get(id));
                values.push(tracked.map_or(Value::Null, |b| b.value.clone()));
                all.extend(tracked.iter().flat_map(|b| b.deps.iter().copied()));
            }
            let deps = self.limit_fan_in(all, path, step.pos)?;
            out.insert(
                id.clone(),
                TrackedValue {
                    value: scatter::collect_outputs(scatter_method, &lengths, values),
                    deps,
                },
            );
        }
        Ok(out)
    }

    /// Replaces a large set of dependencies by a few join steps, which have no tasks.
    fn limit_fan_in(
        &mut self,
        mut deps: BTreeSet<StepNo>,
        path: &str,
        pos: Pos,
    ) -> Result<BTreeSet<StepNo>> {
        while deps.len() > MAX_DEPENDENCIES / 4 {
            let all: Vec<StepNo> = deps.into_iter().collect();
            deps = BTreeSet::new();
            for chunk in all.chunks(MAX_DEPENDENCIES) {
                let step = PlanStep {
                    path: format!("{path} (join)"),
                    dependencies: chunk.to_vec(),
                    job_template: None,
                    tasks: 0,
                };
                deps.insert(self.add_step(step, pos)?);
            }
        }
        Ok(deps)
    }

    fn add_step(&mut self, step: PlanStep, pos: Pos) -> Result<StepNo> {
        if self.plan.steps.len() >= MAX_STEPS {
            return self.fail(
                pos,
                format!("the run has more than {MAX_STEPS} steps"),
                "fewer steps",
            );
        }
        self.plan.steps.push(step);
        Ok(StepNo(self.plan.steps.len() as u32 - 1))
    }

    /// Adds the invocations of a tool to the plan; tasks of equal shape become one job.
    fn tool(
        &mut self,
        p: &Process,
        tool: &Tool,
        path: &str,
        name: &str,
        invocations: Vec<Values>,
        scope: &Scope,
    ) -> Result<Vec<Values>> {
        let path = if path.is_empty() { name } else { path };
        let path = if path.is_empty() { "tool" } else { path };
        self.task_count += invocations.len();
        if self.task_count > MAX_RUN_TASKS {
            return self.fail(
                p.pos,
                format!("the run has more than {MAX_RUN_TASKS} tasks"),
                "fewer tasks",
            );
        }
        let scheduling = hints::scheduling_in(scope, self.diagnostics);
        if self.diagnostics.has_errors() {
            return Err(Reported);
        }
        let image_name = scope
            .find("DockerRequirement")
            .and_then(|w| w.body.get("dockerPull"))
            .and_then(Node::as_str);
        let image = image_name.map_or_else(|| self.options.image.clone(), str::to_owned);
        let eval = self.evaluator(scope);
        let mut tasks: Vec<Task> = Vec::with_capacity(invocations.len());
        let mut deps = BTreeSet::new();
        let n = invocations.len();
        for inputs in invocations {
            let inputs = self.prepare_inputs(p, inputs, scope)?;
            deps.extend(all_deps(inputs.values()));
            let staged: Values = inputs
                .into_iter()
                .map(|(id, b)| (id.clone(), stage_files(b, &id)))
                .collect();
            let context = eval_context(&staged, Value::Null, runtime(1.0, 256.0));
            let shape = match self.shape(p, name, &scheduling, &image, &eval, scope, &context) {
                Ok(s) => s,
                Err(e) => return self.fail_with(e),
            };
            let Some(spec) = self.shape_spec(shape) else {
                return Err(Reported);
            };
            let context = EvalContext {
                runtime: runtime(spec.cpus, spec.memory_gb * 1024.0),
                ..context
            };
            let description = match describe(path, p, tool, scope, &eval, &context) {
                Ok(d) => d,
                Err(e) => return self.fail_with(e),
            };
            tasks.push(Task {
                shape,
                description,
                context,
            });
        }
        // Without a dependency on one of the enclosing step's own plan steps, the barrier covers all
        // dependencies. With one, that plan step already depends on the barrier.
        if deps.iter().all(|s| s.0 < self.barrier.1) {
            deps.clone_from(&self.barrier.0);
        }
        let after: Vec<StepNo> = self.limit_fan_in(deps, path, p.pos)?.into_iter().collect();
        // Groups tasks by shape, in order of first appearance, and splits groups larger than a job may be.
        let mut groups: IndexMap<u32, Vec<usize>> = IndexMap::new();
        for (i, t) in tasks.iter().enumerate() {
            groups.entry(t.shape).or_default().push(i);
        }
        let mut steps = BTreeSet::new();
        let mut assignments = vec![(StepNo(0), 0); n];
        for (shape, members) in &groups {
            for chunk in members.chunks(MAX_TASKS as usize) {
                let step = PlanStep {
                    path: path.to_owned(),
                    dependencies: after.clone(),
                    job_template: Some(*shape),
                    tasks: chunk.len() as u32,
                };
                let no = self.add_step(step, p.pos)?;
                steps.insert(no);
                for (index, i) in chunk.iter().enumerate() {
                    assignments[*i] = (no, index);
                }
            }
        }
        let done = self.limit_fan_in(steps, path, p.pos)?;
        let mut out = Vec::with_capacity(n);
        let mut described: BTreeMap<StepNo, Vec<Description>> = BTreeMap::new();
        for (i, mut t) in tasks.into_iter().enumerate() {
            let (step, index) = assignments[i];
            let location = format!("hopyoke:{}/{}/{index}", self.options.run, step.0);
            let mut values = Values::new();
            for o in &p.outputs {
                let (value, collect) = match self.output(o, &t, &location, path, &eval) {
                    Ok(x) => x,
                    Err(e) => return self.fail_with(e),
                };
                t.description.outputs.insert(o.id.clone(), collect);
                values.insert(
                    o.id.clone(),
                    TrackedValue {
                        value,
                        deps: done.clone(),
                    },
                );
            }
            described.entry(step).or_default().push(t.description);
            out.push(values);
        }
        self.tasks.extend(described);
        Ok(out)
    }

    fn shape_spec(&self, shape: u32) -> Option<&JobSpec> {
        self.plan.job_templates.get(shape as usize)
    }

    /// Returns the index of the shape of a task's job; equal shapes share an index.
    #[allow(clippy::too_many_arguments)]
    fn shape(
        &mut self,
        p: &Process,
        name: &str,
        s: &Scheduling,
        image: &str,
        eval: &Evaluator<'_>,
        scope: &Scope,
        context: &EvalContext,
    ) -> std::result::Result<u32, CommandError> {
        let amount_of = |class: &str, field: &str| amount(scope, class, field, eval, context);
        let resource = "ResourceRequirement";
        let cores = amount_of(resource, "coresMin")?
            .or(amount_of(resource, "coresMax")?)
            .unwrap_or(1.0);
        let ram = amount_of(resource, "ramMin")?
            .or(amount_of(resource, "ramMax")?)
            .unwrap_or(256.0);
        let cuda = "cwltool:CUDARequirement";
        let gpus = match scope.find(cuda) {
            None => 0.0,
            Some(_) => amount_of(cuda, "cudaDeviceCountMin")?
                .or(amount_of(cuda, "cudaDeviceCount")?)
                .unwrap_or(1.0),
        };
        let team = match (&self.team, &s.team) {
            (None, Some(t)) => {
                self.team = Some(t.clone());
                t.clone()
            }
            (Some(t), Some(other)) if t != other => {
                let message =
                    format!("team {other} differs from the run's team {t}; a run has one team");
                return Err(CommandError {
                    pos: p.pos,
                    message,
                });
            }
            (Some(t), _) => t.clone(),
            (None, None) => {
                self.team.clone_from(&self.options.fallback_team);
                self.team.clone().unwrap_or_default()
            }
        };
        let fallback = if p.id.is_empty() { name } else { &p.id };
        let class = s
            .class
            .clone()
            .or_else(|| self.options.class.clone())
            .unwrap_or_else(|| fallback.to_owned());
        let spec = JobSpec {
            id: JobId::new("req-0"),
            class: if class.is_empty() {
                "cwl".into()
            } else {
                class
            },
            team,
            kind: if s.gang {
                JobKind::Gang
            } else {
                JobKind::Array
            },
            priority: s.priority,
            tasks: 1,
            cpus: cores,
            gpus,
            memory_gb: ram / 1024.0,
            image: image.to_owned(),
            image_gb: s.image_gb,
            machine_types: s.machine_types.clone(),
            zone: s.zone.clone(),
            one_zone: s.one_zone,
            spread: s.spread,
            spot: s.spot,
            estimate_s: s.estimate_s,
            checkpoint_interval_s: s.checkpoint_interval_s,
            checkpoint_save_s: s.checkpoint_save_s,
            deadline_s: s.deadline_s,
        };
        let key = serde_json::to_string(&spec).unwrap_or_default();
        let next = self.plan.job_templates.len() as u32;
        let index = *self.shapes.entry(key).or_insert(next);
        if index == next {
            self.plan.job_templates.push(spec);
        }
        Ok(index)
    }

    /// Returns the value of an output, as far as it is known before the task runs, and what a worker collects.
    fn output(
        &mut self,
        o: &Output,
        t: &Task,
        location: &str,
        path: &str,
        eval: &Evaluator<'_>,
    ) -> std::result::Result<(Value, Value), CommandError> {
        let d = &t.description;
        let mut globs = Vec::new();
        for g in &o.glob {
            match eval.value(&g.text, &t.context).map_err(|e| CommandError {
                pos: g.pos,
                message: e.to_string(),
            })? {
                Value::Array(list) => {
                    globs.extend(list.iter().filter_map(|v| v.as_str().map(str::to_owned)))
                }
                Value::String(s) => globs.push(s),
                v => {
                    return Err(CommandError {
                        pos: g.pos,
                        message: format!("glob must be a string, not {v}"),
                    });
                }
            }
        }
        let eval_text = o.output_eval.as_ref().map(|t| t.text.clone());
        let mut collect = json!({ "type": o.ty.to_string() });
        if let Some(c) = collect.as_object_mut() {
            if !globs.is_empty() {
                c.insert("glob".into(), json!(globs));
            }
            if let Some(text) = &eval_text {
                c.insert("outputEval".into(), json!(text));
            }
        }
        let mut unknown = deferred(path, &o.id);
        if let Some(u) = unknown.as_object_mut() {
            if o.ty.accepts_null() {
                u.insert("optional".into(), Value::Bool(true));
            }
            if o.ty.may_be_array() {
                u.insert("list".into(), Value::Bool(true));
            }
        }
        let named = |name: &str, class: &str| file(&format!("{location}/{name}"), class);
        let is_literal = |g: &str| !g.contains(['*', '?', '[']) && !g.is_empty();
        let value = match (&o.ty, globs.as_slice(), &eval_text) {
            (_, _, Some(text)) => {
                // An expression that does not use the collected files can be evaluated now.
                let context = EvalContext {
                    self_value: unknown.clone(),
                    ..t.context.clone()
                };
                match eval.value(text, &context) {
                    Ok(v)
                        if !o.load_contents && find_deferred(&v).is_none() && o.ty.accepts(&v) =>
                    {
                        v
                    }
                    _ => unknown,
                }
            }
            (Type::Stdout, _, _) => named(d.stdout.as_deref().unwrap_or("stdout.txt"), "File"),
            (Type::Stderr, _, _) => named(d.stderr.as_deref().unwrap_or("stderr.txt"), "File"),
            (Type::File, [g], None) if is_literal(g) => named(g, "File"),
            (Type::Directory, [g], None) if is_literal(g) => named(g, "Directory"),
            _ => unknown,
        };
        let value = self.with_secondary_files(value, &o.secondary_files, eval, &t.context)?;
        Ok((value, collect))
    }

    /// Normalizes a process's input files and adds their secondary files and contents as declared.
    fn prepare_inputs(&mut self, p: &Process, mut inputs: Values, scope: &Scope) -> Result<Values> {
        let eval = self.evaluator(scope);
        for Input {
            id,
            pos,
            secondary_files,
            load_contents,
            ..
        } in &p.inputs
        {
            let Some(tracked) = inputs.get(id) else {
                continue;
            };
            let mut value = normalize_files(tracked.value.clone());
            if !secondary_files.is_empty() {
                let context = eval_context(&inputs, Value::Null, json!({}));
                value = match self.with_secondary_files(value, secondary_files, &eval, &context) {
                    Ok(v) => v,
                    Err(e) => return self.fail_with(e),
                };
            }
            if *load_contents {
                value = self.with_contents(value, *pos)?;
            }
            if let Some(tracked) = inputs.get_mut(id) {
                tracked.value = value;
            }
        }
        Ok(inputs)
    }

    fn with_contents(&mut self, mut value: Value, pos: Pos) -> Result<Value> {
        let expected = "loadContents: a file of at most 64 KiB available to the submitter";
        if let Value::Array(list) = value {
            let list: Result<Vec<Value>> = list
                .into_iter()
                .map(|v| self.with_contents(v, pos))
                .collect();
            return Ok(Value::Array(list?));
        }
        if value.is_null() || value.get("contents").is_some() {
            return Ok(value);
        }
        if let Some(of) = find_deferred(&value) {
            let message = EvalError::Deferred(of.to_owned()).to_string();
            return self.fail(pos, message, expected);
        }
        let location = value
            .get("location")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned();
        let Some(source) = self
            .options
            .source
            .filter(|_| !location.starts_with("hopyoke:"))
        else {
            return self.fail(
                pos,
                format!("the contents of {location} are not available before the run"),
                expected,
            );
        };
        match source.read(location.strip_prefix("file://").unwrap_or(&location)) {
            Ok(text) if text.len() <= MAX_CONTENTS_BYTES => {
                if let Some(o) = value.as_object_mut() {
                    o.insert("contents".into(), Value::from(text));
                }
                Ok(value)
            }
            Ok(text) => self.fail(
                pos,
                format!("{location} has {} bytes", text.len()),
                expected,
            ),
            Err(e) => self.fail(pos, format!("{location} cannot be read: {e}"), expected),
        }
    }

    /// Adds the required secondary files to a file, or to each file of a list.
    fn with_secondary_files(
        &mut self,
        value: Value,
        secondary_files: &[SecondaryFile],
        eval: &Evaluator<'_>,
        context: &EvalContext,
    ) -> std::result::Result<Value, CommandError> {
        if secondary_files.is_empty() || is_deferred(&value) {
            return Ok(value);
        }
        match value {
            Value::Array(list) => {
                let list: std::result::Result<Vec<Value>, CommandError> = list
                    .into_iter()
                    .map(|v| self.with_secondary_files(v, secondary_files, eval, context))
                    .collect();
                Ok(Value::Array(list?))
            }
            Value::Object(mut o) if o.get("class").and_then(Value::as_str) == Some("File") => {
                let mut files = match o.remove("secondaryFiles") {
                    Some(Value::Array(list)) => list,
                    _ => Vec::new(),
                };
                let location = o
                    .get("location")
                    .and_then(Value::as_str)
                    .unwrap_or_default()
                    .to_owned();
                let base = o
                    .get("basename")
                    .and_then(Value::as_str)
                    .unwrap_or_default()
                    .to_owned();
                let dir = location.strip_suffix(&base).unwrap_or("").to_owned();
                for s in secondary_files.iter().filter(|s| s.required) {
                    let pattern = &s.pattern;
                    let name = if crate::expr::has_expression(&pattern.text) {
                        let context = EvalContext {
                            self_value: Value::Object(o.clone()),
                            ..context.clone()
                        };
                        eval.text(&pattern.text, &context)
                            .map_err(|e| CommandError {
                                pos: pattern.pos,
                                message: e.to_string(),
                            })?
                    } else {
                        apply_pattern(&base, &pattern.text)
                    };
                    let is_present = |v: &Value| {
                        v.get("basename").and_then(Value::as_str) == Some(name.as_str())
                    };
                    if !files.iter().any(is_present) {
                        files.push(file(&format!("{dir}{name}"), "File"));
                    }
                }
                o.insert("secondaryFiles".into(), Value::Array(files));
                Ok(Value::Object(o))
            }
            v => Ok(v),
        }
    }
}

/// Applies a pattern such as `.bai` or `^.bai` to a file name; each `^` removes one extension.
fn apply_pattern(base: &str, pattern: &str) -> String {
    let mut stem = base;
    let mut rest = pattern;
    while let Some(r) = rest.strip_prefix('^') {
        stem = stem
            .rfind('.')
            .filter(|i| *i > 0)
            .map_or(stem, |i| &stem[..i]);
        rest = r;
    }
    format!("{stem}{rest}")
}

fn all_deps<'x>(values: impl Iterator<Item = &'x TrackedValue>) -> BTreeSet<StepNo> {
    values.flat_map(|b| b.deps.iter().copied()).collect()
}

fn null_outputs(step: &Step, deps: &BTreeSet<StepNo>) -> Values {
    step.outputs
        .iter()
        .map(|o| {
            (
                o.clone(),
                TrackedValue {
                    value: Value::Null,
                    deps: deps.clone(),
                },
            )
        })
        .collect()
}

fn eval_context(values: &Values, self_value: Value, runtime: Value) -> EvalContext {
    let inputs = values
        .iter()
        .map(|(k, b)| (k.clone(), b.value.clone()))
        .collect();
    EvalContext {
        inputs: Value::Object(inputs),
        self_value,
        runtime,
    }
}

fn runtime(cores: f64, ram: f64) -> Value {
    json!({
        "outdir": OUT_DIR, "tmpdir": "/hopyoke/tmp", "cores": cores.ceil() as u64, "ram": ram.ceil() as u64,
        "outdirSize": 1024, "tmpdirSize": 1024,
    })
}

fn may_be_list(v: &Value) -> bool {
    v.get("list").is_some()
}

/// Counts a value and all values nested in it.
fn value_count(v: &Value) -> usize {
    match v {
        Value::Array(list) => 1 + list.iter().map(value_count).sum::<usize>(),
        Value::Object(o) => 1 + o.values().map(value_count).sum::<usize>(),
        _ => 1,
    }
}

/// Formats a value for an error message, truncated to 80 characters.
fn abbreviate(v: &Value) -> String {
    let text = v.to_string();
    if text.chars().count() <= 80 {
        text
    } else {
        format!("{}…", text.chars().take(80).collect::<String>())
    }
}

/// Returns a `File` or `Directory` object for a location.
fn file(location: &str, class: &str) -> Value {
    normalize_files(json!({ "class": class, "location": location }))
}

/// Adds the fields that CWL v1.2 defines for files and directories, such as `basename` and `nameext`.
fn normalize_files(value: Value) -> Value {
    match value {
        Value::Array(list) => Value::Array(list.into_iter().map(normalize_files).collect()),
        Value::Object(mut o) => {
            let class = o
                .get("class")
                .and_then(Value::as_str)
                .unwrap_or_default()
                .to_owned();
            if matches!(class.as_str(), "File" | "Directory") {
                if o.get("location").is_none()
                    && let Some(p) = o.get("path").cloned()
                {
                    o.insert("location".into(), p);
                }
                let location = o
                    .get("location")
                    .and_then(Value::as_str)
                    .unwrap_or_default();
                let last = location
                    .trim_end_matches('/')
                    .rsplit('/')
                    .next()
                    .unwrap_or_default()
                    .to_owned();
                let base = o
                    .get("basename")
                    .and_then(Value::as_str)
                    .map_or(last, str::to_owned);
                if class == "File" {
                    let dot = base.rfind('.').filter(|i| *i > 0).unwrap_or(base.len());
                    o.insert("nameroot".into(), Value::from(&base[..dot]));
                    o.insert("nameext".into(), Value::from(&base[dot..]));
                }
                o.insert("basename".into(), Value::from(base));
                if let Some(list) = o.remove("secondaryFiles") {
                    o.insert("secondaryFiles".into(), normalize_files(list));
                }
                return Value::Object(o);
            }
            Value::Object(
                o.into_iter()
                    .map(|(k, v)| (k, normalize_files(v)))
                    .collect(),
            )
        }
        v => v,
    }
}

/// Sets the paths at which a task finds its input files.
fn stage_files(tracked: TrackedValue, id: &str) -> TrackedValue {
    fn stage_value(value: Value, dir: &str) -> Value {
        match value {
            Value::Array(list) => Value::Array(
                list.into_iter()
                    .enumerate()
                    .map(|(i, v)| stage_value(v, &format!("{dir}/{i}")))
                    .collect(),
            ),
            Value::Object(mut o) => {
                if matches!(
                    o.get("class").and_then(Value::as_str),
                    Some("File" | "Directory")
                ) {
                    let base = o
                        .get("basename")
                        .and_then(Value::as_str)
                        .unwrap_or_default();
                    o.insert("path".into(), Value::from(format!("{dir}/{base}")));
                    o.insert("dirname".into(), Value::from(dir));
                    if let Some(Value::Array(list)) = o.remove("secondaryFiles") {
                        // Secondary files are staged in the directory of their primary file.
                        let list = list.into_iter().map(|v| stage_value(v, dir)).collect();
                        o.insert("secondaryFiles".into(), Value::Array(list));
                    }
                    return Value::Object(o);
                }
                Value::Object(
                    o.into_iter()
                        .map(|(k, v)| (k, stage_value(v, dir)))
                        .collect(),
                )
            }
            v => v,
        }
    }
    TrackedValue {
        value: stage_value(tracked.value, &format!("{IN_DIR}/{id}")),
        deps: tracked.deps,
    }
}
