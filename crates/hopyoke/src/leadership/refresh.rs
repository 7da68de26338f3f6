//! Inputs of the scheduler other than jobs and heartbeats: the cloud's list of machines, learned run times, and
//! settings that depend on live figures.

use super::backoff::{jitter, retry};
use crate::node::{Leadership, Node};
use crate::operations::settings;
use crate::store::keys::RUN_TIMES;
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use std::rc::Rc;

/// The shortest interval between two lists of the cloud's machines.
const MIN_LIST_INTERVAL: Micros = Micros::from_secs(5);
const SETTINGS_INTERVAL: Micros = Micros::from_secs(1);

/// Lists the cloud's machines again and again: the list shows failed machines, and ones that no record names.
pub(super) async fn list_machines(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        if let Some(list) = node.cloud.list().await {
            leadership
                .scheduler
                .borrow_mut()
                .instances_listed(&list, runtime::now());
            leadership.wakeup.notify();
        }
        let interval = node.config.list_lag.max(MIN_LIST_INTERVAL);
        runtime::sleep(interval + jitter(Micros::from_secs(1))).await;
    }
}

/// Reads the run times that earlier leaders have learned. Nothing waits for them.
pub(super) async fn read_run_times(node: Rc<Node>, leadership: Rc<Leadership>) {
    if !leadership.scheduler.borrow().tuning.learn {
        return;
    }
    let Some(pages) = retry(|| {
        node.store
            .background()
            .list::<hopyoke_run_times::Page>(RUN_TIMES)
    })
    .await
    else {
        return;
    };
    let mut scheduler = leadership.scheduler.borrow_mut();
    for pair in pages.pairs {
        if let Some(key) = pair.key.strip_prefix(RUN_TIMES) {
            scheduler.run_times_loaded(key, pair.value.readable().as_ref());
        }
    }
}

/// Evaluates settings that depend on live figures once a second.
pub(super) async fn follow_settings(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        settings::refresh_tuning(&node.policy, &leadership);
        runtime::sleep(SETTINGS_INTERVAL).await;
    }
}
