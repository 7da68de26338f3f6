//! The native format: CSV with a header.

use crate::{FieldError, LineError, Run, WorkloadTrace, line_error, validate};

/// Fields of [`Run`] in declaration order.
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

/// An error while encoding a run as CSV.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct WriteError(#[from] csv::Error);

/// Encodes runs as CSV in memory.
pub struct Writer(csv::Writer<Vec<u8>>);

impl Writer {
    /// Creates an empty writer, which writes a header line before the first run if `header` is set.
    pub fn new(header: bool) -> Writer {
        Writer(
            csv::WriterBuilder::new()
                .has_headers(header)
                .from_writer(Vec::new()),
        )
    }

    /// Returns the header line with its line break.
    pub fn header() -> String {
        FIELDS.join(",") + "\n"
    }

    /// Appends a run.
    ///
    /// # Errors
    /// Returns an error if the run cannot be encoded as CSV.
    pub fn add(&mut self, run: &Run) -> Result<(), WriteError> {
        Ok(self.0.serialize(run)?)
    }

    /// Returns all lines written.
    pub fn text(self) -> String {
        self.0
            .into_inner()
            .map_or(String::new(), |b| String::from_utf8_lossy(&b).into_owned())
    }
}

/// Parses a trace in the native format. Fails on the first invalid line if `strict`, else skips invalid lines.
pub(crate) fn read(text: &str, strict: bool) -> Result<WorkloadTrace, LineError> {
    let mut reader = csv::ReaderBuilder::new()
        .flexible(true)
        .from_reader(text.as_bytes());
    let header = reader
        .headers()
        .map_err(|e| line_error(1, "header", &e.to_string()))?
        .clone();
    let mut trace = WorkloadTrace::default();
    for record in reader.records() {
        let parsed = match record {
            Ok(r) => {
                let line = r.position().map_or(0, csv::Position::line);
                if r.len() == header.len() {
                    r.deserialize::<Run>(Some(&header))
                        .map_err(|e| csv_line_error(&e, &header, line))
                        .and_then(|run| {
                            validate(&run).map_err(|FieldError { field, reason }| {
                                line_error(line, field, &reason)
                            })?;
                            Ok(run)
                        })
                } else {
                    Err(line_error(
                        line,
                        "all",
                        &format!("expected {1} fields, found {0}", r.len(), header.len()),
                    ))
                }
            }
            Err(e) => Err(line_error(
                e.position().map_or(0, csv::Position::line),
                "all",
                &e.to_string(),
            )),
        };
        match parsed {
            Ok(run) => trace.runs.push(run),
            Err(f) if strict => return Err(f),
            Err(f) => trace.skipped.push(f),
        }
    }
    Ok(trace)
}

/// Converts a CSV error to one that names the field, where it is known.
fn csv_line_error(e: &csv::Error, header: &csv::StringRecord, line: u64) -> LineError {
    if let csv::ErrorKind::Deserialize { err, .. } = e.kind() {
        let field = err
            .field()
            .and_then(|i| header.get(i as usize))
            .unwrap_or("header");
        return line_error(line, field, &err.kind().to_string());
    }
    line_error(line, "all", &e.to_string())
}
