//! Errors and warnings found in documents, with their source positions.

use annotate_snippets::{AnnotationKind, Level as SnippetLevel, Renderer, Snippet};
use std::fmt;
use std::sync::Arc;

/// A position in one of the files that were read. Lines and columns are 1-based; line 0 stands for the whole
/// file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Hash)]
pub struct Pos {
    pub file: u32,
    pub line: u32,
    pub column: u32,
}

/// The severity of a [`Diagnostic`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    Error,
    /// The document still runs, but part of it is ignored.
    Warning,
}

/// One error or warning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    pub level: Level,
    pub pos: Pos,
    pub message: String,
    /// What the specification, or the `hopyoke:Scheduling` hint, expects at this position.
    pub expected: String,
}

/// The errors and warnings of all files that were read.
#[derive(Debug, Clone, Default)]
pub struct Diagnostics {
    files: Vec<(String, Arc<str>)>,
    entries: Vec<Diagnostic>,
    unsupported: bool,
}

/// Further diagnostics are dropped.
const MAX_DIAGNOSTICS: usize = 200;

impl Diagnostics {
    /// Registers a file and returns its index for [`Pos::file`].
    pub(crate) fn add_file(&mut self, name: &str, text: &str) -> u32 {
        self.files.push((name.to_owned(), Arc::from(text)));
        self.files.len() as u32 - 1
    }

    pub(crate) fn add(
        &mut self,
        level: Level,
        pos: Pos,
        message: impl Into<String>,
        expected: impl Into<String>,
    ) {
        let diagnostic = Diagnostic {
            level,
            pos,
            message: message.into(),
            expected: expected.into(),
        };
        if self.entries.len() < MAX_DIAGNOSTICS && !self.entries.contains(&diagnostic) {
            self.entries.push(diagnostic);
        }
    }

    pub(crate) fn error(
        &mut self,
        pos: Pos,
        message: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.add(Level::Error, pos, message, expected);
    }

    pub(crate) fn warn(
        &mut self,
        pos: Pos,
        message: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.add(Level::Warning, pos, message, expected);
    }

    /// Reports an unsupported requirement, which [`Self::has_unsupported`] distinguishes from other errors.
    pub(crate) fn unsupported(
        &mut self,
        pos: Pos,
        message: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.unsupported = true;
        self.error(pos, message, expected);
    }

    /// Returns true if an unsupported requirement was reported.
    pub fn has_unsupported(&self) -> bool {
        self.unsupported
    }

    pub fn has_errors(&self) -> bool {
        self.entries.iter().any(|f| f.level == Level::Error)
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the diagnostics ordered by file, line and column.
    pub fn sorted(&self) -> Vec<&Diagnostic> {
        let mut entries: Vec<&Diagnostic> = self.entries.iter().collect();
        entries.sort_by_key(|f| (f.pos.file, f.pos.line, f.pos.column));
        entries
    }

    /// Returns level, position and text of each diagnostic, in the order of [`Self::sorted`].
    pub fn sorted_texts(&self) -> Vec<(Level, String, String)> {
        let as_texts = |f: &Diagnostic| {
            (
                f.level,
                self.format_pos(f.pos),
                format!("{}; {}", f.message, f.expected),
            )
        };
        self.sorted().into_iter().map(as_texts).collect()
    }

    /// Formats a position as `FILE:LINE:COLUMN`.
    pub fn format_pos(&self, pos: Pos) -> String {
        let name = self
            .files
            .get(pos.file as usize)
            .map_or("", |f| f.0.as_str());
        if pos.line == 0 {
            name.to_owned()
        } else {
            format!("{name}:{}:{}", pos.line, pos.column)
        }
    }

    fn render(&self, diagnostic: &Diagnostic) -> String {
        let level = match diagnostic.level {
            Level::Error => SnippetLevel::ERROR,
            Level::Warning => SnippetLevel::WARNING,
        };
        let Some((name, text)) = self.files.get(diagnostic.pos.file as usize) else {
            return format!("{}: {}", level_name(diagnostic.level), diagnostic.message);
        };
        let start = offset(text, diagnostic.pos);
        let len = text[start..].split(['\n', ' ']).next().map_or(0, str::len);
        let annotation = AnnotationKind::Primary
            .span(start..start + len)
            .label(&diagnostic.expected);
        let snippet = Snippet::source(&**text).path(name).annotation(annotation);
        Renderer::plain().render(&[level.primary_title(&diagnostic.message).element(snippet)])
    }
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warning => "warning",
    }
}

/// Returns the byte offset of a position.
fn offset(text: &str, pos: Pos) -> usize {
    let mut start = 0;
    for _ in 1..pos.line {
        match text[start..].find('\n') {
            Some(n) => start += n + 1,
            None => return text.len(),
        }
    }
    let line = text[start..].split('\n').next().unwrap_or("");
    let column = pos.column.saturating_sub(1) as usize;
    start
        + line
            .char_indices()
            .nth(column)
            .map_or(line.len(), |(i, _)| i)
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for diagnostic in self.sorted() {
            writeln!(f, "{}", self.render(diagnostic))?;
        }
        let count = |level| self.entries.iter().filter(|f| f.level == level).count();
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

impl std::error::Error for Diagnostics {}
