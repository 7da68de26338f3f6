//! The `hopyoke:Scheduling` hint: scheduling parameters that CWL does not define.

use crate::diagnostic::Diagnostics;
use crate::model::Scope;
use crate::yaml::{Data, Node};
use hopyoke_protocol::user::Priority;

/// The class of the hint, in the namespace `$namespaces: {hopyoke: "urn:hopyoke:cwl#"}`.
pub const CLASS: &str = "hopyoke:Scheduling";

/// The values of the hint, or the defaults without it.
#[derive(Debug, Clone, PartialEq)]
pub struct Scheduling {
    /// The team whose quota applies; a run has one team.
    pub team: Option<String>,
    /// The job class; defaults to the name of the workflow or tool.
    pub class: Option<String>,
    pub priority: Priority,
    pub zone: Option<String>,
    pub machine_types: Option<Vec<String>>,
    pub spot: bool,
    /// Deadline in seconds after the submission of the step.
    pub deadline_s: Option<f64>,
    /// The owner's estimate of a task's run time, in seconds.
    pub estimate_s: f64,
    /// Seconds of progress between a task's checkpoints; 0 disables them.
    pub checkpoint_interval_s: f64,
    /// Seconds that saving a checkpoint takes.
    pub checkpoint_save_s: f64,
    /// Size of the image in gigabytes, for machines that pull it.
    pub image_gb: f64,
    /// Gang scheduling: all tasks of a scatter run at the same time, or none does.
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

/// Returns the scheduling parameters in effect in a scope.
pub fn scheduling_in(scope: &Scope, diagnostics: &mut Diagnostics) -> Scheduling {
    scope
        .find(CLASS)
        .map_or_else(Scheduling::default, |w| read(&w.body, diagnostics))
}

/// Reads a hint and reports its errors; a field with an error keeps its default.
pub fn read(node: &Node, diagnostics: &mut Diagnostics) -> Scheduling {
    let mut s = Scheduling::default();
    for e in node.as_map().unwrap_or_default() {
        let n = &e.node;
        let mut reject = |expected: &str| {
            diagnostics.error(n.pos, format!("{} cannot be {}", e.key, n.kind()), expected)
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
            "class" | "jobClass" => assign!(s.class, text().map(Some), "a string"),
            "team" => assign!(s.team, text().map(Some), "a team name"),
            "zone" => assign!(s.zone, text().map(Some), "a zone name"),
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

/// Parses a priority by its name in the protocol. Returns `None` for an unknown name.
pub fn priority(word: &str) -> Option<Priority> {
    serde_json::from_value(serde_json::Value::from(word)).ok()
}
