//! Clocks and timers.

use crate::executor::{runtime, try_runtime};
use hopyoke_types::Micros;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time of the monotonic clock since the start of the runtime.
///
/// # Panics
/// Panics outside of [`crate::run`].
pub fn now() -> Micros {
    runtime().now()
}

/// Returns the time of the wall clock since the Unix epoch. The setting `skew_ms` bounds its error.
pub fn unix_time() -> Micros {
    Micros(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64),
    )
}

/// Returns a future that completes when the monotonic clock reaches `deadline`.
pub fn sleep_until(deadline: Micros) -> Sleep {
    Sleep {
        deadline,
        timer_id: None,
    }
}

/// Returns a future that completes after `duration`.
///
/// # Panics
/// Panics outside of [`crate::run`].
pub fn sleep(duration: Micros) -> Sleep {
    sleep_until(now() + duration)
}

/// Future returned by [`sleep_until`] and [`sleep`].
pub struct Sleep {
    deadline: Micros,
    /// Set while the timer is registered.
    timer_id: Option<u64>,
}

impl Sleep {
    fn deregister(&mut self) {
        if let Some(id) = self.timer_id.take()
            && let Some(runtime) = try_runtime()
        {
            runtime.remove_timer(self.deadline, id);
        }
    }

    /// Changes the deadline. The future must be polled again for it to take effect.
    pub fn reset(&mut self, deadline: Micros) {
        self.deregister();
        self.deadline = deadline;
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let runtime = runtime();
        if runtime.now() >= self.deadline {
            self.deregister();
            return Poll::Ready(());
        }
        let id = *self.timer_id.get_or_insert_with(|| runtime.new_timer_id());
        runtime.set_timer(self.deadline, id, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.deregister();
    }
}

/// Error of [`timeout`] for a future that didn't complete in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("timed out")]
pub struct TimedOut;

/// Runs `future` for at most `limit`. A future that is ready on its first poll completes even if `limit` is zero.
///
/// # Errors
/// Returns [`TimedOut`] if the future hasn't completed by then; it is dropped.
pub async fn timeout<F: Future>(limit: Micros, future: F) -> Result<F::Output, TimedOut> {
    use futures_util::future::{Either, select};
    let future = std::pin::pin!(future);
    let timer = std::pin::pin!(sleep(limit));
    match select(future, timer).await {
        Either::Left((output, _)) => Ok(output),
        Either::Right(_) => Err(TimedOut),
    }
}
