//! Files that belong together: references between them, `$import`, `$include` and `$graph`.

use crate::fault::{Faults, Pos};
use crate::model::Process;
use crate::read;
use crate::yaml::{self, Data, Entry, Node};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

/// Where files come from: a directory, or the attachments of a request.
pub trait Source {
    /// A file's text, by the path that a document names, relative to where the first one lies.
    ///
    /// # Errors
    /// Why it cannot be read.
    fn read(&self, path: &str) -> Result<String, String>;
}

/// Files on this machine.
pub struct Files;

impl Source for Files {
    fn read(&self, path: &str) -> Result<String, String> {
        let size = std::fs::metadata(path).map_err(|e| e.to_string())?.len();
        if size > yaml::MOST_BYTES as u64 {
            return Err(format!(
                "it has {size} bytes; at most {} are read",
                yaml::MOST_BYTES
            ));
        }
        std::fs::read_to_string(path).map_err(|e| e.to_string())
    }
}

/// Files by name, such as the attachments of a request. Nothing else can be reached.
impl Source for BTreeMap<String, String> {
    fn read(&self, path: &str) -> Result<String, String> {
        self.get(path)
            .cloned()
            .ok_or_else(|| "it is not among the attachments".to_owned())
    }
}

const MOST_FILES: usize = 256;
const MOST_IMPORTS: usize = 16;

/// The documents that were read so far.
pub struct Documents<'a> {
    source: &'a dyn Source,
    files: BTreeMap<String, Option<Rc<Node>>>,
    /// Processes by file and fragment; `None` while one is being read.
    processes: BTreeMap<(String, String), Option<Rc<Process>>>,
    /// Files opened, imported ones as often as they are, and values in them.
    opened: usize,
    nodes: usize,
}

/// The directory of a path, with its last slash.
fn dir(path: &str) -> &str {
    path.rfind('/').map_or("", |i| &path[..=i])
}

/// A reference that a file makes, as a path: `..` and `.` resolved.
fn join(base: &str, reference: &str) -> String {
    if reference.starts_with('/') {
        return reference.to_owned();
    }
    let reference = reference.strip_prefix("file://").unwrap_or(reference);
    let rooted = base.starts_with('/');
    let mut parts: Vec<&str> = Vec::new();
    for part in dir(base).split('/').chain(reference.split('/')) {
        match part {
            "" | "." => {}
            ".." if parts.last().is_some_and(|p| *p != "..") => {
                parts.pop();
            }
            p => parts.push(p),
        }
    }
    format!("{}{}", if rooted { "/" } else { "" }, parts.join("/"))
}

