//! Parses YAML 1.2 and JSON into a tree of nodes with source positions.
//!
//! A document is limited to [`MAX_BYTES`], [`MAX_NODES`] after expanding aliases, and [`MAX_DEPTH`] levels of
//! nesting. A document that exceeds a limit is reported as an error.

use crate::diagnostic::{Diagnostics, Pos};
use saphyr_parser::{Event, Parser, ScalarStyle, Span};
use serde_json::Value;
use std::collections::HashMap;

pub const MAX_BYTES: usize = 4 << 20;
pub const MAX_NODES: usize = 400_000;
pub const MAX_DEPTH: usize = 64;

/// A node and the position where it begins.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    pub pos: Pos,
    pub data: Data,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Data {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Str(String),
    Seq(Vec<Node>),
    Map(Vec<Entry>),
}

/// A key of a map and its value.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub key: String,
    pub pos: Pos,
    pub node: Node,
}

impl Node {
    pub fn get(&self, key: &str) -> Option<&Node> {
        self.entry(key).map(|e| &e.node)
    }

    pub fn entry(&self, key: &str) -> Option<&Entry> {
        match &self.data {
            Data::Map(entries) => entries.iter().find(|e| e.key == key),
            _ => None,
        }
    }

    pub fn as_str(&self) -> Option<&str> {
        match &self.data {
            Data::Str(s) => Some(s),
            _ => None,
        }
    }

    pub fn as_seq(&self) -> Option<&[Node]> {
        match &self.data {
            Data::Seq(s) => Some(s),
            _ => None,
        }
    }

    pub fn as_map(&self) -> Option<&[Entry]> {
        match &self.data {
            Data::Map(m) => Some(m),
            _ => None,
        }
    }

    /// Returns the kind of the node, for error messages.
    pub fn kind(&self) -> &'static str {
        match &self.data {
            Data::Null => "null",
            Data::Bool(_) => "a boolean",
            Data::Int(_) | Data::Float(_) => "a number",
            Data::Str(_) => "a string",
            Data::Seq(_) => "a list",
            Data::Map(_) => "a map",
        }
    }

    /// Converts the node to JSON, without positions.
    pub fn to_value(&self) -> Value {
        match &self.data {
            Data::Null => Value::Null,
            Data::Bool(b) => Value::from(*b),
            Data::Int(i) => Value::from(*i),
            Data::Float(x) => Value::from(*x),
            Data::Str(s) => Value::from(s.as_str()),
            Data::Seq(list) => list.iter().map(Node::to_value).collect(),
            Data::Map(entries) => Value::Object(
                entries
                    .iter()
                    .map(|e| (e.key.clone(), e.node.to_value()))
                    .collect(),
            ),
        }
    }
}

/// A collection whose end event has not arrived yet: its position, anchor and contents so far. A map also
/// holds the key that awaits its value.
enum OpenNode {
    Seq(Pos, usize, Vec<Node>),
    Map(Pos, usize, Vec<Entry>, Option<(String, Pos)>),
}

/// Registers a file under `name` and parses its text. Returns `None` if an error was reported.
pub fn parse_as(name: &str, text: &str, diagnostics: &mut Diagnostics) -> Option<Node> {
    let file = diagnostics.add_file(name, text);
    parse(text, file, &mut 0, diagnostics)
}

/// Parses one document. `used` counts the nodes of all documents so far. Returns `None` if an error was
/// reported.
pub fn parse(
    text: &str,
    file: u32,
    used: &mut usize,
    diagnostics: &mut Diagnostics,
) -> Option<Node> {
    let start = Pos {
        file,
        line: 1,
        column: 1,
    };
    if text.len() > MAX_BYTES {
        diagnostics.error(
            start,
            format!("the file has {} bytes", text.len()),
            format!("at most {MAX_BYTES} bytes"),
        );
        return None;
    }
    let mut b = Builder {
        file,
        nodes: *used,
        open: Vec::new(),
        anchors: HashMap::new(),
        root: None,
    };
    let mut documents = 0;
    for event in Parser::new_from_str(text) {
        let result = match event {
            Ok((Event::DocumentStart(_), span)) => {
                documents += 1;
                if documents > 1 {
                    Err((
                        b.pos(span),
                        "the file contains a second document".to_owned(),
                    ))
                } else {
                    Ok(())
                }
            }
            Ok((event, span)) => b.event(event, span),
            Err(e) => {
                let pos = Pos {
                    file,
                    line: e.marker().line() as u32,
                    column: e.marker().col() as u32 + 1,
                };
                Err((pos, e.info().to_owned()))
            }
        };
        if let Err((pos, message)) = result {
            diagnostics.error(
                pos,
                message,
                "one YAML or JSON document within the limits listed in docs/CWL.md",
            );
            return None;
        }
    }
    *used = b.nodes;
    if b.root.is_none() {
        diagnostics.error(start, "the file is empty", "one YAML or JSON document");
    }
    b.root
}

