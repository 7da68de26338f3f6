//! A tree of nodes into a process. Every fault is noted, and reading goes on.

use crate::fault::{Faults, Pos};
use crate::load::Documents;
use crate::model::{
    Binding, Input, Kind, Merge, Method, Output, Pick, Process, Secondary, Sources, Step,
    StepInput, Text, Tool, Want, Wants,
};
use crate::types::{MOST_WORD, Type};
use crate::yaml::{Data, Entry, Node};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Requirements that are met, and by what.
pub const SUPPORTED: &[(&str, &str)] = &[
    (
        "InlineJavascriptRequirement",
        "expressions run in the client, within bounds of time and memory",
    ),
    ("SchemaDefRequirement", "types by name"),
    ("SubworkflowFeatureRequirement", "workflows as steps"),
    (
        "ScatterFeatureRequirement",
        "all three methods; equal tasks become one array job",
    ),
    ("MultipleInputFeatureRequirement", "linkMerge"),
    ("StepInputExpressionRequirement", "valueFrom of step inputs"),
    ("ResourceRequirement", "cores and memory of a task"),
    (
        "DockerRequirement",
        "dockerPull names the image that a machine needs",
    ),
    ("ToolTimeLimit", "in the task's description, for the worker"),
    ("EnvVarRequirement", "in the task's description"),
    ("ShellCommandRequirement", "in the task's description"),
    ("NetworkAccess", "in the task's description"),
    (
        "WorkReuse",
        "no effect: a step that is done is never run again",
    ),
    ("cwltool:CUDARequirement", "GPUs of a task"),
    (
        crate::hints::CLASS,
        "team, priority, zone, spot, deadline, checkpoint",
    ),
];

/// Classes that the specification has and this engine refuses, and why.
pub const REFUSED: &[(&str, &str)] = &[
    (
        "InitialWorkDirRequirement",
        "nothing can stage files into a task's directory yet",
    ),
    (
        "InplaceUpdateRequirement",
        "a task's inputs are never changed",
    ),
    (
        "LoadListingRequirement",
        "a directory's listing is not known before its task has run",
    ),
    (
        "SoftwareRequirement",
        "a machine has what is in the image; name it with DockerRequirement",
    ),
];

/// An id without its document's or process's part: `#main/step/out` is `out`.
pub(crate) fn bare(id: &str) -> &str {
    let id = id.rsplit('#').next().unwrap_or(id);
    id.rsplit('/').next().unwrap_or(id)
}

/// A source, as `input` or `step/output`.
fn source_name(text: &str, process: &str) -> String {
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
    faults: &'f mut Faults,
    /// The file whose references are resolved.
    base: String,
    /// Types that SchemaDefRequirement names.
    types: BTreeMap<String, Node>,
    /// The process's own id, without its file.
    id: String,
}

