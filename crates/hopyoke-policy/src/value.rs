//! Types, values, and sets of values.
//!
//! Durations are whole microseconds and money is whole millionths of the currency, both held in an `f64` within ±2⁵³, where
//! integers are exact. Shares are fractions: 25% is 0.25.

use std::fmt;

/// The type of an expression.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Type {
    Duration,
    Number,
    Share,
    Money,
    Boolean,
    Text,
}

impl Type {
    pub(crate) fn parse(s: &str) -> Option<Type> {
        Some(match s {
            "duration" => Type::Duration,
            "number" => Type::Number,
            "share" => Type::Share,
            "money" => Type::Money,
            "boolean" => Type::Boolean,
            "text" => Type::Text,
            _ => return None,
        })
    }

    /// Returns whether values have an order and arithmetic.
    pub(crate) fn is_numeric(self) -> bool {
        !matches!(self, Type::Boolean | Type::Text)
    }

    /// Returns the maximum magnitude of values and intermediate results.
    pub(crate) fn max_magnitude(self) -> f64 {
        match self {
            Type::Duration | Type::Money => 9_007_199_254_740_992.0,
            _ => 1e15,
        }
    }

    /// Returns the type of `a * b`, or `None` if it is not defined.
    pub(crate) fn product(a: Type, b: Type) -> Option<Type> {
        use Type::{Number, Share};
        match (a, b) {
            (Number, t) | (t, Number) if t.is_numeric() => Some(t),
            (Share, t) | (t, Share) if t.is_numeric() => Some(t),
            _ => None,
        }
    }

    /// Returns the type of `a / b`, or `None` if it is not defined.
    pub(crate) fn quotient(a: Type, b: Type) -> Option<Type> {
        match (a, b) {
            (a, b) if a == b && a.is_numeric() => Some(Type::Number),
            (a, Type::Number | Type::Share) if a.is_numeric() => Some(a),
            _ => None,
        }
    }

    /// Returns an example of a value, for diagnostics.
    pub(crate) fn example(self) -> &'static str {
        match self {
            Type::Duration => "a duration such as 40s",
            Type::Number => "a number such as 4",
            Type::Share => "a share such as 15%",
            Type::Money => "money such as $2.50",
            Type::Boolean => "true or false",
            Type::Text => "a quoted text",
        }
    }
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Type::Duration => "duration",
            Type::Number => "number",
            Type::Share => "share",
            Type::Money => "money",
            Type::Boolean => "boolean",
            Type::Text => "text",
        })
    }
}

/// A value. Its [`Type`] gives the unit of a number.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Number(f64),
    Boolean(bool),
    Text(String),
}

/// Rounds durations and money to whole base units.
pub(crate) fn round_to_unit(ty: Type, x: f64) -> f64 {
    if matches!(ty, Type::Duration | Type::Money) {
        x.round()
    } else {
        x
    }
}

/// Formats a number with up to six decimals, without trailing zeros.
fn format_number(x: f64) -> String {
    let s = format!("{x:.6}");
    let s = s.trim_end_matches('0').trim_end_matches('.');
    if s.is_empty() || s == "-0" {
        "0".into()
    } else {
        s.into()
    }
}

/// Formats a value in the syntax of the language.
pub fn format_value(ty: Type, value: &Value) -> String {
    match (ty, value) {
        (_, Value::Boolean(b)) => b.to_string(),
        (_, Value::Text(t)) => format!("\"{t}\""),
        (Type::Duration, Value::Number(us)) => {
            let (unit, size) = [
                ("d", 86_400e6),
                ("h", 3600e6),
                ("min", 60e6),
                ("s", 1e6),
                ("ms", 1e3),
            ]
            .into_iter()
            .find(|(u, size)| us.abs() >= *size && (us % size == 0.0 || *u == "s"))
            .unwrap_or(if *us == 0.0 { ("s", 1e6) } else { ("us", 1.0) });
            format!("{}{unit}", format_number(us / size))
        }
        (Type::Share, Value::Number(x)) => format!("{}%", format_number(x * 100.0)),
        (Type::Money, Value::Number(x)) => format!("${}", format_number(x / 1e6)),
        (_, Value::Number(x)) => format_number(*x),
    }
}

/// An over-approximation of the values that an expression can take.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ValueSet {
    Number {
        low: f64,
        high: f64,
    },
    Boolean {
        may_be_true: bool,
        may_be_false: bool,
    },
    /// A known text, or `None` for any text.
    Text(Option<String>),
}

impl ValueSet {
    /// Returns the set with just this value.
    pub fn of(value: &Value) -> ValueSet {
        match value {
            Value::Number(x) => ValueSet::Number { low: *x, high: *x },
            Value::Boolean(b) => ValueSet::Boolean {
                may_be_true: *b,
                may_be_false: !*b,
            },
            Value::Text(t) => ValueSet::Text(Some(t.clone())),
        }
    }

    /// Returns a set that covers both sets.
    pub fn join(self, other: ValueSet) -> ValueSet {
        match (self, other) {
            (ValueSet::Number { low: a, high: b }, ValueSet::Number { low: c, high: d }) => {
                ValueSet::Number {
                    low: a.min(c),
                    high: b.max(d),
                }
            }
            (
                ValueSet::Boolean {
                    may_be_true: a,
                    may_be_false: b,
                },
                ValueSet::Boolean {
                    may_be_true: c,
                    may_be_false: d,
                },
            ) => ValueSet::Boolean {
                may_be_true: a || c,
                may_be_false: b || d,
            },
            (ValueSet::Text(a), ValueSet::Text(b)) if a == b => ValueSet::Text(a),
            _ => ValueSet::Text(None),
        }
    }

    /// Returns the smallest and largest number. Returns `None` for booleans and texts.
    pub fn bounds(&self) -> Option<(f64, f64)> {
        match self {
            ValueSet::Number { low, high } => Some((*low, *high)),
            _ => None,
        }
    }
}
