//! Staffed hours on a node: the operators' word is a record, and the leader keeps it in mind.

use crate::node::{Leadership, Node};
use crate::operations::settings;
use crate::peers::client::proto::{StaffedAnswer, StaffedRequest};
use crate::store::client::TransactionOutcome;
use crate::store::error::StateError;
use crate::store::keys::STAFFED_HOURS;
use hopyoke_calendar::{StaffedHours, StaffingOverride};
use hopyoke_event_loop as runtime;
use hopyoke_policy::Figures;
use hopyoke_protocol::state::{Compare, Mutation, Stored};
use hopyoke_types::{Micros, ModRevision};
use std::rc::Rc;
use tracing::{info, warn};

/// How long the leader may not have heard of a new word.
const FOLLOW: Micros = Micros::from_secs(5);
const LONGEST_S: u64 = 31 * 86_400;

/// The hours of the node's settings; `None`: nothing is held.
fn hours(node: &Node) -> Option<StaffedHours> {
    let values = node.policy.evaluate(&Figures::default());
    let skew = Micros::from_secs_f64(node.settings.facts.clock_skew_ms / 1e3);
    match settings::hours_of(&values, skew) {
        Ok(h) => h,
        Err(e) => {
            // Checked when the file was read.
            warn!(error = %e, "hours can't be read");
            None
        }
    }
}

/// What a new leader begins with. Until the operators' word was read, held work is held: it may say
/// that nobody is there.
pub fn at_first(node: &Node) -> Option<StaffedHours> {
    let unread = StaffingOverride {
        staffed: false,
        until_us: u64::MAX / 4,
        by: "nobody yet".into(),
    };
    hours(node).map(|h| StaffedHours {
        staffing_override: Some(unread),
        ..h
    })
}

async fn read(node: &Node) -> Result<(Option<StaffingOverride>, ModRevision), StateError> {
    Ok(
        match node
            .store
            .background()
            .get::<StaffingOverride>(STAFFED_HOURS)
            .await?
        {
            Some((Stored::Value(s), mod_revision)) => (Some(s), mod_revision),
            Some((Stored::Unreadable(_), mod_revision)) => {
                warn!("unreadable word on staffed hours: the calendar holds");
                (None, mod_revision)
            }
            None => (None, ModRevision(0)),
        },
    )
}

/// Keeps the operators' word in the leader's mind.
pub async fn follow(node: Rc<Node>, leadership: Rc<Leadership>) {
    if hours(&node).is_none() {
        return;
    }
    loop {
        let pause = match read(&node).await {
            Ok((switch, _)) => {
                leadership.scheduler.borrow_mut().set_switch(switch);
                leadership.wakeup.notify();
                FOLLOW
            }
            Err(_) => Micros::from_millis(500),
        };
        runtime::sleep(pause).await;
    }
}

/// Answers an operator.
pub async fn answer(node: &Node, request: StaffedRequest) -> StaffedAnswer {
    match change(node, request).await {
        Ok(text) => StaffedAnswer {
            text,
            ..StaffedAnswer::default()
        },
        Err(error) => StaffedAnswer {
            error,
            ..StaffedAnswer::default()
        },
    }
}

async fn change(node: &Node, request: StaffedRequest) -> Result<String, String> {
    let mut hours = hours(node).ok_or("nothing is held: `hold` is off in this node's settings")?;
    let now = runtime::time_of_day();
    let not_now = |e: StateError| format!("the state service did not answer: {e}");
    let (known, mod_revision) = read(node).await.map_err(not_now)?;
    let word = match request.word.as_str() {
        "show" => known,
        "auto" => None,
        "on" | "off" if !(1..=LONGEST_S).contains(&request.span_s) => {
            return Err("the span must be 1 s to 31 days".into());
        }
        word @ ("on" | "off") => {
            let until = now + Micros::from_secs(request.span_s);
            let by = request.by.chars().take(80).collect();
            Some(StaffingOverride {
                staffed: word == "on",
                until_us: until.0,
                by,
            })
        }
        other => return Err(format!("'{other}' is not on, off, auto or show")),
    };
    if request.word != "show" {
        let change = match &word {
            Some(w) => Mutation::Put {
                key: STAFFED_HOURS.to_owned(),
                value: w.clone(),
                lease: None,
            },
            None => Mutation::Delete {
                key: STAFFED_HOURS.to_owned(),
            },
        };
        let condition = Compare {
            key: STAFFED_HOURS.to_owned(),
            mod_revision,
        };
        match node
            .store
            .cancelling()
            .txn(vec![condition], vec![change])
            .await
            .map_err(not_now)?
        {
            TransactionOutcome::Applied(_) => {
                info!(word = request.word, by = request.by, "staffed hours")
            }
            TransactionOutcome::Failed(_) => {
                return Err("somebody else said something at the same moment; look again".into());
            }
        }
    }
    hours.staffing_override = word;
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
    Ok(format!(
        "{} until {until}{by}",
        if window.staffed {
            "staffed"
        } else {
            "not staffed"
        }
    ))
}
