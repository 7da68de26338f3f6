//! A workflow as a picture: DOT for other tools, SVG to look at.

use crate::model::{Kind, Process, Step};
use std::collections::BTreeMap;
use std::fmt::Write;
use svg::node::element::{Path, Rectangle, Text, Title};

/// A node of the picture.
struct Dot {
    name: String,
    label: String,
    what: What,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum What {
    Input,
    Step,
    Output,
}

/// Nodes, and arrows by their places.
struct Picture {
    dots: Vec<Dot>,
    arrows: Vec<(usize, usize, String)>,
}

/// Steps of a workflow, or the one tool; steps of workflows inside of it come with their paths.
fn picture(process: &Process) -> Picture {
    let mut p = Picture {
        dots: Vec::new(),
        arrows: Vec::new(),
    };
    let mut known: BTreeMap<String, usize> = BTreeMap::new();
    for i in &process.inputs {
        known.insert(
            i.id.clone(),
            p.add(&i.id, format!("{}: {}", i.id, i.ty), What::Input),
        );
    }
    if let Kind::Workflow(steps) = &process.kind {
        let nodes: Vec<usize> = steps
            .iter()
            .map(|s| p.add(&s.id, label(s), What::Step))
            .collect();
        for (s, n) in steps.iter().zip(&nodes) {
            for o in &s.outputs {
                known.insert(format!("{}/{o}", s.id), *n);
            }
        }
        for (s, n) in steps.iter().zip(&nodes) {
            for i in &s.inputs {
                for source in &i.source.from {
                    if let Some(from) = known.get(&source.text) {
                        p.arrows.push((*from, *n, i.id.clone()));
                    }
                }
            }
        }
    } else {
        let name = if process.id.is_empty() {
            "tool"
        } else {
            &process.id
        };
        let n = p.add(name, format!("{name}\n{}", process.class()), What::Step);
        p.arrows
            .extend(known.values().map(|i| (*i, n, String::new())));
        known.extend(process.outputs.iter().map(|o| (format!("out/{}", o.id), n)));
    }
    for o in &process.outputs {
        let n = p.add(
            &format!("out:{}", o.id),
            format!("{}: {}", o.id, o.ty),
            What::Output,
        );
        let own = [format!("out/{}", o.id)];
        let sources: Vec<&String> = o.source.from.iter().map(|t| &t.text).collect();
        for s in if sources.is_empty() {
            own.iter().collect()
        } else {
            sources
        } {
            if let Some(from) = known.get(s) {
                p.arrows.push((*from, n, String::new()));
            }
        }
    }
    p
}

fn label(s: &Step) -> String {
    let mut out = s.id.clone();
    if !s.scatter.is_empty() {
        let over: Vec<&str> = s.scatter.iter().map(|t| t.text.as_str()).collect();
        let _ = write!(out, "\nscatter {}", over.join(", "));
    }
    if s.when.is_some() {
        out += "\nwhen";
    }
    if let Kind::Workflow(steps) = &s.run.kind {
        let _ = write!(out, "\n{} steps", steps.len());
    }
    out
}

impl Picture {
    fn add(&mut self, name: &str, label: String, what: What) -> usize {
        self.dots.push(Dot {
            name: name.to_owned(),
            label,
            what,
        });
        self.dots.len() - 1
    }

