//! Texts with expressions: parameter references are followed here, anything more is JavaScript.

use crate::js::JsEngine;
use pest::Parser;
use serde_json::{Value, json};

mod grammar {
    // The generated parser's types have no docs of their own.
    #![allow(missing_docs)]
    #[derive(pest_derive::Parser)]
    #[grammar = "expr.pest"]
    pub struct ExprParser;
}
use grammar::{ExprParser, Rule};

/// Longest text with expressions, and its deepest brackets.
pub const MAX_BYTES: usize = 64 * 1024;
const MAX_BRACKET_DEPTH: usize = 128;

/// A value that is known only once a task has run.
pub const DEFERRED_CLASS: &str = "hopyoke:Later";

/// The stand-in for a value that step `path` will compute.
pub fn deferred(path: &str, output: &str) -> Value {
    json!({ "class": DEFERRED_CLASS, "of": format!("{path}/{output}") })
}

/// It is one.
pub fn is_deferred(value: &Value) -> bool {
    value.get("class").and_then(Value::as_str) == Some(DEFERRED_CLASS)
}

/// The first stand-in inside of a value, by what it stands for.
pub fn find_deferred(value: &Value) -> Option<&str> {
    match value {
        Value::Object(_) if is_deferred(value) => value.get("of").and_then(Value::as_str),
        Value::Object(o) => o.values().find_map(find_deferred),
        Value::Array(l) => l.iter().find_map(find_deferred),
        _ => None,
    }
}

/// Why there is no value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EvalError {
    #[error("{0}")]
    Syntax(String),
    #[error("'{0}' is not there")]
    Missing(String),
    /// Only a task's run can tell it.
    #[error("it depends on {0}, which is known only once that task has run")]
    Deferred(String),
    #[error("an expression that is more than a reference needs InlineJavascriptRequirement")]
    JavaScriptRequired,
    #[error("{0}")]
    Script(String),
}

/// A part of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    Plain(String),
    /// `$(...)`
    Call(String),
    /// `${...}`
    Block(String),
}

/// What expressions can name.
#[derive(Debug, Clone, Default)]
pub struct EvalContext {
    pub inputs: Value,
    pub self_value: Value,
    pub runtime: Value,
}

/// Cuts a text into its parts.
///
/// # Errors
/// What is wrong with it.
pub fn parts(text: &str) -> Result<Vec<Part>, EvalError> {
    if !text.contains("$(") && !text.contains("${") {
        return Ok(vec![Part::Plain(text.to_owned())]);
    }
    if text.len() > MAX_BYTES {
        return Err(EvalError::Syntax(format!(
            "an expression of {} bytes; at most {MAX_BYTES} are read",
            text.len()
        )));
    }
    // The grammar calls itself once a bracket.
    let (mut depth, mut max_depth) = (0usize, 0);
    for b in text.bytes() {
        match b {
            b'(' | b'[' | b'{' => depth += 1,
            b')' | b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        max_depth = max_depth.max(depth);
    }
    if max_depth > MAX_BRACKET_DEPTH {
        return Err(EvalError::Syntax(format!(
            "an expression with more than {MAX_BRACKET_DEPTH} brackets in each other"
        )));
    }
    let mismatched =
        |_| EvalError::Syntax("an expression whose brackets or quotes do not match".into());
    let pairs = ExprParser::parse(Rule::text, text).map_err(mismatched)?;
    let mut out: Vec<Part> = Vec::new();
    for pair in pairs.flat_map(|p| p.into_inner()) {
        let code = |p: pest::iterators::Pair<'_, Rule>| {
            p.into_inner().next().map_or("", |c| c.as_str()).to_owned()
        };
        let part = match pair.as_rule() {
            Rule::call => Part::Call(code(pair)),
            Rule::block => Part::Block(code(pair)),
            Rule::escape => Part::Plain(pair.as_str()[1..].to_owned()),
            Rule::plain => Part::Plain(pair.as_str().to_owned()),
            _ => continue,
        };
        match (out.last_mut(), &part) {
            (Some(Part::Plain(a)), Part::Plain(b)) => a.push_str(b),
            _ => out.push(part),
        }
    }
    Ok(out)
}

/// It holds an expression.
pub fn has_expression(text: &str) -> bool {
    parts(text).map_or(true, |p| p.iter().any(|p| !matches!(p, Part::Plain(_))))
}

/// One step of a reference.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Name(String),
    Index(usize),
}

