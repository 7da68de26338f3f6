//! Writes task descriptions for workers: one JSON file per job, holding a list indexed by task.

use hopyoke_cwl::command::Description;
use hopyoke_types::JobId;
use hopyoke_workflow::{RunId, StepNo, job_id, job_id_prefix, parse_job_id};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// Writes the task descriptions of a run. Each file is replaced atomically, and a repeated call writes the
/// same contents. Must be called before the run is submitted, as workers may read a description as soon as
/// its job starts.
///
/// # Errors
/// Returns the I/O error if the directory or a file cannot be written.
pub fn publish(
    dir: &Path,
    run: RunId,
    tasks: &BTreeMap<StepNo, Vec<Description>>,
) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    for (step, list) in tasks {
        let contents = serde_json::to_vec(list).map_err(io::Error::other)?;
        write_atomically(dir, &job_id(run, *step, 0), &contents)?;
    }
    Ok(())
}

/// Writes the description file of a job under a temporary name and renames it.
fn write_atomically(dir: &Path, job: &JobId, contents: &[u8]) -> io::Result<()> {
    let path = dir.join(format!("{job}.json"));
    let temp_path = dir.join(format!("{job}.part"));
    std::fs::write(&temp_path, contents)?;
    std::fs::rename(&temp_path, &path)
}

/// Copies the task descriptions of run `old` for run `new`, which resumes it.
///
/// # Errors
/// Returns the I/O error if the directory or a file cannot be read or written.
pub fn copy_for_resume(dir: &Path, old: RunId, new: RunId) -> io::Result<()> {
    let prefix = job_id_prefix(old);
    for entry in std::fs::read_dir(dir)? {
        let name = entry?.file_name().to_string_lossy().into_owned();
        let job = name
            .strip_suffix(".json")
            .filter(|n| n.starts_with(&prefix))
            .and_then(JobId::parse);
        if let Some((_, step, _)) = job.as_ref().and_then(parse_job_id) {
            write_atomically(dir, &job_id(new, step, 0), &std::fs::read(dir.join(&name))?)?;
        }
    }
    Ok(())
}
