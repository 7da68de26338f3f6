//! The project's own format: CSV with a header.

use crate::{FieldError, LineError, Run, WorkloadTrace, check, line_error};

/// The fields of [`Run`], in their order.
const FIELDS: [&str; 14] = [
    "submitted_us",
    "ended_us",
    "job",
    "index",
    "class",
    "team",
    "image",
    "tasks",
    "cpus",
    "gpus",
    "mem_gb",
    "machine",
    "estimate_s",
    "ran_s",
];

/// A run that cannot be written as CSV.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct WriteError(#[from] csv::Error);

/// Writes runs as CSV, in memory.
pub struct Writer(csv::Writer<Vec<u8>>);

impl Writer {
    /// A writer of no runs yet; with `header`, the header is written before the first run.
    pub fn new(header: bool) -> Writer {
        Writer(
            csv::WriterBuilder::new()
                .has_headers(header)
                .from_writer(Vec::new()),
        )
    }

    /// The header's line alone, with its line break.
    pub fn header() -> String {
        FIELDS.join(",") + "\n"
    }

    /// Adds a run.
    ///
    /// # Errors
    /// The run cannot be written as CSV.
    pub fn add(&mut self, run: &Run) -> Result<(), WriteError> {
        Ok(self.0.serialize(run)?)
    }

    /// All lines that were written.
    pub fn text(self) -> String {
        self.0
            .into_inner()
            .map_or(String::new(), |b| String::from_utf8_lossy(&b).into_owned())
    }
}

/// Reads the whole text; with `strict`, the first line that cannot be used is the error.
pub(crate) fn read(text: &str, strict: bool) -> Result<WorkloadTrace, LineError> {
    let mut reader = csv::ReaderBuilder::new()
        .flexible(true)
        .from_reader(text.as_bytes());
    let header = reader
        .headers()
        .map_err(|e| line_error(1, "header", &e.to_string()))?
        .clone();
    let mut out = WorkloadTrace::default();
    for record in reader.records() {
        let found = match record {
            Ok(r) => {
                let line = r.position().map_or(0, csv::Position::line);
                if r.len() == header.len() {
                    r.deserialize::<Run>(Some(&header))
                        .map_err(|e| error_of(&e, &header, line))
                        .and_then(|run| {
                            check(&run).map_err(|FieldError { field, reason }| {
                                line_error(line, field, &reason)
                            })?;
                            Ok(run)
                        })
                } else {
                    Err(line_error(
                        line,
                        "all",
                        &format!("{} fields, not {}", r.len(), header.len()),
                    ))
                }
            }
            Err(e) => Err(line_error(
                e.position().map_or(0, csv::Position::line),
                "all",
                &e.to_string(),
            )),
        };
        match found {
            Ok(run) => out.runs.push(run),
            Err(f) if strict => return Err(f),
            Err(f) => out.skipped.push(f),
        }
    }
    Ok(out)
}

/// The field that could not be read.
fn error_of(e: &csv::Error, header: &csv::StringRecord, line: u64) -> LineError {
    if let csv::ErrorKind::Deserialize { err, .. } = e.kind() {
        let field = err
            .field()
            .and_then(|i| header.get(i as usize))
            .unwrap_or("header");
        return line_error(line, field, &err.kind().to_string());
    }
    line_error(line, "all", &e.to_string())
}
