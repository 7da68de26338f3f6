//! Loads the files of a document and resolves `$import`, `$include`, `$graph` and references between them.

use crate::diagnostic::{Diagnostics, Pos};
use crate::model::Process;
use crate::read;
use crate::yaml::{self, Data, Entry, Node};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

/// A source of files, such as a directory or the attachments of a request.
pub trait Source {
    /// Returns the text of a file. Paths are relative to the same directory as the path of the
    /// root document.
    ///
    /// # Errors
    /// Returns the reason why the file cannot be read.
    fn read(&self, path: &str) -> Result<String, String>;
}

/// Files of the local file system.
pub struct LocalFiles;

impl Source for LocalFiles {
    fn read(&self, path: &str) -> Result<String, String> {
        let size = std::fs::metadata(path).map_err(|e| e.to_string())?.len();
        if size > yaml::MAX_BYTES as u64 {
            return Err(format!(
                "the file has {size} bytes; the limit is {}",
                yaml::MAX_BYTES
            ));
        }
        std::fs::read_to_string(path).map_err(|e| e.to_string())
    }
}

/// Files keyed by name, such as the attachments of a request. No other file is accessible.
impl Source for BTreeMap<String, String> {
    fn read(&self, path: &str) -> Result<String, String> {
        self.get(path)
            .cloned()
            .ok_or_else(|| "the file is not among the attachments".to_owned())
    }
}

/// The maximum number of times that files are opened for one document, repeated imports included.
const MAX_FILES: usize = 256;
const MAX_IMPORT_DEPTH: usize = 16;

/// The documents read so far.
pub struct Documents<'a> {
    source: &'a dyn Source,
    files: BTreeMap<String, Option<Rc<Node>>>,
    /// Processes keyed by file and fragment; `None` while a process is being read, to detect recursion.
    processes: BTreeMap<(String, String), Option<Rc<Process>>>,
    /// How often a file was opened; a file imported repeatedly counts each time.
    opened: usize,
    /// The number of nodes in all files read.
    nodes: usize,
}

/// Returns the directory of a path, including the trailing slash.
fn dir(path: &str) -> &str {
    path.rfind('/').map_or("", |i| &path[..=i])
}

