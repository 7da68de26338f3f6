//! Builds a task description from a tool and its inputs: the command to run and the outputs to collect.

use crate::expr::{EvalContext, EvalError, Evaluator, is_deferred};
use crate::model::{Binding, Input, Process, Scope, Tool};
use crate::types::Type;
use crate::yaml::{Data, Node};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// What a worker runs. Workers look it up by job id and task index.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Description {
    /// The step's name in the workflow.
    pub step: String,
    /// The command and its arguments. An argument whose value is known only after another task has run
    /// is an object with `class: hopyoke:Later`.
    pub argv: Vec<Value>,
    /// `argv` holds a single shell command line.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub shell: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stdin: Option<Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stdout: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stderr: Option<String>,
    #[serde(default, skip_serializing_if = "Map::is_empty")]
    pub environment: Map<String, Value>,
    /// Time limit in seconds, after which the task fails.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_limit_s: Option<f64>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub network: bool,
    /// Exit codes that count as success.
    pub success_codes: Vec<i64>,
    /// Input files to stage, each with `location` and `path`.
    pub files: Vec<Value>,
    /// What to collect, keyed by output id.
    pub outputs: Map<String, Value>,
}

/// Directory in which a task finds its inputs.
pub const IN_DIR: &str = "/hopyoke/in";
/// Directory in which a task leaves its outputs.
pub const OUT_DIR: &str = "/hopyoke/out";

/// Orders arguments of equal position, as CWL v1.2 defines.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SortKey {
    Argument(usize),
    Input(String),
}

/// The reason why a description cannot be built.
#[derive(Debug)]
pub(crate) struct CommandError {
    pub(crate) pos: crate::diagnostic::Pos,
    pub(crate) message: String,
}

fn error_at(pos: crate::diagnostic::Pos) -> impl Fn(EvalError) -> CommandError {
    move |e| CommandError {
        pos,
        message: e.to_string(),
    }
}

/// Builds the description of one task.
pub(crate) fn describe(
    step: &str,
    process: &Process,
    tool: &Tool,
    scope: &Scope,
    eval: &Evaluator<'_>,
    context: &EvalContext,
) -> Result<Description, CommandError> {
    let mut words: Vec<(i64, SortKey, Vec<Value>)> = Vec::new();
    for (i, b) in tool.arguments.iter().enumerate() {
        let Some(from) = &b.value_from else { continue };
        let value = eval
            .value(&from.text, context)
            .map_err(error_at(from.pos))?;
        words.push((
            position(b, eval, context)?,
            SortKey::Argument(i),
            bind(b, None, &value),
        ));
    }
    for input in &process.inputs {
        let Some(b) = &input.binding else { continue };
        let mut value = context
            .inputs
            .get(&input.id)
            .cloned()
            .unwrap_or(Value::Null);
        let context = EvalContext {
            self_value: value.clone(),
            ..context.clone()
        };
        if let Some(from) = b.value_from.as_ref().filter(|_| !value.is_null()) {
            value = eval
                .value(&from.text, &context)
                .map_err(error_at(from.pos))?;
        }
        let item = input.item_binding.as_ref();
        words.push((
            position(b, eval, &context)?,
            SortKey::Input(input.id.clone()),
            bind(b, item, &value),
        ));
    }
    words.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
    let mut argv: Vec<Value> = tool
        .base_command
        .iter()
        .map(|w| Value::from(w.as_str()))
        .collect();
    argv.extend(words.into_iter().flat_map(|w| w.2));
    let shell = scope.find("ShellCommandRequirement").is_some();
    if shell {
        argv = vec![Value::from(
            shell_line(&argv).map_err(error_at(process.pos))?,
        )];
    }
    let text = |t: &Option<crate::model::Text>| {
        t.as_ref()
            .map(|t| eval.text(&t.text, context).map_err(error_at(t.pos)))
            .transpose()
    };
    let stdin = match &tool.stdin {
        Some(t) => Some(eval.value(&t.text, context).map_err(error_at(t.pos))?),
        None => None,
    };
    let stdout = text(&tool.stdout)?;
    let stderr = text(&tool.stderr)?;
    let captures = |ty: Type| process.outputs.iter().any(|o| o.ty == ty);
    Ok(Description {
        step: step.to_owned(),
        argv,
        shell,
        stdin,
        stdout: stdout.or_else(|| captures(Type::Stdout).then(|| "stdout.txt".to_owned())),
        stderr: stderr.or_else(|| captures(Type::Stderr).then(|| "stderr.txt".to_owned())),
        environment: environment(scope, eval, context)?,
        time_limit_s: amount(scope, "ToolTimeLimit", "timelimit", eval, context)?
            .filter(|t| *t > 0.0),
        network: scope
            .find("NetworkAccess")
            .and_then(|w| w.body.get("networkAccess"))
            .is_some_and(|n| n.data == Data::Bool(true)),
        success_codes: if tool.success_codes.is_empty() {
            vec![0]
        } else {
            tool.success_codes.clone()
        },
        files: files(process, &context.inputs),
        outputs: Map::new(),
    })
}

fn position(b: &Binding, eval: &Evaluator<'_>, context: &EvalContext) -> Result<i64, CommandError> {
    let Some(p) = &b.position else { return Ok(0) };
    let value = eval.value(&p.text, context).map_err(error_at(p.pos))?;
    let number = value
        .as_i64()
        .or_else(|| value.as_str().and_then(|s| s.parse().ok()));
    number.ok_or_else(|| CommandError {
        pos: p.pos,
        message: format!("position must be an integer, not {value}"),
    })
}

