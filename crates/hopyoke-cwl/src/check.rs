//! Validates links, types and required features of a document, independent of its inputs.

use crate::diagnostic::{Diagnostics, Pos};
use crate::expr::{self, Part};
use crate::hints;
use crate::model::{
    Kind, LinkMerge, Output, PickValue, Process, RequirementSet, Scope, Sources, Step, Text, Tool,
};
use crate::types::Type;
use crate::yaml::{Data, Node};
use std::collections::{BTreeMap, BTreeSet};

/// Validates a process and, recursively, the processes of its steps.
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
                    format!("the default of '{}' is not of type {}", i.id, i.ty),
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
                        "an output of an ExpressionTool cannot have a source",
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

    /// Checks that the expressions in a string parse and are allowed in this scope.
    fn expression(&mut self, t: &Text, scope: &Scope) {
        match expr::parts(&t.text) {
            Err(e) => self.diagnostics.error(
                t.pos,
                e.to_string(),
                "Expressions: matching brackets and quotes",
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
                        "the expression is more than a parameter reference",
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
                    let expected = "DockerRequirement: dockerPull, the image name";
                    self.diagnostics
                        .error(w.pos, "dockerPull is missing", expected);
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
                // Versions and capabilities, such as those of CUDA, are strings or lists.
                Data::Str(_) | Data::Seq(_)
                    if e.key.contains("Version") || e.key.contains("Capability") => {}
                _ => self.diagnostics.error(
                    e.node.pos,
                    format!("{} must be a non-negative number", e.key),
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
        let mut types_by_source: BTreeMap<String, Type> = p
            .inputs
            .iter()
            .map(|i| (i.id.clone(), i.ty.clone()))
            .collect();
        for step in steps {
            for id in &step.outputs {
                match step.run.output(id) {
                    Some(o) => {
                        types_by_source
                            .insert(format!("{}/{id}", step.id), step_output_type(step, o));
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
            self.step(step, &types_by_source, &inner);
            self.process(&step.run, &inner.nested(&step.run.requirement_set));
        }
        for o in &p.outputs {
            if let Some(ty) = self.source_type(&o.source, &types_by_source, scope)
                && !ty.assignable_to(&o.ty)
            {
                let message = format!(
                    "output '{}' has type {}, but its source has type {ty}",
                    o.id, o.ty
                );
                self.diagnostics
                    .error(o.pos, message, "WorkflowOutputParameter: compatible types");
            }
        }
        self.detect_cycles(steps);
    }

    /// Returns the type of a link's value after merging. Returns `None` if there is no source or an error was
    /// reported.
    fn source_type(
        &mut self,
        s: &Sources,
        types_by_source: &BTreeMap<String, Type>,
        scope: &Scope,
    ) -> Option<Type> {
        let mut types = Vec::new();
        for t in &s.from {
            match types_by_source.get(&t.text) {
                Some(ty) => types.push(ty.clone()),
                None => {
                    let candidates: Vec<&str> = types_by_source
                        .keys()
                        .map(String::as_str)
                        .take(12)
                        .collect();
                    let expected = format!("one of {}", candidates.join(", "));
                    self.diagnostics
                        .error(t.pos, format!("unknown source '{}'", t.text), expected);
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

    fn step(&mut self, step: &Step, types_by_source: &BTreeMap<String, Type>, scope: &Scope) {
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
                "scatterMethod is missing for several scattered inputs",
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
            let Some(mut ty) = self.source_type(&i.source, types_by_source, scope) else {
                continue;
            };
            if step.scatter.iter().any(|s| s.text == i.id) {
                match ty.items() {
                    Some(item) => ty = item,
                    None => {
                        let message =
                            format!("'{}' is scattered, but its source has type {ty}", i.id);
                        self.diagnostics.error(i.pos, message, "scatter: an array");
                        continue;
                    }
                }
            }
            let Some(input) = step.run.input(&i.id) else {
                continue;
            };
            // A default replaces null.
            if i.default.is_some() || input.default.is_some() {
                ty = without_null(ty);
            }
            if i.value_from.is_none() && !ty.assignable_to(&input.ty) {
                let message = format!(
                    "input '{}' has type {}, but its source has type {ty}",
                    i.id, input.ty
                );
                self.diagnostics
                    .error(i.pos, message, "WorkflowStepInput: compatible types");
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
                let message = format!(
                    "required input '{}' of {} is not set",
                    input.id,
                    step.run.class()
                );
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
            let message = format!("steps form a dependency cycle: {}", list.join(", "));
            self.diagnostics
                .error(step.pos, message, "Workflow: steps without cycles");
        }
    }
}

/// Returns the type of a step's output as seen by the workflow, with `when` and `scatter` applied.
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
