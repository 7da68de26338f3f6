//! Resource amounts, team quotas, and the check that a job can be scheduled at all.

use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_stored_form::machine_types;
use std::collections::BTreeSet;
use std::ops::{Add, Sub};

/// Tolerance for rounding errors in sums of amounts.
const EPSILON: f64 = 1e-6;

/// Amounts of each kind of resource. Only differences may be negative.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Returns the resources of one task of the job.
    #[must_use]
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// Returns the capacity of a machine of this type.
    #[must_use]
    pub fn of_machine_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Returns each amount multiplied by `n`.
    #[must_use]
    pub fn times(self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory_gb: self.memory_gb * n,
        }
    }

    /// Returns true if no amount exceeds the one in `available`.
    #[must_use]
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + EPSILON
            && self.gpus <= available.gpus + EPSILON
            && self.memory_gb <= available.memory_gb + EPSILON
    }

    /// Returns the number of tasks of this size that fit, at most 1,000,000.
    #[must_use]
    pub fn max_tasks(&self, task: &Resources) -> u32 {
        let count = |available: f64, per_task: f64| {
            if per_task > 0.0 {
                ((available + EPSILON) / per_task).floor().max(0.0)
            } else {
                f64::MAX
            }
        };
        let n = count(self.cpus, task.cpus)
            .min(count(self.gpus, task.gpus))
            .min(count(self.memory_gb, task.memory_gb));
        n.min(1e6) as u32
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, o: Resources) -> Resources {
        Resources {
            cpus: self.cpus + o.cpus,
            gpus: self.gpus + o.gpus,
            memory_gb: self.memory_gb + o.memory_gb,
        }
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, o: Resources) -> Resources {
        Resources {
            cpus: self.cpus - o.cpus,
            gpus: self.gpus - o.gpus,
            memory_gb: self.memory_gb - o.memory_gb,
        }
    }
}

/// A team's guarantee (fair share) and limit (quota). An amount of 0 means that none is set.
#[derive(Debug, Clone, Default)]
pub struct Team {
    /// Its name in the settings.
    pub name: String,
    /// Guaranteed CPU cores.
    pub cpus: f64,
    /// Limit of CPU cores.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Limit of GPUs.
    pub gpus_max: f64,
}

impl Team {
    /// Returns true if this usage is within the limit. Memory has no limit.
    #[must_use]
    pub fn is_within_limit(&self, used: &Resources) -> bool {
        (self.cpus_max <= 0.0 || used.cpus <= self.cpus_max + EPSILON)
            && (self.gpus_max <= 0.0 || used.gpus <= self.gpus_max + EPSILON)
    }

    /// Returns true if this usage is within the guarantee. Resources without a guarantee are ignored. If the
    /// team has no guarantee at all, no usage is within it.
    #[must_use]
    pub fn is_within_guarantee(&self, used: &Resources) -> bool {
        if self.cpus <= 0.0 && self.gpus <= 0.0 {
            return false;
        }
        (self.cpus <= 0.0 || used.cpus <= self.cpus + EPSILON)
            && (self.gpus <= 0.0 || used.gpus <= self.gpus + EPSILON)
    }
}

/// Returns why a job can never run, as shown to its user, or `None` if it can. Nodes reject such jobs at
/// submission.
#[must_use]
pub fn unschedulable_reason(
    spec: &JobSpec,
    types: &[MachineType],
    zones: &[String],
    teams: &[Team],
) -> Option<String> {
    let Some(team) = teams.iter().find(|t| t.name == spec.team) else {
        return Some(format!("crew: no team is named '{}'", spec.team));
    };
    let task = Resources::of_task(spec);
    let usable: Vec<&MachineType> = types
        .iter()
        .filter(|t| machine_types::allows(spec, &t.name))
        .filter(|t| {
            task.fits_in(&Resources::of_machine_type(t)) && is_in_allowed_zone(spec, t, zones)
        })
        .collect();
    if usable.is_empty() {
        return Some("a task fits no allowed machine type".into());
    }
    // Tasks of an array can run one after another; those of a gang or service run concurrently.
    let concurrent_tasks = if spec.kind == JobKind::Array {
        1.0
    } else {
        f64::from(spec.tasks)
    };
    if !team.is_within_limit(&task.times(concurrent_tasks)) {
        return Some(format!(
            "the job needs more than the limit of team '{}'",
            team.name
        ));
    }
    if spec.kind != JobKind::Array && spec.spread && spec.tasks > 1 {
        return spread_conflict(spec, &usable, zones);
    }
    None
}

/// Returns true if the type is offered in the zone that the job requests, or the job requests none.
fn is_in_allowed_zone(spec: &JobSpec, machine_type: &MachineType, zones: &[String]) -> bool {
    match &spec.zone {
        Some(zone) => {
            machine_type.zones.is_empty() && zones.contains(zone)
                || machine_type.zones.contains(zone)
        }
        None => true,
    }
}

/// Returns why tasks that must run concurrently can't be spread over zones, or `None` if they can. At most half
/// of them may be in one zone.
fn spread_conflict(spec: &JobSpec, usable: &[&MachineType], zones: &[String]) -> Option<String> {
    if spec.one_zone {
        return Some("together: its tasks must be apart as well".into());
    }
    let zones_of = |t: &&MachineType| -> BTreeSet<String> {
        let offered = if t.zones.is_empty() { zones } else { &t.zones };
        offered.iter().cloned().collect()
    };
    let usable_zones: BTreeSet<String> = usable
        .iter()
        .flat_map(zones_of)
        .filter(|z| spec.zone.as_ref().is_none_or(|only| only == z))
        .collect();
    (usable_zones.len() == 1).then(|| "apart: only one zone has machines for its tasks".into())
}