    /// Each node's row: one below the lowest that it needs. A circle ends at as many rows as nodes.
    fn rows(&self) -> Vec<usize> {
        let mut rows = vec![0; self.dots.len()];
        for _ in 0..self.dots.len() {
            let mut moved = false;
            for (a, b, _) in &self.arrows {
                if rows[*b] <= rows[*a] && rows[*a] < self.dots.len() {
                    rows[*b] = rows[*a] + 1;
                    moved = true;
                }
            }
            if !moved {
                break;
            }
        }
        rows
    }
}

/// The workflow in Graphviz's language.
pub fn dot(process: &Process) -> String {
    let p = picture(process);
    let quoted = |s: &str| {
        format!(
            "\"{}\"",
            s.replace('\\', "\\\\")
                .replace('"', "\\\"")
                .replace('\n', "\\n")
        )
    };
    let mut out = String::from("digraph workflow {\n  node [shape=box];\n");
    for d in &p.dots {
        let look = match d.what {
            What::Input => ", style=filled, fillcolor=\"#d5e8f7\"",
            What::Step => ", style=filled, fillcolor=\"#fff4cc\"",
            What::Output => ", style=filled, fillcolor=\"#d9f0d9\"",
        };
        let _ = writeln!(
            out,
            "  {} [label={}{look}];",
            quoted(&d.name),
            quoted(&d.label)
        );
    }
    for (a, b, label) in &p.arrows {
        let (a, b) = (quoted(&p.dots[*a].name), quoted(&p.dots[*b].name));
        let label = if label.is_empty() {
            String::new()
        } else {
            format!(" [label={}]", quoted(label))
        };
        let _ = writeln!(out, "  {a} -> {b}{label};");
    }
    out + "}\n"
}

const WIDTH: usize = 190;
const HEIGHT: usize = 58;
const ROW: usize = 110;
const COLUMN: usize = 220;

/// The workflow as an SVG picture: rows from inputs down to outputs.
pub fn svg(process: &Process) -> String {
    let p = picture(process);
    let rows = p.rows();
    let mut filled: BTreeMap<usize, usize> = BTreeMap::new();
    let places: Vec<(usize, usize)> = rows
        .iter()
        .map(|r| {
            let n = filled.entry(*r).or_default();
            *n += 1;
            (20 + (*n - 1) * COLUMN, 20 + r * ROW)
        })
        .collect();
    let columns = filled.values().copied().max().unwrap_or(1);
    let (w, h) = (
        40 + columns * COLUMN,
        40 + (filled.keys().last().unwrap_or(&0) + 1) * ROW,
    );
    let mut doc = svg::Document::new()
        .set("viewBox", (0, 0, w, h))
        .set("width", w)
        .set("height", h)
        .set("font-family", "sans-serif")
        .set("font-size", 12)
        .add(Title::new(if process.id.is_empty() {
            "workflow"
        } else {
            &process.id
        }))
        .add(
            Rectangle::new()
                .set("width", w)
                .set("height", h)
                .set("fill", "white"),
        );
    for (a, b, _) in &p.arrows {
        let (x1, y1) = (places[*a].0 + WIDTH / 2, places[*a].1 + HEIGHT);
        let (x2, y2) = (places[*b].0 + WIDTH / 2, places[*b].1);
        let curve = format!(
            "M{x1},{y1} C{x1},{} {x2},{} {x2},{y2}",
            y1 + 30,
            y2.saturating_sub(30)
        );
        doc = doc.add(
            Path::new()
                .set("d", curve)
                .set("fill", "none")
                .set("stroke", "#777777"),
        );
        let tip = format!("M{},{} L{x2},{y2} L{},{} Z", x2 - 4, y2 - 8, x2 + 4, y2 - 8);
        doc = doc.add(Path::new().set("d", tip).set("fill", "#777777"));
    }
    for (d, (x, y)) in p.dots.iter().zip(&places) {
        let fill = match d.what {
            What::Input => "#d5e8f7",
            What::Step => "#fff4cc",
            What::Output => "#d9f0d9",
        };
        let shape = Rectangle::new()
            .set("x", *x)
            .set("y", *y)
            .set("width", WIDTH)
            .set("height", HEIGHT);
        doc = doc.add(
            shape
                .set("rx", 6)
                .set("fill", fill)
                .set("stroke", "#555555"),
        );
        for (i, line) in d.label.lines().take(3).enumerate() {
            let text: String = if line.chars().count() > 28 {
                line.chars().take(27).chain(['…']).collect()
            } else {
                line.to_owned()
            };
            let at = Text::new(text)
                .set("x", x + WIDTH / 2)
                .set("y", y + 20 + i * 15);
            doc = doc.add(at.set("text-anchor", "middle"));
        }
    }
    format!("{doc}\n")
}