/// Converts a value to command-line arguments.
fn bind(b: &Binding, item: Option<&Binding>, value: &Value) -> Vec<Value> {
    let prefixed = |word: Value| match (&b.prefix, b.separate) {
        (None, _) => vec![word],
        (Some(p), true) => vec![Value::from(p.as_str()), word],
        (Some(p), false) => match word {
            Value::String(s) => vec![Value::from(format!("{p}{s}"))],
            mut deferred => {
                if let Some(o) = deferred.as_object_mut() {
                    o.insert("prefix".into(), Value::from(p.as_str()));
                }
                vec![deferred]
            }
        },
    };
    match value {
        Value::Null => Vec::new(),
        Value::Bool(false) => Vec::new(),
        Value::Bool(true) => b.prefix.iter().map(|p| Value::from(p.as_str())).collect(),
        Value::Array(list) if list.is_empty() => Vec::new(),
        Value::Array(list) => match &b.item_separator {
            Some(sep) => {
                let words: Vec<String> = list
                    .iter()
                    .map(|v| to_word(v).as_str().unwrap_or_default().to_owned())
                    .collect();
                if list.iter().any(is_deferred) {
                    return prefixed(
                        json!({ "class": crate::expr::DEFERRED_CLASS, "join": list, "separator": sep }),
                    );
                }
                prefixed(Value::from(words.join(sep)))
            }
            None => {
                let plain = Binding {
                    separate: true,
                    shell_quote: true,
                    ..Binding::default()
                };
                let each = list
                    .iter()
                    .flat_map(|v| bind(item.unwrap_or(&plain), None, v));
                b.prefix
                    .iter()
                    .map(|p| Value::from(p.as_str()))
                    .chain(each)
                    .collect()
            }
        },
        v => prefixed(to_word(v)),
    }
}

/// Converts a scalar, file or directory to one argument.
fn to_word(value: &Value) -> Value {
    match value {
        Value::String(_) => value.clone(),
        Value::Object(o) if !is_deferred(value) => match o.get("path").or(o.get("location")) {
            Some(p) => p.clone(),
            None => Value::from(value.to_string()),
        },
        Value::Object(_) => value.clone(),
        v => Value::from(v.to_string()),
    }
}

/// Quotes the arguments and joins them into one shell command line.
fn shell_line(argv: &[Value]) -> Result<String, EvalError> {
    let mut out = Vec::new();
    for w in argv {
        match w.as_str() {
            Some(s) => out.push(format!("'{}'", s.replace('\'', r"'\''"))),
            None => {
                let of = crate::expr::find_deferred(w).unwrap_or_default().to_owned();
                return Err(EvalError::Deferred(of));
            }
        }
    }
    Ok(out.join(" "))
}

fn environment(
    scope: &Scope,
    eval: &Evaluator<'_>,
    context: &EvalContext,
) -> Result<Map<String, Value>, CommandError> {
    let mut out = Map::new();
    let Some(requirement) = scope.find("EnvVarRequirement") else {
        return Ok(out);
    };
    let mut add = |name: &str, node: &Node| -> Result<(), CommandError> {
        let text = node
            .as_str()
            .map_or_else(|| node.to_value().to_string(), str::to_owned);
        out.insert(
            name.to_owned(),
            Value::from(eval.text(&text, context).map_err(error_at(node.pos))?),
        );
        Ok(())
    };
    match requirement.body.get("envDef").map(|n| &n.data) {
        Some(Data::Map(entries)) => {
            for e in entries {
                add(&e.key, e.node.get("envValue").unwrap_or(&e.node))?;
            }
        }
        Some(Data::Seq(list)) => {
            for n in list {
                let name = n.get("envName").and_then(Node::as_str);
                match (name, n.get("envValue")) {
                    (Some(name), Some(value)) => add(name, value)?,
                    _ => {
                        return Err(CommandError {
                            pos: n.pos,
                            message: "envName and envValue are required".into(),
                        });
                    }
                }
            }
        }
        _ => {
            return Err(CommandError {
                pos: requirement.pos,
                message: "envDef is missing".into(),
            });
        }
    }
    Ok(out)
}

/// Evaluates a numeric field of a requirement. Returns `None` if the requirement or the field is absent.
pub(crate) fn amount(
    scope: &Scope,
    class: &str,
    field: &str,
    eval: &Evaluator<'_>,
    context: &EvalContext,
) -> Result<Option<f64>, CommandError> {
    let Some(node) = scope.find(class).and_then(|w| w.body.get(field)) else {
        return Ok(None);
    };
    let value = match node.as_str() {
        Some(text) => eval.value(text, context).map_err(error_at(node.pos))?,
        None => node.to_value(),
    };
    match value.as_f64() {
        Some(n) if n >= 0.0 && n.is_finite() => Ok(Some(n)),
        _ => Err(CommandError {
            pos: node.pos,
            message: format!("{field} must be a number of at least 0, not {value}"),
        }),
    }
}

/// Lists all files and directories in the inputs, including secondary files.
fn files(process: &Process, inputs: &Value) -> Vec<Value> {
    fn find(value: &Value, out: &mut Vec<Value>) {
        match value {
            Value::Object(o)
                if matches!(
                    o.get("class").and_then(Value::as_str),
                    Some("File" | "Directory")
                ) =>
            {
                out.push(json!({ "location": o.get("location"), "path": o.get("path") }));
                find(o.get("secondaryFiles").unwrap_or(&Value::Null), out);
            }
            Value::Object(o) => o.values().for_each(|v| find(v, out)),
            Value::Array(l) => l.iter().for_each(|v| find(v, out)),
            _ => {}
        }
    }
    let mut out = Vec::new();
    for Input { id, .. } in &process.inputs {
        find(inputs.get(id).unwrap_or(&Value::Null), &mut out);
    }
    out
}
