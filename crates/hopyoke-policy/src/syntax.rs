//! From text to syntax trees: statements, expressions, and where they stand.

use crate::diagnostic::Diagnostics;
use crate::value::{Type, Value, whole};
use pest::Parser;
use pest::error::{ErrorVariant, InputLocation};
use pest::iterators::Pair;
use std::ops::Range;

#[derive(pest_derive::Parser)]
#[grammar = "policy.pest"]
struct Grammar;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Op {
    Add,
    Sub,
    Mul,
    Div,
    Less,
    LessEqual,
    Greater,
    GreaterEqual,
    Equal,
    NotEqual,
    And,
    Or,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Function {
    Min,
    Max,
    Clamp,
}

#[derive(Debug, Clone)]
pub(crate) enum Node {
    Literal(Type, Value),
    Name(String),
    Negative(Box<Expr>),
    Not(Box<Expr>),
    Binary(Op, Box<Expr>, Box<Expr>),
    If(Box<Expr>, Box<Expr>, Box<Expr>),
    Call(Function, Vec<Expr>),
}

/// An expression and the bytes of the text that it was read from.
#[derive(Debug, Clone)]
pub(crate) struct Expr {
    pub node: Node,
    pub at: Range<usize>,
}

#[derive(Debug, Clone)]
pub(crate) enum Statement {
    /// `local`: a name of the file's own.
    Assign {
        name: String,
        at: Range<usize>,
        local: bool,
        expr: Expr,
    },
    Metric {
        name: String,
        ty: Type,
        range: Option<(Expr, Expr)>,
        description: String,
    },
    Setting {
        name: String,
        ty: Type,
        live: bool,
        range: Option<(Expr, Expr)>,
        expr: Expr,
        description: String,
        rationale: String,
    },
}

/// Deeper nesting than this is refused: expressions are walked recursively.
const MOST_NESTING: usize = 64;
/// Longer statements are refused: a chain of operators is as deep as it is long.
const MOST_STATEMENT: usize = 4096;
/// Longer files are refused before they are read.
pub(crate) const MOST_BYTES: usize = 256 * 1024;

/// Reads a file; faults of one statement do not hide those of the next.
pub(crate) fn read(text: &str, builtin: bool, diagnostics: &mut Diagnostics) -> Vec<Statement> {
    if text.len() > MOST_BYTES {
        diagnostics.add(
            0..0,
            "the file is too long",
            format!("at most {MOST_BYTES} bytes"),
        );
        return Vec::new();
    }
    let mut out = Vec::new();
    for chunk in statements(text) {
        let part = &text[chunk.clone()];
        if part.trim_end().len() > MOST_STATEMENT {
            let at = chunk.start..chunk.start + 1;
            diagnostics.add(
                at,
                "the statement is too long",
                format!("at most {MOST_STATEMENT} bytes"),
            );
            continue;
        }
        if let Some(deep) = too_deep(part) {
            let at = chunk.start + deep;
            diagnostics.add(
                at..at + 1,
                "nested too deeply",
                format!("at most {MOST_NESTING} levels"),
            );
            continue;
        }
        let rule = if builtin {
            Rule::builtin_line
        } else {
            Rule::assign_line
        };
        match Grammar::parse(rule, part) {
            Ok(mut pairs) => {
                let inner = pairs.next().and_then(|p| p.into_inner().next());
                match inner.and_then(|p| statement(p, chunk.start)) {
                    Some(s) => out.push(s),
                    None => {
                        diagnostics.add(chunk, "this statement can't be read", "NAME = EXPRESSION")
                    }
                }
            }
            Err(e) => {
                let (start, end) = match e.location {
                    InputLocation::Pos(p) => (p, p + 1),
                    InputLocation::Span((a, b)) => (a, b),
                };
                let (mut start, end) = (start.min(part.len()), end.min(part.len()));
                if start >= part.trim_end().len() {
                    // The text ends too early: the mark goes behind its last character.
                    start = part.trim_end().len();
                }
                let (message, end) = match part[start..].split_whitespace().next() {
                    Some(word) => (
                        format!("unexpected `{}`", word.chars().take(24).collect::<String>()),
                        end,
                    ),
                    None => ("the statement ends too early".to_owned(), start),
                };
                let at = chunk.start + start..chunk.start + end.max(start);
                diagnostics.add(at, message, expected(&e.variant));
            }
        }
    }
    out
}

/// Statements start at the first column; what is indented goes on with the one before.
fn statements(text: &str) -> Vec<Range<usize>> {
    let mut out: Vec<Range<usize>> = Vec::new();
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        let range = at..at + line.len();
        at = range.end;
        let body = line.split('#').next().unwrap_or("");
        let blank = body.trim().is_empty();
        match out.last_mut() {
            Some(last) if blank || line.starts_with([' ', '\t']) => last.end = range.end,
            _ if blank => {}
            _ => out.push(range),
        }
    }
    out
}

