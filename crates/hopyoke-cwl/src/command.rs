//! A tool with its inputs as a task's description: what a worker is to run, and what it yields.

use crate::expr::{EvalError, Evaluator, Names, is_later};
use crate::model::{Binding, Input, Process, Scope, Tool};
use crate::types::Type;
use crate::yaml::{Data, Node};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// What a worker is to run. Workers fetch it by the job's id and the task's number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Description {
    /// The step's name in the workflow.
    pub step: String,
    /// The command and its arguments. A word that only another task's run can tell is a map with
    /// `class: hopyoke:Later`.
    pub argv: Vec<Value>,
    /// The words are one line for a shell.
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
    /// Seconds after which the task counts as failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_limit_s: Option<f64>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub network: bool,
    /// Exit codes that count as success.
    pub success_codes: Vec<i64>,
    /// Files to have in place, with `location` and `path`.
    pub files: Vec<Value>,
    /// What to collect, by the output's id.
    pub outputs: Map<String, Value>,
}

/// Where a task finds its inputs and leaves its outputs.
pub const IN_DIR: &str = "/hopyoke/in";
pub const OUT_DIR: &str = "/hopyoke/out";

/// A word's place on the command line.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    Argument(usize),
    Input(String),
}

/// Why there is no description.
#[derive(Debug)]
pub(crate) struct Wrong {
    pub(crate) at: crate::fault::Pos,
    pub(crate) what: String,
}

fn wrong(at: crate::fault::Pos) -> impl Fn(EvalError) -> Wrong {
    move |e| Wrong {
        at,
        what: e.to_string(),
    }
}

/// Describes one task.
pub(crate) fn describe(
    step: &str,
    process: &Process,
    tool: &Tool,
    scope: &Scope,
    eval: &Evaluator<'_>,
    names: &Names,
) -> Result<Description, Wrong> {
    let mut words: Vec<(i64, Place, Vec<Value>)> = Vec::new();
    for (i, b) in tool.arguments.iter().enumerate() {
        let Some(from) = &b.value_from else { continue };
        let value = eval.value(&from.text, names).map_err(wrong(from.at))?;
        words.push((
            position(b, eval, names)?,
            Place::Argument(i),
            bound(b, None, &value),
        ));
    }
    for input in &process.inputs {
        let Some(b) = &input.binding else { continue };
        let mut value = names.inputs.get(&input.id).cloned().unwrap_or(Value::Null);
        let names = Names {
            this: value.clone(),
            ..names.clone()
        };
        if let Some(from) = b.value_from.as_ref().filter(|_| !value.is_null()) {
            value = eval.value(&from.text, &names).map_err(wrong(from.at))?;
        }
        let item = input.item_binding.as_ref();
        words.push((
            position(b, eval, &names)?,
            Place::Input(input.id.clone()),
            bound(b, item, &value),
        ));
    }
    words.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
    let mut argv: Vec<Value> = tool.base.iter().map(|w| Value::from(w.as_str())).collect();
    argv.extend(words.into_iter().flat_map(|w| w.2));
    let shell = scope.find("ShellCommandRequirement").is_some();
    if shell {
        argv = vec![Value::from(line(&argv).map_err(wrong(process.at))?)];
    }
    let text = |t: &Option<crate::model::Text>| {
        t.as_ref()
            .map(|t| eval.text(&t.text, names).map_err(wrong(t.at)))
            .transpose()
    };
    let stdin = match &tool.stdin {
        Some(t) => Some(eval.value(&t.text, names).map_err(wrong(t.at))?),
        None => None,
    };
    let stdout = text(&tool.stdout)?;
    let stderr = text(&tool.stderr)?;
    let wants = |ty: Type| process.outputs.iter().any(|o| o.ty == ty);
    Ok(Description {
        step: step.to_owned(),
        argv,
        shell,
        stdin,
        stdout: stdout.or_else(|| wants(Type::Stdout).then(|| "stdout.txt".to_owned())),
        stderr: stderr.or_else(|| wants(Type::Stderr).then(|| "stderr.txt".to_owned())),
        environment: environment(scope, eval, names)?,
        time_limit_s: amount(scope, "ToolTimeLimit", "timelimit", eval, names)?
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
        files: files(process, &names.inputs),
        outputs: Map::new(),
    })
}

