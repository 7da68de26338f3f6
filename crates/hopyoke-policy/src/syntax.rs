//! Parses policy files to syntax trees with source spans.

use crate::diagnostic::Diagnostics;
use crate::value::{Type, Value, round_to_unit};
use pest::Parser;
use pest::error::{ErrorVariant, InputLocation};
use pest::iterators::Pair;
use std::ops::Range;

#[derive(pest_derive::Parser)]
#[grammar = "policy.pest"]
struct Grammar;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Operator {
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
pub(crate) enum ExprKind {
    Literal(Type, Value),
    Name(String),
    Negate(Box<Expr>),
    Not(Box<Expr>),
    Binary(Operator, Box<Expr>, Box<Expr>),
    If(Box<Expr>, Box<Expr>, Box<Expr>),
    Call(Function, Vec<Expr>),
}

/// An expression and its byte range in the file.
#[derive(Debug, Clone)]
pub(crate) struct Expr {
    pub kind: ExprKind,
    pub span: Range<usize>,
}

#[derive(Debug, Clone)]
pub(crate) enum Statement {
    /// Sets a setting, or defines a local name with `let`.
    Assign {
        name: String,
        name_span: Range<usize>,
        local: bool,
        expr: Expr,
    },
    /// Declares a metric. Built-in file only.
    Metric {
        name: String,
        ty: Type,
        range: Option<(Expr, Expr)>,
        description: String,
    },
    /// Declares a setting. Built-in file only.
    Setting {
        name: String,
        ty: Type,
        allows_metrics: bool,
        range: Option<(Expr, Expr)>,
        expr: Expr,
        description: String,
        rationale: String,
    },
}

/// Bounds the recursion when expressions are checked and evaluated.
const MAX_NESTING: usize = 64;
/// Bounds the depth of the tree for a chain of binary operators, which grows with the length of the statement.
const MAX_STATEMENT_BYTES: usize = 4096;
/// Maximum size of a file.
pub(crate) const MAX_FILE_BYTES: usize = 256 * 1024;

/// Parses a file. Statements are parsed independently, so an error in one does not hide errors in others. Declarations are
/// accepted only if `built_in` is set.
pub(crate) fn parse(text: &str, built_in: bool, diagnostics: &mut Diagnostics) -> Vec<Statement> {
    if text.len() > MAX_FILE_BYTES {
        diagnostics.add(
            0..0,
            "the file is too long",
            format!("at most {MAX_FILE_BYTES} bytes"),
        );
        return Vec::new();
    }
    let mut out = Vec::new();
    for range_in_file in split_statements(text) {
        let source = &text[range_in_file.clone()];
        if source.trim_end().len() > MAX_STATEMENT_BYTES {
            let at = range_in_file.start..range_in_file.start + 1;
            diagnostics.add(
                at,
                "the statement is too long",
                format!("at most {MAX_STATEMENT_BYTES} bytes"),
            );
            continue;
        }
        if let Some(position) = find_excess_nesting(source) {
            let at = range_in_file.start + position;
            diagnostics.add(
                at..at + 1,
                "expression nested too deeply",
                format!("at most {MAX_NESTING} levels"),
            );
            continue;
        }
        let rule = if built_in {
            Rule::builtin_line
        } else {
            Rule::assign_line
        };
        match Grammar::parse(rule, source) {
            Ok(mut pairs) => {
                let inner = pairs.next().and_then(|p| p.into_inner().next());
                match inner.and_then(|p| build_statement(p, range_in_file.start)) {
                    Some(s) => out.push(s),
                    None => {
                        diagnostics.add(range_in_file, "invalid statement", "NAME = EXPRESSION")
                    }
                }
            }
            Err(e) => {
                let (start, end) = match e.location {
                    InputLocation::Pos(p) => (p, p + 1),
                    InputLocation::Span((a, b)) => (a, b),
                };
                let (mut start, end) = (start.min(source.len()), end.min(source.len()));
                if start >= source.trim_end().len() {
                    // The statement is incomplete: the diagnostic points behind its last character.
                    start = source.trim_end().len();
                }
                let (message, end) = match source[start..].split_whitespace().next() {
                    Some(word) => (
                        format!("unexpected `{}`", word.chars().take(24).collect::<String>()),
                        end,
                    ),
                    None => ("unexpected end of statement".to_owned(), start),
                };
                let at = range_in_file.start + start..range_in_file.start + end.max(start);
                diagnostics.add(at, message, describe_expected(&e.variant));
            }
        }
    }
    out
}

/// Splits a file into statements. A statement starts at the first column and continues over indented and blank lines.
fn split_statements(text: &str) -> Vec<Range<usize>> {
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

/// Returns the byte offset at which nesting exceeds the limit, or `None`. Counts open parentheses, and separately the prefix
/// operators of the whole statement, as in `- - x`, `not not x` and `if a then if b then …`.
fn find_excess_nesting(text: &str) -> Option<usize> {
    let (mut depth, mut prefix_operators, mut start) = (0usize, 0usize, 0);
    for line in text.split_inclusive('\n') {
        let mut word = 0;
        let mut quoted = false;
        for (i, b) in line.bytes().enumerate() {
            match b {
                b'"' => quoted = !quoted,
                b'#' if !quoted => break,
                b'(' if !quoted => depth += 1,
                b')' if !quoted => depth = depth.saturating_sub(1),
                b'-' if !quoted => prefix_operators += 1,
                _ => {}
            }
            if !b.is_ascii_alphanumeric() && b != b'_' {
                prefix_operators +=
                    usize::from(!quoted && matches!(line.get(word..i), Some("not" | "if")));
                word = i + 1;
                while !line.is_char_boundary(word) {
                    word += 1;
                }
            }
            if depth.max(prefix_operators) > MAX_NESTING {
                return Some(start + i);
            }
        }
        start += line.len();
    }
    None
}

/// Describes the tokens that the parser accepts at the position of an error.
fn describe_expected(variant: &ErrorVariant<Rule>) -> String {
    let ErrorVariant::ParsingError { positives, .. } = variant else {
        return String::new();
    };
    let mut expected: Vec<&str> = positives
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
    expected.sort_unstable();
    expected.dedup();
    if expected.is_empty() {
        "NAME = EXPRESSION".into()
    } else {
        format!("expected {}", expected.join(" or "))
    }
}

/// Returns the span of a token in the file. `offset` is where the statement starts.
fn span_of(pair: &Pair<'_, Rule>, offset: usize) -> Range<usize> {
    let span = pair.as_span();
    // A rule may match trailing white space, which is not part of the span.
    let end = span.start() + span.as_str().trim_end().len();
    offset + span.start()..offset + end
}

/// Returns the content of the first quoted text.
fn quoted_text(pair: Pair<'_, Rule>) -> String {
    pair.into_inner()
        .flatten()
        .find(|p| p.as_rule() == Rule::inner)
        .map_or(String::new(), |p| p.as_str().into())
}

/// Converts a parsed statement. Returns `None` if its structure is not as in the grammar.
fn build_statement(pair: Pair<'_, Rule>, offset: usize) -> Option<Statement> {
    let rule = pair.as_rule();
    let (mut name, mut name_span, mut local, mut allows_metrics) =
        (String::new(), 0..0, false, false);
    let (mut ty, mut range, mut value) = (None, None, None);
    let (mut description, mut rationale) = (String::new(), String::new());
    for p in pair.into_inner() {
        match p.as_rule() {
            Rule::local => local = true,
            Rule::live => allows_metrics = true,
            Rule::name => (name, name_span) = (p.as_str().to_owned(), span_of(&p, offset)),
            Rule::type_name => ty = Type::parse(p.as_str().trim()),
            Rule::range => {
                let mut bounds = p.into_inner();
                range = Some((
                    build_expr(bounds.next()?, offset)?,
                    build_expr(bounds.next()?, offset)?,
                ));
            }
            Rule::expr => value = Some(build_expr(p, offset)?),
            Rule::about => description = quoted_text(p),
            Rule::safe => rationale = quoted_text(p),
            _ => {}
        }
    }
    Some(match rule {
        Rule::assign => Statement::Assign {
            name,
            name_span,
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
            allows_metrics,
            range,
            expr: value?,
            description,
            rationale,
        },
        _ => return None,
    })
}

/// Converts a parsed expression. Returns `None` if its structure is not as in the grammar.
fn build_expr(pair: Pair<'_, Rule>, offset: usize) -> Option<Expr> {
    let span = span_of(&pair, offset);
    let rule = pair.as_rule();
    let kind = match rule {
        Rule::expr => return build_expr(pair.into_inner().next()?, offset),
        Rule::atom => {
            // The span of a parenthesized expression includes the parentheses.
            let inner = build_expr(pair.into_inner().next()?, offset)?;
            return Some(Expr {
                kind: inner.kind,
                span,
            });
        }
        Rule::conditional => {
            let mut parts = pair.into_inner().filter(|p| p.as_rule() == Rule::expr);
            let mut next = || build_expr(parts.next()?, offset).map(Box::new);
            ExprKind::If(next()?, next()?, next()?)
        }
        Rule::or | Rule::and | Rule::sum | Rule::product | Rule::comparison => {
            let mut parts = pair.into_inner();
            let mut left = build_expr(parts.next()?, offset)?;
            while let Some(op) = parts.next() {
                let right = build_expr(parts.next()?, offset)?;
                let combined = left.span.start..right.span.end;
                left = Expr {
                    kind: ExprKind::Binary(
                        parse_operator(op.as_str().trim())?,
                        Box::new(left),
                        Box::new(right),
                    ),
                    span: combined,
                };
            }
            return Some(left);
        }
        Rule::unary => {
            let mut parts = pair.into_inner();
            let first = parts.next()?;
            match first.as_rule() {
                Rule::minus => ExprKind::Negate(Box::new(build_expr(parts.next()?, offset)?)),
                Rule::not => ExprKind::Not(Box::new(build_expr(parts.next()?, offset)?)),
                _ => return build_expr(first, offset),
            }
        }
        Rule::call => {
            let mut parts = pair.into_inner();
            let function = match parts.next()?.as_str().trim() {
                "min" => Function::Min,
                "max" => Function::Max,
                _ => Function::Clamp,
            };
            ExprKind::Call(
                function,
                parts
                    .map(|p| build_expr(p, offset))
                    .collect::<Option<_>>()?,
            )
        }
        Rule::name => ExprKind::Name(pair.as_str().to_owned()),
        Rule::boolean => ExprKind::Literal(Type::Boolean, Value::Boolean(pair.as_str() == "true")),
        Rule::text => {
            let inner = pair
                .into_inner()
                .next()
                .map_or("", |p| p.as_str())
                .to_owned();
            ExprKind::Literal(Type::Text, Value::Text(inner))
        }
        Rule::duration | Rule::share | Rule::money | Rule::number => build_literal(pair)?,
        _ => return None,
    };
    Some(Expr { kind, span })
}

/// Converts a numeric literal to its base unit: microseconds, fractions or millionths.
fn build_literal(pair: Pair<'_, Rule>) -> Option<ExprKind> {
    let rule = pair.as_rule();
    let mut parts = pair.into_inner();
    let x: f64 = parts.next()?.as_str().parse().ok()?;
    let (ty, x) = match rule {
        Rule::duration => {
            let factor = match parts.next()?.as_str() {
                "us" => 1.0,
                "ms" => 1e3,
                "s" => 1e6,
                "min" => 60e6,
                "h" => 3600e6,
                _ => 86_400e6,
            };
            (Type::Duration, x * factor)
        }
        Rule::share => (Type::Share, x / 100.0),
        Rule::money => (Type::Money, x * 1e6),
        _ => (Type::Number, x),
    };
    Some(ExprKind::Literal(ty, Value::Number(round_to_unit(ty, x))))
}

fn parse_operator(s: &str) -> Option<Operator> {
    Some(match s {
        "+" => Operator::Add,
        "-" => Operator::Sub,
        "*" => Operator::Mul,
        "/" => Operator::Div,
        "<" => Operator::Less,
        "<=" => Operator::LessEqual,
        ">" => Operator::Greater,
        ">=" => Operator::GreaterEqual,
        "==" => Operator::Equal,
        "!=" => Operator::NotEqual,
        "and" => Operator::And,
        "or" => Operator::Or,
        _ => return None,
    })
}
