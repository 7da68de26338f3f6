//! The checker: types, names, cycles, and what values every setting can ever take.

use crate::diagnostic::Diagnostics;
use crate::syntax::{self, Expr, Function, Node, Op, Statement};
use crate::value::{Span, Type, Value, format_value};
use std::collections::BTreeMap;
use std::ops::Range;

/// The declarations and defaults, written in the language itself.
pub(crate) const DEFAULTS: &str = include_str!("defaults.policy");

/// A setting as the operators see it.
#[derive(Debug, Clone)]
pub struct Setting {
    pub name: String,
    pub ty: Type,
    /// It may depend on live figures.
    pub allows_metrics: bool,
    /// The safe range; settings without an order have none.
    pub range: Option<(f64, f64)>,
    /// The expression in force, and the default's.
    pub expression: String,
    pub default: String,
    /// The operators' file sets it.
    pub overridden: bool,
    /// What it does.
    pub description: String,
    /// Which range is safe, and why.
    pub rationale: String,
    /// All values that it can take, as text.
    pub possible_values: String,
}

impl Setting {
    /// The safe range as text; empty if there is none.
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
        live: bool,
        range: Option<(Expr, Expr)>,
        expr: Source,
    },
    Local {
        expr: Source,
    },
}

/// An expression, and whether it stands in the operators' file.
#[derive(Debug, Clone)]
pub(crate) struct Source {
    pub expr: Expr,
    pub ours: bool,
    /// Where the name stands that it is assigned to, in the operators' file.
    place: Range<usize>,
}

/// A live figure that settings may depend on.
#[derive(Debug, Clone)]
pub struct Metric {
    pub name: String,
    pub ty: Type,
    /// The range it is brought into; figures without an order have none.
    pub range: Option<(f64, f64)>,
    pub description: String,
}

/// A checked set of settings.
#[derive(Debug, Clone)]
pub struct Policy {
    settings: Vec<Setting>,
    metrics: Vec<Metric>,
    pub(crate) symbols: BTreeMap<String, Symbol>,
}

/// A type, all values, and whether live figures matter.
#[derive(Debug, Clone)]
struct Known {
    ty: Type,
    span: Span,
    live: bool,
}

struct Checker<'a> {
    symbols: &'a BTreeMap<String, Symbol>,
    diagnostics: Diagnostics,
    known: BTreeMap<String, Option<Known>>,
    /// Names being looked at, outermost first.
    path: Vec<String>,
    /// What conditions say about names inside their branches.
    refined: Vec<(String, f64, f64)>,
    /// In a branch that can't be reached: only types are checked.
    unreachable: usize,
    /// The expression being looked at is one of the built-in file, and here is what to blame.
    blame: Option<Range<usize>>,
}

impl Policy {
    /// The built-in defaults alone.
    pub fn defaults() -> Policy {
        // Tests check that the shipped file has no faults; a policy without settings would be
        // noticed at once by whoever reads one.
        Policy::load("defaults.policy", "").unwrap_or(Policy {
            settings: Vec::new(),
            metrics: Vec::new(),
            symbols: BTreeMap::new(),
        })
    }

    /// Checks an operators' file against the built-in declarations.
    ///
    /// # Errors
    /// All faults of the file, each with line, column and what was expected.
    pub fn load(file: &str, text: &str) -> Result<Policy, Diagnostics> {
        let mut shipped = Diagnostics::new("defaults.policy", DEFAULTS);
        let declared = syntax::read(DEFAULTS, true, &mut shipped);
        if !shipped.entries.is_empty() {
            return Err(shipped);
        }
        Policy::over(declared, DEFAULTS, file, text)
    }

