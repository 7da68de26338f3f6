//! Diagnostics of a policy file, rendered with source excerpts.

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use std::fmt;
use std::ops::Range;

/// An error at a span of the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Byte range in the file.
    pub span: Range<usize>,
    /// Line of the span's start, from 1.
    pub line: usize,
    /// Column of the span's start, in characters from 1.
    pub column: usize,
    /// What the error is.
    pub message: String,
    /// What was expected, or how to correct the error.
    pub help: String,
}

/// All errors of a file. `Display` renders each with an excerpt of the source.
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

    /// Adds an error. The span is widened to character boundaries and cut at the end of the file.
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
        // The same error can be found several times when an expression is inferred more than once.
        if !self.entries.contains(&diagnostic) {
            self.entries.push(diagnostic);
        }
    }

    /// Sorts the errors by position.
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
            "{}: {n} error{}, the file was not applied",
            self.file,
            if n == 1 { "" } else { "s" }
        )
    }
}

impl std::error::Error for Diagnostics {}
