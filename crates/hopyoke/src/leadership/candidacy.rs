//! What a node is doing about leadership, and why it does not lead.

use crate::store::error::StoreError;
use hopyoke_types::Micros;
use std::fmt;

/// Where a node stands in elections, for its operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Candidacy {
    /// It has not read the leader key yet.
    Starting,
    /// It leads.
    Leading,
    /// Another node leads.
    Following(String),
    /// The leader key could not be read.
    LeaderUnknown(StoreError),
    /// It refrains from campaigning, in microseconds of its monotonic clock: it supports a peer's lease, or its former
    /// process may, or it stepped down.
    Deferring {
        /// Until when.
        until: Micros,
    },
    /// It campaigns.
    Campaigning,
    /// Its campaign failed.
    CampaignFailed(StoreError),
    /// Another node was faster, or holds the key.
    LostElection,
    /// Its campaign may still succeed: it releases the lease before it does anything else.
    OutcomeUnknown,
}

impl fmt::Display for Candidacy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Candidacy::Starting => write!(f, "the leader key was not read yet"),
            Candidacy::Leading => write!(f, "leads"),
            Candidacy::Following(node) => write!(f, "{node} leads"),
            Candidacy::LeaderUnknown(e) => write!(f, "leader key not read: {e}"),
            Candidacy::Deferring { until } => {
                write!(
                    f,
                    "refrains from campaigning until {:.1} s",
                    until.as_secs_f64()
                )
            }
            Candidacy::Campaigning => write!(f, "campaigns"),
            Candidacy::CampaignFailed(e) => write!(f, "campaign failed: {e}"),
            Candidacy::LostElection => write!(f, "another node won the campaign"),
            Candidacy::OutcomeUnknown => {
                write!(f, "outcome of a campaign unknown, releasing its lease")
            }
        }
    }
}