    fn over(
        declared: Vec<Statement>,
        base: &str,
        file: &str,
        text: &str,
    ) -> Result<Policy, Diagnostics> {
        let mut diagnostics = Diagnostics::new(file, text);
        let mut symbols: BTreeMap<String, Symbol> = BTreeMap::new();
        let mut shown: Vec<Setting> = Vec::new();
        let mut metrics = Vec::new();
        for s in declared {
            match s {
                Statement::Metric {
                    name,
                    ty,
                    range,
                    description,
                } => {
                    let end = |e: &Expr| match &e.node {
                        Node::Literal(_, Value::Number(x)) => *x,
                        _ => 0.0,
                    };
                    let (low, high) = range.as_ref().map_or((0.0, 0.0), |(a, b)| (end(a), end(b)));
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
                    live,
                    range,
                    expr,
                    description,
                    rationale,
                } => {
                    let default = base[expr.at.clone()]
                        .split_whitespace()
                        .collect::<Vec<_>>()
                        .join(" ");
                    shown.push(Setting {
                        name: name.clone(),
                        ty,
                        allows_metrics: live,
                        range: None,
                        expression: default.clone(),
                        default,
                        overridden: false,
                        description,
                        rationale,
                        possible_values: String::new(),
                    });
                    let expr = Source {
                        expr,
                        ours: true,
                        place: 0..0,
                    };
                    symbols.insert(
                        name,
                        Symbol::Setting {
                            ty,
                            live,
                            range,
                            expr,
                        },
                    );
                }
                Statement::Assign { .. } => {}
            }
        }
        let mut seen: BTreeMap<String, usize> = BTreeMap::new();
        for s in syntax::read(text, false, &mut diagnostics) {
            let Statement::Assign {
                name,
                at,
                local,
                expr,
            } = s
            else {
                continue;
            };
            if let Some(line) = seen.get(&name) {
                diagnostics.add(
                    at,
                    format!("`{name}` is set twice"),
                    format!("first set in line {line}"),
                );
                continue;
            }
            seen.insert(name.clone(), text[..at.start].matches('\n').count() + 1);
            let source = Source {
                expr,
                ours: false,
                place: at.clone(),
            };
            match (symbols.get_mut(&name), local) {
                (None, true) => {
                    symbols.insert(name, Symbol::Local { expr: source });
                }
                (None, false) => {
                    let near = nearest(&name, shown.iter().map(|s| s.name.as_str()));
                    let hint = near.map_or("`let` makes a name of your own".into(), |n| {
                        format!("is `{n}` meant?")
                    });
                    diagnostics.add(at, format!("no setting is named `{name}`"), hint);
                }
                (Some(Symbol::Setting { expr, .. }), false) => {
                    if let Some(s) = shown.iter_mut().find(|s| s.name == name) {
                        s.expression = text[source.expr.at.clone()]
                            .split_whitespace()
                            .collect::<Vec<_>>()
                            .join(" ");
                        s.overridden = true;
                    }
                    *expr = source;
                }
                (Some(Symbol::Metric { .. }), false) => {
                    diagnostics.add(
                        at,
                        format!("`{name}` is a live figure"),
                        "figures are measured, not set",
                    );
                }
                (Some(_), true) => {
                    diagnostics.add(
                        at,
                        format!("`{name}` is taken"),
                        "another name: this one is a setting or figure",
                    );
                }
                (Some(Symbol::Local { .. }), false) => {}
            }
        }
        let mut checker = Checker {
            symbols: &symbols,
            diagnostics,
            known: BTreeMap::new(),
            path: Vec::new(),
            refined: Vec::new(),
            unreachable: 0,
            blame: None,
        };
        for name in symbols.keys() {
            checker.name(name, None);
        }
        for setting in &mut shown {
            checker.range(setting);
        }
        let diagnostics = checker.diagnostics.sorted();
        if diagnostics.entries.is_empty() {
            Ok(Policy {
                settings: shown,
                metrics,
                symbols,
            })
        } else {
            Err(diagnostics)
        }
    }

    /// The live figures that settings may depend on.
    pub fn metrics(&self) -> &[Metric] {
        &self.metrics
    }

    /// All settings, in the order of their declarations.
    pub fn settings(&self) -> &[Setting] {
        &self.settings
    }
}

/// The name that is most like this one, if one is alike enough.
fn nearest<'a>(name: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names
        .map(|n| (distance(name, n), n))
        .filter(|(d, n)| *d <= (n.len() / 3).max(1))
        .min_by_key(|(d, _)| *d)
        .map(|(_, n)| n)
}

