//! The project's own form: CSV with a header.

use crate::{Fault, History, Run, check, fault};

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

/// Writes runs; the first line is the header.
pub struct Writer(csv::Writer<Vec<u8>>);

impl Writer {
    /// `header`: the header is written before the first run.
    pub fn new(header: bool) -> Writer {
        Writer(
            csv::WriterBuilder::new()
                .has_headers(header)
                .from_writer(Vec::new()),
        )
    }

    /// The header's line alone.
    pub fn header() -> String {
        FIELDS.join(",") + "\n"
    }

    /// Adds a run.
    ///
    /// # Errors
    /// Why it can't be written.
    pub fn add(&mut self, run: &Run) -> Result<(), String> {
        self.0.serialize(run).map_err(|e| e.to_string())
    }

    /// All that was written.
    pub fn text(self) -> String {
        self.0
            .into_inner()
            .map_or(String::new(), |b| String::from_utf8_lossy(&b).into_owned())
    }
}

pub(crate) fn read(text: &str, strict: bool) -> Result<History, Fault> {
    let mut reader = csv::ReaderBuilder::new()
        .flexible(true)
        .from_reader(text.as_bytes());
    let header = reader
        .headers()
        .map_err(|e| fault(1, "header", &e.to_string()))?
        .clone();
    let mut out = History::default();
    for record in reader.records() {
        let found = match record {
            Ok(r) => {
                let line = r.position().map_or(0, csv::Position::line);
                if r.len() == header.len() {
                    r.deserialize::<Run>(Some(&header))
                        .map_err(|e| of_field(&e, &header, line))
                        .and_then(|run| {
                            check(&run).map_err(|(field, reason)| fault(line, field, &reason))?;
                            Ok(run)
                        })
                } else {
                    Err(fault(
                        line,
                        "all",
                        &format!("{} fields, not {}", r.len(), header.len()),
                    ))
                }
            }
            Err(e) => Err(fault(
                e.position().map_or(0, csv::Position::line),
                "all",
                &e.to_string(),
            )),
        };
        match found {
            Ok(run) => out.runs.push(run),
            Err(f) if strict => return Err(f),
            Err(f) => out.faults.push(f),
        }
    }
    Ok(out)
}

fn of_field(e: &csv::Error, header: &csv::StringRecord, line: u64) -> Fault {
    if let csv::ErrorKind::Deserialize { err, .. } = e.kind() {
        let field = err
            .field()
            .and_then(|i| header.get(i as usize))
            .unwrap_or("header");
        return fault(line, field, &err.kind().to_string());
    }
    fault(line, "all", &e.to_string())
}
