//! Jitter, and bounded retries of requests to the key-value store.

use crate::store::error::StoreError;
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use tracing::debug;

/// Maximum number of attempts of one read, [`RETRY_INTERVAL`] apart.
const MAX_ATTEMPTS: u32 = 60;
const RETRY_INTERVAL: Micros = Micros::from_millis(250);

/// Returns a random delay from zero to `max`, inclusive, so that nodes do not act at the same moment.
pub(super) fn jitter(max: Micros) -> Micros {
    Micros(rand::random_range(0..=max.0))
}

/// Retries a request until it succeeds. Returns `None` after [`MAX_ATTEMPTS`] failures.
pub(super) async fn retry<T, F, G>(mut request: F) -> Option<T>
where
    F: FnMut() -> G,
    G: Future<Output = Result<T, StoreError>>,
{
    for _ in 0..MAX_ATTEMPTS {
        match request().await {
            Ok(value) => return Some(value),
            Err(e) => debug!(error = %e, "failed to read records, retrying"),
        }
        runtime::sleep(RETRY_INTERVAL).await;
    }
    None
}
