//! Staffed hours, outside of which some work may be held. Operators override the calendar by a record in the key-value
//! store, which the leader reads periodically.

use crate::node::{Leadership, Node};
use crate::operations::settings;
use crate::peers::client::proto::{StaffedRequest, StaffedResponse};
use crate::store::client::TransactionOutcome;
use crate::store::error::StoreError;
use crate::store::keys::STAFFED_HOURS_KEY;
use hopyoke_calendar::{StaffedHours, StaffingOverride};
use hopyoke_event_loop as runtime;
use hopyoke_policy::Metrics;
use hopyoke_protocol::state::{Compare, Mutation, Stored};
use hopyoke_types::{Micros, ModRevision};
use std::rc::Rc;
use tracing::{info, warn};

/// Interval at which the leader reads the override.
const READ_INTERVAL: Micros = Micros::from_secs(5);
/// Longest duration of an override, in seconds.
const MAX_OVERRIDE_S: u64 = 31 * 86_400;

/// Returns the staffed hours by the node's settings, without an override, or `None` if no work is held outside of them.
fn configured_hours(node: &Node) -> Option<StaffedHours> {
    let values = node.policy.evaluate(&Metrics::default());
    let skew = Micros::from_secs_f64(node.settings.platform.clock_skew_ms / 1e3);
    match settings::staffed_hours(&values, skew) {
        Ok(h) => h,
        Err(e) => {
            // Should not happen: they were validated when the settings were loaded.
            warn!(error = %e, "malformed staffed hours in the settings: no work is held");
            None
        }
    }
}

/// Returns the staffed hours with which a new leader starts. Until it has read the override it assumes "not staffed", the
/// state in which work is held, since the override may demand it.
pub(crate) fn initial(node: &Node) -> Option<StaffedHours> {
    let not_staffed = StaffingOverride {
        staffed: false,
        expires_at_us: u64::MAX / 4,
        operator: "override not read yet".into(),
    };
    configured_hours(node).map(|h| StaffedHours {
        staffing_override: Some(not_staffed),
        ..h
    })
}

/// Reads the override, with the revision of its last change or 0 if there is none. A malformed override counts as none.
async fn read_override(node: &Node) -> Result<(Option<StaffingOverride>, ModRevision), StoreError> {
    Ok(
        match node
            .store
            .background()
            .get::<StaffingOverride>(STAFFED_HOURS_KEY)
            .await?
        {
            Some((Stored::Value(s), mod_revision)) => (Some(s), mod_revision),
            Some((Stored::Unreadable(_), mod_revision)) => {
                warn!("malformed override of the staffed hours ignored: the calendar applies");
                (None, mod_revision)
            }
            None => (None, ModRevision(0)),
        },
    )
}

/// Keeps the leader's scheduler up to date with the override for the length of the term.
pub(crate) async fn sync_override(node: Rc<Node>, leadership: Rc<Leadership>) {
    if configured_hours(&node).is_none() {
        return;
    }
    loop {
        let pause = match read_override(&node).await {
            Ok((staffing_override, _)) => {
                leadership
                    .scheduler
                    .borrow_mut()
                    .set_staffing_override(staffing_override);
                leadership.wakeup.notify();
                READ_INTERVAL
            }
            Err(_) => Micros::from_millis(500),
        };
        runtime::sleep(pause).await;
    }
}

/// Serves an operator's request to set, remove or show the override.
pub(crate) async fn serve(node: &Node, request: StaffedRequest) -> StaffedResponse {
    match apply_request(node, request).await {
        Ok(text) => StaffedResponse {
            text,
            ..StaffedResponse::default()
        },
        Err(error) => StaffedResponse {
            error,
            ..StaffedResponse::default()
        },
    }
}

fn unavailable(e: StoreError) -> String {
    format!("the key-value store did not answer: {e}")
}

/// Applies an operator's request. Returns the resulting status.
///
/// # Errors
/// Returns why the request was refused or failed.
async fn apply_request(node: &Node, request: StaffedRequest) -> Result<String, String> {
    let mut hours = configured_hours(node)
        .ok_or("no work is held outside of staffed hours: `hold` is off in this node's settings")?;
    let now = runtime::unix_time();
    let (current_override, mod_revision) = read_override(node).await.map_err(unavailable)?;
    let new_override = match request.mode.as_str() {
        "show" => current_override,
        "auto" => None,
        "on" | "off" if !(1..=MAX_OVERRIDE_S).contains(&request.duration_s) => {
            return Err("the duration must be between 1 s and 31 days".into());
        }
        state @ ("on" | "off") => {
            let until = now + Micros::from_secs(request.duration_s);
            let operator = request.set_by.chars().take(80).collect();
            Some(StaffingOverride {
                staffed: state == "on",
                expires_at_us: until.0,
                operator,
            })
        }
        other => return Err(format!("expected on, off, auto or show, got '{other}'")),
    };
    if request.mode != "show" {
        write_override(node, new_override.as_ref(), mod_revision).await?;
        info!(
            state = request.mode,
            by = request.set_by,
            "override of the staffed hours changed"
        );
    }
    hours.staffing_override = new_override;
    Ok(format_status(hours, now))
}

/// Writes or removes the override by compare-and-swap against the revision at which it was read.
async fn write_override(
    node: &Node,
    new_override: Option<&StaffingOverride>,
    mod_revision: ModRevision,
) -> Result<(), String> {
    let mutation = match new_override {
        Some(new_override) => Mutation::Put {
            key: STAFFED_HOURS_KEY.to_owned(),
            value: new_override.clone(),
            lease: None,
        },
        None => Mutation::Delete {
            key: STAFFED_HOURS_KEY.to_owned(),
        },
    };
    let compare = Compare {
        key: STAFFED_HOURS_KEY.to_owned(),
        mod_revision,
    };
    match node
        .store
        .cancellations()
        .txn(vec![compare], vec![mutation])
        .await
        .map_err(unavailable)?
    {
        TransactionOutcome::Applied(_) => Ok(()),
        TransactionOutcome::Failed(_) => {
            Err("the override was changed concurrently; check it and try again".into())
        }
    }
}

/// Describes whether the hours are staffed now, until when, and by whose override.
fn format_status(hours: StaffedHours, now: Micros) -> String {
    let window = hours.window_at(now);
    let until = window
        .until
        .map_or_else(|| "further notice".to_owned(), |u| hours.format_local(u));
    let by = hours
        .staffing_override
        .filter(|s| s.expires_at_us > now.0)
        .map(|s| s.operator);
    let by = by.map_or(String::new(), |by| {
        if by.is_empty() {
            ", by an operator".into()
        } else {
            format!(", by {by}")
        }
    });
    let state = if window.staffed {
        "staffed"
    } else {
        "not staffed"
    };
    format!("{state} until {until}{by}")
}
