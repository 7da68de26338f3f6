//! The CWL process model, with source positions.

use crate::diagnostic::Pos;
use crate::types::Type;
use crate::yaml::Node;
use serde_json::Value;
use std::rc::Rc;

/// A CommandLineTool, an ExpressionTool or a Workflow.
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

/// A string that may contain expressions.
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
    /// The binding of the elements, if the type is an array that declares one.
    pub item_binding: Option<Binding>,
    /// `loadContents`: the file's contents must be known before the step starts.
    pub load_contents: bool,
}

/// A secondary file, such as an index.
#[derive(Debug, Clone)]
pub struct SecondaryFile {
    pub pattern: Text,
    pub required: bool,
}

/// How a value is added to the command line.
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
    /// The files to collect; used by tools only.
    pub glob: Vec<Text>,
    pub output_eval: Option<Text>,
    pub load_contents: bool,
    pub secondary_files: Vec<SecondaryFile>,
    /// The source of the value; used by workflows only.
    pub source: Sources,
}

/// The sources of one input or workflow output.
#[derive(Debug, Clone, Default)]
pub struct Sources {
    pub from: Vec<Text>,
    /// The value is a list: the source was written as a list, even of one, or linkMerge was given.
    pub is_list: bool,
    pub merge: LinkMerge,
    pub pick: Option<PickValue>,
}

/// `linkMerge`: how several sources are combined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkMerge {
    #[default]
    Nested,
    Flattened,
}

/// `pickValue`: which of several source values are used.
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

/// `scatterMethod`: dot product, nested or flat cross product.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScatterMethod {
    Dot,
    Nested,
    Flat,
}

/// The requirements and hints of one process or step.
#[derive(Debug, Default, Clone)]
pub struct RequirementSet {
    pub requirements: Vec<Requirement>,
    pub hints: Vec<Requirement>,
}

/// One requirement or hint.
#[derive(Debug, Clone)]
pub struct Requirement {
    pub class: String,
    pub pos: Pos,
    pub body: Rc<Node>,
}

/// The requirements and hints in effect at some point of a document, innermost first.
#[derive(Debug, Clone, Default)]
pub struct Scope(Vec<RequirementSet>);

impl Scope {
    /// Returns the scope inside a process or step with these requirements and hints.
    pub fn nested(&self, requirement_set: &RequirementSet) -> Scope {
        let mut list = vec![requirement_set.clone()];
        list.extend(self.0.iter().cloned());
        Scope(list)
    }

    /// Returns the innermost requirement of this class or, if there is none, the innermost hint.
    pub fn find(&self, class: &str) -> Option<&Requirement> {
        let find_in = |list: fn(&RequirementSet) -> &Vec<Requirement>| {
            self.0.iter().flat_map(list).find(|w| w.class == class)
        };
        find_in(|w| &w.requirements).or_else(|| find_in(|w| &w.hints))
    }
}

impl Process {
    pub fn input(&self, id: &str) -> Option<&Input> {
        self.inputs.iter().find(|i| i.id == id)
    }

    pub fn output(&self, id: &str) -> Option<&Output> {
        self.outputs.iter().find(|o| o.id == id)
    }

    /// Returns the class name of the process.
    pub fn class(&self) -> &'static str {
        match self.kind {
            Kind::Tool(_) => "CommandLineTool",
            Kind::Expression(_) => "ExpressionTool",
            Kind::Workflow(_) => "Workflow",
        }
    }
}
