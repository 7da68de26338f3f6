//! The type checker: resolves names, detects dependency cycles, and computes by interval arithmetic which values each setting
//! can take.

use crate::diagnostic::Diagnostics;
use crate::syntax::{self, Expr, ExprKind, Function, Operator, Statement};
use crate::value::{Type, Value, ValueSet, format_value};
use std::collections::BTreeMap;
use std::ops::Range;

/// Declarations of all settings and metrics with their defaults, in the policy language.
pub(crate) const DEFAULTS: &str = include_str!("defaults.policy");

/// Describes a setting, its default and the expression in effect.
#[derive(Debug, Clone)]
pub struct Setting {
    pub name: String,
    pub ty: Type,
    /// Whether the expression may refer to metrics.
    pub allows_metrics: bool,
    /// The safe range, inclusive. `None` for booleans and texts.
    pub range: Option<(f64, f64)>,
    /// Source text of the expression in effect.
    pub expression: String,
    /// Source text of the built-in default.
    pub default: String,
    /// Whether the operators' file sets it.
    pub overridden: bool,
    /// What the setting controls.
    pub description: String,
    /// Why the range is safe.
    pub rationale: String,
    /// The values that the expression in effect can take, as text.
    pub possible_values: String,
}

impl Setting {
    /// Formats the safe range. Returns an empty string if there is none.
    pub fn format_range(&self) -> String {
        self.range.map_or(String::new(), |(a, b)| {
            format!(
                "{} .. {}",
                format_value(self.ty, &Value::Number(a)),
                format_value(self.ty, &Value::Number(b))
            )
        })
    }
}

#[derive(Debug, Clone)]
pub(crate) enum Symbol {
    Metric {
        ty: Type,
        low: f64,
        high: f64,
    },
    Setting {
        ty: Type,
        allows_metrics: bool,
        range: Option<(Expr, Expr)>,
        definition: Definition,
    },
    Local {
        definition: Definition,
    },
}

/// The expression that a name is bound to.
#[derive(Debug, Clone)]
pub(crate) struct Definition {
    pub expr: Expr,
    /// Whether it is a built-in default rather than part of the operators' file.
    pub built_in: bool,
    /// Span of the assigned name in the operators' file. Empty for a built-in default.
    name_span: Range<usize>,
}

/// Declares a metric that expressions may refer to.
#[derive(Debug, Clone)]
pub struct Metric {
    pub name: String,
    pub ty: Type,
    /// The range that measured values are clamped to. `None` for booleans.
    pub range: Option<(f64, f64)>,
    pub description: String,
}

/// A set of settings that has passed all checks.
#[derive(Debug, Clone)]
pub struct Policy {
    settings: Vec<Setting>,
    metrics: Vec<Metric>,
    pub(crate) symbols: BTreeMap<String, Symbol>,
}

/// What the checker infers for an expression.
#[derive(Debug, Clone)]
struct Inferred {
    ty: Type,
    values: ValueSet,
    depends_on_metrics: bool,
}

/// Infers types and possible values of all expressions, and collects diagnostics.
struct Checker<'a> {
    symbols: &'a BTreeMap<String, Symbol>,
    diagnostics: Diagnostics,
    /// Results by name. `None` for a name whose definition has errors.
    inferred: BTreeMap<String, Option<Inferred>>,
    /// Names that are being resolved, outermost first.
    resolving: Vec<String>,
    /// Bounds on names that follow from the conditions of the enclosing branches, as name, lower and upper bound.
    refinements: Vec<(String, f64, f64)>,
    /// Number of enclosing branches that can't be reached. Inside these, only types are checked.
    unreachable: usize,
    /// While a built-in expression is checked, the span of the override in the operators' file that diagnostics point to.
    override_span: Option<Range<usize>>,
}

impl Policy {
    /// Returns the built-in defaults.
    pub fn defaults() -> Policy {
        // A unit test checks that the built-in file has no errors.
        Policy::load("defaults.policy", "").unwrap_or(Policy {
            settings: Vec::new(),
            metrics: Vec::new(),
            symbols: BTreeMap::new(),
        })
    }

