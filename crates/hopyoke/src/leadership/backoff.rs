//! Random delays and bounded retries of requests to the key-value store.

use crate::store::error::StoreError;
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use tracing::debug;

/// Attempts of one read during failover, [`RETRY_INTERVAL`] apart.
const MAX_ATTEMPTS: u32 = 60;
const RETRY_INTERVAL: Micros = Micros::from_millis(250);

/// A random delay from zero to `max`, inclusive, so that nodes do not act in step.
pub(super) fn jitter(max: Micros) -> Micros {
    Micros(rand::random_range(0..=max.0))
}

/// Repeats a request until it succeeds; `None` once [`MAX_ATTEMPTS`] have failed.
pub(super) async fn retry<T, F, G>(mut request: F) -> Option<T>
where
    F: FnMut() -> G,
    G: Future<Output = Result<T, StoreError>>,
{
    for _ in 0..MAX_ATTEMPTS {
        match request().await {
            Ok(value) => return Some(value),
            Err(e) => debug!(error = %e, "records not read, retrying"),
        }
        runtime::sleep(RETRY_INTERVAL).await;
    }
    None
}
