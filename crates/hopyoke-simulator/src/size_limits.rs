//! Size limits of the key-value store, which counts values and transactions in JSON and rejects what exceeds them.

use crate::kv_store::{Mutation, Value};
use hopyoke_protocol::state::Compare;
use hopyoke_types::ModRevision;
use serde::Serialize;

/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 8 * 1024;
/// Maximum size of a transaction.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Maximum number of puts and deletes in a transaction.
const MAX_MUTATIONS: usize = 16;
/// Maximum number of conditions in a transaction.
const MAX_COMPARES: usize = 4 * MAX_MUTATIONS;

/// Size of a transaction's and a put's field names and punctuation, `{"when":[],"apply":[]}` and `{"write":,"v":}`.
const TRANSACTION_FRAME_BYTES: usize = 22;
const PUT_FRAME_BYTES: usize = 15;

/// Returns the size of a message in JSON.
fn json_bytes(message: &impl Serialize) -> usize {
    serde_json::to_vec(message).map_or(usize::MAX, |json| json.len())
}

impl Value {
    /// Returns the size of the stored form in JSON.
    fn json_bytes(&self) -> usize {
        match self {
            Value::JobRecord(record) => json_bytes(record),
            Value::EndRecord(end) => json_bytes(end),
            Value::RegistryPage(page) => json_bytes(page),
            Value::RunTimesPage(page) => json_bytes(page),
            Value::Term(token) => json_bytes(token),
            Value::LeaseHolder(node) => json_bytes(node),
        }
    }
}

/// Returns which limit a transaction exceeds, or `None` if it exceeds none.
pub(crate) fn exceeded_limit(compares: &[(String, u64)], mutations: &[Mutation]) -> Option<String> {
    if mutations.len() > MAX_MUTATIONS || compares.len() > MAX_COMPARES {
        return Some(format!(
            "{} changes under {} conditions",
            mutations.len(),
            compares.len()
        ));
    }
    let mut transaction_bytes = TRANSACTION_FRAME_BYTES;
    for (key, mod_revision) in compares {
        let compare = Compare {
            key: key.clone(),
            mod_revision: ModRevision(*mod_revision),
        };
        transaction_bytes += json_bytes(&compare) + 1;
    }
    for mutation in mutations {
        match mutation {
            Mutation::Put(key, value, _) => {
                let value_bytes = value.json_bytes();
                if value_bytes > MAX_VALUE_BYTES {
                    return Some(format!("{key}: a value of {value_bytes} bytes"));
                }
                transaction_bytes += PUT_FRAME_BYTES + json_bytes(key) + value_bytes + 1;
            }
            Mutation::Delete(key) => transaction_bytes += json_bytes(key) + PUT_FRAME_BYTES,
        }
    }
    (transaction_bytes > MAX_TRANSACTION_BYTES)
        .then(|| format!("a transaction of {transaction_bytes} bytes"))
}