impl<'a> Documents<'a> {
    pub fn new(source: &'a dyn Source) -> Documents<'a> {
        Documents {
            source,
            files: BTreeMap::new(),
            processes: BTreeMap::new(),
            opened: 0,
            nodes: 0,
        }
    }

    /// The process of a file, or its part after a `#`; of a `$graph` without one, `main`.
    pub fn process(&mut self, name: &str, faults: &mut Faults) -> Option<Rc<Process>> {
        let (path, fragment) = name.split_once('#').unwrap_or((name, ""));
        self.find(path, fragment, None, faults)
    }

    /// The process that `reference`, made in `base`, names.
    pub(crate) fn referred(
        &mut self,
        base: &str,
        reference: &str,
        at: Pos,
        faults: &mut Faults,
    ) -> Option<Rc<Process>> {
        let (path, fragment) = reference.split_once('#').unwrap_or((reference, ""));
        let path = if path.is_empty() {
            base.to_owned()
        } else {
            join(base, path)
        };
        self.find(&path, fragment, Some(at), faults)
    }

    fn find(
        &mut self,
        path: &str,
        fragment: &str,
        at: Option<Pos>,
        faults: &mut Faults,
    ) -> Option<Rc<Process>> {
        let root = self.file(path, at, faults)?;
        let asks = "a process, or an id of one of those in the file's `$graph`";
        let (node, id) = match root.get("$graph") {
            None => {
                let id = root.get("id").and_then(Node::as_str).map(read::bare);
                if !fragment.is_empty() && id != Some(read::bare(fragment)) {
                    faults.error(
                        at.unwrap_or(root.at),
                        format!("no process '{fragment}' in {path}"),
                        asks,
                    );
                    return None;
                }
                (&*root, String::new())
            }
            Some(graph) => {
                let list = graph.as_seq().unwrap_or_default();
                let want = if fragment.is_empty() {
                    "main"
                } else {
                    fragment
                };
                let id_of = |n: &Node| {
                    n.get("id")
                        .and_then(Node::as_str)
                        .map(|s| read::bare(s).to_owned())
                };
                let by_id = list.iter().find(|n| id_of(n).as_deref() == Some(want));
                let only = if fragment.is_empty() && list.len() == 1 {
                    list.first()
                } else {
                    None
                };
                let Some(node) = by_id.or(only) else {
                    faults.error(
                        at.unwrap_or(graph.at),
                        format!("no process '{want}' in {path}"),
                        asks,
                    );
                    return None;
                };
                (node, want.to_owned())
            }
        };
        let key = (path.to_owned(), id);
        match self.processes.get(&key) {
            Some(Some(p)) => return Some(p.clone()),
            Some(None) => {
                let place = at.unwrap_or(node.at);
                faults.error(
                    place,
                    format!("{path} runs itself, through its own steps"),
                    "a process without circles",
                );
                return None;
            }
            None => {}
        }
        self.processes.insert(key.clone(), None);
        let version = root.get("cwlVersion").or(node.get("cwlVersion"));
        let process = read::process(self, node, version, path, faults).map(Rc::new);
        match &process {
            Some(p) => self.processes.insert(key, Some(p.clone())),
            None => self.processes.remove(&key),
        };
        process
    }

    fn file(&mut self, path: &str, at: Option<Pos>, faults: &mut Faults) -> Option<Rc<Node>> {
        if let Some(known) = self.files.get(path) {
            return known.clone();
        }
        let node = self.read_file(path, at, 0, faults).map(Rc::new);
        self.files.insert(path.to_owned(), node.clone());
        node
    }

    fn text(&mut self, path: &str, at: Option<Pos>, faults: &mut Faults) -> Option<String> {
        let place = |faults: &mut Faults| {
            at.unwrap_or_else(|| Pos {
                file: faults.file(path, ""),
                ..Pos::default()
            })
        };
        self.opened += 1;
        if self.opened > MOST_FILES {
            let at = place(faults);
            faults.error(at, format!("more than {MOST_FILES} files"), "fewer files");
            return None;
        }
        if path.contains("://") {
            let at = place(faults);
            faults.error(
                at,
                format!("{path} is not fetched"),
                "a file beside the document, or in its `$graph`",
            );
            return None;
        }
        match self.source.read(path) {
            Ok(text) => Some(text),
            Err(e) => {
                let at = place(faults);
                faults.error(
                    at,
                    format!("{path} cannot be read: {e}"),
                    "a file that is there",
                );
                None
            }
        }
    }

    fn read_file(
        &mut self,
        path: &str,
        at: Option<Pos>,
        depth: usize,
        faults: &mut Faults,
    ) -> Option<Node> {
        let text = self.text(path, at, faults)?;
        let file = faults.file(path, &text);
        let mut node = yaml::parse(&text, file, &mut self.nodes, faults)?;
        self.import(&mut node, path, depth, faults).then_some(node)
    }

    /// Replaces `$import` and `$include` by what they name. False: a fault was noted.
    fn import(&mut self, node: &mut Node, base: &str, depth: usize, faults: &mut Faults) -> bool {
        let named = |key: &str| match &node.data {
            Data::Map(entries) => match entries.as_slice() {
                [Entry { key: k, node, .. }] if k == key => node.as_str().map(|s| join(base, s)),
                _ => None,
            },
            _ => None,
        };
        if let Some(path) = named("$include") {
            let Some(text) = self.text(&path, Some(node.at), faults) else {
                return false;
            };
            node.data = Data::Str(text);
            return true;
        }
        if let Some(path) = named("$import") {
            if depth >= MOST_IMPORTS {
                faults.error(
                    node.at,
                    format!("more than {MOST_IMPORTS} files import each other"),
                    "no circles",
                );
                return false;
            }
            let Some(found) = self.read_file(&path, Some(node.at), depth + 1, faults) else {
                return false;
            };
            *node = found;
            return true;
        }
        match &mut node.data {
            Data::Seq(list) => {
                let mut well = true;
                let mut flat = Vec::with_capacity(list.len());
                for mut n in std::mem::take(list) {
                    let imported = n.get("$import").is_some();
                    well &= self.import(&mut n, base, depth, faults);
                    // A list that is imported into a list becomes part of it.
                    match n.data {
                        Data::Seq(items) if imported => flat.extend(items),
                        _ => flat.push(n),
                    }
                }
                *list = flat;
                well
            }
            Data::Map(entries) => {
                let mut well = true;
                for e in entries {
                    well &= self.import(&mut e.node, base, depth, faults);
                }
                well
            }
            _ => true,
        }
    }
}

/// A path on this machine as documents name it.
pub fn name_of(path: &Path) -> String {
    path.to_string_lossy().into_owned()
}

#[cfg(test)]
mod tests {
    use super::join;

    #[test]
    fn references_resolve() {
        assert_eq!(join("a/b/main.cwl", "tool.cwl"), "a/b/tool.cwl");
        assert_eq!(join("a/b/main.cwl", "../tool.cwl"), "a/tool.cwl");
        assert_eq!(join("main.cwl", "../x.cwl"), "../x.cwl");
        assert_eq!(join("/a/main.cwl", "./b/x.cwl"), "/a/b/x.cwl");
        assert_eq!(join("main.cwl", "/x.cwl"), "/x.cwl");
    }
}
