//! Evaluates settings for given values of the metrics.

use crate::check::{Policy, Symbol};
use crate::syntax::{Expr, ExprKind, Function, Operator};
use crate::value::{Type, Value, round_to_unit};
use hopyoke_types::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Values of metrics by name. A metric without a value evaluates to the lower bound of its range, or to false.
#[derive(Debug, Clone, Default)]
pub struct Metrics(BTreeMap<&'static str, Value>);

impl Metrics {
    /// Sets a numeric metric: a share as a fraction, a duration in microseconds.
    pub fn number(mut self, name: &'static str, value: f64) -> Metrics {
        self.0.insert(name, Value::Number(value));
        self
    }

    /// Sets a boolean metric.
    pub fn boolean(mut self, name: &'static str, value: bool) -> Metrics {
        self.0.insert(name, Value::Boolean(value));
        self
    }
}

/// Values of all settings for one evaluation.
#[derive(Debug, Clone)]
pub struct Values(BTreeMap<String, (Type, Value)>);

impl Values {
    fn numeric(&self, name: &str, expected: Type) -> f64 {
        match self.0.get(name) {
            Some((ty, Value::Number(x))) if *ty == expected => *x,
            other => {
                // The name is not declared, or has another type. Tests read every setting.
                debug_assert!(false, "no setting `{name}` of type {expected}: {other:?}");
                0.0
            }
        }
    }

    /// Returns a duration. Negative values are returned as zero.
    pub fn duration(&self, name: &str) -> Micros {
        Micros(self.numeric(name, Type::Duration).max(0.0) as u64)
    }

    /// Returns a plain number.
    pub fn number(&self, name: &str) -> f64 {
        self.numeric(name, Type::Number)
    }

    /// Returns a plain number as a count, rounded down. Negative values are returned as zero.
    pub fn count(&self, name: &str) -> usize {
        self.numeric(name, Type::Number).max(0.0) as usize
    }

    /// Returns a share as a fraction: 25% is 0.25.
    pub fn share(&self, name: &str) -> f64 {
        self.numeric(name, Type::Share)
    }

    /// Returns a boolean. Returns `false` if no boolean setting has this name.
    pub fn boolean(&self, name: &str) -> bool {
        matches!(
            self.0.get(name),
            Some((Type::Boolean, Value::Boolean(true)))
        )
    }

    /// Returns a text. Returns an empty string if no text setting has this name.
    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some((Type::Text, Value::Text(t))) => t,
            _ => "",
        }
    }

    /// Returns all settings with type and value, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Type, &Value)> {
        self.0.iter().map(|(n, (t, v))| (n.as_str(), *t, v))
    }
}

/// Evaluates each name at most once.
struct Evaluator<'a> {
    policy: &'a Policy,
    metrics: &'a Metrics,
    cache: RefCell<BTreeMap<&'a str, (Type, Value)>>,
}

impl Policy {
    /// Evaluates all settings. Metrics are clamped to their declared range, which is what the checker's bounds rest on.
    pub fn evaluate(&self, metrics: &Metrics) -> Values {
        let evaluator = Evaluator {
            policy: self,
            metrics,
            cache: RefCell::default(),
        };
        let settings = self.settings().iter().map(|s| {
            let value = evaluator.resolve(&s.name);
            (s.name.clone(), value)
        });
        Values(settings.collect())
    }

    /// Returns whether the operators' file overrides a setting that may refer to metrics. If so, settings need to be evaluated
    /// again when metrics change.
    pub fn may_depend_on_metrics(&self) -> bool {
        self.settings()
            .iter()
            .any(|s| s.allows_metrics && s.overridden)
    }
}

