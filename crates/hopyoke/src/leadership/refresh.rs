//! Refreshes the scheduler's inputs other than jobs and heartbeats: the cloud's list of machines, learned run times,
//! and settings that depend on live metrics.

use super::backoff::{jitter, retry};
use crate::node::{Leadership, Node};
use crate::operations::settings;
use crate::store::keys::RUN_TIMES_PREFIX;
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use std::rc::Rc;

/// Minimum interval between two requests for the cloud's list of machines.
const MIN_LIST_INTERVAL: Micros = Micros::from_secs(5);
const SETTINGS_INTERVAL: Micros = Micros::from_secs(1);

/// Periodically lists the cloud's machines, to detect failed machines and machines without a record.
pub(super) async fn poll_machine_list(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        if let Some(list) = node.cloud.list().await {
            leadership
                .scheduler
                .borrow_mut()
                .instances_listed(&list, runtime::now());
            leadership.wakeup.notify();
        }
        let interval = node.config.max_list_lag.max(MIN_LIST_INTERVAL);
        runtime::sleep(interval + jitter(Micros::from_secs(1))).await;
    }
}

/// Loads the run times that previous leaders have learned. Runs in the background; nothing waits for it.
pub(super) async fn load_run_times(node: Rc<Node>, leadership: Rc<Leadership>) {
    if !leadership.scheduler.borrow().tuning.learn {
        return;
    }
    let Some(pages) = retry(|| {
        node.store
            .background()
            .list::<hopyoke_run_times::Page>(RUN_TIMES_PREFIX)
    })
    .await
    else {
        return;
    };
    let mut scheduler = leadership.scheduler.borrow_mut();
    for pair in pages.pairs {
        if let Some(key) = pair.key.strip_prefix(RUN_TIMES_PREFIX) {
            scheduler.load_run_times(key, pair.value.decoded().as_ref());
        }
    }
}

/// Re-evaluates settings that depend on live metrics, every [`SETTINGS_INTERVAL`].
pub(super) async fn follow_live_settings(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        settings::refresh_tuning(&node.policy, &leadership);
        runtime::sleep(SETTINGS_INTERVAL).await;
    }
}
