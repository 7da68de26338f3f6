//! What is wrong with documents, and where.

use annotate_snippets::{AnnotationKind, Level as Look, Renderer, Snippet};
use std::fmt;
use std::sync::Arc;

/// A place in one of the files that were read; lines and columns count from 1, 0: none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Hash)]
pub struct Pos {
    pub file: u32,
    pub line: u32,
    pub column: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    Error,
    /// It runs all the same; something is not done.
    Warning,
}

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    pub level: Level,
    pub at: Pos,
    /// What is wrong.
    pub message: String,
    /// What the specification, or this project's hint, asks there.
    pub asks: String,
}

/// All faults of the files that were read.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    files: Vec<(String, Arc<str>)>,
    list: Vec<Fault>,
    unsupported: bool,
}

/// More than this are counted, not kept.
const MOST: usize = 200;

impl Faults {
    /// Names a file; its number goes into [`Pos::file`].
    pub(crate) fn file(&mut self, name: &str, text: &str) -> u32 {
        self.files.push((name.to_owned(), Arc::from(text)));
        self.files.len() as u32 - 1
    }

    pub(crate) fn add(
        &mut self,
        level: Level,
        at: Pos,
        message: impl Into<String>,
        asks: impl Into<String>,
    ) {
        let fault = Fault {
            level,
            at,
            message: message.into(),
            asks: asks.into(),
        };
        if self.list.len() < MOST && !self.list.contains(&fault) {
            self.list.push(fault);
        }
    }

    pub(crate) fn error(&mut self, at: Pos, message: impl Into<String>, asks: impl Into<String>) {
        self.add(Level::Error, at, message, asks);
    }

    pub(crate) fn warn(&mut self, at: Pos, message: impl Into<String>, asks: impl Into<String>) {
        self.add(Level::Warning, at, message, asks);
    }

    /// A requirement that is not supported: an error of its own kind to callers.
    pub(crate) fn unsupported(
        &mut self,
        at: Pos,
        message: impl Into<String>,
        asks: impl Into<String>,
    ) {
        self.unsupported = true;
        self.error(at, message, asks);
    }

    /// Some error is a requirement that is not supported.
    pub fn has_unsupported(&self) -> bool {
        self.unsupported
    }

    pub fn has_errors(&self) -> bool {
        self.list.iter().any(|f| f.level == Level::Error)
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// In the order of files and lines.
    pub fn sorted(&self) -> Vec<&Fault> {
        let mut list: Vec<&Fault> = self.list.iter().collect();
        list.sort_by_key(|f| (f.at.file, f.at.line, f.at.column));
        list
    }

    /// The same with places, message and advice as texts.
    pub fn sorted_places(&self) -> Vec<(Level, String, String)> {
        let said = |f: &Fault| {
            (
                f.level,
                self.place(f.at),
                format!("{}; {}", f.message, f.asks),
            )
        };
        self.sorted().into_iter().map(said).collect()
    }

    /// A place as people write it.
    pub fn place(&self, at: Pos) -> String {
        let name = self
            .files
            .get(at.file as usize)
            .map_or("", |f| f.0.as_str());
        if at.line == 0 {
            name.to_owned()
        } else {
            format!("{name}:{}:{}", at.line, at.column)
        }
    }

    fn show(&self, fault: &Fault) -> String {
        let look = match fault.level {
            Level::Error => Look::ERROR,
            Level::Warning => Look::WARNING,
        };
        let Some((name, text)) = self.files.get(fault.at.file as usize) else {
            return format!("{}: {}", look_name(fault.level), fault.message);
        };
        let start = offset(text, fault.at);
        let len = text[start..].split(['\n', ' ']).next().map_or(0, str::len);
        let mark = AnnotationKind::Primary
            .span(start..start + len)
            .label(&fault.asks);
        let snippet = Snippet::source(&**text).path(name).annotation(mark);
        Renderer::plain().render(&[look.primary_title(&fault.message).element(snippet)])
    }
}

fn look_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warning => "warning",
    }
}

/// The byte at which a place is.
fn offset(text: &str, at: Pos) -> usize {
    let mut start = 0;
    for _ in 1..at.line {
        match text[start..].find('\n') {
            Some(n) => start += n + 1,
            None => return text.len(),
        }
    }
    let line = text[start..].split('\n').next().unwrap_or("");
    let column = at.column.saturating_sub(1) as usize;
    start
        + line
            .char_indices()
            .nth(column)
            .map_or(line.len(), |(i, _)| i)
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in self.sorted() {
            writeln!(f, "{}", self.show(fault))?;
        }
        let count = |level| self.list.iter().filter(|f| f.level == level).count();
        let plural = |n: usize| if n == 1 { "" } else { "s" };
        let (errors, warnings) = (count(Level::Error), count(Level::Warning));
        write!(
            f,
            "{errors} error{}, {warnings} warning{}",
            plural(errors),
            plural(warnings)
        )
    }
}

impl std::error::Error for Faults {}