impl<'a> Evaluator<'a> {
    fn resolve(&self, name: &str) -> (Type, Value) {
        if let Some(v) = self.cache.borrow().get(name) {
            return v.clone();
        }
        let Some((key, symbol)) = self.policy.symbols.get_key_value(name) else {
            return (Type::Number, Value::Number(0.0));
        };
        let value = match symbol {
            Symbol::Metric { ty, low, high } => {
                let reported = self.metrics.0.get(name).cloned();
                let value = match reported {
                    Some(Value::Number(x)) if ty.is_numeric() => Value::Number(if x.is_nan() {
                        *low
                    } else {
                        x.clamp(*low, *high)
                    }),
                    Some(Value::Boolean(b)) if *ty == Type::Boolean => Value::Boolean(b),
                    _ if *ty == Type::Boolean => Value::Boolean(false),
                    _ => Value::Number(*low),
                };
                (*ty, value)
            }
            Symbol::Setting { definition, .. } | Symbol::Local { definition } => {
                self.eval(&definition.expr)
            }
        };
        let key: &'a str = key;
        self.cache.borrow_mut().insert(key, value.clone());
        value
    }

    fn eval(&self, e: &Expr) -> (Type, Value) {
        use Value::{Boolean, Number};
        match &e.kind {
            ExprKind::Literal(ty, v) => (*ty, v.clone()),
            ExprKind::Name(n) => self.resolve(n),
            ExprKind::Negate(a) => match self.eval(a) {
                (ty, Number(x)) => (ty, Number(-x)),
                other => other,
            },
            ExprKind::Not(a) => (Type::Boolean, Boolean(!self.is_true(a))),
            ExprKind::Binary(Operator::And, a, b) => {
                (Type::Boolean, Boolean(self.is_true(a) && self.is_true(b)))
            }
            ExprKind::Binary(Operator::Or, a, b) => {
                (Type::Boolean, Boolean(self.is_true(a) || self.is_true(b)))
            }
            ExprKind::Binary(op, a, b) => self.eval_binary(*op, a, b),
            ExprKind::If(c, a, b) => self.eval(if self.is_true(c) { a } else { b }),
            ExprKind::Call(f, args) => {
                let values: Vec<(Type, f64)> = args.iter().map(|a| self.eval_number(a)).collect();
                let first = values[0];
                let x = match f {
                    Function::Min => values.iter().fold(first.1, |s, v| s.min(v.1)),
                    Function::Max => values.iter().fold(first.1, |s, v| s.max(v.1)),
                    Function::Clamp => first.1.max(values[1].1).min(values[2].1),
                };
                (first.0, Number(x))
            }
        }
    }

    fn is_true(&self, e: &Expr) -> bool {
        matches!(self.eval(e).1, Value::Boolean(true))
    }

    fn eval_number(&self, e: &Expr) -> (Type, f64) {
        match self.eval(e) {
            (ty, Value::Number(x)) => (ty, x),
            (ty, _) => (ty, 0.0),
        }
    }

    fn eval_binary(&self, op: Operator, a: &Expr, b: &Expr) -> (Type, Value) {
        use Value::{Boolean, Number};
        let (x, y) = (self.eval(a), self.eval(b));
        if matches!(op, Operator::Equal | Operator::NotEqual) {
            return (
                Type::Boolean,
                Boolean((x.1 == y.1) == (op == Operator::Equal)),
            );
        }
        let (Number(p), Number(q)) = (&x.1, &y.1) else {
            return (Type::Boolean, Boolean(false));
        };
        let (p, q) = (*p, *q);
        let typed = |ty: Option<Type>, v: f64| {
            let ty = ty.unwrap_or(Type::Number);
            (ty, Number(round_to_unit(ty, v)))
        };
        match op {
            Operator::Add => typed(Some(x.0), p + q),
            Operator::Sub => typed(Some(x.0), p - q),
            Operator::Mul => typed(Type::product(x.0, y.0), p * q),
            Operator::Div => typed(Type::quotient(x.0, y.0), p / q),
            Operator::Less => (Type::Boolean, Boolean(p < q)),
            Operator::LessEqual => (Type::Boolean, Boolean(p <= q)),
            Operator::Greater => (Type::Boolean, Boolean(p > q)),
            _ => (Type::Boolean, Boolean(p >= q)),
        }
    }
}