    /// Parses an operators' file and checks it against the built-in declarations. `file` is the name shown in diagnostics.
    ///
    /// # Errors
    /// Returns all errors of the file, each with line, column and a help text.
    pub fn load(file: &str, text: &str) -> Result<Policy, Diagnostics> {
        let mut built_in_diagnostics = Diagnostics::new("defaults.policy", DEFAULTS);
        let declarations = syntax::parse(DEFAULTS, true, &mut built_in_diagnostics);
        if !built_in_diagnostics.entries.is_empty() {
            return Err(built_in_diagnostics);
        }
        Policy::check(declarations, DEFAULTS, file, text)
    }

    /// Checks the operators' file `text` against parsed declarations, whose source is `declarations_text`.
    fn check(
        declarations: Vec<Statement>,
        declarations_text: &str,
        file: &str,
        text: &str,
    ) -> Result<Policy, Diagnostics> {
        let mut diagnostics = Diagnostics::new(file, text);
        let mut symbols: BTreeMap<String, Symbol> = BTreeMap::new();
        let mut settings: Vec<Setting> = Vec::new();
        let mut metrics = Vec::new();
        for s in declarations {
            match s {
                Statement::Metric {
                    name,
                    ty,
                    range,
                    description,
                } => {
                    let literal = |e: &Expr| match &e.kind {
                        ExprKind::Literal(_, Value::Number(x)) => *x,
                        _ => 0.0,
                    };
                    let (low, high) = range
                        .as_ref()
                        .map_or((0.0, 0.0), |(a, b)| (literal(a), literal(b)));
                    let range = range.is_some().then_some((low, high));
                    metrics.push(Metric {
                        name: name.clone(),
                        ty,
                        range,
                        description,
                    });
                    symbols.insert(name, Symbol::Metric { ty, low, high });
                }
                Statement::Setting {
                    name,
                    ty,
                    allows_metrics,
                    range,
                    expr,
                    description,
                    rationale,
                } => {
                    let default = declarations_text[expr.span.clone()]
                        .split_whitespace()
                        .collect::<Vec<_>>()
                        .join(" ");
                    settings.push(Setting {
                        name: name.clone(),
                        ty,
                        allows_metrics,
                        range: None,
                        expression: default.clone(),
                        default,
                        overridden: false,
                        description,
                        rationale,
                        possible_values: String::new(),
                    });
                    let definition = Definition {
                        expr,
                        built_in: true,
                        name_span: 0..0,
                    };
                    symbols.insert(
                        name,
                        Symbol::Setting {
                            ty,
                            allows_metrics,
                            range,
                            definition,
                        },
                    );
                }
                Statement::Assign { .. } => {}
            }
        }
        let mut first_lines: BTreeMap<String, usize> = BTreeMap::new();
        for s in syntax::parse(text, false, &mut diagnostics) {
            let Statement::Assign {
                name,
                name_span,
                local,
                expr,
            } = s
            else {
                continue;
            };
            if let Some(line) = first_lines.get(&name) {
                diagnostics.add(
                    name_span,
                    format!("`{name}` is set twice"),
                    format!("first set on line {line}"),
                );
                continue;
            }
            first_lines.insert(
                name.clone(),
                text[..name_span.start].matches('\n').count() + 1,
            );
            let definition = Definition {
                expr,
                built_in: false,
                name_span: name_span.clone(),
            };
            match (symbols.get_mut(&name), local) {
                (None, true) => {
                    symbols.insert(name, Symbol::Local { definition });
                }
                (None, false) => {
                    let closest = closest_name(&name, settings.iter().map(|s| s.name.as_str()));
                    let help = closest.map_or("use `let` to define a local name".into(), |n| {
                        format!("did you mean `{n}`?")
                    });
                    diagnostics.add(name_span, format!("unknown setting `{name}`"), help);
                }
                (
                    Some(Symbol::Setting {
                        definition: current,
                        ..
                    }),
                    false,
                ) => {
                    if let Some(s) = settings.iter_mut().find(|s| s.name == name) {
                        s.expression = text[definition.expr.span.clone()]
                            .split_whitespace()
                            .collect::<Vec<_>>()
                            .join(" ");
                        s.overridden = true;
                    }
                    *current = definition;
                }
                (Some(Symbol::Metric { .. }), false) => {
                    diagnostics.add(
                        name_span,
                        format!("`{name}` is a metric"),
                        "metrics are measured and can't be set",
                    );
                }
                (Some(_), true) => {
                    diagnostics.add(
                        name_span,
                        format!("`{name}` is already defined"),
                        "choose another name: this one is a setting or a metric",
                    );
                }
                (Some(Symbol::Local { .. }), false) => {}
            }
        }
        let mut checker = Checker {
            symbols: &symbols,
            diagnostics,
            inferred: BTreeMap::new(),
            resolving: Vec::new(),
            refinements: Vec::new(),
            unreachable: 0,
            override_span: None,
        };
        for name in symbols.keys() {
            checker.resolve(name, None);
        }
        for setting in &mut settings {
            checker.check_range(setting);
        }
        let diagnostics = checker.diagnostics.sorted();
        if diagnostics.entries.is_empty() {
            Ok(Policy {
                settings,
                metrics,
                symbols,
            })
        } else {
            Err(diagnostics)
        }
    }

