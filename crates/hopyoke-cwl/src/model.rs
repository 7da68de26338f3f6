//! Processes as the specification has them, with the places where they stand.

use crate::diagnostic::Pos;
use crate::types::Type;
use crate::yaml::Node;
use serde_json::Value;
use std::rc::Rc;

/// A tool, an expression or a workflow.
#[derive(Debug)]
pub struct Process {
    pub id: String,
    pub pos: Pos,
    pub kind: Kind,
    pub inputs: Vec<Input>,
    pub outputs: Vec<Output>,
    pub requirement_set: RequirementSet,
}

#[derive(Debug)]
pub enum Kind {
    Tool(Tool),
    Expression(Text),
    Workflow(Vec<Step>),
}

/// A text that may hold expressions, and its place.
#[derive(Debug, Clone, PartialEq)]
pub struct Text {
    pub pos: Pos,
    pub text: String,
}

#[derive(Debug)]
pub struct Input {
    pub id: String,
    pub pos: Pos,
    pub ty: Type,
    pub default: Option<Value>,
    pub secondary_files: Vec<SecondaryFile>,
    pub binding: Option<Binding>,
    /// Of the elements, if its type is a list that has one.
    pub item_binding: Option<Binding>,
    /// Its file's contents are to be known before the step starts.
    pub load_contents: bool,
}

/// A file beside another, such as an index.
#[derive(Debug, Clone)]
pub struct SecondaryFile {
    pub pattern: Text,
    pub required: bool,
}

/// How a value goes onto the command line.
#[derive(Debug, Clone, Default)]
pub struct Binding {
    pub pos: Pos,
    pub position: Option<Text>,
    pub prefix: Option<String>,
    pub separate: bool,
    pub item_separator: Option<String>,
    pub value_from: Option<Text>,
    pub shell_quote: bool,
}

#[derive(Debug)]
pub struct Output {
    pub id: String,
    pub pos: Pos,
    pub ty: Type,
    /// Of a tool: the files that it collects.
    pub glob: Vec<Text>,
    pub output_eval: Option<Text>,
    pub load_contents: bool,
    pub secondary_files: Vec<SecondaryFile>,
    /// Of a workflow: where it comes from.
    pub source: Sources,
}

/// Values that flow into one place.
#[derive(Debug, Clone, Default)]
pub struct Sources {
    pub from: Vec<Text>,
    /// It was written as a list, even if of one.
    pub is_list: bool,
    pub merge: LinkMerge,
    pub pick: Option<PickValue>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkMerge {
    #[default]
    Nested,
    Flattened,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickValue {
    FirstNonNull,
    OnlyNonNull,
    AllNonNull,
}

#[derive(Debug, Default)]
pub struct Tool {
    pub base_command: Vec<String>,
    pub arguments: Vec<Binding>,
    pub stdin: Option<Text>,
    pub stdout: Option<Text>,
    pub stderr: Option<Text>,
    pub success_codes: Vec<i64>,
}

#[derive(Debug)]
pub struct Step {
    pub id: String,
    pub pos: Pos,
    pub run: Rc<Process>,
    pub inputs: Vec<StepInput>,
    pub outputs: Vec<String>,
    pub scatter: Vec<Text>,
    pub scatter_method: Option<ScatterMethod>,
    pub when: Option<Text>,
    pub requirement_set: RequirementSet,
}

#[derive(Debug)]
pub struct StepInput {
    pub id: String,
    pub pos: Pos,
    pub source: Sources,
    pub default: Option<Value>,
    pub value_from: Option<Text>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScatterMethod {
    Dot,
    Nested,
    Flat,
}

/// Requirements and hints of one process or step.
#[derive(Debug, Default, Clone)]
pub struct RequirementSet {
    pub requirements: Vec<Requirement>,
    pub hints: Vec<Requirement>,
}

#[derive(Debug, Clone)]
pub struct Requirement {
    pub class: String,
    pub pos: Pos,
    pub body: Rc<Node>,
}

/// Requirements and hints that hold somewhere: the innermost comes first.
#[derive(Debug, Clone, Default)]
pub struct Scope(Vec<RequirementSet>);

impl Scope {
    /// What holds inside of something that wants this as well.
    pub fn nested(&self, requirement_set: &RequirementSet) -> Scope {
        let mut list = vec![requirement_set.clone()];
        list.extend(self.0.iter().cloned());
        Scope(list)
    }

    /// The requirement of this class that holds, or else the hint: the innermost.
    pub fn find(&self, class: &str) -> Option<&Requirement> {
        let of = |list: fn(&RequirementSet) -> &Vec<Requirement>| {
            self.0.iter().flat_map(list).find(|w| w.class == class)
        };
        of(|w| &w.requirements).or_else(|| of(|w| &w.hints))
    }
}

impl Process {
    pub fn input(&self, id: &str) -> Option<&Input> {
        self.inputs.iter().find(|i| i.id == id)
    }

    pub fn output(&self, id: &str) -> Option<&Output> {
        self.outputs.iter().find(|o| o.id == id)
    }

    /// What messages call it.
    pub fn class(&self) -> &'static str {
        match self.kind {
            Kind::Tool(_) => "CommandLineTool",
            Kind::Expression(_) => "ExpressionTool",
            Kind::Workflow(_) => "Workflow",
        }
    }
}
