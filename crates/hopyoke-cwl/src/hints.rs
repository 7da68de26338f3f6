//! `hopyoke:Scheduling`: what the scheduler needs to know that CWL has no word for.

use crate::diagnostic::Diagnostics;
use crate::model::Scope;
use crate::yaml::{Data, Node};
use hopyoke_protocol::user::Priority;

/// The hint's class; `$namespaces: {hopyoke: "urn:hopyoke:cwl#"}`.
pub const CLASS: &str = "hopyoke:Scheduling";

/// The hint, or what holds without it.
#[derive(Debug, Clone, PartialEq)]
pub struct Scheduling {
    /// The team whose guarantee and limit apply; one for a whole run.
    pub team: Option<String>,
    /// The class of jobs that it belongs to; by default the workflow's or tool's name.
    pub class: Option<String>,
    pub priority: Priority,
    pub zone: Option<String>,
    pub machine_types: Option<Vec<String>>,
    pub spot: bool,
    /// Seconds from the step's submission.
    pub deadline_s: Option<f64>,
    /// The owner's estimate of a task's run time in seconds.
    pub estimate_s: f64,
    /// Progress after which a task saves by itself; 0: never.
    pub checkpoint_interval_s: f64,
    pub checkpoint_save_s: f64,
    /// Size of the image, for those that fetch it.
    pub image_gb: f64,
    /// All tasks of a scatter run at the same time, or none.
    pub gang: bool,
    pub one_zone: bool,
    pub spread: bool,
}

impl Default for Scheduling {
    fn default() -> Scheduling {
        Scheduling {
            team: None,
            class: None,
            priority: Priority::Normal,
            zone: None,
            machine_types: None,
            spot: false,
            deadline_s: None,
            estimate_s: 60.0,
            checkpoint_interval_s: 0.0,
            checkpoint_save_s: 0.0,
            image_gb: 1.0,
            gang: false,
            one_zone: false,
            spread: false,
        }
    }
}

const FIELDS: &str = "team, class, priority, zone, machineTypes, spot, deadline, estimate, checkpoint, save, \
                      imageGb, together, oneZone, spread";

/// Reads the hint that holds in a scope.
pub fn scheduling_in(scope: &Scope, diagnostics: &mut Diagnostics) -> Scheduling {
    scope
        .find(CLASS)
        .map_or_else(Scheduling::default, |w| read(&w.body, diagnostics))
}

/// Reads a hint; what is wrong with it is noted.
pub fn read(node: &Node, diagnostics: &mut Diagnostics) -> Scheduling {
    let mut s = Scheduling::default();
    for e in node.as_map().unwrap_or_default() {
        let n = &e.node;
        let mut reject = |expected: &str| {
            diagnostics.error(n.pos, format!("{} can't be {}", e.key, n.kind()), expected)
        };
        let text = || n.as_str().map(str::to_owned);
        let number = || match n.data {
            Data::Int(i) if i >= 0 => Some(i as f64),
            Data::Float(x) if x >= 0.0 && x.is_finite() => Some(x),
            _ => None,
        };
        let flag = || match n.data {
            Data::Bool(b) => Some(b),
            _ => None,
        };
        macro_rules! assign {
            ($slot:expr, $read:expr, $expected:expr) => {
                match $read {
                    Some(v) => $slot = v,
                    None => reject($expected),
                }
            };
        }
        match e.key.as_str() {
            "class" if n.as_str().is_some_and(|c| c.ends_with("Scheduling")) => {}
            "class" | "jobClass" => assign!(s.class, text().map(Some), "a text"),
            "team" => assign!(s.team, text().map(Some), "a team's name"),
            "zone" => assign!(s.zone, text().map(Some), "a zone's name"),
            "priority" => {
                assign!(
                    s.priority,
                    text().and_then(|t| priority(&t)),
                    "prod, high, standard or best_effort"
                )
            }
            "machineTypes" => {
                let names = || {
                    n.as_seq()?
                        .iter()
                        .map(|n| n.as_str().map(str::to_owned))
                        .collect::<Option<Vec<_>>>()
                };
                assign!(s.machine_types, names().map(Some), "a list of names");
            }
            "spot" => assign!(s.spot, flag(), "a boolean"),
            "together" => assign!(s.gang, flag(), "a boolean"),
            "oneZone" => assign!(s.one_zone, flag(), "a boolean"),
            "spread" => assign!(s.spread, flag(), "a boolean"),
            "deadline" => assign!(s.deadline_s, number().map(Some), "seconds, at least 0"),
            "estimate" => assign!(s.estimate_s, number(), "seconds, at least 0"),
            "checkpoint" => assign!(s.checkpoint_interval_s, number(), "seconds, at least 0"),
            "save" => assign!(s.checkpoint_save_s, number(), "seconds, at least 0"),
            "imageGb" => assign!(s.image_gb, number(), "gigabytes, at least 0"),
            other => diagnostics.error(
                e.pos,
                format!("unknown field '{other}'"),
                format!("{CLASS}: {FIELDS}"),
            ),
        }
    }
    s
}

/// A priority by the protocol's word.
pub fn priority(word: &str) -> Option<Priority> {
    serde_json::from_value(serde_json::Value::from(word)).ok()
}
