//! Renders a workflow as DOT for Graphviz or as SVG.

use crate::model::{Kind, Process, Step};
use std::collections::BTreeMap;
use std::fmt::Write;
use svg::node::element::{Path, Rectangle, Text, Title};

/// A node of the graph.
struct GraphNode {
    name: String,
    label: String,
    kind: NodeKind,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum NodeKind {
    Input,
    Step,
    Output,
}

/// A graph whose edges are `(from, to, label)`, with indices into `nodes`.
struct Graph {
    nodes: Vec<GraphNode>,
    edges: Vec<(usize, usize, String)>,
}

/// Builds the graph of a workflow's top-level steps, or of a single tool.
fn build_graph(process: &Process) -> Graph {
    let mut p = Graph {
        nodes: Vec::new(),
        edges: Vec::new(),
    };
    let mut nodes_by_source: BTreeMap<String, usize> = BTreeMap::new();
    for i in &process.inputs {
        nodes_by_source.insert(
            i.id.clone(),
            p.add(&i.id, format!("{}: {}", i.id, i.ty), NodeKind::Input),
        );
    }
    if let Kind::Workflow(steps) = &process.kind {
        let nodes: Vec<usize> = steps
            .iter()
            .map(|s| p.add(&s.id, label(s), NodeKind::Step))
            .collect();
        for (s, n) in steps.iter().zip(&nodes) {
            for o in &s.outputs {
                nodes_by_source.insert(format!("{}/{o}", s.id), *n);
            }
        }
        for (s, n) in steps.iter().zip(&nodes) {
            for i in &s.inputs {
                for source in &i.source.from {
                    if let Some(from) = nodes_by_source.get(&source.text) {
                        p.edges.push((*from, *n, i.id.clone()));
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
        let n = p.add(name, format!("{name}\n{}", process.class()), NodeKind::Step);
        p.edges
            .extend(nodes_by_source.values().map(|i| (*i, n, String::new())));
        nodes_by_source.extend(process.outputs.iter().map(|o| (format!("out/{}", o.id), n)));
    }
    for o in &process.outputs {
        let n = p.add(
            &format!("out:{}", o.id),
            format!("{}: {}", o.id, o.ty),
            NodeKind::Output,
        );
        let own = [format!("out/{}", o.id)];
        let sources: Vec<&String> = o.source.from.iter().map(|t| &t.text).collect();
        for s in if sources.is_empty() {
            own.iter().collect()
        } else {
            sources
        } {
            if let Some(from) = nodes_by_source.get(s) {
                p.edges.push((*from, n, String::new()));
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

impl Graph {
    fn add(&mut self, name: &str, label: String, kind: NodeKind) -> usize {
        self.nodes.push(GraphNode {
            name: name.to_owned(),
            label,
            kind,
        });
        self.nodes.len() - 1
    }

    /// Returns the row of each node: one below the lowest of its predecessors. The number of passes and rows
    /// is bounded by the number of nodes, so that a cycle terminates.
    fn rows(&self) -> Vec<usize> {
        let mut rows = vec![0; self.nodes.len()];
        for _ in 0..self.nodes.len() {
            let mut moved = false;
            for (a, b, _) in &self.edges {
                if rows[*b] <= rows[*a] && rows[*a] < self.nodes.len() {
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

/// Renders the workflow in the DOT language.
pub fn dot(process: &Process) -> String {
    let p = build_graph(process);
    let quoted = |s: &str| {
        format!(
            "\"{}\"",
            s.replace('\\', "\\\\")
                .replace('"', "\\\"")
                .replace('\n', "\\n")
        )
    };
    let mut out = String::from("digraph workflow {\n  node [shape=box];\n");
    for d in &p.nodes {
        let style = match d.kind {
            NodeKind::Input => ", style=filled, fillcolor=\"#d5e8f7\"",
            NodeKind::Step => ", style=filled, fillcolor=\"#fff4cc\"",
            NodeKind::Output => ", style=filled, fillcolor=\"#d9f0d9\"",
        };
        let _ = writeln!(
            out,
            "  {} [label={}{style}];",
            quoted(&d.name),
            quoted(&d.label)
        );
    }
    for (a, b, label) in &p.edges {
        let (a, b) = (quoted(&p.nodes[*a].name), quoted(&p.nodes[*b].name));
        let label = if label.is_empty() {
            String::new()
        } else {
            format!(" [label={}]", quoted(label))
        };
        let _ = writeln!(out, "  {a} -> {b}{label};");
    }
    out + "}\n"
}

/// Node size and grid spacing of the SVG image, in pixels.
const WIDTH: usize = 190;
const HEIGHT: usize = 58;
const ROW: usize = 110;
const COLUMN: usize = 220;

/// Renders the workflow as an SVG image, with inputs at the top and outputs at the bottom.
pub fn svg(process: &Process) -> String {
    let p = build_graph(process);
    let rows = p.rows();
    let mut filled: BTreeMap<usize, usize> = BTreeMap::new();
    let positions: Vec<(usize, usize)> = rows
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
    for (a, b, _) in &p.edges {
        let (x1, y1) = (positions[*a].0 + WIDTH / 2, positions[*a].1 + HEIGHT);
        let (x2, y2) = (positions[*b].0 + WIDTH / 2, positions[*b].1);
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
        let arrowhead = format!("M{},{} L{x2},{y2} L{},{} Z", x2 - 4, y2 - 8, x2 + 4, y2 - 8);
        doc = doc.add(Path::new().set("d", arrowhead).set("fill", "#777777"));
    }
    for (d, (x, y)) in p.nodes.iter().zip(&positions) {
        let fill = match d.kind {
            NodeKind::Input => "#d5e8f7",
            NodeKind::Step => "#fff4cc",
            NodeKind::Output => "#d9f0d9",
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
            let element = Text::new(text)
                .set("x", x + WIDTH / 2)
                .set("y", y + 20 + i * 15);
            doc = doc.add(element.set("text-anchor", "middle"));
        }
    }
    format!("{doc}\n")
}