struct Builder {
    file: u32,
    nodes: usize,
    open: Vec<OpenNode>,
    /// Anchored nodes keyed by anchor id, each with its number of nodes.
    anchors: HashMap<usize, (Node, usize)>,
    root: Option<Node>,
}

type Failure = (Pos, String);

impl Builder {
    fn pos(&self, span: Span) -> Pos {
        Pos {
            file: self.file,
            line: span.start.line() as u32,
            column: span.start.col() as u32 + 1,
        }
    }

    fn count(&mut self, n: usize, pos: Pos) -> Result<(), Failure> {
        self.nodes += n;
        if self.nodes > MAX_NODES {
            return Err((
                pos,
                format!("more than {MAX_NODES} values after expanding aliases"),
            ));
        }
        Ok(())
    }

    fn event(&mut self, event: Event<'_>, span: Span) -> Result<(), Failure> {
        let pos = self.pos(span);
        match event {
            Event::Scalar(text, style, anchor, _) => {
                self.count(1, pos)?;
                let data = if style == ScalarStyle::Plain {
                    parse_plain_scalar(&text)
                } else {
                    Data::Str(text.into_owned())
                };
                let node = Node { pos, data };
                // Without a pending key, a scalar in a map is the next key.
                if let Some(OpenNode::Map(_, _, _, key @ None)) = self.open.last_mut() {
                    *key = Some((key_text(&node), pos));
                    return Ok(());
                }
                self.anchor(anchor, &node, 1);
                self.add(node)
            }
            Event::SequenceStart(anchor, _) => {
                self.open_node(OpenNode::Seq(pos, anchor, Vec::new()), pos)
            }
            Event::MappingStart(anchor, _) => {
                self.open_node(OpenNode::Map(pos, anchor, Vec::new(), None), pos)
            }
            Event::SequenceEnd | Event::MappingEnd => {
                let (node, anchor) = match self.open.pop() {
                    Some(OpenNode::Seq(pos, anchor, list)) => (
                        Node {
                            pos,
                            data: Data::Seq(list),
                        },
                        anchor,
                    ),
                    Some(OpenNode::Map(pos, anchor, entries, _)) => (
                        Node {
                            pos,
                            data: Data::Map(entries),
                        },
                        anchor,
                    ),
                    None => return Err((pos, "end of a collection that was not started".into())),
                };
                if anchor > 0 {
                    let size = size(&node);
                    self.anchor(anchor, &node, size);
                }
                self.add(node)
            }
            Event::Alias(anchor) => {
                let Some((node, size)) = self.anchors.get(&anchor).cloned() else {
                    return Err((pos, "alias of an undefined or enclosing value".into()));
                };
                if self.open.len() + depth(&node) > MAX_DEPTH {
                    return Err((pos, format!("nested more than {MAX_DEPTH} levels deep")));
                }
                self.count(size, pos)?;
                if let Some(OpenNode::Map(_, _, _, key @ None)) = self.open.last_mut() {
                    *key = Some((key_text(&node), pos));
                    return Ok(());
                }
                self.add(node)
            }
            _ => Ok(()),
        }
    }

