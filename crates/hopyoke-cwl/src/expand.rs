//! A checked document and its inputs into a plan: every task that will run, and what each waits for.

use crate::command::{Description, IN_DIR, OUT_DIR, Wrong, amount, describe};
use crate::expr::{EvalError, Evaluator, Names, find_later, is_later, later};
use crate::fault::{Faults, Pos};
use crate::hints::{self, Scheduling};
use crate::js::{Bounds, Js};
use crate::load::Source;
use crate::model::{
    Input, Kind, Merge, Method, Output, Pick, Process, Scope, Secondary, Sources, Step, StepInput,
    Tool,
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

/// The most tasks of a run.
pub const MOST_TASKS: usize = 1_000_000;
/// The most values that the places of one scatter may hold together.
const MOST_COPIES: usize = 20_000_000;
/// Files whose contents are asked for are read up to this size, as the specification has it.
const MOST_CONTENTS: usize = 64 * 1024;

/// What the submitter says beside the document.
pub struct Options<'a> {
    pub run: RunId,
    /// The team; a document that names another is refused.
    pub team: Option<String>,
    /// The team if neither the submitter nor the document names one.
    pub fallback_team: Option<String>,
    /// The class of jobs, if the document names none.
    pub class: Option<String>,
    /// The image of tools that name none.
    pub image: String,
    /// Where files whose contents are asked for are read.
    pub source: Option<&'a dyn Source>,
    pub bounds: Bounds,
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
            bounds: Bounds::default(),
        }
    }
}

/// A plan and what belongs to it.
#[derive(Debug)]
pub struct Expanded {
    pub plan: Plan,
    pub team: String,
    /// Each step's tasks, for workers.
    pub tasks: BTreeMap<StepNo, Vec<Description>>,
}

/// Expands a document with its inputs.
///
/// # Errors
/// Every fault of the inputs, or the first of the document that only these inputs show.
pub fn expand(
    process: &Process,
    inputs: &Node,
    options: &Options<'_>,
    faults: &mut Faults,
) -> Option<Expanded> {
    let js = match Js::new(options.bounds) {
        Ok(js) => js,
        Err(e) => {
            faults.error(process.at, e.to_string(), "an engine for expressions");
            return None;
        }
    };
    let mut e = Expander {
        options,
        js: &js,
        faults,
        plan: Plan::default(),
        shapes: BTreeMap::new(),
        tasks: BTreeMap::new(),
        count: 0,
        team: options.team.clone(),
        floor: (BTreeSet::new(), 0),
    };
    let scope = Scope::default().inside(&process.wants);
    let given = e.given(process, inputs).ok()?;
    let out = e
        .process(process, "", process.id.as_str(), given, &scope)
        .ok()?;
    let outputs: Map<String, Value> = out.into_iter().map(|(k, v)| (k, v.value)).collect();
    e.plan.outputs = Value::Object(outputs).to_string();
    let team = e.team.clone().unwrap_or_default();
    let (plan, tasks) = (e.plan, e.tasks);
    if plan.steps.iter().any(|s| s.job_template.is_some()) && team.is_empty() {
        faults.error(
            process.at,
            "no team is named",
            format!("{}: team, or --team", hints::CLASS),
        );
        return None;
    }
    if let Err(e) = plan.check(&team) {
        faults.error(process.at, e.to_string(), "a plan that can run");
        return None;
    }
    Some(Expanded { plan, team, tasks })
}

/// A fault was noted.
struct Noted;

type Result<T> = std::result::Result<T, Noted>;

/// A value, and the steps that must be done before it is there.
#[derive(Debug, Clone, Default)]
struct Bound {
    value: Value,
    deps: BTreeSet<StepNo>,
}

type Values = IndexMap<String, Bound>;

struct Expander<'a, 'f> {
    options: &'a Options<'a>,
    js: &'a Js,
    faults: &'f mut Faults,
    plan: Plan,
    /// Shapes by their description, to find equal ones.
    shapes: BTreeMap<String, u32>,
    tasks: BTreeMap<StepNo, Vec<Description>>,
    /// Tasks so far.
    count: usize,
    team: Option<String>,
    /// What the step that is being expanded waits for as a whole, and the first plan step of its own:
    /// whatever waits for one of those waits for all that already.
    floor: (BTreeSet<StepNo>, u32),
}

