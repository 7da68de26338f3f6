//! What documents ask of each other and of the features that they use, without any inputs.

use crate::expr::{self, Part};
use crate::fault::{Faults, Pos};
use crate::hints;
use crate::model::{Kind, Merge, Output, Pick, Process, Scope, Sources, Step, Text, Tool, Wants};
use crate::types::Type;
use crate::yaml::{Data, Node};
use std::collections::{BTreeMap, BTreeSet};

/// Checks a process and all that it runs.
pub fn check(process: &Process, faults: &mut Faults) {
    let scope = Scope::default().inside(&process.wants);
    Checker { faults }.process(process, &scope);
}

struct Checker<'f> {
    faults: &'f mut Faults,
}

impl Checker<'_> {
    fn process(&mut self, p: &Process, scope: &Scope) {
        self.wants(&p.wants, scope);
        for i in &p.inputs {
            if let Some(default) = &i.default
                && !i.ty.takes(default)
            {
                self.faults.error(
                    i.at,
                    format!("the default of '{}' is no {}", i.id, i.ty),
                    "InputParameter: default",
                );
            }
            for s in &i.secondary {
                self.text(&s.pattern, scope);
            }
            for b in i.binding.iter().chain(&i.item_binding) {
                b.position
                    .iter()
                    .chain(&b.value_from)
                    .for_each(|t| self.text(t, scope));
            }
        }
        match &p.kind {
            Kind::Tool(tool) => self.tool(p, tool, scope),
            Kind::Expression(text) => {
                self.text(text, scope);
                for o in p.outputs.iter().filter(|o| !o.source.from.is_empty()) {
                    self.faults.error(
                        o.at,
                        "an ExpressionTool's output has no source",
                        "ExpressionToolOutputParameter",
                    );
                }
            }
            Kind::Workflow(steps) => self.workflow(p, steps, scope),
        }
    }

    fn tool(&mut self, p: &Process, tool: &Tool, scope: &Scope) {
        if tool.base.is_empty() && tool.arguments.is_empty() {
            let asks = "CommandLineTool: baseCommand or arguments";
            self.faults.error(p.at, "the tool has no command", asks);
        }
        for b in &tool.arguments {
            b.position
                .iter()
                .chain(&b.value_from)
                .for_each(|t| self.text(t, scope));
        }
        for t in [&tool.stdin, &tool.stdout, &tool.stderr]
            .into_iter()
            .flatten()
        {
            self.text(t, scope);
        }
        for o in &p.outputs {
            o.glob
                .iter()
                .chain(&o.output_eval)
                .for_each(|t| self.text(t, scope));
            o.secondary
                .iter()
                .for_each(|s| self.text(&s.pattern, scope));
        }
    }

    /// An expression that can be read, and that may be used here.
    fn text(&mut self, t: &Text, scope: &Scope) {
        match expr::parts(&t.text) {
            Err(e) => self.faults.error(
                t.at,
                e.to_string(),
                "Expressions: brackets and quotes that match",
            ),
            Ok(parts) => {
                let more = parts.iter().any(|p| match p {
                    Part::Plain(_) => false,
                    Part::Call(code) => !expr::is_reference(code),
                    Part::Block(_) => true,
                });
                if more && scope.find("InlineJavascriptRequirement").is_none() {
                    let asks = "InlineJavascriptRequirement, or a parameter reference such as $(inputs.name)";
                    self.faults.error(
                        t.at,
                        "an expression that is more than a parameter reference",
                        asks,
                    );
                }
            }
        }
    }

    fn wants(&mut self, wants: &Wants, scope: &Scope) {
        for w in wants.requirements.iter().chain(&wants.hints) {
            match w.class.as_str() {
                hints::CLASS => {
                    hints::read(&w.body, self.faults);
                }
                "ResourceRequirement" | "ToolTimeLimit" | "cwltool:CUDARequirement" => {
                    self.amounts(&w.body, scope)
                }
                "DockerRequirement"
                    if w.body.get("dockerPull").and_then(Node::as_str).is_none() =>
                {
                    let asks = "DockerRequirement: dockerPull, the image's name";
                    self.faults.error(w.at, "no image is named", asks);
                }
                _ => {}
            }
        }
    }

    fn amounts(&mut self, body: &Node, scope: &Scope) {
        for e in body
            .as_map()
            .unwrap_or_default()
            .iter()
            .filter(|e| e.key != "class")
        {
            match &e.node.data {
                Data::Int(n) if *n >= 0 => {}
                Data::Float(x) if *x >= 0.0 => {}
                Data::Str(s) if expr::has_expression(s) => {
                    self.text(
                        &Text {
                            at: e.node.at,
                            text: s.clone(),
                        },
                        scope,
                    );
                }
                // A version, such as that of CUDA, is a text or a list.
                Data::Str(_) | Data::Seq(_)
                    if e.key.contains("Version") || e.key.contains("Capability") => {}
                _ => self.faults.error(
                    e.node.at,
                    format!("{} must be an amount", e.key),
                    "a number of at least 0",
                ),
            }
        }
    }

    fn needs(&mut self, scope: &Scope, class: &str, at: Pos, what: &str) {
        if scope.find(class).is_none() {
            self.faults.error(
                at,
                format!("{what} without {class}"),
                format!("requirements: {class}"),
            );
        }
    }

    fn workflow(&mut self, p: &Process, steps: &[Step], scope: &Scope) {
        let mut known: BTreeMap<String, Type> = p
            .inputs
            .iter()
            .map(|i| (i.id.clone(), i.ty.clone()))
            .collect();
        for step in steps {
            for id in &step.outputs {
                match step.run.output(id) {
                    Some(o) => {
                        known.insert(format!("{}/{id}", step.id), yields(step, o));
                    }
                    None => {
                        let ids: Vec<&str> =
                            step.run.outputs.iter().map(|o| o.id.as_str()).collect();
                        let what = format!("{} has no output '{id}'", step.run.class());
                        self.faults.error(
                            step.at,
                            what,
                            format!("WorkflowStep: out, of {}", ids.join(", ")),
                        );
                    }
                }
            }
        }
        for step in steps {
            let inner = scope.inside(&step.wants);
            self.wants(&step.wants, &inner);
            self.step(step, &known, &inner);
            self.process(&step.run, &inner.inside(&step.run.wants));
        }
        for o in &p.outputs {
            if let Some(ty) = self.flow(&o.source, &known, scope)
                && !ty.may_go_to(&o.ty)
            {
                let what = format!("output '{}' is {}, and {ty} flows into it", o.id, o.ty);
                self.faults
                    .error(o.at, what, "WorkflowOutputParameter: types that fit");
            }
        }
        self.circles(steps);
    }

    /// The type of what flows into one place; `None`: nothing, or a fault was noted.
    fn flow(&mut self, s: &Sources, known: &BTreeMap<String, Type>, scope: &Scope) -> Option<Type> {
        let mut types = Vec::new();
        for t in &s.from {
            match known.get(&t.text) {
                Some(ty) => types.push(ty.clone()),
                None => {
                    let near: Vec<&str> = known.keys().map(String::as_str).take(12).collect();
                    let asks = format!("a source: {}", near.join(", "));
                    self.faults
                        .error(t.at, format!("nothing is called '{}'", t.text), asks);
                    return None;
                }
            }
        }
        if s.from.len() > 1 {
            self.needs(
                scope,
                "MultipleInputFeatureRequirement",
                s.from[0].at,
                "several sources",
            );
        }
        if !s.many {
            return types.pop();
        }
        let flat = |t: &Type| match s.merge {
            Merge::Flattened => t.items().unwrap_or_else(|| t.clone()),
            Merge::Nested => t.clone(),
        };
        let mut items: Vec<Type> = Vec::new();
        for t in types.iter().map(flat) {
            if !items.contains(&t) {
                items.push(t);
            }
        }
        let item = if items.len() == 1 {
            items.pop()?
        } else {
            Type::Union(items)
        };
        Some(match s.pick {
            None => Type::Array(Box::new(item)),
            Some(Pick::AllNonNull) => Type::Array(Box::new(not_null(item))),
            Some(_) => not_null(item),
        })
    }

    fn step(&mut self, step: &Step, known: &BTreeMap<String, Type>, scope: &Scope) {
        if !step.scatter.is_empty() {
            self.needs(scope, "ScatterFeatureRequirement", step.at, "scatter");
        }
        if matches!(step.run.kind, Kind::Workflow(_)) {
            self.needs(
                scope,
                "SubworkflowFeatureRequirement",
                step.at,
                "a workflow as a step",
            );
        }
        if step.scatter.len() > 1 && step.method.is_none() {
            self.faults.error(
                step.at,
                "several inputs are scattered and scatterMethod is missing",
                "scatterMethod",
            );
        }
        if let Some(when) = &step.when {
            self.text(when, scope);
        }
        let ids: BTreeSet<&str> = step.inputs.iter().map(|i| i.id.as_str()).collect();
        for s in step
            .scatter
            .iter()
            .filter(|s| !ids.contains(s.text.as_str()))
        {
            self.faults.error(
                s.at,
                format!("the step has no input '{}'", s.text),
                "scatter: inputs of the step",
            );
        }
        for i in &step.inputs {
            if let Some(from) = &i.value_from {
                self.needs(
                    scope,
                    "StepInputExpressionRequirement",
                    from.at,
                    "valueFrom of a step's input",
                );
                self.text(from, scope);
            }
            let Some(mut ty) = self.flow(&i.source, known, scope) else {
                continue;
            };
            if step.scatter.iter().any(|s| s.text == i.id) {
                match ty.items() {
                    Some(item) => ty = item,
                    None => {
                        let what = format!("'{}' is scattered, and {ty} flows into it", i.id);
                        self.faults.error(i.at, what, "scatter: a list");
                        continue;
                    }
                }
            }
            let Some(input) = step.run.input(&i.id) else {
                continue;
            };
            // A default stands in for null.
            if i.default.is_some() || input.default.is_some() {
                ty = not_null(ty);
            }
            if i.value_from.is_none() && !ty.may_go_to(&input.ty) {
                let what = format!("input '{}' is {}, and {ty} flows into it", i.id, input.ty);
                self.faults
                    .error(i.at, what, "WorkflowStepInput: types that fit");
            }
        }
        for input in &step.run.inputs {
            if input.default.is_some() || input.ty.takes_null() {
                continue;
            }
            let given = step.inputs.iter().find(|i| i.id == input.id);
            let some = given.is_some_and(|i| {
                !i.source.from.is_empty() || i.default.is_some() || i.value_from.is_some()
            });
            if !some {
                let what = format!("input '{}' of {} is not given", input.id, step.run.class());
                self.faults.error(
                    step.at,
                    what,
                    format!("WorkflowStep: in, {}: {}", input.id, input.ty),
                );
            }
        }
    }

    fn circles(&mut self, steps: &[Step]) {
        let needs: BTreeMap<&str, BTreeSet<&str>> = steps
            .iter()
            .map(|s| {
                let sources = s.inputs.iter().flat_map(|i| &i.source.from);
                (
                    s.id.as_str(),
                    sources
                        .filter_map(|t| t.text.split_once('/'))
                        .map(|(step, _)| step)
                        .collect(),
                )
            })
            .collect();
        let mut left: BTreeSet<&str> = needs.keys().copied().collect();
        loop {
            let ready: Vec<&str> = left
                .iter()
                .copied()
                .filter(|s| needs[s].is_disjoint(&left))
                .collect();
            if ready.is_empty() {
                break;
            }
            left.retain(|s| !ready.contains(s));
        }
        if let Some(step) = steps.iter().find(|s| left.contains(s.id.as_str())) {
            let list: Vec<&str> = left.into_iter().collect();
            let what = format!("steps wait for each other in a circle: {}", list.join(", "));
            self.faults
                .error(step.at, what, "Workflow: steps without circles");
        }
    }
}

/// What a step's output is, seen from the workflow.
fn yields(step: &Step, o: &Output) -> Type {
    let mut ty = match &o.ty {
        Type::Stdout | Type::Stderr => Type::File,
        t => t.clone(),
    };
    if step.when.is_some() {
        ty = ty.optional();
    }
    let levels = match step.method {
        Some(crate::model::Method::Nested) => step.scatter.len(),
        _ => step.scatter.len().min(1),
    };
    (0..levels).fold(ty, |t, _| Type::Array(Box::new(t)))
}

fn not_null(t: Type) -> Type {
    match t {
        Type::Union(mut list) => {
            list.retain(|t| *t != Type::Null);
            if list.len() == 1 {
                list.swap_remove(0)
            } else {
                Type::Union(list)
            }
        }
        t => t,
    }
}