    /// Returns all metrics, in the order of their declarations.
    pub fn metrics(&self) -> &[Metric] {
        &self.metrics
    }

    /// Returns all settings, in the order of their declarations.
    pub fn settings(&self) -> &[Setting] {
        &self.settings
    }
}

/// Returns the name with the smallest edit distance to `name`. Returns `None` if no distance is at most a third of the
/// candidate's length, or 1 for short candidates.
fn closest_name<'a>(name: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names
        .map(|n| (edit_distance(name, n), n))
        .filter(|(d, n)| *d <= (n.len() / 3).max(1))
        .min_by_key(|(d, _)| *d)
        .map(|(_, n)| n)
}

/// Computes the Levenshtein distance.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}

fn numbers(low: f64, high: f64) -> ValueSet {
    ValueSet::Number { low, high }
}

impl Checker<'_> {
    /// Adds a diagnostic. While a built-in default is checked, it points to the override that causes the error.
    fn report(&mut self, span: &Range<usize>, message: impl Into<String>, help: impl Into<String>) {
        let (span, mut message) = (
            self.override_span.clone().unwrap_or(span.clone()),
            message.into(),
        );
        if self.override_span.is_some() {
            let dependent = self.resolving.first().cloned().unwrap_or_default();
            message = format!("incompatible with the default of `{dependent}`: {message}");
        }
        self.diagnostics.add(span, message, help);
    }

    /// Adds a diagnostic about values, unless the expression is in a branch that can't be reached.
    fn report_if_reachable(&mut self, span: &Range<usize>, message: String, help: String) {
        if self.unreachable == 0 {
            self.report(span, message, help);
        }
    }

    /// Infers the definition of a name, which is used at `span`. Returns `None` if the name is unknown, or its definition has
    /// errors or depends on itself.
    fn resolve(&mut self, name: &str, span: Option<&Range<usize>>) -> Option<Inferred> {
        if let Some(inferred) = self.inferred.get(name) {
            return inferred.clone();
        }
        let symbols = self.symbols;
        let Some(symbol) = symbols.get(name) else {
            let closest = closest_name(name, symbols.keys().map(String::as_str));
            let help = closest.map_or(
                "expected a setting, a metric, or a name defined in this file".into(),
                |n| format!("did you mean `{n}`?"),
            );
            if let Some(span) = span {
                self.report(span, format!("unknown name `{name}`"), help);
            }
            return None;
        };
        if let Some(first) = self.resolving.iter().position(|p| p == name) {
            let mut names = self.resolving[first..].to_vec();
            names.push(name.to_owned());
            let span = self
                .override_in_cycle(&names)
                .or(span.cloned())
                .unwrap_or(0..0);
            self.override_span = None;
            self.report(
                &span,
                format!("`{name}` depends on itself"),
                names.join(" → "),
            );
            return None;
        }
        let (definition, declared_type, allows_metrics) = match symbol {
            Symbol::Metric { ty, low, high } => {
                let values = if *ty == Type::Boolean {
                    ValueSet::Boolean {
                        may_be_true: true,
                        may_be_false: true,
                    }
                } else {
                    numbers(*low, *high)
                };
                let inferred = Some(Inferred {
                    ty: *ty,
                    values,
                    depends_on_metrics: true,
                });
                self.inferred.insert(name.to_owned(), inferred.clone());
                return inferred;
            }
            Symbol::Setting {
                ty,
                allows_metrics,
                definition,
                ..
            } => (definition, Some(*ty), *allows_metrics),
            Symbol::Local { definition } => (definition, None, true),
        };
        self.resolving.push(name.to_owned());
        let refinements = std::mem::take(&mut self.refinements);
        let unreachable = std::mem::take(&mut self.unreachable);
        let override_span = self.override_span.take();
        if definition.built_in {
            self.override_span = self.find_override(name, &mut Vec::new());
        }
        let mut inferred = self.infer(&definition.expr);
        if let (Some(k), Some(declared_type)) = (&inferred, declared_type) {
            if k.ty != declared_type {
                let message = format!("`{name}` is a {declared_type}, this is a {}", k.ty);
                self.report(
                    &definition.expr.span,
                    message,
                    format!("expected {}", declared_type.example()),
                );
                inferred = None;
            } else if k.depends_on_metrics && !allows_metrics {
                let message = format!("`{name}` can't depend on metrics");
                self.report(
                    &definition.expr.span,
                    message,
                    "expected an expression of constants and of settings that don't depend on metrics",
                );
                inferred = None;
            }
        }
        self.override_span = override_span;
        self.refinements = refinements;
        self.unreachable = unreachable;
        self.resolving.pop();
        self.inferred.insert(name.to_owned(), inferred.clone());
        inferred
    }

    /// Returns the span of the first name of the cycle that is set in the operators' file, or `None` if all are built in.
    fn override_in_cycle(&self, names: &[String]) -> Option<Range<usize>> {
        names.iter().find_map(|n| match self.symbols.get(n) {
            Some(Symbol::Setting { definition, .. } | Symbol::Local { definition })
                if !definition.built_in =>
            {
                Some(definition.name_span.clone())
            }
            _ => None,
        })
    }

    /// Returns the span of the first override that a built-in default or its range depends on, directly or
    /// not. Returns `None` if there is none.
    fn find_override(&self, name: &str, seen: &mut Vec<String>) -> Option<Range<usize>> {
        if seen.iter().any(|s| s == name) {
            return None;
        }
        seen.push(name.to_owned());
        let (definition, range) = match self.symbols.get(name)? {
            Symbol::Setting {
                definition, range, ..
            } => (definition, range.as_ref()),
            Symbol::Local { definition } => (definition, None),
            Symbol::Metric { .. } => return None,
        };
        if !definition.built_in {
            return Some(definition.name_span.clone());
        }
        let mut names = Vec::new();
        collect_names(&definition.expr, &mut names);
        if let Some((a, b)) = range {
            collect_names(a, &mut names);
            collect_names(b, &mut names);
        }
        names.iter().find_map(|n| self.find_override(n, seen))
    }

    /// Records the setting's range and possible values, and reports values outside of the range.
    fn check_range(&mut self, setting: &mut Setting) {
        let symbols = self.symbols;
        let Some(Symbol::Setting {
            ty,
            range,
            definition,
            ..
        }) = symbols.get(&setting.name)
        else {
            return;
        };
        let inferred = self.inferred.get(&setting.name).cloned().flatten();
        let text = |x: f64| format_value(*ty, &Value::Number(x));
        if let Some(k) = &inferred {
            setting.possible_values = match &k.values {
                ValueSet::Number { low, high } if low == high => text(*low),
                ValueSet::Number { low, high } => format!("{} .. {}", text(*low), text(*high)),
                ValueSet::Boolean {
                    may_be_true: true,
                    may_be_false: true,
                } => "true or false".into(),
                ValueSet::Boolean { may_be_true, .. } => may_be_true.to_string(),
                ValueSet::Text(t) => t.clone().map_or("any text".into(), |t| format!("\"{t}\"")),
            };
        }
        let Some((low, high)) = range else { return };
        self.resolving.push(setting.name.clone());
        self.override_span = self.find_override(&setting.name, &mut Vec::new());
        let bounds = (self.infer(low), self.infer(high));
        self.resolving.pop();
        let override_span = self.override_span.take();
        let (Some(low), Some(high)) = bounds else {
            return;
        };
        let (Some((_, low)), Some((high, _))) = (low.values.bounds(), high.values.bounds()) else {
            return;
        };
        setting.range = Some((low, high));
        let Some((lowest, highest)) = inferred.and_then(|k| k.values.bounds()) else {
            return;
        };
        if lowest < low || highest > high {
            let name = &setting.name;
            let value = if lowest == highest {
                format!("`{name}` would be {}", text(lowest))
            } else {
                format!(
                    "`{name}` could range from {} to {}",
                    text(lowest),
                    text(highest)
                )
            };
            let help = format!(
                "the safe range is {} to {}: {}",
                text(low),
                text(high),
                setting.rationale
            );
            let (span, message) = if definition.built_in {
                (
                    override_span.unwrap_or(0..0),
                    format!("incompatible with the default of `{name}`: {value}"),
                )
            } else {
                (definition.expr.span.clone(), value)
            };
            self.diagnostics.add(span, message, help);
        }
    }

    /// Infers type and possible values of an expression. Returns `None` after an error has been reported.
    fn infer(&mut self, e: &Expr) -> Option<Inferred> {
        match &e.kind {
            ExprKind::Literal(ty, value) => {
                if let Value::Number(x) = value
                    && x.abs() > ty.max_magnitude()
                {
                    self.report(
                        &e.span,
                        "literal too large",
                        format!(
                            "at most {}",
                            format_value(*ty, &Value::Number(ty.max_magnitude()))
                        ),
                    );
                    return None;
                }
                Some(Inferred {
                    ty: *ty,
                    values: ValueSet::of(value),
                    depends_on_metrics: false,
                })
            }
            ExprKind::Name(name) => {
                let mut inferred = self.resolve(name, Some(&e.span))?;
                for (_, low, high) in self.refinements.iter().filter(|(n, ..)| n == name) {
                    if let ValueSet::Number { low: a, high: b } = &mut inferred.values {
                        (*a, *b) = (a.max(*low), b.min(*high));
                    }
                }
                Some(inferred)
            }
            ExprKind::Negate(a) => {
                let inferred = self.infer(a)?;
                let Some((low, high)) = inferred.values.bounds() else {
                    self.report(
                        &a.span,
                        format!("can't negate a {}", inferred.ty),
                        "expected a number, duration, share or money",
                    );
                    return None;
                };
                Some(Inferred {
                    values: numbers(-high, -low),
                    ..inferred
                })
            }
            ExprKind::Not(a) => {
                let inferred = self.infer_boolean(a)?;
                let ValueSet::Boolean {
                    may_be_true,
                    may_be_false,
                } = inferred.values
                else {
                    return None;
                };
                Some(Inferred {
                    values: ValueSet::Boolean {
                        may_be_true: may_be_false,
                        may_be_false: may_be_true,
                    },
                    ..inferred
                })
            }
            ExprKind::Binary(op, a, b) => self.infer_binary(*op, a, b, &e.span),
            ExprKind::If(c, a, b) => self.infer_conditional(c, a, b),
            ExprKind::Call(f, args) => self.infer_call(*f, args, &e.span),
        }
    }

    fn infer_boolean(&mut self, e: &Expr) -> Option<Inferred> {
        let inferred = self.infer(e)?;
        if inferred.ty != Type::Boolean {
            self.report(
                &e.span,
                format!("this is a {}", inferred.ty),
                "expected true or false, or a comparison",
            );
            return None;
        }
        Some(inferred)
    }

    fn infer_binary(
        &mut self,
        op: Operator,
        a: &Expr,
        b: &Expr,
        span: &Range<usize>,
    ) -> Option<Inferred> {
        if matches!(op, Operator::And | Operator::Or) {
            let (x, y) = (self.infer_boolean(a), self.infer_boolean(b));
            let (x, y) = (x?, y?);
            let (
                ValueSet::Boolean {
                    may_be_true: p,
                    may_be_false: q,
                },
                ValueSet::Boolean {
                    may_be_true: r,
                    may_be_false: s,
                },
            ) = (&x.values, &y.values)
            else {
                return None;
            };
            let values = if op == Operator::And {
                ValueSet::Boolean {
                    may_be_true: *p && *r,
                    may_be_false: *q || *s,
                }
            } else {
                ValueSet::Boolean {
                    may_be_true: *p || *r,
                    may_be_false: *q && *s,
                }
            };
            return Some(Inferred {
                ty: Type::Boolean,
                values,
                depends_on_metrics: x.depends_on_metrics || y.depends_on_metrics,
            });
        }
        let (x, y) = (self.infer(a), self.infer(b));
        let (x, y) = (x?, y?);
        let depends_on_metrics = x.depends_on_metrics || y.depends_on_metrics;
        let ty = match op {
            Operator::Mul => Type::product(x.ty, y.ty),
            Operator::Div => Type::quotient(x.ty, y.ty),
            Operator::Add | Operator::Sub if x.ty.is_numeric() && x.ty == y.ty => Some(x.ty),
            Operator::Less | Operator::LessEqual | Operator::Greater | Operator::GreaterEqual
                if x.ty.is_numeric() && x.ty == y.ty =>
            {
                Some(Type::Boolean)
            }
            Operator::Equal | Operator::NotEqual if x.ty == y.ty => Some(Type::Boolean),
            _ => None,
        };
        let Some(ty) = ty else {
            let operation = match op {
                Operator::Add => "addition",
                Operator::Sub => "subtraction",
                Operator::Mul => "multiplication",
                Operator::Div => "division",
                _ => "comparison",
            };
            let help = if matches!(op, Operator::Mul | Operator::Div) {
                "one operand must be a number or a share, or both must have the same type"
                    .to_owned()
            } else {
                format!(
                    "both operands must have the same type, for example {}",
                    x.ty.example()
                )
            };
            self.report(
                span,
                format!("{operation} is not defined for {} and {}", x.ty, y.ty),
                help,
            );
            return None;
        };
        let values = match (x.values.bounds(), y.values.bounds()) {
            (Some(p), Some(q)) if ty != Type::Boolean => {
                self.infer_arithmetic(op, ty, p, q, b, span)?
            }
            (Some(p), Some(q)) => compare_ranges(op, p, q),
            _ => {
                let same = matches!((&x.values, &y.values), (ValueSet::Text(Some(p)), ValueSet::Text(Some(q))) if p == q);
                let known = matches!(
                    (&x.values, &y.values),
                    (ValueSet::Text(Some(_)), ValueSet::Text(Some(_)))
                );
                let may_be_true = !known || same == (op == Operator::Equal);
                ValueSet::Boolean {
                    may_be_true,
                    may_be_false: !known || !may_be_true,
                }
            }
        };
        Some(Inferred {
            ty,
            values,
            depends_on_metrics,
        })
    }

    /// Computes the bounds of `+`, `-`, `*` or `/` on the intervals `a..=b` and `c..=d`. Reports overflow and division by zero.
    fn infer_arithmetic(
        &mut self,
        op: Operator,
        ty: Type,
        (a, b): (f64, f64),
        (c, d): (f64, f64),
        right: &Expr,
        span: &Range<usize>,
    ) -> Option<ValueSet> {
        let bounds = match op {
            Operator::Add => [a + c, b + d, a + c, b + d],
            Operator::Sub => [a - d, b - c, a - d, b - c],
            Operator::Mul => [a * c, a * d, b * c, b * d],
            _ => {
                if c <= 0.0 && d >= 0.0 {
                    let message = if c == d {
                        "always divides by zero"
                    } else {
                        "may divide by zero"
                    };
                    let help =
                        "the divisor must never be zero: use `max(…, 1)` or `if … >= 1 then …`";
                    self.report_if_reachable(&right.span, message.into(), help.into());
                    return None;
                }
                [a / c, a / d, b / c, b / d]
            }
        };
        let low = bounds.iter().copied().fold(f64::INFINITY, f64::min);
        let high = bounds.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        if !(low >= -ty.max_magnitude() && high <= ty.max_magnitude()) {
            let max = format_value(ty, &Value::Number(ty.max_magnitude()));
            self.report_if_reachable(
                span,
                "possible overflow".into(),
                format!("a {ty} is at most {max}"),
            );
            return None;
        }
        Some(numbers(
            crate::value::round_to_unit(ty, low),
            crate::value::round_to_unit(ty, high),
        ))
    }

    fn infer_conditional(&mut self, c: &Expr, a: &Expr, b: &Expr) -> Option<Inferred> {
        let condition = self.infer_boolean(c);
        let (may_be_true, may_be_false) = match condition.as_ref().map(|k| &k.values) {
            Some(ValueSet::Boolean {
                may_be_true,
                may_be_false,
            }) => (*may_be_true, *may_be_false),
            _ => (true, true),
        };
        let x = self.infer_branch(c, true, may_be_true, a);
        let y = self.infer_branch(c, false, may_be_false, b);
        let (condition, x, y) = (condition?, x?, y?);
        if x.ty != y.ty {
            let message = format!("one branch is a {}, the other a {}", x.ty, y.ty);
            self.report(&b.span, message, format!("expected {}", x.ty.example()));
            return None;
        }
        let depends_on_metrics =
            condition.depends_on_metrics || x.depends_on_metrics || y.depends_on_metrics;
        let values = match (may_be_true, may_be_false) {
            (true, false) => x.values,
            (false, true) => y.values,
            _ => x.values.join(y.values),
        };
        Some(Inferred {
            ty: x.ty,
            values,
            depends_on_metrics,
        })
    }

    /// Infers the branch for `condition == holds`, with the bounds on names that this implies. `possible` is
    /// whether the branch can be reached.
    fn infer_branch(
        &mut self,
        condition: &Expr,
        holds: bool,
        possible: bool,
        e: &Expr,
    ) -> Option<Inferred> {
        let before = self.refinements.len();
        self.unreachable += usize::from(!possible);
        self.refine(condition, holds);
        let inferred = self.infer(e);
        self.unreachable -= usize::from(!possible);
        self.refinements.truncate(before);
        inferred
    }

    /// Adds the bounds on names that follow from `condition == holds`.
    fn refine(&mut self, condition: &Expr, holds: bool) {
        match &condition.kind {
            ExprKind::Not(a) => self.refine(a, !holds),
            ExprKind::Binary(Operator::And, a, b) if holds => {
                self.refine(a, true);
                self.refine(b, true);
            }
            ExprKind::Binary(Operator::Or, a, b) if !holds => {
                self.refine(a, false);
                self.refine(b, false);
            }
            ExprKind::Binary(op, a, b) => {
                let op = if holds {
                    Some(*op)
                } else {
                    negate_comparison(*op)
                };
                let Some(op) = op else { return };
                self.refine_name(a, op, b);
                self.refine_name(b, swap_operands(op), a);
            }
            _ => {}
        }
    }

    /// Adds the bounds on `a` that follow from the comparison `a op b`, if `a` is a name.
    fn refine_name(&mut self, a: &Expr, op: Operator, b: &Expr) {
        let ExprKind::Name(name) = &a.kind else {
            return;
        };
        // Errors in the other operand are reported when the condition itself is inferred.
        self.unreachable += 1;
        let bounds = self.infer(b).and_then(|k| k.values.bounds());
        self.unreachable -= 1;
        let Some((low, high)) = bounds else { return };
        let (low, high) = match op {
            Operator::Less => (f64::NEG_INFINITY, high.next_down()),
            Operator::LessEqual => (f64::NEG_INFINITY, high),
            Operator::Greater => (low.next_up(), f64::INFINITY),
            Operator::GreaterEqual => (low, f64::INFINITY),
            Operator::Equal => (low, high),
            _ => return,
        };
        self.refinements.push((name.clone(), low, high));
    }

    fn infer_call(&mut self, f: Function, args: &[Expr], span: &Range<usize>) -> Option<Inferred> {
        let inferred: Vec<Option<Inferred>> = args.iter().map(|a| self.infer(a)).collect();
        let inferred: Vec<Inferred> = inferred.into_iter().collect::<Option<_>>()?;
        if f == Function::Clamp && inferred.len() != 3 {
            self.report(
                span,
                format!("clamp takes 3 arguments, not {}", inferred.len()),
                "clamp(VALUE, MIN, MAX)",
            );
            return None;
        }
        let (ty, depends_on_metrics) = (
            inferred[0].ty,
            inferred.iter().any(|k| k.depends_on_metrics),
        );
        let mut bounds = Vec::new();
        for (k, e) in inferred.iter().zip(args) {
            match k.values.bounds() {
                Some(b) if k.ty == ty => bounds.push(b),
                _ => {
                    let help = format!(
                        "all arguments must have the same type, for example {}",
                        ty.example()
                    );
                    self.report(&e.span, format!("this is a {}", k.ty), help);
                    return None;
                }
            }
        }
        let fold = |f: fn(f64, f64) -> f64| {
            let first = bounds[0];
            bounds
                .iter()
                .skip(1)
                .fold(first, |s, e| (f(s.0, e.0), f(s.1, e.1)))
        };
        let (low, high) = match f {
            Function::Min => fold(f64::min),
            Function::Max => fold(f64::max),
            Function::Clamp => {
                let clamp = |x: f64, low: f64, high: f64| x.max(low).min(high);
                (
                    clamp(bounds[0].0, bounds[1].0, bounds[2].0),
                    clamp(bounds[0].1, bounds[1].1, bounds[2].1),
                )
            }
        };
        Some(Inferred {
            ty,
            values: numbers(low, high),
            depends_on_metrics,
        })
    }
}