fn position(b: &Binding, eval: &Evaluator<'_>, names: &Names) -> Result<i64, Wrong> {
    let Some(p) = &b.position else { return Ok(0) };
    let value = eval.value(&p.text, names).map_err(wrong(p.at))?;
    let number = value
        .as_i64()
        .or_else(|| value.as_str().and_then(|s| s.parse().ok()));
    number.ok_or_else(|| Wrong {
        at: p.at,
        what: format!("position must be a whole number, not {value}"),
    })
}

/// A value as words.
fn bound(b: &Binding, item: Option<&Binding>, value: &Value) -> Vec<Value> {
    let prefixed = |word: Value| match (&b.prefix, b.separate) {
        (None, _) => vec![word],
        (Some(p), true) => vec![Value::from(p.as_str()), word],
        (Some(p), false) => match word {
            Value::String(s) => vec![Value::from(format!("{p}{s}"))],
            mut later => {
                if let Some(o) = later.as_object_mut() {
                    o.insert("prefix".into(), Value::from(p.as_str()));
                }
                vec![later]
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
                    .map(|v| word(v).as_str().unwrap_or_default().to_owned())
                    .collect();
                if list.iter().any(is_later) {
                    return prefixed(
                        json!({ "class": crate::expr::LATER, "join": list, "separator": sep }),
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
                    .flat_map(|v| bound(item.unwrap_or(&plain), None, v));
                b.prefix
                    .iter()
                    .map(|p| Value::from(p.as_str()))
                    .chain(each)
                    .collect()
            }
        },
        v => prefixed(word(v)),
    }
}

/// A single value as a word.
fn word(value: &Value) -> Value {
    match value {
        Value::String(_) => value.clone(),
        Value::Object(o) if !is_later(value) => match o.get("path").or(o.get("location")) {
            Some(p) => p.clone(),
            None => Value::from(value.to_string()),
        },
        Value::Object(_) => value.clone(),
        v => Value::from(v.to_string()),
    }
}

/// Words as one line for a shell.
fn line(argv: &[Value]) -> Result<String, EvalError> {
    let mut out = Vec::new();
    for w in argv {
        match w.as_str() {
            Some(s) => out.push(format!("'{}'", s.replace('\'', r"'\''"))),
            None => {
                let of = crate::expr::find_later(w).unwrap_or_default().to_owned();
                return Err(EvalError::Later(of));
            }
        }
    }
    Ok(out.join(" "))
}

fn environment(
    scope: &Scope,
    eval: &Evaluator<'_>,
    names: &Names,
) -> Result<Map<String, Value>, Wrong> {
    let mut out = Map::new();
    let Some(want) = scope.find("EnvVarRequirement") else {
        return Ok(out);
    };
    let mut add = |name: &str, node: &Node| -> Result<(), Wrong> {
        let text = node
            .as_str()
            .map_or_else(|| node.to_value().to_string(), str::to_owned);
        out.insert(
            name.to_owned(),
            Value::from(eval.text(&text, names).map_err(wrong(node.at))?),
        );
        Ok(())
    };
    match want.body.get("envDef").map(|n| &n.data) {
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
                        return Err(Wrong {
                            at: n.at,
                            what: "envName and envValue are needed".into(),
                        });
                    }
                }
            }
        }
        _ => {
            return Err(Wrong {
                at: want.at,
                what: "envDef is missing".into(),
            });
        }
    }
    Ok(out)
}

/// A number that a requirement states, perhaps by an expression.
pub(crate) fn amount(
    scope: &Scope,
    class: &str,
    field: &str,
    eval: &Evaluator<'_>,
    names: &Names,
) -> Result<Option<f64>, Wrong> {
    let Some(node) = scope.find(class).and_then(|w| w.body.get(field)) else {
        return Ok(None);
    };
    let value = match node.as_str() {
        Some(text) => eval.value(text, names).map_err(wrong(node.at))?,
        None => node.to_value(),
    };
    match value.as_f64() {
        Some(n) if n >= 0.0 && n.is_finite() => Ok(Some(n)),
        _ => Err(Wrong {
            at: node.at,
            what: format!("{field} must be a number of at least 0, not {value}"),
        }),
    }
}

/// All files among the inputs.
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