/// Where nesting gets deeper than is allowed: of parentheses, or by chains without them such as
/// `- - x`, `not not x`, `if a then if b then …`.
fn too_deep(text: &str) -> Option<usize> {
    let (mut depth, mut chain, mut start) = (0usize, 0usize, 0);
    for line in text.split_inclusive('\n') {
        let mut word = 0;
        let mut quoted = false;
        for (i, b) in line.bytes().enumerate() {
            match b {
                b'"' => quoted = !quoted,
                b'#' if !quoted => break,
                b'(' if !quoted => depth += 1,
                b')' if !quoted => depth = depth.saturating_sub(1),
                b'-' if !quoted => chain += 1,
                _ => {}
            }
            if !b.is_ascii_alphanumeric() && b != b'_' {
                chain += usize::from(!quoted && matches!(line.get(word..i), Some("not" | "if")));
                word = i + 1;
                while !line.is_char_boundary(word) {
                    word += 1;
                }
            }
            if depth.max(chain) > MOST_NESTING {
                return Some(start + i);
            }
        }
        start += line.len();
    }
    None
}

fn expected(variant: &ErrorVariant<Rule>) -> String {
    let ErrorVariant::ParsingError { positives, .. } = variant else {
        return String::new();
    };
    let mut words: Vec<&str> = positives
        .iter()
        .filter_map(|r| {
            Some(match r {
                Rule::expr
                | Rule::unary
                | Rule::atom
                | Rule::or
                | Rule::and
                | Rule::sum
                | Rule::product => "a value",
                Rule::comparison | Rule::conditional | Rule::call | Rule::minus | Rule::not => {
                    "a value"
                }
                Rule::boolean
                | Rule::duration
                | Rule::share
                | Rule::money
                | Rule::number
                | Rule::text => "a value",
                Rule::function | Rule::digits => "a value",
                Rule::name => "a name",
                Rule::assign | Rule::local | Rule::figure | Rule::setting | Rule::live => {
                    "NAME = EXPRESSION"
                }
                Rule::or_op | Rule::and_op | Rule::compare_op | Rule::sum_op | Rule::product_op => {
                    "an operator"
                }
                Rule::unit => "a unit: us, ms, s, min, h or d",
                Rule::then_word => "`then`",
                Rule::else_word => "`else`",
                Rule::if_word => "a value",
                Rule::EOI => "the end of the statement",
                Rule::type_name => "a type",
                Rule::about | Rule::safe | Rule::range => "`in`, `about` or `safe`",
                _ => return None,
            })
        })
        .collect();
    words.sort_unstable();
    words.dedup();
    if words.is_empty() {
        "NAME = EXPRESSION".into()
    } else {
        format!("expected {}", words.join(" or "))
    }
}

/// Places in the text are counted from the start of the file.
fn at(pair: &Pair<'_, Rule>, base: usize) -> Range<usize> {
    let span = pair.as_span();
    // Rules that end in white space or comments: the mark covers what was written.
    let end = span.start() + span.as_str().trim_end().len();
    base + span.start()..base + end
}

fn text(pair: Pair<'_, Rule>) -> String {
    pair.into_inner()
        .flatten()
        .find(|p| p.as_rule() == Rule::inner)
        .map_or(String::new(), |p| p.as_str().into())
}