/// One task of a tool before tasks of equal shape are put together.
struct Task {
    shape: u32,
    description: Description,
    names: Names,
}

impl<'a> Expander<'a, '_> {
    fn fail<T>(&mut self, at: Pos, what: impl Into<String>, asks: impl Into<String>) -> Result<T> {
        self.faults.error(at, what, asks);
        Err(Noted)
    }

    fn wrong<T>(&mut self, w: Wrong) -> Result<T> {
        self.fail(
            w.at,
            w.what,
            "a value that can be told before the task runs",
        )
    }

    fn evaluator(&self, scope: &Scope) -> Evaluator<'a> {
        let want = scope.find("InlineJavascriptRequirement");
        let library = want
            .and_then(|w| w.body.get("expressionLib"))
            .and_then(Node::as_seq)
            .unwrap_or_default()
            .iter()
            .filter_map(|n| n.as_str().map(str::to_owned))
            .collect();
        Evaluator {
            js: want.map(|_| self.js),
            library,
        }
    }

    /// The inputs that the submitter gives, checked.
    fn given(&mut self, process: &Process, inputs: &Node) -> Result<Values> {
        let entries = match &inputs.data {
            Data::Map(entries) => entries.as_slice(),
            Data::Null => &[],
            _ => {
                return self.fail(
                    inputs.at,
                    "inputs must be a map",
                    "a map by the ids of the process's inputs",
                );
            }
        };
        let mut well = true;
        for e in entries {
            if process.input(&e.key).is_none() && !e.key.contains(':') && e.key != "id" {
                let ids: Vec<&str> = process.inputs.iter().map(|i| i.id.as_str()).collect();
                let asks = format!("one of {}", ids.join(", "));
                self.faults.error(
                    e.at,
                    format!("{} has no input '{}'", process.class(), e.key),
                    asks,
                );
                well = false;
            }
        }
        let mut out = Values::new();
        for input in &process.inputs {
            let entry = entries.iter().find(|e| e.key == input.id);
            let given = entry.map(|e| e.node.to_value()).filter(|v| !v.is_null());
            let value = given
                .or_else(|| input.default.clone())
                .unwrap_or(Value::Null);
            if !input.ty.takes(&value) {
                let (at, what) = match entry {
                    Some(e) => (
                        e.node.at,
                        format!("input '{}' can't be {}", input.id, e.node.kind()),
                    ),
                    None => (inputs.at, format!("input '{}' is missing", input.id)),
                };
                self.faults.error(at, what, input.ty.to_string());
                well = false;
            }
            out.insert(
                input.id.clone(),
                Bound {
                    value,
                    deps: BTreeSet::new(),
                },
            );
        }
        if well { Ok(out) } else { Err(Noted) }
    }

    /// What a process yields with these inputs; its tasks go into the plan.
    fn process(
        &mut self,
        p: &Process,
        path: &str,
        name: &str,
        given: Values,
        scope: &Scope,
    ) -> Result<Values> {
        match &p.kind {
            Kind::Tool(tool) => {
                let mut all = self.tool(p, tool, path, name, vec![given], scope)?;
                all.pop().ok_or(Noted)
            }
            Kind::Expression(text) => {
                let given = self.prepared(p, given, scope)?;
                let names = names_of(&given, Value::Null, json!({}));
                let value = match self.evaluator(scope).value(&text.text, &names) {
                    Ok(v) => v,
                    Err(e) => {
                        return self.fail(text.at, e.to_string(), "ExpressionTool: expression");
                    }
                };
                let deps = all_deps(given.values());
                let mut out = Values::new();
                for o in &p.outputs {
                    let v = value.get(&o.id).cloned().unwrap_or(Value::Null);
                    if !o.ty.takes(&v) {
                        return self.fail(
                            o.at,
                            format!("output '{}' can't be {v}", o.id),
                            o.ty.to_string(),
                        );
                    }
                    out.insert(
                        o.id.clone(),
                        Bound {
                            value: v,
                            deps: deps.clone(),
                        },
                    );
                }
                Ok(out)
            }
            Kind::Workflow(steps) => self.workflow(p, steps, path, given, scope),
        }
    }

    fn workflow(
        &mut self,
        p: &Process,
        steps: &[Step],
        path: &str,
        given: Values,
        scope: &Scope,
    ) -> Result<Values> {
        let given = self.prepared(p, given, scope)?;
        let mut known: IndexMap<String, Bound> = given;
        // Steps whose sources are all there, until none is left.
        let mut left: Vec<&Step> = steps.iter().collect();
        while !left.is_empty() {
            let ids: BTreeSet<&str> = left.iter().map(|s| s.id.as_str()).collect();
            let waits = |s: &Step| {
                let sources = s.inputs.iter().flat_map(|i| &i.source.from);
                sources
                    .filter_map(|t| t.text.split_once('/'))
                    .any(|(step, _)| ids.contains(step))
            };
            let (ready, later): (Vec<&Step>, Vec<&Step>) =
                left.iter().copied().partition(|s| !waits(s));
            let Some(first) = later.first().filter(|_| ready.is_empty()) else {
                for step in ready {
                    let path = if path.is_empty() {
                        step.id.clone()
                    } else {
                        format!("{path}/{}", step.id)
                    };
                    let out = self.step(step, &path, &known, scope)?;
                    for (id, bound) in out {
                        known.insert(format!("{}/{id}", step.id), bound);
                    }
                }
                left = later;
                continue;
            };
            return self.fail(
                first.at,
                format!("step '{}' waits for itself", first.id),
                "steps without circles",
            );
        }
        let mut out = Values::new();
        for o in &p.outputs {
            let bound = self.gather(&o.source, &known, o.at)?;
            if !o.ty.takes(&bound.value) {
                let what = format!("output '{}' can't be {}", o.id, short(&bound.value));
                return self.fail(o.at, what, o.ty.to_string());
            }
            out.insert(o.id.clone(), bound);
        }
        Ok(out)
    }

    /// The value that flows into one place.
    fn gather(&mut self, s: &Sources, known: &Values, at: Pos) -> Result<Bound> {
        let mut list = Vec::new();
        let mut deps = BTreeSet::new();
        for source in &s.from {
            let Some(bound) = known.get(&source.text) else {
                return self.fail(
                    source.at,
                    format!("nothing is called '{}'", source.text),
                    "a source",
                );
            };
            deps.extend(bound.deps.iter().copied());
            list.push(bound.value.clone());
        }
        if !s.many {
            return Ok(Bound {
                value: list.pop().unwrap_or(Value::Null),
                deps,
            });
        }
        if s.merge == Merge::Flattened {
            let mut flat = Vec::new();
            for v in list {
                match v {
                    Value::Array(items) => flat.extend(items),
                    v if is_later(&v) && may_be_list(&v) => {
                        let of = find_later(&v).unwrap_or_default().to_owned();
                        return self.fail(
                            at,
                            EvalError::Later(of).to_string(),
                            "linkMerge: lists of known length",
                        );
                    }
                    v => flat.push(v),
                }
            }
            list = flat;
        }
        let Some(pick) = s.pick else {
            return Ok(Bound {
                value: Value::Array(list),
                deps,
            });
        };
        if let Some(v) = list
            .iter()
            .find(|v| is_later(v) && v.get("optional").is_some())
        {
            let of = find_later(v).unwrap_or_default().to_owned();
            return self.fail(
                at,
                EvalError::Later(of).to_string(),
                "pickValue: values of which it is known whether they are null",
            );
        }
        let mut some: Vec<Value> = list.into_iter().filter(|v| !v.is_null()).collect();
        let value = match pick {
            Pick::AllNonNull => Value::Array(some),
            Pick::FirstNonNull if some.is_empty() => {
                return self.fail(at, "all values are null", "pickValue: first_non_null");
            }
            Pick::OnlyNonNull if some.len() != 1 => {
                let what = format!("{} values are not null", some.len());
                return self.fail(at, what, "pickValue: the_only_non_null");
            }
            _ => some.swap_remove(0),
        };
        Ok(Bound { value, deps })
    }

    fn step(&mut self, step: &Step, path: &str, known: &Values, scope: &Scope) -> Result<Values> {
        let scope = scope.inside(&step.wants).inside(&step.run.wants);
        let mut given = Values::new();
        for input in &step.inputs {
            let mut bound = self.gather(&input.source, known, input.at)?;
            if bound.value.is_null()
                && let Some(default) = &input.default
            {
                bound.value = default.clone();
            }
            given.insert(input.id.clone(), bound);
        }
        // A step waits for all its sources, also for those that its process does not ask for.
        let mut floor = all_deps(given.values());
        if floor.iter().all(|s| s.0 < self.floor.1) {
            floor.extend(self.floor.0.iter().copied());
        }
        let floor = self.meet(floor, path, step.at)?;
        let outer = std::mem::replace(&mut self.floor, (floor, self.plan.steps.len() as u32));
        let out = self.step_at_floor(step, path, given, &scope);
        self.floor = outer;
        Ok(out?
            .into_iter()
            .filter(|(id, _)| step.outputs.contains(id))
            .collect())
    }

    fn step_at_floor(
        &mut self,
        step: &Step,
        path: &str,
        given: Values,
        scope: &Scope,
    ) -> Result<Values> {
        if step.scatter.is_empty() {
            let deps = all_deps(given.values());
            match self.chosen(step, given, scope)? {
                None => Ok(nulls(step, &deps)),
                Some(given) => {
                    let given = self.step_inputs(step, given)?;
                    self.process(&step.run, path, &step.id, given, scope)
                }
            }
        } else {
            self.scattered(step, path, given, scope)
        }
    }

    /// `valueFrom` and `when` of one place; `None`: it is not to run.
    fn chosen(&mut self, step: &Step, given: Values, scope: &Scope) -> Result<Option<Values>> {
        let eval = self.evaluator(scope);
        let mut out = given.clone();
        for StepInput { id, value_from, .. } in &step.inputs {
            let Some(from) = value_from else { continue };
            let this = given.get(id).map_or(Value::Null, |b| b.value.clone());
            let names = names_of(&given, this, json!({}));
            match eval.value(&from.text, &names) {
                // It may use any of the step's inputs.
                Ok(value) => {
                    out.insert(
                        id.clone(),
                        Bound {
                            value,
                            deps: all_deps(given.values()),
                        },
                    );
                }
                Err(e) => return self.fail(from.at, e.to_string(), "WorkflowStepInput: valueFrom"),
            }
        }
        let Some(when) = &step.when else {
            return Ok(Some(out));
        };
        match eval.value(&when.text, &names_of(&out, Value::Null, json!({}))) {
            Ok(Value::Bool(true)) => Ok(Some(out)),
            Ok(Value::Bool(false)) => Ok(None),
            Ok(v) => self.fail(
                when.at,
                format!("when must be true or false, not {v}"),
                "WorkflowStep: when",
            ),
            Err(e) => self.fail(when.at, e.to_string(), "WorkflowStep: when"),
        }
    }

    /// A step's values as its process's inputs: only those that it has, with its defaults.
    fn step_inputs(&mut self, step: &Step, mut given: Values) -> Result<Values> {
        let mut out = Values::new();
        for input in &step.run.inputs {
            let mut bound = given.swap_remove(&input.id).unwrap_or_default();
            if bound.value.is_null()
                && let Some(default) = &input.default
            {
                bound.value = default.clone();
            }
            if !input.ty.takes(&bound.value) {
                let at = step
                    .inputs
                    .iter()
                    .find(|i| i.id == input.id)
                    .map_or(step.at, |i| i.at);
                let what = format!(
                    "input '{}' of step '{}' can't be {}",
                    input.id,
                    step.id,
                    short(&bound.value)
                );
                return self.fail(at, what, input.ty.to_string());
            }
            out.insert(input.id.clone(), bound);
        }
        Ok(out)
    }

    fn scattered(
        &mut self,
        step: &Step,
        path: &str,
        mut given: Values,
        scope: &Scope,
    ) -> Result<Values> {
        let mut lists: Vec<(&str, Vec<Value>)> = Vec::new();
        for s in &step.scatter {
            let value = given
                .get_mut(&s.text)
                .map_or(Value::Null, |b| std::mem::take(&mut b.value));
            match value {
                Value::Array(list) => lists.push((&s.text, list)),
                v => {
                    let why = match find_later(&v) {
                        Some(of) => EvalError::Later(of.to_owned()).to_string(),
                        None => format!("it is {}", short(&v)),
                    };
                    let what = format!("'{}' can't be scattered: {why}", s.text);
                    return self.fail(s.at, what, "scatter: a list whose length is known");
                }
            }
        }
        let method = step.method.unwrap_or(Method::Dot);
        let lengths: Vec<usize> = lists.iter().map(|(_, l)| l.len()).collect();
        let most = MOST_TASKS - self.count;
        let places = match scatter::places(method, &lengths, most) {
            Ok(p) => p,
            Err(e) => return self.fail(step.at, e, "WorkflowStep: scatter"),
        };
        // Every place has its own copy of what is not scattered.
        let copies = places
            .len()
            .saturating_mul(given.values().map(|b| weight(&b.value)).sum());
        if copies > MOST_COPIES {
            let what = format!(
                "{} places with {} values each",
                places.len(),
                copies / places.len().max(1)
            );
            return self.fail(
                step.at,
                what,
                format!("at most {MOST_COPIES} values in all places of a scatter"),
            );
        }
        let deps = all_deps(given.values());
        let mut running: Vec<(usize, Values)> = Vec::new();
        for (k, place) in places.iter().enumerate() {
            let mut one = given.clone();
            for ((id, list), i) in lists.iter().zip(place) {
                if let Some(bound) = one.get_mut(*id) {
                    bound.value = list[*i].clone();
                }
            }
            if let Some(chosen) = self.chosen(step, one, scope)? {
                running.push((k, self.step_inputs(step, chosen)?));
            }
        }
        let mut results: Vec<Option<Values>> = places.iter().map(|_| None).collect();
        match &step.run.kind {
            // Equal tasks are one job.
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
            // Whatever runs waits for the step's sources itself.
            let mut all = if results.iter().any(Option::is_some) {
                BTreeSet::new()
            } else {
                deps.clone()
            };
            for r in &results {
                let bound = r.as_ref().and_then(|r| r.get(id));
                values.push(bound.map_or(Value::Null, |b| b.value.clone()));
                all.extend(bound.iter().flat_map(|b| b.deps.iter().copied()));
            }
            let deps = self.meet(all, path, step.at)?;
            out.insert(
                id.clone(),
                Bound {
                    value: scatter::collect(method, &lengths, values),
                    deps,
                },
            );
        }
        Ok(out)
    }

    /// Few steps that stand for many: joins without work.
    fn meet(
        &mut self,
        mut deps: BTreeSet<StepNo>,
        path: &str,
        at: Pos,
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
                deps.insert(self.add_step(step, at)?);
            }
        }
        Ok(deps)
    }

    fn add_step(&mut self, step: PlanStep, at: Pos) -> Result<StepNo> {
        if self.plan.steps.len() >= MAX_STEPS {
            return self.fail(
                at,
                format!("the run has more than {MAX_STEPS} steps"),
                "fewer steps",
            );
        }
        self.plan.steps.push(step);
        Ok(StepNo(self.plan.steps.len() as u32 - 1))
    }

    /// A tool at one or many places: tasks of equal shape become one job.
    fn tool(
        &mut self,
        p: &Process,
        tool: &Tool,
        path: &str,
        name: &str,
        places: Vec<Values>,
        scope: &Scope,
    ) -> Result<Vec<Values>> {
        let path = if path.is_empty() { name } else { path };
        let path = if path.is_empty() { "tool" } else { path };
        self.count += places.len();
        if self.count > MOST_TASKS {
            return self.fail(
                p.at,
                format!("the run has more than {MOST_TASKS} tasks"),
                "fewer tasks",
            );
        }
        let scheduling = hints::of(scope, self.faults);
        if self.faults.has_errors() {
            return Err(Noted);
        }
        let want_image = scope
            .find("DockerRequirement")
            .and_then(|w| w.body.get("dockerPull"))
            .and_then(Node::as_str);
        let image = want_image.map_or_else(|| self.options.image.clone(), str::to_owned);
        let eval = self.evaluator(scope);
        let mut tasks: Vec<Task> = Vec::with_capacity(places.len());
        let mut deps = BTreeSet::new();
        let n = places.len();
        for given in places {
            let given = self.prepared(p, given, scope)?;
            deps.extend(all_deps(given.values()));
            let staged: Values = given
                .into_iter()
                .map(|(id, b)| (id.clone(), stage(b, &id)))
                .collect();
            let names = names_of(&staged, Value::Null, runtime(1.0, 256.0));
            let shape = match self.shape(p, name, &scheduling, &image, &eval, scope, &names) {
                Ok(s) => s,
                Err(w) => return self.wrong(w),
            };
            let Some(spec) = self.shapes_at(shape) else {
                return Err(Noted);
            };
            let names = Names {
                runtime: runtime(spec.cpus, spec.memory_gb * 1024.0),
                ..names
            };
            let description = match describe(path, p, tool, scope, &eval, &names) {
                Ok(d) => d,
                Err(w) => return self.wrong(w),
            };
            tasks.push(Task {
                shape,
                description,
                names,
            });
        }
        // Either of these stands for the other where it holds steps of the same level.
        if deps.iter().all(|s| s.0 < self.floor.1) {
            deps.clone_from(&self.floor.0);
        }
        let after: Vec<StepNo> = self.meet(deps, path, p.at)?.into_iter().collect();
        // Groups of equal shape, in the order in which they first appear, each within a job's size.
        let mut groups: IndexMap<u32, Vec<usize>> = IndexMap::new();
        for (i, t) in tasks.iter().enumerate() {
            groups.entry(t.shape).or_default().push(i);
        }
        let mut steps = BTreeSet::new();
        let mut homes = vec![(StepNo(0), 0); n];
        for (shape, members) in &groups {
            for chunk in members.chunks(MAX_TASKS as usize) {
                let step = PlanStep {
                    path: path.to_owned(),
                    dependencies: after.clone(),
                    job_template: Some(*shape),
                    tasks: chunk.len() as u32,
                };
                let no = self.add_step(step, p.at)?;
                steps.insert(no);
                for (index, i) in chunk.iter().enumerate() {
                    homes[*i] = (no, index);
                }
            }
        }
        let done = self.meet(steps, path, p.at)?;
        let mut out = Vec::with_capacity(n);
        let mut described: BTreeMap<StepNo, Vec<Description>> = BTreeMap::new();
        for (i, mut t) in tasks.into_iter().enumerate() {
            let (step, index) = homes[i];
            let at = format!("hopyoke:{}/{}/{index}", self.options.run, step.0);
            let mut values = Values::new();
            for o in &p.outputs {
                let (value, collect) = match self.output(o, &t, &at, path, &eval) {
                    Ok(x) => x,
                    Err(w) => return self.wrong(w),
                };
                t.description.outputs.insert(o.id.clone(), collect);
                values.insert(
                    o.id.clone(),
                    Bound {
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

    fn shapes_at(&self, shape: u32) -> Option<&JobSpec> {
        self.plan.job_templates.get(shape as usize)
    }

    /// The shape of one task's job; equal ones are one.
    #[allow(clippy::too_many_arguments)]
    fn shape(
        &mut self,
        p: &Process,
        name: &str,
        s: &Scheduling,
        image: &str,
        eval: &Evaluator<'_>,
        scope: &Scope,
        names: &Names,
    ) -> std::result::Result<u32, Wrong> {
        let ask = |class: &str, field: &str| amount(scope, class, field, eval, names);
        let resource = "ResourceRequirement";
        let cores = ask(resource, "coresMin")?
            .or(ask(resource, "coresMax")?)
            .unwrap_or(1.0);
        let ram = ask(resource, "ramMin")?
            .or(ask(resource, "ramMax")?)
            .unwrap_or(256.0);
        let cuda = "cwltool:CUDARequirement";
        let gpus = match scope.find(cuda) {
            None => 0.0,
            Some(_) => ask(cuda, "cudaDeviceCountMin")?
                .or(ask(cuda, "cudaDeviceCount")?)
                .unwrap_or(1.0),
        };
        let team = match (&self.team, &s.team) {
            (None, Some(t)) => {
                self.team = Some(t.clone());
                t.clone()
            }
            (Some(t), Some(other)) if t != other => {
                let what = format!("its team is {other}, and the run's is {t}; a run has one team");
                return Err(Wrong { at: p.at, what });
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
            kind: if s.together {
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
            checkpoint_interval_s: s.checkpoint_s,
            checkpoint_save_s: s.save_s,
            deadline_s: s.deadline_s,
        };
        let key = serde_json::to_string(&spec).unwrap_or_default();
        let next = self.plan.job_templates.len() as u32;
        let at = *self.shapes.entry(key).or_insert(next);
        if at == next {
            self.plan.job_templates.push(spec);
        }
        Ok(at)
    }

    /// What a task yields, as far as that is known before it runs; and what a worker collects.
    fn output(
        &mut self,
        o: &Output,
        t: &Task,
        at: &str,
        path: &str,
        eval: &Evaluator<'_>,
    ) -> std::result::Result<(Value, Value), Wrong> {
        let d = &t.description;
        let mut globs = Vec::new();
        for g in &o.glob {
            match eval.value(&g.text, &t.names).map_err(|e| Wrong {
                at: g.at,
                what: e.to_string(),
            })? {
                Value::Array(list) => {
                    globs.extend(list.iter().filter_map(|v| v.as_str().map(str::to_owned)))
                }
                Value::String(s) => globs.push(s),
                v => {
                    return Err(Wrong {
                        at: g.at,
                        what: format!("glob must be a text, not {v}"),
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
        let mut unknown = later(path, &o.id);
        if let Some(u) = unknown.as_object_mut() {
            if o.ty.takes_null() {
                u.insert("optional".into(), Value::Bool(true));
            }
            if o.ty.may_be_array() {
                u.insert("list".into(), Value::Bool(true));
            }
        }
        let named = |name: &str, class: &str| file(&format!("{at}/{name}"), class);
        let literal = |g: &str| !g.contains(['*', '?', '[']) && !g.is_empty();
        let value = match (&o.ty, globs.as_slice(), &eval_text) {
            (_, _, Some(text)) => {
                // What does not look at the files is known.
                let names = Names {
                    this: unknown.clone(),
                    ..t.names.clone()
                };
                match eval.value(text, &names) {
                    Ok(v) if !o.load_contents && find_later(&v).is_none() && o.ty.takes(&v) => v,
                    _ => unknown,
                }
            }
            (Type::Stdout, _, _) => named(d.stdout.as_deref().unwrap_or("stdout.txt"), "File"),
            (Type::Stderr, _, _) => named(d.stderr.as_deref().unwrap_or("stderr.txt"), "File"),
            (Type::File, [g], None) if literal(g) => named(g, "File"),
            (Type::Directory, [g], None) if literal(g) => named(g, "Directory"),
            _ => unknown,
        };
        let value = self.with_secondary(value, &o.secondary, eval, &t.names)?;
        Ok((value, collect))
    }

    /// A process's inputs with what it asks of its files.
    fn prepared(&mut self, p: &Process, mut given: Values, scope: &Scope) -> Result<Values> {
        let eval = self.evaluator(scope);
        for Input {
            id,
            at,
            secondary,
            load_contents,
            ..
        } in &p.inputs
        {
            let Some(bound) = given.get(id) else { continue };
            let mut value = tidy(bound.value.clone());
            if !secondary.is_empty() {
                let names = names_of(&given, Value::Null, json!({}));
                value = match self.with_secondary(value, secondary, &eval, &names) {
                    Ok(v) => v,
                    Err(w) => return self.wrong(w),
                };
            }
            if *load_contents {
                value = self.with_contents(value, *at)?;
            }
            if let Some(bound) = given.get_mut(id) {
                bound.value = value;
            }
        }
        Ok(given)
    }

    fn with_contents(&mut self, mut value: Value, at: Pos) -> Result<Value> {
        let asks = "loadContents: a file of at most 64 KiB that the submitter has";
        if let Value::Array(list) = value {
            let list: Result<Vec<Value>> = list
                .into_iter()
                .map(|v| self.with_contents(v, at))
                .collect();
            return Ok(Value::Array(list?));
        }
        if value.is_null() || value.get("contents").is_some() {
            return Ok(value);
        }
        if let Some(of) = find_later(&value) {
            let what = EvalError::Later(of.to_owned()).to_string();
            return self.fail(at, what, asks);
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
                at,
                format!("the contents of {location} are not known here"),
                asks,
            );
        };
        match source.read(location.strip_prefix("file://").unwrap_or(&location)) {
            Ok(text) if text.len() <= MOST_CONTENTS => {
                if let Some(o) = value.as_object_mut() {
                    o.insert("contents".into(), Value::from(text));
                }
                Ok(value)
            }
            Ok(text) => self.fail(at, format!("{location} has {} bytes", text.len()), asks),
            Err(e) => self.fail(at, format!("{location} cannot be read: {e}"), asks),
        }
    }

    /// Names the files beside a file, or beside each of a list.
    fn with_secondary(
        &mut self,
        value: Value,
        secondary: &[Secondary],
        eval: &Evaluator<'_>,
        names: &Names,
    ) -> std::result::Result<Value, Wrong> {
        if secondary.is_empty() || is_later(&value) {
            return Ok(value);
        }
        match value {
            Value::Array(list) => {
                let list: std::result::Result<Vec<Value>, Wrong> = list
                    .into_iter()
                    .map(|v| self.with_secondary(v, secondary, eval, names))
                    .collect();
                Ok(Value::Array(list?))
            }
            Value::Object(mut o) if o.get("class").and_then(Value::as_str) == Some("File") => {
                let mut have = match o.remove("secondaryFiles") {
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
                for s in secondary.iter().filter(|s| s.required) {
                    let pattern = &s.pattern;
                    let name = if crate::expr::has_expression(&pattern.text) {
                        let names = Names {
                            this: Value::Object(o.clone()),
                            ..names.clone()
                        };
                        eval.text(&pattern.text, &names).map_err(|e| Wrong {
                            at: pattern.at,
                            what: e.to_string(),
                        })?
                    } else {
                        beside(&base, &pattern.text)
                    };
                    let there = |v: &Value| {
                        v.get("basename").and_then(Value::as_str) == Some(name.as_str())
                    };
                    if !have.iter().any(there) {
                        have.push(file(&format!("{dir}{name}"), "File"));
                    }
                }
                o.insert("secondaryFiles".into(), Value::Array(have));
                Ok(Value::Object(o))
            }
            v => Ok(v),
        }
    }
}

/// A pattern such as `.bai` or `^.bai`: each `^` takes an extension off.
fn beside(base: &str, pattern: &str) -> String {
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

fn all_deps<'x>(bounds: impl Iterator<Item = &'x Bound>) -> BTreeSet<StepNo> {
    bounds.flat_map(|b| b.deps.iter().copied()).collect()
}

fn nulls(step: &Step, deps: &BTreeSet<StepNo>) -> Values {
    step.outputs
        .iter()
        .map(|o| {
            (
                o.clone(),
                Bound {
                    value: Value::Null,
                    deps: deps.clone(),
                },
            )
        })
        .collect()
}

fn names_of(given: &Values, this: Value, runtime: Value) -> Names {
    let inputs = given
        .iter()
        .map(|(k, b)| (k.clone(), b.value.clone()))
        .collect();
    Names {
        inputs: Value::Object(inputs),
        this,
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

/// How many values a value is.
fn weight(v: &Value) -> usize {
    match v {
        Value::Array(list) => 1 + list.iter().map(weight).sum::<usize>(),
        Value::Object(o) => 1 + o.values().map(weight).sum::<usize>(),
        _ => 1,
    }
}

/// A value for a message.
fn short(v: &Value) -> String {
    let text = v.to_string();
    if text.chars().count() <= 80 {
        text
    } else {
        format!("{}…", text.chars().take(80).collect::<String>())
    }
}

/// A file by its location.
fn file(location: &str, class: &str) -> Value {
    tidy(json!({ "class": class, "location": location }))
}

/// Files with the fields that the specification promises to expressions.
fn tidy(value: Value) -> Value {
    match value {
        Value::Array(list) => Value::Array(list.into_iter().map(tidy).collect()),
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
                    o.insert("secondaryFiles".into(), tidy(list));
                }
                return Value::Object(o);
            }
            Value::Object(o.into_iter().map(|(k, v)| (k, tidy(v))).collect())
        }
        v => v,
    }
}

/// Says where a task will find its files.
fn stage(bound: Bound, id: &str) -> Bound {
    fn place(value: Value, dir: &str) -> Value {
        match value {
            Value::Array(list) => Value::Array(
                list.into_iter()
                    .enumerate()
                    .map(|(i, v)| place(v, &format!("{dir}/{i}")))
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
                        // Beside the file itself.
                        let list = list.into_iter().map(|v| place(v, dir)).collect();
                        o.insert("secondaryFiles".into(), Value::Array(list));
                    }
                    return Value::Object(o);
                }
                Value::Object(o.into_iter().map(|(k, v)| (k, place(v, dir))).collect())
            }
            v => v,
        }
    }
    Bound {
        value: place(bound.value, &format!("{IN_DIR}/{id}")),
        deps: bound.deps,
    }
}
