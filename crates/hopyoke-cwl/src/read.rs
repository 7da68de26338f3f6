//! Reads a process from a tree of nodes. Reading continues after an error, so that all are reported.

use crate::diagnostic::{Diagnostics, Pos};
use crate::load::Documents;
use crate::model::{
    Binding, Input, Kind, LinkMerge, Output, PickValue, Process, Requirement, RequirementSet,
    ScatterMethod, SecondaryFile, Sources, Step, StepInput, Text, Tool,
};
use crate::types::{MAX_TYPE_NAME_BYTES, Type};
use crate::yaml::{Data, Entry, Node};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Supported requirements and how they are implemented.
pub const SUPPORTED: &[(&str, &str)] = &[
    (
        "InlineJavascriptRequirement",
        "expressions run in the client, with time and memory limits",
    ),
    ("SchemaDefRequirement", "named types"),
    ("SubworkflowFeatureRequirement", "workflows as steps"),
    (
        "ScatterFeatureRequirement",
        "all three methods; tasks of equal shape become one array job",
    ),
    ("MultipleInputFeatureRequirement", "linkMerge"),
    ("StepInputExpressionRequirement", "valueFrom of step inputs"),
    ("ResourceRequirement", "cores and memory of a task"),
    ("DockerRequirement", "dockerPull is the image of the task"),
    ("ToolTimeLimit", "in the task description, for the worker"),
    ("EnvVarRequirement", "in the task description"),
    ("ShellCommandRequirement", "in the task description"),
    ("NetworkAccess", "in the task description"),
    (
        "WorkReuse",
        "no effect: a completed step is never run again",
    ),
    ("cwltool:CUDARequirement", "GPUs of a task"),
    (
        crate::hints::CLASS,
        "team, priority, zone, spot, deadline, checkpoint",
    ),
];

/// Classes of CWL v1.2 that this engine does not support, and why.
pub const UNSUPPORTED: &[(&str, &str)] = &[
    (
        "InitialWorkDirRequirement",
        "staging files into a task's working directory is not implemented",
    ),
    ("InplaceUpdateRequirement", "a task's inputs are immutable"),
    (
        "LoadListingRequirement",
        "a directory listing is not known before its task has run",
    ),
    (
        "SoftwareRequirement",
        "software comes with the image; use DockerRequirement",
    ),
];

/// Returns the last segment of an id: `out` for `#main/step/out`.
pub(crate) fn short_id(id: &str) -> &str {
    let id = id.rsplit('#').next().unwrap_or(id);
    id.rsplit('/').next().unwrap_or(id)
}

/// Normalizes a source reference to `input` or `step/output`.
fn normalize_source(text: &str, process: &str) -> String {
    let text = text.rsplit('#').next().unwrap_or(text);
    let parts: Vec<&str> = text.split('/').collect();
    match parts.as_slice() {
        [first, rest @ ..] if !rest.is_empty() && *first == process => rest.join("/"),
        [.., step, output] if parts.len() > 2 => format!("{step}/{output}"),
        _ => text.to_owned(),
    }
}

struct Reader<'d, 'a, 'f> {
    documents: &'d mut Documents<'a>,
    diagnostics: &'f mut Diagnostics,
    /// The file relative to which references are resolved.
    base: String,
    /// The named types of `SchemaDefRequirement`.
    types: BTreeMap<String, Node>,
    /// The id of the process, without its file.
    id: String,
}