/// Returns which results the comparison of values in `a..=b` and `c..=d` can have.
fn compare_ranges(op: Operator, (a, b): (f64, f64), (c, d): (f64, f64)) -> ValueSet {
    let (may_be_true, may_be_false) = match op {
        Operator::Less => (a < d, b >= c),
        Operator::LessEqual => (a <= d, b > c),
        Operator::Greater => (b > c, a <= d),
        Operator::GreaterEqual => (b >= c, a < d),
        Operator::Equal => (a <= d && c <= b, !(a == b && c == d && a == c)),
        _ => (!(a == b && c == d && a == c), a <= d && c <= b),
    };
    ValueSet::Boolean {
        may_be_true,
        may_be_false,
    }
}

/// Returns the operator for `not (a op b)`. Returns `None` if `op` is not a comparison.
fn negate_comparison(op: Operator) -> Option<Operator> {
    Some(match op {
        Operator::Less => Operator::GreaterEqual,
        Operator::LessEqual => Operator::Greater,
        Operator::Greater => Operator::LessEqual,
        Operator::GreaterEqual => Operator::Less,
        Operator::Equal => Operator::NotEqual,
        Operator::NotEqual => Operator::Equal,
        _ => return None,
    })
}

/// Returns the operator for which `b op a` equals the given comparison of `a` and `b`.
fn swap_operands(op: Operator) -> Operator {
    match op {
        Operator::Less => Operator::Greater,
        Operator::LessEqual => Operator::GreaterEqual,
        Operator::Greater => Operator::Less,
        Operator::GreaterEqual => Operator::LessEqual,
        other => other,
    }
}

/// Appends all names that an expression refers to.
fn collect_names(e: &Expr, out: &mut Vec<String>) {
    match &e.kind {
        ExprKind::Literal(..) => {}
        ExprKind::Name(n) => out.push(n.clone()),
        ExprKind::Negate(a) | ExprKind::Not(a) => collect_names(a, out),
        ExprKind::Binary(_, a, b) => {
            collect_names(a, out);
            collect_names(b, out);
        }
        ExprKind::If(a, b, c) => {
            collect_names(a, out);
            collect_names(b, out);
            collect_names(c, out);
        }
        ExprKind::Call(_, args) => args.iter().for_each(|a| collect_names(a, out)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn defaults_are_valid_and_every_setting_is_documented() {
        let policy = Policy::load("none", "").unwrap_or_else(|e| panic!("{e}"));
        assert!(policy.settings().len() > 20);
        for s in policy.settings() {
            assert!(
                s.description.len() > 10 && s.rationale.len() > 10,
                "{} has no description or rationale",
                s.name
            );
            assert!(
                s.range.is_some() || !s.ty.is_numeric(),
                "{} has no safe range",
                s.name
            );
        }
    }
}
