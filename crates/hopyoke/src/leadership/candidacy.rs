//! Election status of a node, and the reason why it does not lead.

use crate::store::error::StoreError;
use hopyoke_types::Micros;
use std::fmt;

/// Election status of a node, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Candidacy {
    /// The node has not read the leader key yet.
    Starting,
    /// The node leads.
    Leading,
    /// Another node leads.
    Following(String),
    /// The leader key could not be read.
    LeaderUnknown(StoreError),
    /// The node does not campaign yet: it supports a peer's lease, its previous process may do so, or it has stepped
    /// down.
    Deferring {
        /// The earliest time of the next campaign, by the node's monotonic clock.
        until: Micros,
    },
    /// The node campaigns.
    Campaigning,
    /// The campaign failed.
    CampaignFailed(StoreError),
    /// Another node acquired the leader key first.
    LostElection,
    /// The campaign may still succeed: the node releases its lease before it does anything else.
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