fn statement(pair: Pair<'_, Rule>, base: usize) -> Option<Statement> {
    let rule = pair.as_rule();
    let (mut name, mut place, mut local, mut live) = (String::new(), 0..0, false, false);
    let (mut ty, mut range, mut value) = (None, None, None);
    let (mut description, mut rationale) = (String::new(), String::new());
    for p in pair.into_inner() {
        match p.as_rule() {
            Rule::local => local = true,
            Rule::live => live = true,
            Rule::name => (name, place) = (p.as_str().to_owned(), at(&p, base)),
            Rule::type_name => ty = Type::parse(p.as_str().trim()),
            Rule::range => {
                let mut ends = p.into_inner();
                range = Some((expr(ends.next()?, base)?, expr(ends.next()?, base)?));
            }
            Rule::expr => value = Some(expr(p, base)?),
            Rule::about => description = text(p),
            Rule::safe => rationale = text(p),
            _ => {}
        }
    }
    Some(match rule {
        Rule::assign => Statement::Assign {
            name,
            at: place,
            local,
            expr: value?,
        },
        Rule::figure => Statement::Metric {
            name,
            ty: ty?,
            range,
            description,
        },
        Rule::setting => Statement::Setting {
            name,
            ty: ty?,
            live,
            range,
            expr: value?,
            description,
            rationale,
        },
        _ => return None,
    })
}

fn expr(pair: Pair<'_, Rule>, base: usize) -> Option<Expr> {
    let place = at(&pair, base);
    let rule = pair.as_rule();
    let node = match rule {
        Rule::expr => return expr(pair.into_inner().next()?, base),
        Rule::atom => {
            // Parentheses belong to what they hold.
            let inner = expr(pair.into_inner().next()?, base)?;
            return Some(Expr {
                node: inner.node,
                at: place,
            });
        }
        Rule::conditional => {
            let mut parts = pair.into_inner().filter(|p| p.as_rule() == Rule::expr);
            let mut next = || expr(parts.next()?, base).map(Box::new);
            Node::If(next()?, next()?, next()?)
        }
        Rule::or | Rule::and | Rule::sum | Rule::product | Rule::comparison => {
            let mut parts = pair.into_inner();
            let mut left = expr(parts.next()?, base)?;
            while let Some(op) = parts.next() {
                let right = expr(parts.next()?, base)?;
                let whole = left.at.start..right.at.end;
                left = Expr {
                    node: Node::Binary(op_of(op.as_str().trim())?, Box::new(left), Box::new(right)),
                    at: whole,
                };
            }
            return Some(left);
        }
        Rule::unary => {
            let mut parts = pair.into_inner();
            let first = parts.next()?;
            match first.as_rule() {
                Rule::minus => Node::Negative(Box::new(expr(parts.next()?, base)?)),
                Rule::not => Node::Not(Box::new(expr(parts.next()?, base)?)),
                _ => return expr(first, base),
            }
        }
        Rule::call => {
            let mut parts = pair.into_inner();
            let function = match parts.next()?.as_str().trim() {
                "min" => Function::Min,
                "max" => Function::Max,
                _ => Function::Clamp,
            };
            Node::Call(
                function,
                parts.map(|p| expr(p, base)).collect::<Option<_>>()?,
            )
        }
        Rule::name => Node::Name(pair.as_str().to_owned()),
        Rule::boolean => Node::Literal(Type::Boolean, Value::Boolean(pair.as_str() == "true")),
        Rule::text => {
            let inner = pair
                .into_inner()
                .next()
                .map_or("", |p| p.as_str())
                .to_owned();
            Node::Literal(Type::Text, Value::Text(inner))
        }
        Rule::duration | Rule::share | Rule::money | Rule::number => literal(pair)?,
        _ => return None,
    };
    Some(Expr { node, at: place })
}

fn literal(pair: Pair<'_, Rule>) -> Option<Node> {
    let rule = pair.as_rule();
    let mut parts = pair.into_inner();
    let x: f64 = parts.next()?.as_str().parse().ok()?;
    let (ty, x) = match rule {
        Rule::duration => {
            let size = match parts.next()?.as_str() {
                "us" => 1.0,
                "ms" => 1e3,
                "s" => 1e6,
                "min" => 60e6,
                "h" => 3600e6,
                _ => 86_400e6,
            };
            (Type::Duration, x * size)
        }
        Rule::share => (Type::Share, x / 100.0),
        Rule::money => (Type::Money, x * 1e6),
        _ => (Type::Number, x),
    };
    Some(Node::Literal(ty, Value::Number(whole(ty, x))))
}

fn op_of(s: &str) -> Option<Op> {
    Some(match s {
        "+" => Op::Add,
        "-" => Op::Sub,
        "*" => Op::Mul,
        "/" => Op::Div,
        "<" => Op::Less,
        "<=" => Op::LessEqual,
        ">" => Op::Greater,
        ">=" => Op::GreaterEqual,
        "==" => Op::Equal,
        "!=" => Op::NotEqual,
        "and" => Op::And,
        "or" => Op::Or,
        _ => return None,
    })
}
