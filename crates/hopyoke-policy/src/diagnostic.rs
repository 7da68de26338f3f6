//! What is wrong with a file, and where.

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use std::fmt;
use std::ops::Range;

/// One diagnostic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// The bytes of the text that it is about.
    pub span: Range<usize>,
    /// Line and column of its start, counted from 1; the column in characters.
    pub line: usize,
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What was expected there, or what else helps.
    pub help: String,
}

/// All faults of a file, in its order; shown with excerpts of the text.
#[derive(Debug, Clone)]
pub struct Diagnostics {
    pub file: String,
    pub entries: Vec<Diagnostic>,
    text: String,
}

impl Diagnostics {
    pub(crate) fn new(file: &str, text: &str) -> Diagnostics {
        Diagnostics {
            file: file.to_owned(),
            entries: Vec::new(),
            text: text.to_owned(),
        }
    }

    pub(crate) fn add(
        &mut self,
        span: Range<usize>,
        message: impl Into<String>,
        help: impl Into<String>,
    ) {
        let mut start = span.start.min(self.text.len());
        while !self.text.is_char_boundary(start) {
            start -= 1;
        }
        let mut end = span.end.clamp(start, self.text.len());
        while !self.text.is_char_boundary(end) {
            end += 1;
        }
        let before = &self.text[..start];
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        let diagnostic = Diagnostic {
            span: start..end,
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            message: message.into(),
            help: help.into(),
        };
        // A name that is wrong in itself is wrong wherever it is used: said once for each place.
        if !self.entries.contains(&diagnostic) {
            self.entries.push(diagnostic);
        }
    }

    pub(crate) fn sorted(mut self) -> Diagnostics {
        self.entries.sort_by_key(|f| f.span.start);
        self
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for diagnostic in &self.entries {
            let annotation = AnnotationKind::Primary
                .span(diagnostic.span.clone())
                .label(&diagnostic.help);
            let snippet = Snippet::source(&self.text)
                .path(&self.file)
                .annotation(annotation);
            let group = Level::ERROR
                .primary_title(&diagnostic.message)
                .element(snippet);
            writeln!(f, "{}", Renderer::plain().render(&[group]))?;
        }
        let n = self.entries.len();
        write!(
            f,
            "{}: {n} fault{}, nothing was applied",
            self.file,
            if n == 1 { "" } else { "s" }
        )
    }
}

impl std::error::Error for Diagnostics {}