/// Reads the process at `node`; `None`: a fault that hides the rest was noted.
pub(crate) fn process(
    documents: &mut Documents<'_>,
    node: &Node,
    version: Option<&Node>,
    base: &str,
    faults: &mut Faults,
) -> Option<Process> {
    let asks = "cwlVersion: v1.2";
    match version.map(|v| (v, v.as_str())) {
        Some((_, Some("v1.2"))) => {}
        Some((v, Some(other))) => {
            faults.error(v.at, format!("cwlVersion {other} is not read"), asks)
        }
        Some((v, None)) => faults.error(v.at, "cwlVersion must be a text", asks),
        None => faults.error(node.at, "cwlVersion is missing", asks),
    }
    let id = node
        .get("id")
        .and_then(Node::as_str)
        .map(|s| bare(s).to_owned())
        .unwrap_or_default();
    let mut r = Reader {
        documents,
        faults,
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
            self.faults.error(
                node.at,
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
                self.faults.error(
                    node.at,
                    "an Operation has no implementation to run",
                    "a process that runs",
                );
                return None;
            }
            Some(other) => {
                let asks = "CommandLineTool, ExpressionTool or Workflow";
                self.faults
                    .error(node.at, format!("unknown class {other}"), asks);
                return None;
            }
            None => {
                self.faults.error(
                    node.at,
                    "class is missing",
                    "CommandLineTool, ExpressionTool or Workflow",
                );
                return None;
            }
        };
        self.known_fields(node, &[PROCESS_FIELDS, known], "Process");
        let wants = self.wants(node);
        self.schema_types(&wants);
        let inputs = self.inputs(node);
        let outputs = self.outputs(node, class.as_deref() == Some("Workflow"));
        let kind = match class.as_deref() {
            Some("Workflow") => Kind::Workflow(self.steps(node)),
            Some("ExpressionTool") => match node.get("expression").and_then(|n| self.text(n)) {
                Some(t) => Kind::Expression(t),
                None => {
                    self.faults.error(
                        node.at,
                        "expression is missing",
                        "ExpressionTool: expression",
                    );
                    return None;
                }
            },
            _ => Kind::Tool(self.tool(node)),
        };
        self.twice(inputs.iter().map(|i| (&i.id, i.at)), "input");
        self.twice(outputs.iter().map(|o| (&o.id, o.at)), "output");
        Some(Process {
            id: self.id.clone(),
            at: node.at,
            kind,
            inputs,
            outputs,
            wants,
        })
    }

    fn twice<'x>(&mut self, ids: impl Iterator<Item = (&'x String, Pos)>, what: &str) {
        let mut seen = std::collections::BTreeSet::new();
        for (id, at) in ids {
            if !seen.insert(id.clone()) {
                self.faults.error(
                    at,
                    format!("the {what} '{id}' stands here twice"),
                    "ids that differ",
                );
            }
        }
    }

    fn known_fields(&mut self, node: &Node, known: &[&[&str]], section: &str) {
        for e in node.as_map().unwrap_or_default() {
            let ours = known.iter().any(|list| list.contains(&e.key.as_str()));
            // Fields with a prefix are extensions; whoever wrote them knows that others may not.
            if !ours && !e.key.contains(':') && !e.key.starts_with('$') {
                self.faults.error(
                    e.at,
                    format!("unknown field '{}'", e.key),
                    format!("a field of {section}"),
                );
            }
        }
    }

    fn text(&mut self, node: &Node) -> Option<Text> {
        match &node.data {
            Data::Str(s) => Some(Text {
                at: node.at,
                text: s.clone(),
            }),
            Data::Int(n) => Some(Text {
                at: node.at,
                text: n.to_string(),
            }),
            Data::Float(x) => Some(Text {
                at: node.at,
                text: x.to_string(),
            }),
            Data::Bool(b) => Some(Text {
                at: node.at,
                text: b.to_string(),
            }),
            _ => {
                self.faults.error(
                    node.at,
                    format!("a text is needed, not {}", node.kind()),
                    "a text or an expression",
                );
                None
            }
        }
    }

    fn text_field(&mut self, node: &Node, field: &str, asks: &str) -> Option<String> {
        let n = node.get(field)?;
        match n.as_str() {
            Some(s) => Some(s.to_owned()),
            None => {
                self.faults.error(
                    n.at,
                    format!("{field} must be a text, not {}", n.kind()),
                    asks,
                );
                None
            }
        }
    }

    fn bool_field(&mut self, node: &Node, field: &str, default: bool) -> bool {
        match node.get(field).map(|n| (n.at, &n.data)) {
            None => default,
            Some((_, Data::Bool(b))) => *b,
            Some((at, _)) => {
                self.faults
                    .error(at, format!("{field} must be true or false"), "a boolean");
                default
            }
        }
    }

    /// A list of maps with ids, or a map by id; `short` is the field that a plain value stands for.
    fn items(
        &mut self,
        node: Option<&Node>,
        short: &str,
        section: &str,
    ) -> Vec<(String, Pos, Node)> {
        let Some(node) = node else { return Vec::new() };
        match &node.data {
            Data::Map(entries) => entries
                .iter()
                .map(|e| {
                    let body = match &e.node.data {
                        Data::Map(m)
                            if short != "type"
                                || m.iter().any(|x| x.key == "type")
                                || m.is_empty() =>
                        {
                            e.node.clone()
                        }
                        // A type written as a map, or as a word or a list.
                        _ => Node {
                            at: e.node.at,
                            data: Data::Map(vec![Entry {
                                key: short.to_owned(),
                                at: e.node.at,
                                node: e.node.clone(),
                            }]),
                        },
                    };
                    (bare(&e.key).to_owned(), e.at, body)
                })
                .collect(),
            Data::Seq(list) => {
                let mut out = Vec::new();
                for n in list {
                    match n.get("id").and_then(Node::as_str) {
                        Some(id) => out.push((bare(id).to_owned(), n.at, n.clone())),
                        None => self
                            .faults
                            .error(n.at, "id is missing", format!("{section}: id")),
                    }
                }
                out
            }
            _ => {
                let message = format!("a list or a map is needed, not {}", node.kind());
                self.faults.error(node.at, message, section.to_owned());
                Vec::new()
            }
        }
    }

    fn wants(&mut self, node: &Node) -> Wants {
        let hints = self.want_list(node.get("hints"), true);
        Wants {
            requirements: self.want_list(node.get("requirements"), false),
            hints,
        }
    }

    fn want_list(&mut self, node: Option<&Node>, hint: bool) -> Vec<Want> {
        let Some(node) = node else { return Vec::new() };
        let mut list: Vec<(String, Pos, Node)> = Vec::new();
        match &node.data {
            Data::Map(entries) => {
                list.extend(
                    entries
                        .iter()
                        .map(|e| (e.key.clone(), e.at, e.node.clone())),
                );
            }
            Data::Seq(nodes) => {
                for n in nodes {
                    match n.get("class").and_then(Node::as_str) {
                        Some(class) => list.push((class.to_owned(), n.at, n.clone())),
                        None => {
                            self.faults
                                .error(n.at, "class is missing", "ProcessRequirement: class")
                        }
                    }
                }
            }
            Data::Null => {}
            _ => self.faults.error(
                node.at,
                "a list or a map is needed",
                "Process: requirements",
            ),
        }
        let mut out = Vec::new();
        for (class, at, body) in list {
            let class = canonical(&class);
            let known = SUPPORTED.iter().any(|(name, _)| *name == class);
            if let Some((_, why)) = REFUSED.iter().find(|(name, _)| *name == class) {
                let message = format!("{class} is not supported: {why}");
                if hint {
                    self.faults.warn(at, message, "the hint is left aside");
                } else {
                    self.faults.unsupported(
                        at,
                        message,
                        "a requirement that docs/CWL.md lists, or a hint",
                    );
                }
            } else if known {
                out.push(Want {
                    class,
                    at,
                    body: Rc::new(body),
                });
            } else if hint {
                self.faults.warn(
                    at,
                    format!("unknown hint {class}"),
                    "the hint is left aside",
                );
            } else {
                let asks = "a requirement that docs/CWL.md lists";
                self.faults
                    .unsupported(at, format!("unknown requirement {class}"), asks);
            }
        }
        out
    }

    fn schema_types(&mut self, wants: &Wants) {
        for w in wants
            .requirements
            .iter()
            .chain(&wants.hints)
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
                        self.types.insert(bare(name).to_owned(), t.clone());
                    }
                    None => self.faults.error(
                        t.at,
                        "name is missing",
                        "SchemaDefRequirement: types with names",
                    ),
                }
            }
        }
    }

    fn ty(&mut self, node: &Node, depth: usize) -> Type {
        if depth > 32 {
            self.faults.error(
                node.at,
                "a type that contains itself",
                "a type without circles",
            );
            return Type::Any;
        }
        match &node.data {
            Data::Str(s) => {
                let word = s.rsplit('#').next().unwrap_or(s);
                let stem = word.trim_end_matches(['?', '[', ']']);
                if word.len() <= MOST_WORD
                    && let Some(named) = self.types.get(bare(stem)).cloned()
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
                    let asks = "CWLType, or a name that SchemaDefRequirement has";
                    self.faults
                        .error(node.at, format!("unknown type '{s}'"), asks);
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
            Data::Map(_) => self.written_out(node, depth),
            _ => {
                self.faults.error(
                    node.at,
                    format!("a type is needed, not {}", node.kind()),
                    "CWLType",
                );
                Type::Any
            }
        }
    }

    fn written_out(&mut self, node: &Node, depth: usize) -> Type {
        match node.get("type") {
            Some(n) if n.as_str() == Some("array") => match node.get("items") {
                Some(items) => Type::Array(Box::new(self.ty(items, depth + 1))),
                None => {
                    self.faults
                        .error(node.at, "items is missing", "ArraySchema: items");
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
                    .map(|s| bare(s).to_owned())
                    .collect();
                if symbols.is_empty() {
                    self.faults
                        .error(node.at, "symbols is missing", "EnumSchema: symbols");
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
                        self.faults
                            .error(body.at, "name is missing", "RecordField: name");
                        continue;
                    };
                    let t = body.get("type").unwrap_or(&body).clone();
                    fields.push((bare(&name).to_owned(), self.ty(&t, depth + 1)));
                }
                Type::Record(fields)
            }
            Some(n) => self.ty(&n.clone(), depth + 1),
            None => {
                self.faults.error(node.at, "type is missing", "CWLType");
                Type::Any
            }
        }
    }

    fn type_field(&mut self, node: &Node, section: &str) -> Type {
        match node.get("type") {
            Some(t) => self.ty(&t.clone(), 0),
            None => {
                self.faults
                    .error(node.at, "type is missing", format!("{section}: type"));
                Type::Any
            }
        }
    }

    fn inputs(&mut self, node: &Node) -> Vec<Input> {
        let section = "InputParameter";
        if node.get("inputs").is_none() {
            self.faults.error(
                node.at,
                "inputs is missing",
                "Process: inputs, a list or a map, perhaps empty",
            );
        }
        let mut out = Vec::new();
        for (id, at, body) in self.items(node.get("inputs"), "type", section) {
            self.known_fields(&body, &[INPUT_FIELDS], section);
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
                secondary: self.secondary(body.get("secondaryFiles")),
                binding: body.get("inputBinding").cloned().map(|n| self.binding(&n)),
                item_binding: item_binding.map(|n| self.binding(&n)),
                load_contents,
                ty,
                id,
                at,
            });
        }
        out
    }

    fn secondary(&mut self, node: Option<&Node>) -> Vec<Secondary> {
        let Some(node) = node else { return Vec::new() };
        let one = [node.clone()];
        let list = node.as_seq().unwrap_or(&one).to_vec();
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
                out.push(Secondary {
                    pattern,
                    required: required && !optional,
                });
            }
        }
        out
    }

    fn binding(&mut self, node: &Node) -> Binding {
        self.known_fields(node, &[BINDING_FIELDS], "CommandLineBinding");
        let text = |r: &mut Self, field: &str| node.get(field).cloned().and_then(|n| r.text(&n));
        Binding {
            at: node.at,
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
            self.faults.error(
                node.at,
                "outputs is missing",
                "Process: outputs, a list or a map, perhaps empty",
            );
        }
        let mut out = Vec::new();
        for (id, at, body) in self.items(node.get("outputs"), "type", section) {
            self.known_fields(&body, &[OUTPUT_FIELDS], section);
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
                self.faults.error(
                    at,
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
                secondary: self.secondary(body.get("secondaryFiles")),
                source,
                ty,
                id,
                at,
            });
        }
        out
    }

    fn sources(&mut self, node: &Node, field: &str) -> Sources {
        let id = self.id.clone();
        let named = |t: Text| Text {
            at: t.at,
            text: source_name(&t.text, &id),
        };
        let (from, many) = match node.get(field) {
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
        let merge = match node.get("linkMerge").map(|n| (n.at, n.as_str())) {
            None | Some((_, Some("merge_nested"))) => Merge::Nested,
            Some((_, Some("merge_flattened"))) => Merge::Flattened,
            Some((at, _)) => {
                self.faults
                    .error(at, "unknown linkMerge", "merge_nested or merge_flattened");
                Merge::Nested
            }
        };
        let pick = match node.get("pickValue").map(|n| (n.at, n.as_str())) {
            None => None,
            Some((_, Some("first_non_null"))) => Some(Pick::FirstNonNull),
            Some((_, Some("the_only_non_null"))) => Some(Pick::OnlyNonNull),
            Some((_, Some("all_non_null"))) => Some(Pick::AllNonNull),
            Some((at, _)) => {
                self.faults.error(
                    at,
                    "unknown pickValue",
                    "first_non_null, the_only_non_null or all_non_null",
                );
                None
            }
        };
        let explicit = node.get("linkMerge").is_some();
        Sources {
            many: many || explicit,
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
        let base = words(self, node.get("baseCommand"))
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
                    at: t.at,
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
            base,
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
            self.faults
                .error(node.at, "steps is missing", "Workflow: steps");
        }
        let mut out: Vec<Step> = Vec::new();
        for (id, at, body) in self.items(node.get("steps"), "run", "WorkflowStep") {
            self.known_fields(&body, &[STEP_FIELDS], "WorkflowStep");
            let run = match body.get("run") {
                None => {
                    self.faults.error(at, "run is missing", "WorkflowStep: run");
                    None
                }
                Some(n) => match n.as_str() {
                    Some(name) => {
                        self.documents
                            .referred(&self.base.clone(), name, n.at, self.faults)
                    }
                    None => {
                        let mut inner = n.clone();
                        let id = inner
                            .get("id")
                            .and_then(Node::as_str)
                            .map_or_else(|| id.clone(), |s| bare(s).into());
                        if let Data::Map(entries) = &mut inner.data {
                            entries.retain(|e| e.key != "cwlVersion");
                        }
                        let types = self.types.clone();
                        let mut r = Reader {
                            documents: self.documents,
                            faults: self.faults,
                            base: self.base.clone(),
                            types,
                            id,
                        };
                        r.process(&inner).map(Rc::new)
                    }
                },
            };
            let mut inputs = Vec::new();
            for (id, at, input) in self.items(body.get("in"), "source", "WorkflowStepInput") {
                self.known_fields(&input, &[STEP_INPUT_FIELDS], "WorkflowStepInput");
                inputs.push(StepInput {
                    source: self.sources(&input, "source"),
                    default: input.get("default").map(Node::to_value),
                    value_from: input.get("valueFrom").cloned().and_then(|n| self.text(&n)),
                    id,
                    at,
                });
            }
            let mut outputs = Vec::new();
            for n in body.get("out").and_then(Node::as_seq).unwrap_or_default() {
                match n.as_str().or_else(|| n.get("id").and_then(Node::as_str)) {
                    Some(id) => outputs.push(bare(id).to_owned()),
                    None => {
                        self.faults
                            .error(n.at, "an output's id is needed", "WorkflowStep: out")
                    }
                }
            }
            if body.get("out").is_none() {
                self.faults.error(
                    at,
                    "out is missing",
                    "WorkflowStep: out, a list, perhaps empty",
                );
            }
            let scatter = match body.get("scatter") {
                None => Vec::new(),
                Some(n) => {
                    let one = [n.clone()];
                    let list = n.as_seq().unwrap_or(&one).to_vec();
                    let texts: Vec<Text> = list.iter().filter_map(|n| self.text(n)).collect();
                    texts
                        .into_iter()
                        .map(|t| Text {
                            at: t.at,
                            text: bare(&t.text).to_owned(),
                        })
                        .collect()
                }
            };
            let method = match body.get("scatterMethod").map(|n| (n.at, n.as_str())) {
                None => None,
                Some((_, Some("dotproduct"))) => Some(Method::Dot),
                Some((_, Some("nested_crossproduct"))) => Some(Method::Nested),
                Some((_, Some("flat_crossproduct"))) => Some(Method::Flat),
                Some((at, _)) => {
                    let asks = "dotproduct, nested_crossproduct or flat_crossproduct";
                    self.faults.error(at, "unknown scatterMethod", asks);
                    None
                }
            };
            let wants = self.wants(&body);
            let when = body.get("when").cloned().and_then(|n| self.text(&n));
            let Some(run) = run else { continue };
            out.push(Step {
                id,
                at,
                run,
                inputs,
                outputs,
                scatter,
                method,
                when,
                wants,
            });
        }
        self.twice(out.iter().map(|s| (&s.id, s.at)), "step");
        out
    }
}

/// A requirement's class by one of its spellings.
fn canonical(class: &str) -> String {
    let tail = class.rsplit(['#', '/']).next().unwrap_or(class);
    match tail {
        "CUDARequirement" | "cwltool:CUDARequirement" => "cwltool:CUDARequirement".to_owned(),
        "Scheduling" | "hopyoke:Scheduling" => crate::hints::CLASS.to_owned(),
        _ if class.contains("://") => tail.to_owned(),
        _ => class.to_owned(),
    }
}
