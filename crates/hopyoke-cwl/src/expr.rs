//! Evaluates strings with expressions. Parameter references are resolved here; anything else is JavaScript.

use crate::js::JsEngine;
use pest::Parser;
use serde_json::{Value, json};

mod grammar {
    // The generated parser types have no documentation.
    #![allow(missing_docs)]
    #[derive(pest_derive::Parser)]
    #[grammar = "expr.pest"]
    pub struct ExprParser;
}
use grammar::{ExprParser, Rule};

/// The maximum length of a string with expressions.
pub const MAX_BYTES: usize = 64 * 1024;
/// The maximum bracket nesting depth of a string with expressions.
const MAX_BRACKET_DEPTH: usize = 128;

/// The class of a deferred value: a placeholder for one that is known only after a task has run.
pub const DEFERRED_CLASS: &str = "hopyoke:Later";

/// Returns the deferred value for an output of the step at `path`.
pub fn deferred(path: &str, output: &str) -> Value {
    json!({ "class": DEFERRED_CLASS, "of": format!("{path}/{output}") })
}

/// Returns true if the value itself is deferred.
pub fn is_deferred(value: &Value) -> bool {
    value.get("class").and_then(Value::as_str) == Some(DEFERRED_CLASS)
}

/// Returns `STEP/OUTPUT` of the first deferred value in a value, or `None` if there is none.
pub fn find_deferred(value: &Value) -> Option<&str> {
    match value {
        Value::Object(_) if is_deferred(value) => value.get("of").and_then(Value::as_str),
        Value::Object(o) => o.values().find_map(find_deferred),
        Value::Array(l) => l.iter().find_map(find_deferred),
        _ => None,
    }
}

/// The reason why an expression has no value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EvalError {
    #[error("{0}")]
    Syntax(String),
    #[error("'{0}' does not exist")]
    Missing(String),
    /// The expression uses a deferred value.
    #[error("the value depends on {0}, which is known only once that task has run")]
    Deferred(String),
    #[error("an expression other than a parameter reference requires InlineJavascriptRequirement")]
    JavaScriptRequired,
    #[error("{0}")]
    Script(String),
}

/// A part of a string with expressions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    Plain(String),
    /// `$(...)`
    Call(String),
    /// `${...}`
    Block(String),
}

/// The variables available to expressions.
#[derive(Debug, Clone, Default)]
pub struct EvalContext {
    pub inputs: Value,
    pub self_value: Value,
    pub runtime: Value,
}

/// Splits a string into literal parts and expressions.
///
/// # Errors
/// Returns [`EvalError::Syntax`] if the string is too long, nested too deeply or malformed.
pub fn parts(text: &str) -> Result<Vec<Part>, EvalError> {
    if !text.contains("$(") && !text.contains("${") {
        return Ok(vec![Part::Plain(text.to_owned())]);
    }
    if text.len() > MAX_BYTES {
        return Err(EvalError::Syntax(format!(
            "the expression has {} bytes; the limit is {MAX_BYTES}",
            text.len()
        )));
    }
    // The parser recurses once per bracket; the limit bounds its stack.
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
            "the expression nests more than {MAX_BRACKET_DEPTH} brackets"
        )));
    }
    let mismatched =
        |_| EvalError::Syntax("mismatched brackets or quotes in the expression".into());
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

/// Returns true if a string contains an expression or does not parse.
pub fn has_expression(text: &str) -> bool {
    parts(text).map_or(true, |p| p.iter().any(|p| !matches!(p, Part::Plain(_))))
}

/// One segment of a parameter reference.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Name(String),
    Index(usize),
}

/// Parses a parameter reference. Returns `None` if the code is anything else.
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

/// Returns true if the code is a parameter reference, which needs no JavaScript.
pub fn is_reference(code: &str) -> bool {
    reference(code).is_some()
}

/// Resolves a parameter reference.
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

/// Evaluates expressions, with JavaScript if the document requires it.
pub struct Evaluator<'a> {
    pub js: Option<&'a JsEngine>,
    /// The `expressionLib` of `InlineJavascriptRequirement`.
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
                // In JavaScript a missing property is `undefined`, and values have properties such as methods.
                Err(EvalError::Missing(_)) if self.js.is_some() => {}
                result => return result,
            }
        }
        let js = self.js.ok_or(EvalError::JavaScriptRequired)?;
        js.evaluate(code, block, &self.library, context)
    }

    /// Evaluates a string. A single expression keeps its type; otherwise the result is a string with all
    /// expressions interpolated.
    ///
    /// # Errors
    /// Returns the first [`EvalError`] of its expressions.
    pub fn value(&self, text: &str, context: &EvalContext) -> Result<Value, EvalError> {
        let parts = parts(text)?;
        // Whitespace around a single expression does not turn it into a string.
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

    /// Evaluates a string and converts the result to a string.
    ///
    /// # Errors
    /// Returns the first [`EvalError`] of its expressions, or [`EvalError::Deferred`] if the result is not
    /// known yet.
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