/// Reads the process at `node`. Returns `None` if an error was reported after which reading cannot continue.
pub(crate) fn process(
    documents: &mut Documents<'_>,
    node: &Node,
    version: Option<&Node>,
    base: &str,
    diagnostics: &mut Diagnostics,
) -> Option<Process> {
    let expected = "cwlVersion: v1.2";
    match version.map(|v| (v, v.as_str())) {
        Some((_, Some("v1.2"))) => {}
        Some((v, Some(other))) => diagnostics.error(
            v.pos,
            format!("cwlVersion {other} is not supported"),
            expected,
        ),
        Some((v, None)) => diagnostics.error(v.pos, "cwlVersion must be a string", expected),
        None => diagnostics.error(node.pos, "cwlVersion is missing", expected),
    }
    let id = node
        .get("id")
        .and_then(Node::as_str)
        .map(|s| short_id(s).to_owned())
        .unwrap_or_default();
    let mut r = Reader {
        documents,
        diagnostics,
        base: base.to_owned(),
        types: BTreeMap::new(),
        id,
    };
    r.process(node)
}

const PROCESS_FIELDS: &[&str] = &[
    "id",
    "class",
    "label",
    "doc",
    "inputs",
    "outputs",
    "requirements",
    "hints",
    "cwlVersion",
    "intent",
    "$namespaces",
    "$schemas",
    "$graph",
];
const TOOL_FIELDS: &[&str] = &[
    "baseCommand",
    "arguments",
    "stdin",
    "stdout",
    "stderr",
    "successCodes",
    "temporaryFailCodes",
    "permanentFailCodes",
];
const INPUT_FIELDS: &[&str] = &[
    "id",
    "type",
    "label",
    "doc",
    "default",
    "secondaryFiles",
    "streamable",
    "format",
    "loadContents",
    "loadListing",
    "inputBinding",
];
const OUTPUT_FIELDS: &[&str] = &[
    "id",
    "type",
    "label",
    "doc",
    "secondaryFiles",
    "streamable",
    "format",
    "outputBinding",
    "outputSource",
    "linkMerge",
    "pickValue",
];
const STEP_FIELDS: &[&str] = &[
    "id",
    "in",
    "out",
    "run",
    "label",
    "doc",
    "requirements",
    "hints",
    "scatter",
    "scatterMethod",
    "when",
];
const STEP_INPUT_FIELDS: &[&str] = &[
    "id",
    "source",
    "linkMerge",
    "pickValue",
    "default",
    "valueFrom",
    "label",
    "loadContents",
    "loadListing",
];
const BINDING_FIELDS: &[&str] = &[
    "position",
    "prefix",
    "separate",
    "itemSeparator",
    "valueFrom",
    "shellQuote",
    "loadContents",
];

