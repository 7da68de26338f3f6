//! What documents ask of each other and of the features that they use, without any inputs.

use crate::diagnostic::{Diagnostics, Pos};
use crate::expr::{self, Part};
use crate::hints;
use crate::model::{
    Kind, LinkMerge, Output, PickValue, Process, RequirementSet, Scope, Sources, Step, Text, Tool,
};
use crate::types::Type;
use crate::yaml::{Data, Node};
use std::collections::{BTreeMap, BTreeSet};

/// Checks a process and all that it runs.
pub fn check(process: &Process, diagnostics: &mut Diagnostics) {
    let scope = Scope::default().nested(&process.requirement_set);
    Checker { diagnostics }.process(process, &scope);
}

struct Checker<'f> {
    diagnostics: &'f mut Diagnostics,
}

impl Checker<'_> {
    fn process(&mut self, p: &Process, scope: &Scope) {
        self.requirements(&p.requirement_set, scope);
        for i in &p.inputs {
            if let Some(default) = &i.default
                && !i.ty.accepts(default)
            {
                self.diagnostics.error(
                    i.pos,
                    format!("the default of '{}' is no {}", i.id, i.ty),
                    "InputParameter: default",
                );
            }
            for s in &i.secondary_files {
                self.expression(&s.pattern, scope);
            }
            for b in i.binding.iter().chain(&i.item_binding) {
                b.position
                    .iter()
                    .chain(&b.value_from)
                    .for_each(|t| self.expression(t, scope));
            }
        }
        match &p.kind {
            Kind::Tool(tool) => self.tool(p, tool, scope),
            Kind::Expression(text) => {
                self.expression(text, scope);
                for o in p.outputs.iter().filter(|o| !o.source.from.is_empty()) {
                    self.diagnostics.error(
                        o.pos,
                        "an ExpressionTool's output has no source",
                        "ExpressionToolOutputParameter",
                    );
                }
            }
            Kind::Workflow(steps) => self.workflow(p, steps, scope),
        }
    }

    fn tool(&mut self, p: &Process, tool: &Tool, scope: &Scope) {
        if tool.base_command.is_empty() && tool.arguments.is_empty() {
            let expected = "CommandLineTool: baseCommand or arguments";
            self.diagnostics
                .error(p.pos, "the tool has no command", expected);
        }
        for b in &tool.arguments {
            b.position
                .iter()
                .chain(&b.value_from)
                .for_each(|t| self.expression(t, scope));
        }
        for t in [&tool.stdin, &tool.stdout, &tool.stderr]
            .into_iter()
            .flatten()
        {
            self.expression(t, scope);
        }
        for o in &p.outputs {
            o.glob
                .iter()
                .chain(&o.output_eval)
                .for_each(|t| self.expression(t, scope));
            o.secondary_files
                .iter()
                .for_each(|s| self.expression(&s.pattern, scope));
        }
    }

    /// An expression that can be read, and that may be used here.
    fn expression(&mut self, t: &Text, scope: &Scope) {
        match expr::parts(&t.text) {
            Err(e) => self.diagnostics.error(
                t.pos,
                e.to_string(),
                "Expressions: brackets and quotes that match",
            ),
            Ok(parts) => {
                let needs_js = parts.iter().any(|p| match p {
                    Part::Plain(_) => false,
                    Part::Call(code) => !expr::is_reference(code),
                    Part::Block(_) => true,
                });
                if needs_js && scope.find("InlineJavascriptRequirement").is_none() {
                    let expected = "InlineJavascriptRequirement, or a parameter reference such as $(inputs.name)";
                    self.diagnostics.error(
                        t.pos,
                        "an expression that is more than a parameter reference",
                        expected,
                    );
                }
            }
        }
    }

    fn requirements(&mut self, requirement_set: &RequirementSet, scope: &Scope) {
        for w in requirement_set
            .requirements
            .iter()
            .chain(&requirement_set.hints)
        {
            match w.class.as_str() {
                hints::CLASS => {
                    hints::read(&w.body, self.diagnostics);
                }
                "ResourceRequirement" | "ToolTimeLimit" | "cwltool:CUDARequirement" => {
                    self.check_amounts(&w.body, scope)
                }
                "DockerRequirement"
                    if w.body.get("dockerPull").and_then(Node::as_str).is_none() =>
                {
                    let expected = "DockerRequirement: dockerPull, the image's name";
                    self.diagnostics.error(w.pos, "no image is named", expected);
                }
                _ => {}
            }
        }
    }

    fn check_amounts(&mut self, body: &Node, scope: &Scope) {
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
                    self.expression(
                        &Text {
                            pos: e.node.pos,
                            text: s.clone(),
                        },
                        scope,
                    );
                }
                // A version, such as that of CUDA, is a text or a list.
                Data::Str(_) | Data::Seq(_)
                    if e.key.contains("Version") || e.key.contains("Capability") => {}
                _ => self.diagnostics.error(
                    e.node.pos,
                    format!("{} must be an amount", e.key),
                    "a number of at least 0",
                ),
            }
        }
    }

    fn require_feature(&mut self, scope: &Scope, class: &str, pos: Pos, feature: &str) {
        if scope.find(class).is_none() {
            self.diagnostics.error(
                pos,
                format!("{feature} without {class}"),
                format!("requirements: {class}"),
            );
        }
    }

    fn workflow(&mut self, p: &Process, steps: &[Step], scope: &Scope) {
        let mut sources: BTreeMap<String, Type> = p
            .inputs
            .iter()
            .map(|i| (i.id.clone(), i.ty.clone()))
            .collect();
        for step in steps {
            for id in &step.outputs {
                match step.run.output(id) {
                    Some(o) => {
                        sources.insert(format!("{}/{id}", step.id), step_output_type(step, o));
                    }
                    None => {
                        let ids: Vec<&str> =
                            step.run.outputs.iter().map(|o| o.id.as_str()).collect();
                        let message = format!("{} has no output '{id}'", step.run.class());
                        self.diagnostics.error(
                            step.pos,
                            message,
                            format!("WorkflowStep: out, of {}", ids.join(", ")),
                        );
                    }
                }
            }
        }
        for step in steps {
            let inner = scope.nested(&step.requirement_set);
            self.requirements(&step.requirement_set, &inner);
            self.step(step, &sources, &inner);
            self.process(&step.run, &inner.nested(&step.run.requirement_set));
        }
        for o in &p.outputs {
            if let Some(ty) = self.source_type(&o.source, &sources, scope)
                && !ty.assignable_to(&o.ty)
            {
                let message = format!("output '{}' is {}, and {ty} flows into it", o.id, o.ty);
                self.diagnostics
                    .error(o.pos, message, "WorkflowOutputParameter: types that fit");
            }
        }
        self.detect_cycles(steps);
    }

    /// The type of what flows into one place; `None`: nothing, or a fault was noted.
    fn source_type(
        &mut self,
        s: &Sources,
        sources: &BTreeMap<String, Type>,
        scope: &Scope,
    ) -> Option<Type> {
        let mut types = Vec::new();
        for t in &s.from {
            match sources.get(&t.text) {
                Some(ty) => types.push(ty.clone()),
                None => {
                    let candidates: Vec<&str> =
                        sources.keys().map(String::as_str).take(12).collect();
                    let expected = format!("a source: {}", candidates.join(", "));
                    self.diagnostics.error(
                        t.pos,
                        format!("nothing is called '{}'", t.text),
                        expected,
                    );
                    return None;
                }
            }
        }
        if s.from.len() > 1 {
            self.require_feature(
                scope,
                "MultipleInputFeatureRequirement",
                s.from[0].pos,
                "several sources",
            );
        }
        if !s.is_list {
            return types.pop();
        }
        let flat = |t: &Type| match s.merge {
            LinkMerge::Flattened => t.items().unwrap_or_else(|| t.clone()),
            LinkMerge::Nested => t.clone(),
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
            Some(PickValue::AllNonNull) => Type::Array(Box::new(without_null(item))),
            Some(_) => without_null(item),
        })
    }

    fn step(&mut self, step: &Step, sources: &BTreeMap<String, Type>, scope: &Scope) {
        if !step.scatter.is_empty() {
            self.require_feature(scope, "ScatterFeatureRequirement", step.pos, "scatter");
        }
        if matches!(step.run.kind, Kind::Workflow(_)) {
            self.require_feature(
                scope,
                "SubworkflowFeatureRequirement",
                step.pos,
                "a workflow as a step",
            );
        }
        if step.scatter.len() > 1 && step.scatter_method.is_none() {
            self.diagnostics.error(
                step.pos,
                "several inputs are scattered and scatterMethod is missing",
                "scatterMethod",
            );
        }
        if let Some(when) = &step.when {
            self.expression(when, scope);
        }
        let ids: BTreeSet<&str> = step.inputs.iter().map(|i| i.id.as_str()).collect();
        for s in step
            .scatter
            .iter()
            .filter(|s| !ids.contains(s.text.as_str()))
        {
            self.diagnostics.error(
                s.pos,
                format!("the step has no input '{}'", s.text),
                "scatter: inputs of the step",
            );
        }
        for i in &step.inputs {
            if let Some(from) = &i.value_from {
                self.require_feature(
                    scope,
                    "StepInputExpressionRequirement",
                    from.pos,
                    "valueFrom of a step's input",
                );
                self.expression(from, scope);
            }
            let Some(mut ty) = self.source_type(&i.source, sources, scope) else {
                continue;
            };
            if step.scatter.iter().any(|s| s.text == i.id) {
                match ty.items() {
                    Some(item) => ty = item,
                    None => {
                        let message = format!("'{}' is scattered, and {ty} flows into it", i.id);
                        self.diagnostics.error(i.pos, message, "scatter: a list");
                        continue;
                    }
                }
            }
            let Some(input) = step.run.input(&i.id) else {
                continue;
            };
            // A default stands in for null.
            if i.default.is_some() || input.default.is_some() {
                ty = without_null(ty);
            }
            if i.value_from.is_none() && !ty.assignable_to(&input.ty) {
                let message = format!("input '{}' is {}, and {ty} flows into it", i.id, input.ty);
                self.diagnostics
                    .error(i.pos, message, "WorkflowStepInput: types that fit");
            }
        }
        for input in &step.run.inputs {
            if input.default.is_some() || input.ty.accepts_null() {
                continue;
            }
            let step_input = step.inputs.iter().find(|i| i.id == input.id);
            let is_given = step_input.is_some_and(|i| {
                !i.source.from.is_empty() || i.default.is_some() || i.value_from.is_some()
            });
            if !is_given {
                let message = format!("input '{}' of {} is not given", input.id, step.run.class());
                self.diagnostics.error(
                    step.pos,
                    message,
                    format!("WorkflowStep: in, {}: {}", input.id, input.ty),
                );
            }
        }
    }

    fn detect_cycles(&mut self, steps: &[Step]) {
        let dependencies: BTreeMap<&str, BTreeSet<&str>> = steps
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
        let mut remaining: BTreeSet<&str> = dependencies.keys().copied().collect();
        loop {
            let ready: Vec<&str> = remaining
                .iter()
                .copied()
                .filter(|s| dependencies[s].is_disjoint(&remaining))
                .collect();
            if ready.is_empty() {
                break;
            }
            remaining.retain(|s| !ready.contains(s));
        }
        if let Some(step) = steps.iter().find(|s| remaining.contains(s.id.as_str())) {
            let list: Vec<&str> = remaining.into_iter().collect();
            let message = format!("steps wait for each other in a circle: {}", list.join(", "));
            self.diagnostics
                .error(step.pos, message, "Workflow: steps without circles");
        }
    }
}

/// What a step's output is, seen from the workflow.
fn step_output_type(step: &Step, o: &Output) -> Type {
    let mut ty = match &o.ty {
        Type::Stdout | Type::Stderr => Type::File,
        t => t.clone(),
    };
    if step.when.is_some() {
        ty = ty.optional();
    }
    let levels = match step.scatter_method {
        Some(crate::model::ScatterMethod::Nested) => step.scatter.len(),
        _ => step.scatter.len().min(1),
    };
    (0..levels).fold(ty, |t, _| Type::Array(Box::new(t)))
}

fn without_null(t: Type) -> Type {
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
