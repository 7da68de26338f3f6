//! Lists of allowed machine types, and their shorter form in stored descriptions.
//!
//! Users may list names that no machine type has, and in JSON a name takes up to six times its length. A description that
//! would leave too little of its record to the job's state is condensed: digests stand for its long names. They tell
//! whether a machine type is in the list, also one that the cloud offers only later.

use crate::json_len;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hopyoke_protocol::user::JobSpec;
use sha2::{Digest, Sha256};

/// Largest size of a description that is stored as it is, in bytes of JSON. The rest of the job's record shares a value
/// of the key-value store with it.
const MAX_VERBATIM_BYTES: usize = 3 * 1024;
/// First character of a digest.
const DIGEST_MARK: char = '#';
/// Length of the hash in a digest, in bytes: too long for two names to have the same by chance.
const HASH_BYTES: usize = 16;
/// Length of a digest: its mark and its hash in base64.
const DIGEST_LEN: usize = 1 + (HASH_BYTES * 4).div_ceil(3);

/// Returns whether a job allows machines of a type, by its description in the submitted or in the stored form.
pub fn allows(spec: &JobSpec, machine_type: &str) -> bool {
    let Some(names) = &spec.machine_types else {
        return true;
    };
    names
        .iter()
        .any(|name| name == machine_type || is_digest_of(name, machine_type))
}

/// Returns the form in which a description is stored: if it is long, with digests in place of long names of machine
/// types. The stored form of a stored form is itself.
#[must_use]
pub fn stored_form(mut spec: JobSpec) -> JobSpec {
    if !is_stored_form(&spec) {
        for name in spec.machine_types.iter_mut().flatten() {
            if is_condensed(name) && !is_digest(name) {
                *name = digest(name);
            }
        }
    }
    spec
}

/// Returns whether a description is in the form in which it is stored.
pub fn is_stored_form(spec: &JobSpec) -> bool {
    let is_long_name = |name: &String| is_condensed(name) && !is_digest(name);
    !spec.machine_types.iter().flatten().any(is_long_name) || json_len(spec) <= MAX_VERBATIM_BYTES
}

/// Returns whether a digest stands for this name in a condensed description: the name is longer, or might be taken for a
/// digest.
fn is_condensed(name: &str) -> bool {
    name.starts_with(DIGEST_MARK) || json_len(name) > DIGEST_LEN + "\"\"".len()
}

/// Returns whether the name has the form of a digest.
fn is_digest(name: &str) -> bool {
    name.len() == DIGEST_LEN && name.starts_with(DIGEST_MARK)
}

fn is_digest_of(name: &str, machine_type: &str) -> bool {
    is_digest(name) && is_condensed(machine_type) && name == digest(machine_type)
}

fn digest(name: &str) -> String {
    let hash = Sha256::digest(name.as_bytes());
    format!(
        "{DIGEST_MARK}{}",
        URL_SAFE_NO_PAD.encode(&hash[..HASH_BYTES])
    )
}