/// Reads a parameter reference; `None`: it is more than one.
fn reference(code: &str) -> Option<Vec<Step>> {
    let pairs = ExprParser::parse(Rule::reference, code.trim()).ok()?;
    let mut out = Vec::new();
    for pair in pairs.flat_map(|p| p.into_inner()) {
        match pair.as_rule() {
            Rule::symbol => out.push(Step::Name(pair.as_str().to_owned())),
            Rule::single | Rule::double => out.push(Step::Name(unescape(pair.as_str()))),
            Rule::index => out.push(Step::Index(pair.as_str().parse().ok()?)),
            _ => {}
        }
    }
    Some(out)
}

fn unescape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        out.push(if c == '\\' {
            chars.next().unwrap_or('\\')
        } else {
            c
        });
    }
    out
}

/// It needs no JavaScript.
pub fn is_reference(code: &str) -> bool {
    reference(code).is_some()
}

fn follow(steps: &[Step], context: &EvalContext) -> Result<Value, EvalError> {
    let Some(Step::Name(first)) = steps.first() else {
        return Err(EvalError::JavaScriptRequired);
    };
    let mut value = match first.as_str() {
        "inputs" => &context.inputs,
        "self" => &context.self_value,
        "runtime" => &context.runtime,
        "null" if steps.len() == 1 => return Ok(Value::Null),
        other => return Err(EvalError::Missing(other.to_owned())),
    };
    let mut path = first.clone();
    for (i, step) in steps.iter().enumerate().skip(1) {
        if is_deferred(value) {
            return Err(EvalError::Deferred(
                find_deferred(value).unwrap_or_default().to_owned(),
            ));
        }
        let next = match step {
            Step::Name(n) if n == "length" && i + 1 == steps.len() && value.is_array() => {
                return Ok(Value::from(value.as_array().map_or(0, Vec::len)));
            }
            Step::Name(n) => value.get(n),
            Step::Index(n) => value.get(n),
        };
        path = match step {
            Step::Name(n) => format!("{path}.{n}"),
            Step::Index(n) => format!("{path}[{n}]"),
        };
        value = next.ok_or(EvalError::Missing(path.clone()))?;
    }
    Ok(value.clone())
}

/// Follows expressions; with JavaScript if the document asks for it.
pub struct Evaluator<'a> {
    pub js: Option<&'a JsEngine>,
    /// InlineJavascriptRequirement's `expressionLib`.
    pub library: Vec<String>,
}

impl Evaluator<'_> {
    fn evaluate_part(&self, part: &Part, context: &EvalContext) -> Result<Value, EvalError> {
        let (code, block) = match part {
            Part::Plain(s) => return Ok(Value::from(s.as_str())),
            Part::Call(c) => (c, false),
            Part::Block(c) => (c, true),
        };
        if let Some(steps) = reference(code).filter(|_| !block) {
            match follow(&steps, context) {
                // JavaScript has `undefined` there, and other properties.
                Err(EvalError::Missing(_)) if self.js.is_some() => {}
                result => return result,
            }
        }
        let js = self.js.ok_or(EvalError::JavaScriptRequired)?;
        js.evaluate(code, block, &self.library, context)
    }

    /// The value of a text: of a single expression its own, else a text with all parts put in.
    ///
    /// # Errors
    /// Why there is none.
    pub fn value(&self, text: &str, context: &EvalContext) -> Result<Value, EvalError> {
        let parts = parts(text)?;
        // Blanks around a single expression do not make it a text.
        let significant: Vec<&Part> = parts
            .iter()
            .filter(|p| !matches!(p, Part::Plain(s) if s.trim().is_empty()))
            .collect();
        if let [only @ (Part::Call(_) | Part::Block(_))] = significant.as_slice() {
            return self.evaluate_part(only, context);
        }
        let mut out = String::new();
        for part in &parts {
            match self.evaluate_part(part, context)? {
                Value::String(s) => out.push_str(&s),
                v => match find_deferred(&v) {
                    Some(of) => return Err(EvalError::Deferred(of.to_owned())),
                    None => out.push_str(&v.to_string()),
                },
            }
        }
        Ok(Value::from(out))
    }

    /// The value as a text.
    ///
    /// # Errors
    /// Why there is none.
    pub fn text(&self, text: &str, context: &EvalContext) -> Result<String, EvalError> {
        match self.value(text, context)? {
            Value::String(s) => Ok(s),
            v => match find_deferred(&v) {
                Some(of) => Err(EvalError::Deferred(of.to_owned())),
                None => Ok(v.to_string()),
            },
        }
    }
}