impl Reader<'_, '_, '_> {
    fn process(&mut self, node: &Node) -> Option<Process> {
        if node.as_map().is_none() {
            self.diagnostics.error(
                node.pos,
                format!("a process must be a map, not {}", node.kind()),
                "Process",
            );
            return None;
        }
        let class = self.text_field(node, "class", "Process: class");
        let known: &[&str] = match class.as_deref() {
            Some("CommandLineTool") => TOOL_FIELDS,
            Some("ExpressionTool") => &["expression"],
            Some("Workflow") => &["steps"],
            Some("Operation") => {
                self.diagnostics.error(
                    node.pos,
                    "an Operation has no implementation to run",
                    "an executable process",
                );
                return None;
            }
            Some(other) => {
                let expected = "CommandLineTool, ExpressionTool or Workflow";
                self.diagnostics
                    .error(node.pos, format!("unknown class {other}"), expected);
                return None;
            }
            None => {
                self.diagnostics.error(
                    node.pos,
                    "class is missing",
                    "CommandLineTool, ExpressionTool or Workflow",
                );
                return None;
            }
        };
        self.check_fields(node, &[PROCESS_FIELDS, known], "Process");
        let requirement_set = self.requirements(node);
        self.schema_types(&requirement_set);
        let inputs = self.inputs(node);
        let outputs = self.outputs(node, class.as_deref() == Some("Workflow"));
        let kind = match class.as_deref() {
            Some("Workflow") => Kind::Workflow(self.steps(node)),
            Some("ExpressionTool") => match node.get("expression").and_then(|n| self.text(n)) {
                Some(t) => Kind::Expression(t),
                None => {
                    self.diagnostics.error(
                        node.pos,
                        "expression is missing",
                        "ExpressionTool: expression",
                    );
                    return None;
                }
            },
            _ => Kind::Tool(self.tool(node)),
        };
        self.check_unique(inputs.iter().map(|i| (&i.id, i.pos)), "input");
        self.check_unique(outputs.iter().map(|o| (&o.id, o.pos)), "output");
        Some(Process {
            id: self.id.clone(),
            pos: node.pos,
            kind,
            inputs,
            outputs,
            requirement_set,
        })
    }

    fn check_unique<'x>(&mut self, ids: impl Iterator<Item = (&'x String, Pos)>, kind: &str) {
        let mut seen = std::collections::BTreeSet::new();
        for (id, pos) in ids {
            if !seen.insert(id.clone()) {
                self.diagnostics
                    .error(pos, format!("duplicate {kind} '{id}'"), "unique ids");
            }
        }
    }

    fn check_fields(&mut self, node: &Node, known: &[&[&str]], section: &str) {
        for e in node.as_map().unwrap_or_default() {
            let is_known = known.iter().any(|list| list.contains(&e.key.as_str()));
            // Fields with a namespace prefix are extensions, which an engine may ignore.
            if !is_known && !e.key.contains(':') && !e.key.starts_with('$') {
                self.diagnostics.error(
                    e.pos,
                    format!("unknown field '{}'", e.key),
                    format!("a field of {section}"),
                );
            }
        }
    }

    fn text(&mut self, node: &Node) -> Option<Text> {
        match &node.data {
            Data::Str(s) => Some(Text {
                pos: node.pos,
                text: s.clone(),
            }),
            Data::Int(n) => Some(Text {
                pos: node.pos,
                text: n.to_string(),
            }),
            Data::Float(x) => Some(Text {
                pos: node.pos,
                text: x.to_string(),
            }),
            Data::Bool(b) => Some(Text {
                pos: node.pos,
                text: b.to_string(),
            }),
            _ => {
                self.diagnostics.error(
                    node.pos,
                    format!("expected a string, not {}", node.kind()),
                    "a string or an expression",
                );
                None
            }
        }
    }

    fn text_field(&mut self, node: &Node, field: &str, expected: &str) -> Option<String> {
        let n = node.get(field)?;
        match n.as_str() {
            Some(s) => Some(s.to_owned()),
            None => {
                self.diagnostics.error(
                    n.pos,
                    format!("{field} must be a string, not {}", n.kind()),
                    expected,
                );
                None
            }
        }
    }

    fn bool_field(&mut self, node: &Node, field: &str, default: bool) -> bool {
        match node.get(field).map(|n| (n.pos, &n.data)) {
            None => default,
            Some((_, Data::Bool(b))) => *b,
            Some((pos, _)) => {
                self.diagnostics
                    .error(pos, format!("{field} must be true or false"), "a boolean");
                default
            }
        }
    }

    /// Reads a list of maps with ids or a map keyed by id. `shorthand` is the field that a plain value stands
    /// for.
    fn items(
        &mut self,
        node: Option<&Node>,
        shorthand: &str,
        section: &str,
    ) -> Vec<(String, Pos, Node)> {
        let Some(node) = node else { return Vec::new() };
        match &node.data {
            Data::Map(entries) => entries
                .iter()
                .map(|e| {
                    let body = match &e.node.data {
                        Data::Map(m)
                            if shorthand != "type"
                                || m.iter().any(|x| x.key == "type")
                                || m.is_empty() =>
                        {
                            e.node.clone()
                        }
                        // Shorthand for the field: a scalar, a list, or a type written as a map.
                        _ => Node {
                            pos: e.node.pos,
                            data: Data::Map(vec![Entry {
                                key: shorthand.to_owned(),
                                pos: e.node.pos,
                                node: e.node.clone(),
                            }]),
                        },
                    };
                    (short_id(&e.key).to_owned(), e.pos, body)
                })
                .collect(),
            Data::Seq(list) => {
                let mut out = Vec::new();
                for n in list {
                    match n.get("id").and_then(Node::as_str) {
                        Some(id) => out.push((short_id(id).to_owned(), n.pos, n.clone())),
                        None => {
                            self.diagnostics
                                .error(n.pos, "id is missing", format!("{section}: id"))
                        }
                    }
                }
                out
            }
            _ => {
                let message = format!("expected a list or a map, not {}", node.kind());
                self.diagnostics
                    .error(node.pos, message, section.to_owned());
                Vec::new()
            }
        }
    }

    fn requirements(&mut self, node: &Node) -> RequirementSet {
        let hints = self.requirement_list(node.get("hints"), true);
        RequirementSet {
            requirements: self.requirement_list(node.get("requirements"), false),
            hints,
        }
    }

    fn requirement_list(&mut self, node: Option<&Node>, hint: bool) -> Vec<Requirement> {
        let Some(node) = node else { return Vec::new() };
        let mut list: Vec<(String, Pos, Node)> = Vec::new();
        match &node.data {
            Data::Map(entries) => {
                list.extend(
                    entries
                        .iter()
                        .map(|e| (e.key.clone(), e.pos, e.node.clone())),
                );
            }
            Data::Seq(nodes) => {
                for n in nodes {
                    match n.get("class").and_then(Node::as_str) {
                        Some(class) => list.push((class.to_owned(), n.pos, n.clone())),
                        None => self.diagnostics.error(
                            n.pos,
                            "class is missing",
                            "ProcessRequirement: class",
                        ),
                    }
                }
            }
            Data::Null => {}
            _ => self.diagnostics.error(
                node.pos,
                "expected a list or a map",
                "Process: requirements",
            ),
        }
        let mut out = Vec::new();
        for (class, pos, body) in list {
            let class = canonical(&class);
            let known = SUPPORTED.iter().any(|(name, _)| *name == class);
            if let Some((_, why)) = UNSUPPORTED.iter().find(|(name, _)| *name == class) {
                let message = format!("{class} is not supported: {why}");
                if hint {
                    self.diagnostics.warn(pos, message, "the hint is ignored");
                } else {
                    self.diagnostics.unsupported(
                        pos,
                        message,
                        "a requirement listed in docs/CWL.md, or a hint",
                    );
                }
            } else if known {
                out.push(Requirement {
                    class,
                    pos,
                    body: Rc::new(body),
                });
            } else if hint {
                self.diagnostics
                    .warn(pos, format!("unknown hint {class}"), "the hint is ignored");
            } else {
                let expected = "a requirement listed in docs/CWL.md";
                self.diagnostics
                    .unsupported(pos, format!("unknown requirement {class}"), expected);
            }
        }
        out
    }

    fn schema_types(&mut self, requirement_set: &RequirementSet) {
        for w in requirement_set
            .requirements
            .iter()
            .chain(&requirement_set.hints)
            .filter(|w| w.class == "SchemaDefRequirement")
        {
            for t in w
                .body
                .get("types")
                .and_then(Node::as_seq)
                .unwrap_or_default()
            {
                match t.get("name").and_then(Node::as_str) {
                    Some(name) => {
                        self.types.insert(short_id(name).to_owned(), t.clone());
                    }
                    None => self.diagnostics.error(
                        t.pos,
                        "name is missing",
                        "SchemaDefRequirement: types with names",
                    ),
                }
            }
        }
    }

    fn ty(&mut self, node: &Node, depth: usize) -> Type {
        if depth > 32 {
            self.diagnostics.error(
                node.pos,
                "the type contains itself",
                "a type without recursion",
            );
            return Type::Any;
        }
        match &node.data {
            Data::Str(s) => {
                let word = s.rsplit('#').next().unwrap_or(s);
                let stem = word.trim_end_matches(['?', '[', ']']);
                if word.len() <= MAX_TYPE_NAME_BYTES
                    && let Some(named) = self.types.get(short_id(stem)).cloned()
                {
                    let mut t = self.ty(&named, depth + 1);
                    let mut rest = &word[stem.len()..];
                    while !rest.is_empty() {
                        (t, rest) = match (rest.strip_prefix("[]"), rest.strip_prefix('?')) {
                            (Some(r), _) => (Type::Array(Box::new(t)), r),
                            (_, Some(r)) => (t.optional(), r),
                            _ => break,
                        };
                    }
                    return t;
                }
                Type::parse(word).unwrap_or_else(|| {
                    let expected = "CWLType, or a name defined by SchemaDefRequirement";
                    self.diagnostics
                        .error(node.pos, format!("unknown type '{s}'"), expected);
                    Type::Any
                })
            }
            Data::Seq(list) => {
                let list: Vec<Type> = list.iter().map(|n| self.ty(n, depth + 1)).collect();
                if list.len() == 1 {
                    list.into_iter().next().unwrap_or(Type::Any)
                } else {
                    Type::Union(list)
                }
            }
            Data::Map(_) => self.schema_type(node, depth),
            _ => {
                self.diagnostics.error(
                    node.pos,
                    format!("expected a type, not {}", node.kind()),
                    "CWLType",
                );
                Type::Any
            }
        }
    }

    fn schema_type(&mut self, node: &Node, depth: usize) -> Type {
        match node.get("type") {
            Some(n) if n.as_str() == Some("array") => match node.get("items") {
                Some(items) => Type::Array(Box::new(self.ty(items, depth + 1))),
                None => {
                    self.diagnostics
                        .error(node.pos, "items is missing", "ArraySchema: items");
                    Type::Any
                }
            },
            Some(n) if n.as_str() == Some("enum") => {
                let symbols = node
                    .get("symbols")
                    .and_then(Node::as_seq)
                    .unwrap_or_default();
                let symbols: Vec<String> = symbols
                    .iter()
                    .filter_map(Node::as_str)
                    .map(|s| short_id(s).to_owned())
                    .collect();
                if symbols.is_empty() {
                    self.diagnostics
                        .error(node.pos, "symbols is missing", "EnumSchema: symbols");
                }
                Type::Enum(symbols)
            }
            Some(n) if n.as_str() == Some("record") => {
                let mut fields = Vec::new();
                let list = match node.get("fields").map(|n| &n.data) {
                    Some(Data::Seq(list)) => list
                        .iter()
                        .map(|n| {
                            (
                                n.get("name").and_then(Node::as_str).map(str::to_owned),
                                n.clone(),
                            )
                        })
                        .collect(),
                    Some(Data::Map(entries)) => entries
                        .iter()
                        .map(|e| (Some(e.key.clone()), e.node.clone()))
                        .collect(),
                    _ => Vec::new(),
                };
                for (name, body) in list {
                    let Some(name) = name else {
                        self.diagnostics
                            .error(body.pos, "name is missing", "RecordField: name");
                        continue;
                    };
                    let t = body.get("type").unwrap_or(&body).clone();
                    fields.push((short_id(&name).to_owned(), self.ty(&t, depth + 1)));
                }
                Type::Record(fields)
            }
            Some(n) => self.ty(&n.clone(), depth + 1),
            None => {
                self.diagnostics
                    .error(node.pos, "type is missing", "CWLType");
                Type::Any
            }
        }
    }

    fn type_field(&mut self, node: &Node, section: &str) -> Type {
        match node.get("type") {
            Some(t) => self.ty(&t.clone(), 0),
            None => {
                self.diagnostics
                    .error(node.pos, "type is missing", format!("{section}: type"));
                Type::Any
            }
        }
    }

    fn inputs(&mut self, node: &Node) -> Vec<Input> {
        let section = "InputParameter";
        if node.get("inputs").is_none() {
            self.diagnostics.error(
                node.pos,
                "inputs is missing",
                "Process: inputs, a list or a map, possibly empty",
            );
        }
        let mut out = Vec::new();
        for (id, pos, body) in self.items(node.get("inputs"), "type", section) {
            self.check_fields(&body, &[INPUT_FIELDS], section);
            let ty = self.type_field(&body, section);
            let item_binding = body
                .get("type")
                .and_then(|t| t.get("inputBinding"))
                .cloned();
            let load_contents = self.bool_field(&body, "loadContents", false)
                || body
                    .get("inputBinding")
                    .is_some_and(|b| self.bool_field(b, "loadContents", false));
            out.push(Input {
                default: body.get("default").map(Node::to_value),
                secondary_files: self.secondary_files(body.get("secondaryFiles")),
                binding: body.get("inputBinding").cloned().map(|n| self.binding(&n)),
                item_binding: item_binding.map(|n| self.binding(&n)),
                load_contents,
                ty,
                id,
                pos,
            });
        }
        out
    }

    fn secondary_files(&mut self, node: Option<&Node>) -> Vec<SecondaryFile> {
        let Some(node) = node else { return Vec::new() };
        let single = [node.clone()];
        let list = node.as_seq().unwrap_or(&single).to_vec();
        let mut out = Vec::new();
        for n in list {
            let (pattern, required) = match n.get("pattern") {
                Some(p) => (self.text(&p.clone()), self.bool_field(&n, "required", true)),
                None => (self.text(&n), true),
            };
            if let Some(mut pattern) = pattern {
                let optional = pattern.text.ends_with('?') && !pattern.text.contains("$(");
                if optional {
                    pattern.text.pop();
                }
                out.push(SecondaryFile {
                    pattern,
                    required: required && !optional,
                });
            }
        }
        out
    }

    fn binding(&mut self, node: &Node) -> Binding {
        self.check_fields(node, &[BINDING_FIELDS], "CommandLineBinding");
        let text = |r: &mut Self, field: &str| node.get(field).cloned().and_then(|n| r.text(&n));
        Binding {
            pos: node.pos,
            position: text(self, "position"),
            prefix: text(self, "prefix").map(|t| t.text),
            separate: self.bool_field(node, "separate", true),
            item_separator: text(self, "itemSeparator").map(|t| t.text),
            value_from: text(self, "valueFrom"),
            shell_quote: self.bool_field(node, "shellQuote", true),
        }
    }

    fn outputs(&mut self, node: &Node, workflow: bool) -> Vec<Output> {
        let section = "OutputParameter";
        if node.get("outputs").is_none() {
            self.diagnostics.error(
                node.pos,
                "outputs is missing",
                "Process: outputs, a list or a map, possibly empty",
            );
        }
        let mut out = Vec::new();
        for (id, pos, body) in self.items(node.get("outputs"), "type", section) {
            self.check_fields(&body, &[OUTPUT_FIELDS], section);
            let ty = self.type_field(&body, section);
            let binding = body.get("outputBinding").cloned();
            let glob = binding.as_ref().and_then(|b| b.get("glob")).cloned();
            let one = glob.clone().map(|g| vec![g]).unwrap_or_default();
            let globs = glob
                .as_ref()
                .and_then(Node::as_seq)
                .map_or(one, <[Node]>::to_vec);
            let glob = globs.iter().filter_map(|n| self.text(n)).collect();
            let source = self.sources(&body, "outputSource");
            if workflow && source.from.is_empty() {
                self.diagnostics.error(
                    pos,
                    "outputSource is missing",
                    "WorkflowOutputParameter: outputSource",
                );
            }
            out.push(Output {
                glob,
                output_eval: binding
                    .as_ref()
                    .and_then(|b| b.get("outputEval"))
                    .cloned()
                    .and_then(|n| self.text(&n)),
                load_contents: binding
                    .as_ref()
                    .is_some_and(|b| self.bool_field(b, "loadContents", false)),
                secondary_files: self.secondary_files(body.get("secondaryFiles")),
                source,
                ty,
                id,
                pos,
            });
        }
        out
    }

    fn sources(&mut self, node: &Node, field: &str) -> Sources {
        let id = self.id.clone();
        let named = |t: Text| Text {
            pos: t.pos,
            text: normalize_source(&t.text, &id),
        };
        let (from, is_list) = match node.get(field) {
            None => (Vec::new(), false),
            Some(n) => match n.as_seq() {
                Some(list) => (
                    list.to_vec()
                        .iter()
                        .filter_map(|n| self.text(n))
                        .map(named)
                        .collect(),
                    true,
                ),
                None => (
                    self.text(&n.clone()).map(named).into_iter().collect(),
                    false,
                ),
            },
        };
        let merge = match node.get("linkMerge").map(|n| (n.pos, n.as_str())) {
            None | Some((_, Some("merge_nested"))) => LinkMerge::Nested,
            Some((_, Some("merge_flattened"))) => LinkMerge::Flattened,
            Some((pos, _)) => {
                self.diagnostics
                    .error(pos, "unknown linkMerge", "merge_nested or merge_flattened");
                LinkMerge::Nested
            }
        };
        let pick = match node.get("pickValue").map(|n| (n.pos, n.as_str())) {
            None => None,
            Some((_, Some("first_non_null"))) => Some(PickValue::FirstNonNull),
            Some((_, Some("the_only_non_null"))) => Some(PickValue::OnlyNonNull),
            Some((_, Some("all_non_null"))) => Some(PickValue::AllNonNull),
            Some((pos, _)) => {
                self.diagnostics.error(
                    pos,
                    "unknown pickValue",
                    "first_non_null, the_only_non_null or all_non_null",
                );
                None
            }
        };
        let explicit = node.get("linkMerge").is_some();
        Sources {
            is_list: is_list || explicit,
            from,
            merge,
            pick,
        }
    }

    fn tool(&mut self, node: &Node) -> Tool {
        let words = |r: &mut Self, n: Option<&Node>| -> Vec<Text> {
            let Some(n) = n else { return Vec::new() };
            match n.as_seq() {
                Some(list) => list.to_vec().iter().filter_map(|n| r.text(n)).collect(),
                None => r.text(&n.clone()).into_iter().collect(),
            }
        };
        let base_command = words(self, node.get("baseCommand"))
            .into_iter()
            .map(|t| t.text)
            .collect();
        let mut arguments = Vec::new();
        for n in node
            .get("arguments")
            .and_then(Node::as_seq)
            .unwrap_or_default()
            .to_vec()
        {
            if n.as_map().is_some() {
                arguments.push(self.binding(&n));
            } else if let Some(t) = self.text(&n) {
                arguments.push(Binding {
                    pos: t.pos,
                    separate: true,
                    shell_quote: true,
                    value_from: Some(t),
                    ..Binding::default()
                });
            }
        }
        let text = |r: &mut Self, field: &str| node.get(field).cloned().and_then(|n| r.text(&n));
        let codes = node
            .get("successCodes")
            .and_then(Node::as_seq)
            .unwrap_or_default();
        Tool {
            base_command,
            arguments,
            stdin: text(self, "stdin"),
            stdout: text(self, "stdout"),
            stderr: text(self, "stderr"),
            success_codes: codes
                .iter()
                .filter_map(|n| match n.data {
                    Data::Int(i) => Some(i),
                    _ => None,
                })
                .collect(),
        }
    }

    fn steps(&mut self, node: &Node) -> Vec<Step> {
        if node.get("steps").is_none() {
            self.diagnostics
                .error(node.pos, "steps is missing", "Workflow: steps");
        }
        let mut out: Vec<Step> = Vec::new();
        for (id, pos, body) in self.items(node.get("steps"), "run", "WorkflowStep") {
            self.check_fields(&body, &[STEP_FIELDS], "WorkflowStep");
            let run = match body.get("run") {
                None => {
                    self.diagnostics
                        .error(pos, "run is missing", "WorkflowStep: run");
                    None
                }
                Some(n) => match n.as_str() {
                    Some(name) => {
                        self.documents
                            .resolve(&self.base.clone(), name, n.pos, self.diagnostics)
                    }
                    None => {
                        let mut inner = n.clone();
                        let id = inner
                            .get("id")
                            .and_then(Node::as_str)
                            .map_or_else(|| id.clone(), |s| short_id(s).into());
                        if let Data::Map(entries) = &mut inner.data {
                            entries.retain(|e| e.key != "cwlVersion");
                        }
                        let types = self.types.clone();
                        let mut r = Reader {
                            documents: self.documents,
                            diagnostics: self.diagnostics,
                            base: self.base.clone(),
                            types,
                            id,
                        };
                        r.process(&inner).map(Rc::new)
                    }
                },
            };
            let mut inputs = Vec::new();
            for (id, pos, input) in self.items(body.get("in"), "source", "WorkflowStepInput") {
                self.check_fields(&input, &[STEP_INPUT_FIELDS], "WorkflowStepInput");
                inputs.push(StepInput {
                    source: self.sources(&input, "source"),
                    default: input.get("default").map(Node::to_value),
                    value_from: input.get("valueFrom").cloned().and_then(|n| self.text(&n)),
                    id,
                    pos,
                });
            }
            let mut outputs = Vec::new();
            for n in body.get("out").and_then(Node::as_seq).unwrap_or_default() {
                match n.as_str().or_else(|| n.get("id").and_then(Node::as_str)) {
                    Some(id) => outputs.push(short_id(id).to_owned()),
                    None => {
                        self.diagnostics
                            .error(n.pos, "output id is missing", "WorkflowStep: out")
                    }
                }
            }
            if body.get("out").is_none() {
                self.diagnostics.error(
                    pos,
                    "out is missing",
                    "WorkflowStep: out, a list, possibly empty",
                );
            }
            let scatter = match body.get("scatter") {
                None => Vec::new(),
                Some(n) => {
                    let single = [n.clone()];
                    let list = n.as_seq().unwrap_or(&single).to_vec();
                    let texts: Vec<Text> = list.iter().filter_map(|n| self.text(n)).collect();
                    texts
                        .into_iter()
                        .map(|t| Text {
                            pos: t.pos,
                            text: short_id(&t.text).to_owned(),
                        })
                        .collect()
                }
            };
            let scatter_method = match body.get("scatterMethod").map(|n| (n.pos, n.as_str())) {
                None => None,
                Some((_, Some("dotproduct"))) => Some(ScatterMethod::Dot),
                Some((_, Some("nested_crossproduct"))) => Some(ScatterMethod::Nested),
                Some((_, Some("flat_crossproduct"))) => Some(ScatterMethod::Flat),
                Some((pos, _)) => {
                    let expected = "dotproduct, nested_crossproduct or flat_crossproduct";
                    self.diagnostics
                        .error(pos, "unknown scatterMethod", expected);
                    None
                }
            };
            let requirement_set = self.requirements(&body);
            let when = body.get("when").cloned().and_then(|n| self.text(&n));
            let Some(run) = run else { continue };
            out.push(Step {
                id,
                pos,
                run,
                inputs,
                outputs,
                scatter,
                scatter_method,
                when,
                requirement_set,
            });
        }
        self.check_unique(out.iter().map(|s| (&s.id, s.pos)), "step");
        out
    }
}

/// Returns the canonical name of a requirement class.
fn canonical(class: &str) -> String {
    let tail = class.rsplit(['#', '/']).next().unwrap_or(class);
    match tail {
        "CUDARequirement" | "cwltool:CUDARequirement" => "cwltool:CUDARequirement".to_owned(),
        "Scheduling" | "hopyoke:Scheduling" => crate::hints::CLASS.to_owned(),
        _ if class.contains("://") => tail.to_owned(),
        _ => class.to_owned(),
    }
}