    fn open_node(&mut self, open: OpenNode, pos: Pos) -> Result<(), Failure> {
        self.count(1, pos)?;
        if let Some(OpenNode::Map(_, _, _, None)) = self.open.last() {
            return Err((pos, "a key must be a scalar".into()));
        }
        if self.open.len() >= MAX_DEPTH {
            return Err((pos, format!("nested more than {MAX_DEPTH} levels deep")));
        }
        self.open.push(open);
        Ok(())
    }

    fn anchor(&mut self, anchor: usize, node: &Node, size: usize) {
        if anchor > 0 {
            self.anchors.insert(anchor, (node.clone(), size));
        }
    }

    fn add(&mut self, node: Node) -> Result<(), Failure> {
        match self.open.last_mut() {
            None => self.root = Some(node),
            Some(OpenNode::Seq(_, _, list)) => list.push(node),
            Some(OpenNode::Map(_, _, entries, key)) => {
                let Some((key, pos)) = key.take() else {
                    return Err((node.pos, "value without a key".into()));
                };
                if key == "<<" {
                    apply_merge_key(entries, &node)?;
                } else if entries.iter().any(|e| e.key == key) {
                    return Err((pos, format!("duplicate key '{key}'")));
                } else {
                    entries.push(Entry { key, pos, node });
                }
            }
        }
        Ok(())
    }
}

/// Applies the YAML merge key `<<`: adds the entries whose keys are not present yet.
fn apply_merge_key(entries: &mut Vec<Entry>, node: &Node) -> Result<(), Failure> {
    let maps = match &node.data {
        Data::Seq(list) => list.iter().collect(),
        _ => vec![node],
    };
    for map in maps {
        let Some(more) = map.as_map() else {
            return Err((map.pos, "only a map can be merged".into()));
        };
        for e in more {
            if !entries.iter().any(|x| x.key == e.key) {
                entries.push(e.clone());
            }
        }
    }
    Ok(())
}

fn size(node: &Node) -> usize {
    match &node.data {
        Data::Seq(list) => 1 + list.iter().map(size).sum::<usize>(),
        Data::Map(entries) => 1 + entries.iter().map(|e| size(&e.node)).sum::<usize>(),
        _ => 1,
    }
}

fn depth(node: &Node) -> usize {
    match &node.data {
        Data::Seq(list) => 1 + list.iter().map(depth).max().unwrap_or(0),
        Data::Map(entries) => 1 + entries.iter().map(|e| depth(&e.node)).max().unwrap_or(0),
        _ => 1,
    }
}

fn key_text(node: &Node) -> String {
    match &node.data {
        Data::Str(s) => s.clone(),
        Data::Int(i) => i.to_string(),
        Data::Float(x) => x.to_string(),
        Data::Bool(b) => b.to_string(),
        _ => String::new(),
    }
}

/// Resolves a plain scalar by the YAML 1.2 core schema.
fn parse_plain_scalar(text: &str) -> Data {
    match text {
        "" | "~" | "null" | "Null" | "NULL" => return Data::Null,
        "true" | "True" | "TRUE" => return Data::Bool(true),
        "false" | "False" | "FALSE" => return Data::Bool(false),
        ".inf" | ".Inf" | ".INF" | "+.inf" => return Data::Float(f64::INFINITY),
        "-.inf" | "-.Inf" | "-.INF" => return Data::Float(f64::NEG_INFINITY),
        ".nan" | ".NaN" | ".NAN" => return Data::Float(f64::NAN),
        _ => {}
    }
    let digits = text.strip_prefix(['+', '-']).unwrap_or(text);
    if !digits.starts_with(|c: char| c.is_ascii_digit() || c == '.') {
        return Data::Str(text.to_owned());
    }
    let radix = |prefix: &str, radix| {
        text.strip_prefix(prefix)
            .and_then(|d| i64::from_str_radix(d, radix).ok())
    };
    if let Some(n) = radix("0x", 16)
        .or(radix("0o", 8))
        .or_else(|| text.parse().ok())
    {
        return Data::Int(n);
    }
    let number = digits
        .bytes()
        .all(|b| b.is_ascii_digit() || matches!(b, b'.' | b'e' | b'E' | b'+' | b'-'));
    match text.parse::<f64>() {
        Ok(x) if number && digits != "." => Data::Float(x),
        _ => Data::Str(text.to_owned()),
    }
}
