//! Staffed hours: the operators' override of the calendar is a record in the key-value store, which the leader follows.

use crate::node::{Leadership, Node};
use crate::operations::settings;
use crate::peers::client::proto::{StaffedRequest, StaffedResponse};
use crate::store::client::TransactionOutcome;
use crate::store::error::StoreError;
use crate::store::keys::STAFFED_HOURS_KEY;
use hopyoke_calendar::{StaffedHours, StaffingOverride};
use hopyoke_event_loop as runtime;
use hopyoke_policy::Figures;
use hopyoke_protocol::state::{Compare, Mutation, Stored};
use hopyoke_types::{Micros, ModRevision};
use std::rc::Rc;
use tracing::{info, warn};

/// The interval at which the leader reads the override.
const READ_INTERVAL: Micros = Micros::from_secs(5);
/// The longest override, in seconds.
const MAX_SPAN_S: u64 = 31 * 86_400;

/// The staffed hours by the node's settings; `None`: no work is held outside of them.
fn hours(node: &Node) -> Option<StaffedHours> {
    let values = node.policy.evaluate(&Figures::default());
    let skew = Micros::from_secs_f64(node.settings.facts.clock_skew_ms / 1e3);
    match settings::hours_of(&values, skew) {
        Ok(h) => h,
        Err(e) => {
            // Unexpected: they were checked when the settings were read.
            warn!(error = %e, "malformed staffed hours");
            None
        }
    }
}

/// The staffed hours that a new leader begins with. Until the override is read, it counts as "not staffed", since it may
/// say so.
pub(crate) fn initial(node: &Node) -> Option<StaffedHours> {
    let not_staffed = StaffingOverride {
        staffed: false,
        until_us: u64::MAX / 4,
        by: "nobody yet".into(),
    };
    hours(node).map(|h| StaffedHours {
        staffing_override: Some(not_staffed),
        ..h
    })
}

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
                warn!("malformed override of staffed hours: the calendar applies");
                (None, mod_revision)
            }
            None => (None, ModRevision(0)),
        },
    )
}

/// Keeps the leader's scheduler up to date with the override, for the leader's term.
pub(crate) async fn follow(node: Rc<Node>, leadership: Rc<Leadership>) {
    if hours(&node).is_none() {
        return;
    }
    loop {
        let pause = match read_override(&node).await {
            Ok((switch, _)) => {
                leadership.scheduler.borrow_mut().set_switch(switch);
                leadership.wakeup.notify();
                READ_INTERVAL
            }
            Err(_) => Micros::from_millis(500),
        };
        runtime::sleep(pause).await;
    }
}

/// Answers an operator who sets or shows the override.
pub(crate) async fn answer(node: &Node, request: StaffedRequest) -> StaffedResponse {
    match change(node, request).await {
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
    format!("the state service did not answer: {e}")
}

/// Serves an operator's request; returns the text of the answer, or why it is refused.
async fn change(node: &Node, request: StaffedRequest) -> Result<String, String> {
    let mut hours = hours(node).ok_or("nothing is held: `hold` is off in this node's settings")?;
    let now = runtime::time_of_day();
    let (current, mod_revision) = read_override(node).await.map_err(unavailable)?;
    let new_override = match request.mode.as_str() {
        "show" => current,
        "auto" => None,
        "on" | "off" if !(1..=MAX_SPAN_S).contains(&request.duration_s) => {
            return Err("the span must be 1 s to 31 days".into());
        }
        state @ ("on" | "off") => {
            let until = now + Micros::from_secs(request.duration_s);
            let by = request.set_by.chars().take(80).collect();
            Some(StaffingOverride {
                staffed: state == "on",
                until_us: until.0,
                by,
            })
        }
        other => return Err(format!("'{other}' is not on, off, auto or show")),
    };
    if request.mode != "show" {
        write_override(node, new_override.as_ref(), mod_revision).await?;
        info!(
            state = request.mode,
            by = request.set_by,
            "staffed hours overridden"
        );
    }
    hours.staffing_override = new_override;
    Ok(describe(hours, now))
}

/// Writes or removes the override, on the condition that it has not changed since it was read.
async fn write_override(
    node: &Node,
    new_override: Option<&StaffingOverride>,
    mod_revision: ModRevision,
) -> Result<(), String> {
    let change = match new_override {
        Some(new_override) => Mutation::Put {
            key: STAFFED_HOURS_KEY.to_owned(),
            value: new_override.clone(),
            lease: None,
        },
        None => Mutation::Delete {
            key: STAFFED_HOURS_KEY.to_owned(),
        },
    };
    let condition = Compare {
        key: STAFFED_HOURS_KEY.to_owned(),
        mod_revision,
    };
    match node
        .store
        .cancellations()
        .txn(vec![condition], vec![change])
        .await
        .map_err(unavailable)?
    {
        TransactionOutcome::Applied(_) => Ok(()),
        TransactionOutcome::Failed(_) => {
            Err("somebody else said something at the same moment; look again".into())
        }
    }
}

/// Whether the hours are staffed now, until when, and by whose override.
fn describe(hours: StaffedHours, now: Micros) -> String {
    let window = hours.at(now);
    let until = window
        .until
        .map_or_else(|| "further notice".to_owned(), |u| hours.local(u));
    let by = hours
        .staffing_override
        .filter(|s| s.until_us > now.0)
        .map(|s| s.by);
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