/// How many letters must be added, removed or changed to make one word the other.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let change = corner + usize::from(x != *y);
            corner = row[j + 1];
            row[j + 1] = change.min(row[j] + 1).min(corner + 1);
        }
    }
    row[b.len()]
}

fn number(low: f64, high: f64) -> Span {
    Span::Number { low, high }
}

impl Checker<'_> {
    fn fault(
        &mut self,
        at: &Range<usize>,
        message: impl Into<String>,
        expected: impl Into<String>,
    ) {
        let (at, mut message) = (self.blame.clone().unwrap_or(at.clone()), message.into());
        if self.blame.is_some() {
            let by = self.path.first().cloned().unwrap_or_default();
            message = format!("this does not go with the default of `{by}`: {message}");
        }
        self.diagnostics.add(at, message, expected);
    }

    /// A fault of values, not of types: none where no value gets.
    fn fault_of_value(&mut self, at: &Range<usize>, message: String, expected: String) {
        if self.unreachable == 0 {
            self.fault(at, message, expected);
        }
    }

    /// What is known of a name; `at`: where it is used.
    fn name(&mut self, name: &str, at: Option<&Range<usize>>) -> Option<Known> {
        if let Some(known) = self.known.get(name) {
            return known.clone();
        }
        let symbols = self.symbols;
        let Some(symbol) = symbols.get(name) else {
            let near = nearest(name, symbols.keys().map(String::as_str));
            let hint = near.map_or(
                "a setting, a live figure, or a name of this file".into(),
                |n| format!("is `{n}` meant?"),
            );
            if let Some(at) = at {
                self.fault(at, format!("nothing is named `{name}`"), hint);
            }
            return None;
        };
        if let Some(first) = self.path.iter().position(|p| p == name) {
            let mut names = self.path[first..].to_vec();
            names.push(name.to_owned());
            let at = self.place_of_cycle(&names).or(at.cloned()).unwrap_or(0..0);
            self.blame = None;
            self.fault(
                &at,
                format!("`{name}` depends on itself"),
                names.join(" → "),
            );
            return None;
        }
        let (expr, want, live_allowed) = match symbol {
            Symbol::Metric { ty, low, high } => {
                let span = if *ty == Type::Boolean {
                    Span::Boolean {
                        yes: true,
                        no: true,
                    }
                } else {
                    number(*low, *high)
                };
                let known = Some(Known {
                    ty: *ty,
                    span,
                    live: true,
                });
                self.known.insert(name.to_owned(), known.clone());
                return known;
            }
            Symbol::Setting { ty, live, expr, .. } => (expr, Some(*ty), *live),
            Symbol::Local { expr } => (expr, None, true),
        };
        self.path.push(name.to_owned());
        let refined = std::mem::take(&mut self.refined);
        let unreachable = std::mem::take(&mut self.unreachable);
        let blame = self.blame.take();
        if expr.ours {
            self.blame = self.overridden_below(name, &mut Vec::new());
        }
        let mut known = self.infer(&expr.expr);
        if let (Some(k), Some(want)) = (&known, want) {
            if k.ty != want {
                let message = format!("`{name}` is a {want}, this is a {}", k.ty);
                self.fault(
                    &expr.expr.at,
                    message,
                    format!("expected {}", want.example()),
                );
                known = None;
            } else if k.live && !live_allowed {
                let message = format!("`{name}` can't depend on live figures");
                self.fault(
                    &expr.expr.at,
                    message,
                    "an expression of settings and constants",
                );
                known = None;
            }
        }
        self.blame = blame;
        self.refined = refined;
        self.unreachable = unreachable;
        self.path.pop();
        self.known.insert(name.to_owned(), known.clone());
        known
    }

    /// A member of a cycle that stands in the operators' file.
    fn place_of_cycle(&self, names: &[String]) -> Option<Range<usize>> {
        names.iter().find_map(|n| match self.symbols.get(n) {
            Some(Symbol::Setting { expr, .. } | Symbol::Local { expr }) if !expr.ours => {
                Some(expr.place.clone())
            }
            _ => None,
        })
    }

    /// Where the operators' file sets something on which a built-in default depends.
    fn overridden_below(&self, name: &str, seen: &mut Vec<String>) -> Option<Range<usize>> {
        if seen.iter().any(|s| s == name) {
            return None;
        }
        seen.push(name.to_owned());
        let (expr, range) = match self.symbols.get(name)? {
            Symbol::Setting { expr, range, .. } => (expr, range.as_ref()),
            Symbol::Local { expr } => (expr, None),
            Symbol::Metric { .. } => return None,
        };
        if !expr.ours {
            return Some(expr.place.clone());
        }
        let mut names = Vec::new();
        names_in(&expr.expr, &mut names);
        if let Some((a, b)) = range {
            names_in(a, &mut names);
            names_in(b, &mut names);
        }
        names.iter().find_map(|n| self.overridden_below(n, seen))
    }

    /// The setting's values stay within its safe range.
    fn range(&mut self, setting: &mut Setting) {
        let symbols = self.symbols;
        let Some(Symbol::Setting {
            ty, range, expr, ..
        }) = symbols.get(&setting.name)
        else {
            return;
        };
        let known = self.known.get(&setting.name).cloned().flatten();
        let text = |x: f64| format_value(*ty, &Value::Number(x));
        if let Some(k) = &known {
            setting.possible_values = match &k.span {
                Span::Number { low, high } if low == high => text(*low),
                Span::Number { low, high } => format!("{} .. {}", text(*low), text(*high)),
                Span::Boolean {
                    yes: true,
                    no: true,
                } => "true or false".into(),
                Span::Boolean { yes, .. } => yes.to_string(),
                Span::Text(t) => t.clone().map_or("any text".into(), |t| format!("\"{t}\"")),
            };
        }
        let Some((low, high)) = range else { return };
        self.path.push(setting.name.clone());
        self.blame = self.overridden_below(&setting.name, &mut Vec::new());
        let ends = (self.infer(low), self.infer(high));
        self.path.pop();
        let blame = self.blame.take();
        let (Some(low), Some(high)) = ends else {
            return;
        };
        let (Some((_, low)), Some((high, _))) = (low.span.bounds(), high.span.bounds()) else {
            return;
        };
        setting.range = Some((low, high));
        let Some((least, most)) = known.and_then(|k| k.span.bounds()) else {
            return;
        };
        if least < low || most > high {
            let name = &setting.name;
            let value = if least == most {
                format!("`{name}` would be {}", text(least))
            } else {
                format!(
                    "`{name}` could be anything from {} to {}",
                    text(least),
                    text(most)
                )
            };
            let expected = format!(
                "its safe range is {} to {}: {}",
                text(low),
                text(high),
                setting.rationale
            );
            let (at, message) = if expr.ours {
                (
                    blame.unwrap_or(0..0),
                    format!("this does not go with the default of `{name}`: {value}"),
                )
            } else {
                (expr.expr.at.clone(), value)
            };
            self.diagnostics.add(at, message, expected);
        }
    }

    fn infer(&mut self, e: &Expr) -> Option<Known> {
        match &e.node {
            Node::Literal(ty, value) => {
                if let Value::Number(x) = value
                    && x.abs() > ty.most()
                {
                    self.fault(
                        &e.at,
                        "too large",
                        format!("at most {}", format_value(*ty, &Value::Number(ty.most()))),
                    );
                    return None;
                }
                Some(Known {
                    ty: *ty,
                    span: Span::of(value),
                    live: false,
                })
            }
            Node::Name(name) => {
                let mut known = self.name(name, Some(&e.at))?;
                for (_, low, high) in self.refined.iter().filter(|(n, ..)| n == name) {
                    if let Span::Number { low: a, high: b } = &mut known.span {
                        (*a, *b) = (a.max(*low), b.min(*high));
                    }
                }
                Some(known)
            }
            Node::Negative(a) => {
                let known = self.infer(a)?;
                let Some((low, high)) = known.span.bounds() else {
                    self.fault(
                        &a.at,
                        format!("a {} has no negative", known.ty),
                        "a number, duration, share or money",
                    );
                    return None;
                };
                Some(Known {
                    span: number(-high, -low),
                    ..known
                })
            }
            Node::Not(a) => {
                let known = self.boolean(a)?;
                let Span::Boolean { yes, no } = known.span else {
                    return None;
                };
                Some(Known {
                    span: Span::Boolean { yes: no, no: yes },
                    ..known
                })
            }
            Node::Binary(op, a, b) => self.binary(*op, a, b, &e.at),
            Node::If(c, a, b) => self.conditional(c, a, b),
            Node::Call(f, args) => self.call(*f, args, &e.at),
        }
    }

    fn boolean(&mut self, e: &Expr) -> Option<Known> {
        let known = self.infer(e)?;
        if known.ty != Type::Boolean {
            self.fault(
                &e.at,
                format!("this is a {}", known.ty),
                "expected true or false, or a comparison",
            );
            return None;
        }
        Some(known)
    }

    fn binary(&mut self, op: Op, a: &Expr, b: &Expr, at: &Range<usize>) -> Option<Known> {
        if matches!(op, Op::And | Op::Or) {
            let (x, y) = (self.boolean(a), self.boolean(b));
            let (x, y) = (x?, y?);
            let (Span::Boolean { yes: p, no: q }, Span::Boolean { yes: r, no: s }) =
                (&x.span, &y.span)
            else {
                return None;
            };
            let span = if op == Op::And {
                Span::Boolean {
                    yes: *p && *r,
                    no: *q || *s,
                }
            } else {
                Span::Boolean {
                    yes: *p || *r,
                    no: *q && *s,
                }
            };
            return Some(Known {
                ty: Type::Boolean,
                span,
                live: x.live || y.live,
            });
        }
        let (x, y) = (self.infer(a), self.infer(b));
        let (x, y) = (x?, y?);
        let live = x.live || y.live;
        let ty = match op {
            Op::Mul => Type::product(x.ty, y.ty),
            Op::Div => Type::quotient(x.ty, y.ty),
            Op::Add | Op::Sub if x.ty.is_numeric() && x.ty == y.ty => Some(x.ty),
            Op::Less | Op::LessEqual | Op::Greater | Op::GreaterEqual
                if x.ty.is_numeric() && x.ty == y.ty =>
            {
                Some(Type::Boolean)
            }
            Op::Equal | Op::NotEqual if x.ty == y.ty => Some(Type::Boolean),
            _ => None,
        };
        let Some(ty) = ty else {
            let word = match op {
                Op::Add => "added to",
                Op::Sub => "less",
                Op::Mul => "times",
                Op::Div => "divided by",
                _ => "compared with",
            };
            let expected = if matches!(op, Op::Mul | Op::Div) {
                "one side must be a number or a share, or both of one unit".to_owned()
            } else {
                format!("both sides must be of one unit, such as {}", x.ty.example())
            };
            self.fault(
                at,
                format!("a {} {word} a {} has no meaning", x.ty, y.ty),
                expected,
            );
            return None;
        };
        let span = match (x.span.bounds(), y.span.bounds()) {
            (Some(p), Some(q)) if ty != Type::Boolean => self.arithmetic(op, ty, p, q, b, at)?,
            (Some(p), Some(q)) => compare(op, p, q),
            _ => {
                let same = matches!((&x.span, &y.span), (Span::Text(Some(p)), Span::Text(Some(q))) if p == q);
                let sure = matches!(
                    (&x.span, &y.span),
                    (Span::Text(Some(_)), Span::Text(Some(_)))
                );
                let yes = !sure || same == (op == Op::Equal);
                Span::Boolean {
                    yes,
                    no: !sure || !yes,
                }
            }
        };
        Some(Known { ty, span, live })
    }

    fn arithmetic(
        &mut self,
        op: Op,
        ty: Type,
        (a, b): (f64, f64),
        (c, d): (f64, f64),
        right: &Expr,
        at: &Range<usize>,
    ) -> Option<Span> {
        let corners = match op {
            Op::Add => [a + c, b + d, a + c, b + d],
            Op::Sub => [a - d, b - c, a - d, b - c],
            Op::Mul => [a * c, a * d, b * c, b * d],
            _ => {
                if c <= 0.0 && d >= 0.0 {
                    let what = if c == d {
                        "this divides by zero"
                    } else {
                        "this may divide by zero"
                    };
                    let hint = "a divisor that is never zero; `max(…, 1)` or `if … >= 1 then …` sees to that";
                    self.fault_of_value(&right.at, what.into(), hint.into());
                    return None;
                }
                [a / c, a / d, b / c, b / d]
            }
        };
        let low = corners.iter().copied().fold(f64::INFINITY, f64::min);
        let high = corners.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        if !(low >= -ty.most() && high <= ty.most()) {
            let most = format_value(ty, &Value::Number(ty.most()));
            self.fault_of_value(
                at,
                "this can overflow".into(),
                format!("a {ty} can be {most} at the most"),
            );
            return None;
        }
        Some(number(
            crate::value::whole(ty, low),
            crate::value::whole(ty, high),
        ))
    }

    fn conditional(&mut self, c: &Expr, a: &Expr, b: &Expr) -> Option<Known> {
        let condition = self.boolean(c);
        let (yes, no) = match condition.as_ref().map(|k| &k.span) {
            Some(Span::Boolean { yes, no }) => (*yes, *no),
            _ => (true, true),
        };
        let x = self.branch(c, true, yes, a);
        let y = self.branch(c, false, no, b);
        let (condition, x, y) = (condition?, x?, y?);
        if x.ty != y.ty {
            let message = format!("one branch is a {}, the other a {}", x.ty, y.ty);
            self.fault(&b.at, message, format!("expected {}", x.ty.example()));
            return None;
        }
        let live = condition.live || x.live || y.live;
        let span = match (yes, no) {
            (true, false) => x.span,
            (false, true) => y.span,
            _ => x.span.join(y.span),
        };
        Some(Known {
            ty: x.ty,
            span,
            live,
        })
    }

    /// A branch, with what its condition says about names.
    fn branch(&mut self, condition: &Expr, holds: bool, possible: bool, e: &Expr) -> Option<Known> {
        let before = self.refined.len();
        self.unreachable += usize::from(!possible);
        self.refine(condition, holds);
        let known = self.infer(e);
        self.unreachable -= usize::from(!possible);
        self.refined.truncate(before);
        known
    }

    fn refine(&mut self, condition: &Expr, holds: bool) {
        match &condition.node {
            Node::Not(a) => self.refine(a, !holds),
            Node::Binary(Op::And, a, b) if holds => {
                self.refine(a, true);
                self.refine(b, true);
            }
            Node::Binary(Op::Or, a, b) if !holds => {
                self.refine(a, false);
                self.refine(b, false);
            }
            Node::Binary(op, a, b) => {
                let op = if holds { Some(*op) } else { negated(*op) };
                let Some(op) = op else { return };
                self.refine_by(a, op, b);
                self.refine_by(b, mirrored(op), a);
            }
            _ => {}
        }
    }

    fn refine_by(&mut self, a: &Expr, op: Op, b: &Expr) {
        let Node::Name(name) = &a.node else { return };
        // What is wrong with the other side was said when the condition itself was looked at.
        self.unreachable += 1;
        let bounds = self.infer(b).and_then(|k| k.span.bounds());
        self.unreachable -= 1;
        let Some((low, high)) = bounds else { return };
        let (low, high) = match op {
            Op::Less => (f64::NEG_INFINITY, high.next_down()),
            Op::LessEqual => (f64::NEG_INFINITY, high),
            Op::Greater => (low.next_up(), f64::INFINITY),
            Op::GreaterEqual => (low, f64::INFINITY),
            Op::Equal => (low, high),
            _ => return,
        };
        self.refined.push((name.clone(), low, high));
    }

    fn call(&mut self, f: Function, args: &[Expr], at: &Range<usize>) -> Option<Known> {
        let known: Vec<Option<Known>> = args.iter().map(|a| self.infer(a)).collect();
        let known: Vec<Known> = known.into_iter().collect::<Option<_>>()?;
        if f == Function::Clamp && known.len() != 3 {
            self.fault(
                at,
                format!("clamp takes 3 values, not {}", known.len()),
                "clamp(VALUE, LEAST, MOST)",
            );
            return None;
        }
        let (ty, live) = (known[0].ty, known.iter().any(|k| k.live));
        let mut ends = Vec::new();
        for (k, e) in known.iter().zip(args) {
            match k.span.bounds() {
                Some(b) if k.ty == ty => ends.push(b),
                _ => {
                    let expected =
                        format!("all values must be of one unit, such as {}", ty.example());
                    self.fault(&e.at, format!("this is a {}", k.ty), expected);
                    return None;
                }
            }
        }
        let fold = |f: fn(f64, f64) -> f64| {
            let first = ends[0];
            ends.iter()
                .skip(1)
                .fold(first, |s, e| (f(s.0, e.0), f(s.1, e.1)))
        };
        let (low, high) = match f {
            Function::Min => fold(f64::min),
            Function::Max => fold(f64::max),
            Function::Clamp => {
                let clamp = |x: f64, low: f64, high: f64| x.max(low).min(high);
                (
                    clamp(ends[0].0, ends[1].0, ends[2].0),
                    clamp(ends[0].1, ends[1].1, ends[2].1),
                )
            }
        };
        Some(Known {
            ty,
            span: number(low, high),
            live,
        })
    }
}