/// Resolves a reference relative to the file `base` and normalizes `.` and `..`.
fn resolve_path(base: &str, reference: &str) -> String {
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

    /// Returns the process named by `FILE` or `FILE#ID`. In a `$graph`, the default id is `main`.
    pub fn process(&mut self, name: &str, diagnostics: &mut Diagnostics) -> Option<Rc<Process>> {
        let (path, fragment) = name.split_once('#').unwrap_or((name, ""));
        self.find(path, fragment, None, diagnostics)
    }

    /// Returns the process that a reference in the file `base` names.
    pub(crate) fn resolve(
        &mut self,
        base: &str,
        reference: &str,
        pos: Pos,
        diagnostics: &mut Diagnostics,
    ) -> Option<Rc<Process>> {
        let (path, fragment) = reference.split_once('#').unwrap_or((reference, ""));
        let path = if path.is_empty() {
            base.to_owned()
        } else {
            resolve_path(base, path)
        };
        self.find(&path, fragment, Some(pos), diagnostics)
    }

    fn find(
        &mut self,
        path: &str,
        fragment: &str,
        pos: Option<Pos>,
        diagnostics: &mut Diagnostics,
    ) -> Option<Rc<Process>> {
        let root = self.file(path, pos, diagnostics)?;
        let expected = "a process, or the id of a process in the file's `$graph`";
        let (node, id) = match root.get("$graph") {
            None => {
                let id = root.get("id").and_then(Node::as_str).map(read::short_id);
                if !fragment.is_empty() && id != Some(read::short_id(fragment)) {
                    diagnostics.error(
                        pos.unwrap_or(root.pos),
                        format!("no process '{fragment}' in {path}"),
                        expected,
                    );
                    return None;
                }
                (&*root, String::new())
            }
            Some(graph) => {
                let list = graph.as_seq().unwrap_or_default();
                let wanted = if fragment.is_empty() {
                    "main"
                } else {
                    fragment
                };
                let id_of = |n: &Node| {
                    n.get("id")
                        .and_then(Node::as_str)
                        .map(|s| read::short_id(s).to_owned())
                };
                let by_id = list.iter().find(|n| id_of(n).as_deref() == Some(wanted));
                let only = if fragment.is_empty() && list.len() == 1 {
                    list.first()
                } else {
                    None
                };
                let Some(node) = by_id.or(only) else {
                    diagnostics.error(
                        pos.unwrap_or(graph.pos),
                        format!("no process '{wanted}' in {path}"),
                        expected,
                    );
                    return None;
                };
                (node, wanted.to_owned())
            }
        };
        let key = (path.to_owned(), id);
        match self.processes.get(&key) {
            Some(Some(p)) => return Some(p.clone()),
            Some(None) => {
                let position = pos.unwrap_or(node.pos);
                diagnostics.error(
                    position,
                    format!("{path} runs itself, through its own steps"),
                    "a process without recursion",
                );
                return None;
            }
            None => {}
        }
        self.processes.insert(key.clone(), None);
        let version = root.get("cwlVersion").or(node.get("cwlVersion"));
        let process = read::process(self, node, version, path, diagnostics).map(Rc::new);
        match &process {
            Some(p) => self.processes.insert(key, Some(p.clone())),
            None => self.processes.remove(&key),
        };
        process
    }

    fn file(
        &mut self,
        path: &str,
        pos: Option<Pos>,
        diagnostics: &mut Diagnostics,
    ) -> Option<Rc<Node>> {
        if let Some(known) = self.files.get(path) {
            return known.clone();
        }
        let node = self.read_file(path, pos, 0, diagnostics).map(Rc::new);
        self.files.insert(path.to_owned(), node.clone());
        node
    }

    fn text(
        &mut self,
        path: &str,
        pos: Option<Pos>,
        diagnostics: &mut Diagnostics,
    ) -> Option<String> {
        let position = |diagnostics: &mut Diagnostics| {
            pos.unwrap_or_else(|| Pos {
                file: diagnostics.add_file(path, ""),
                ..Pos::default()
            })
        };
        self.opened += 1;
        if self.opened > MAX_FILES {
            let pos = position(diagnostics);
            diagnostics.error(pos, format!("more than {MAX_FILES} files"), "fewer files");
            return None;
        }
        if path.contains("://") {
            let pos = position(diagnostics);
            diagnostics.error(
                pos,
                format!("remote file {path} is not supported"),
                "a local file or a process in `$graph`",
            );
            return None;
        }
        match self.source.read(path) {
            Ok(text) => Some(text),
            Err(e) => {
                let pos = position(diagnostics);
                diagnostics.error(
                    pos,
                    format!("{path} cannot be read: {e}"),
                    "a readable file",
                );
                None
            }
        }
    }

    fn read_file(
        &mut self,
        path: &str,
        pos: Option<Pos>,
        depth: usize,
        diagnostics: &mut Diagnostics,
    ) -> Option<Node> {
        let text = self.text(path, pos, diagnostics)?;
        let file = diagnostics.add_file(path, &text);
        let mut node = yaml::parse(&text, file, &mut self.nodes, diagnostics)?;
        self.import(&mut node, path, depth, diagnostics)
            .then_some(node)
    }

    /// Replaces `$import` and `$include` by the contents of the files they name. Returns false if an error was
    /// reported.
    fn import(
        &mut self,
        node: &mut Node,
        base: &str,
        depth: usize,
        diagnostics: &mut Diagnostics,
    ) -> bool {
        let named = |key: &str| match &node.data {
            Data::Map(entries) => match entries.as_slice() {
                [Entry { key: k, node, .. }] if k == key => {
                    node.as_str().map(|s| resolve_path(base, s))
                }
                _ => None,
            },
            _ => None,
        };
        if let Some(path) = named("$include") {
            let Some(text) = self.text(&path, Some(node.pos), diagnostics) else {
                return false;
            };
            node.data = Data::Str(text);
            return true;
        }
        if let Some(path) = named("$import") {
            if depth >= MAX_IMPORT_DEPTH {
                diagnostics.error(
                    node.pos,
                    format!("imports are nested more than {MAX_IMPORT_DEPTH} levels deep"),
                    "imports without cycles",
                );
                return false;
            }
            let Some(found) = self.read_file(&path, Some(node.pos), depth + 1, diagnostics) else {
                return false;
            };
            *node = found;
            return true;
        }
        match &mut node.data {
            Data::Seq(list) => {
                let mut valid = true;
                let mut flat = Vec::with_capacity(list.len());
                for mut n in std::mem::take(list) {
                    let imported = n.get("$import").is_some();
                    valid &= self.import(&mut n, base, depth, diagnostics);
                    // A list imported into a list is spliced into it.
                    match n.data {
                        Data::Seq(items) if imported => flat.extend(items),
                        _ => flat.push(n),
                    }
                }
                *list = flat;
                valid
            }
            Data::Map(entries) => {
                let mut valid = true;
                for e in entries {
                    valid &= self.import(&mut e.node, base, depth, diagnostics);
                }
                valid
            }
            _ => true,
        }
    }
}

/// Returns a local path as a document name.
pub fn name_of(path: &Path) -> String {
    path.to_string_lossy().into_owned()
}

#[cfg(test)]
mod tests {
    use super::resolve_path;

    #[test]
    fn references_resolve() {
        assert_eq!(resolve_path("a/b/main.cwl", "tool.cwl"), "a/b/tool.cwl");
        assert_eq!(resolve_path("a/b/main.cwl", "../tool.cwl"), "a/tool.cwl");
        assert_eq!(resolve_path("main.cwl", "../x.cwl"), "../x.cwl");
        assert_eq!(resolve_path("/a/main.cwl", "./b/x.cwl"), "/a/b/x.cwl");
        assert_eq!(resolve_path("main.cwl", "/x.cwl"), "/x.cwl");
    }
}