fn compare(op: Op, (a, b): (f64, f64), (c, d): (f64, f64)) -> Span {
    let (yes, no) = match op {
        Op::Less => (a < d, b >= c),
        Op::LessEqual => (a <= d, b > c),
        Op::Greater => (b > c, a <= d),
        Op::GreaterEqual => (b >= c, a < d),
        Op::Equal => (a <= d && c <= b, !(a == b && c == d && a == c)),
        _ => (!(a == b && c == d && a == c), a <= d && c <= b),
    };
    Span::Boolean { yes, no }
}

fn negated(op: Op) -> Option<Op> {
    Some(match op {
        Op::Less => Op::GreaterEqual,
        Op::LessEqual => Op::Greater,
        Op::Greater => Op::LessEqual,
        Op::GreaterEqual => Op::Less,
        Op::Equal => Op::NotEqual,
        Op::NotEqual => Op::Equal,
        _ => return None,
    })
}

fn mirrored(op: Op) -> Op {
    match op {
        Op::Less => Op::Greater,
        Op::LessEqual => Op::GreaterEqual,
        Op::Greater => Op::Less,
        Op::GreaterEqual => Op::LessEqual,
        other => other,
    }
}

fn names_in(e: &Expr, out: &mut Vec<String>) {
    match &e.node {
        Node::Literal(..) => {}
        Node::Name(n) => out.push(n.clone()),
        Node::Negative(a) | Node::Not(a) => names_in(a, out),
        Node::Binary(_, a, b) => {
            names_in(a, out);
            names_in(b, out);
        }
        Node::If(a, b, c) => {
            names_in(a, out);
            names_in(b, out);
            names_in(c, out);
        }
        Node::Call(_, args) => args.iter().for_each(|a| names_in(a, out)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn defaults_have_no_faults_and_every_setting_says_why_its_range_is_safe() {
        let policy = Policy::load("none", "").unwrap_or_else(|e| panic!("{e}"));
        assert!(policy.settings().len() > 20);
        for s in policy.settings() {
            assert!(
                s.description.len() > 10 && s.rationale.len() > 10,
                "{} lacks words",
                s.name
            );
            assert!(
                s.range.is_some() || !s.ty.is_numeric(),
                "{} lacks a range",
                s.name
            );
        }
    }
}
