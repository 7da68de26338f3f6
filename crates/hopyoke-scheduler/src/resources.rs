//! What tasks take and machines offer.

use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::user::JobSpec;
use std::collections::BTreeSet;
use std::ops::{Add, Sub};

/// Sums of decimal amounts may miss by this much.
const EPSILON: f64 = 1e-6;

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Resources {
    pub fn of_task(s: &JobSpec) -> Resources {
        Resources {
            cpus: s.cpus,
            gpus: s.gpus,
            memory_gb: s.memory_gb,
        }
    }

    pub fn of_type(t: &MachineType) -> Resources {
        Resources {
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
        }
    }

    pub fn times(self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory_gb: self.memory_gb * n,
        }
    }

    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + EPSILON
            && self.gpus <= room.gpus + EPSILON
            && self.memory_gb <= room.memory_gb + EPSILON
    }

    /// How many of `task` go into this.
    pub fn holds(&self, task: &Resources) -> u32 {
        let of = |room: f64, one: f64| {
            if one > 0.0 {
                ((room + EPSILON) / one).floor().max(0.0)
            } else {
                f64::MAX
            }
        };
        let n = of(self.cpus, task.cpus)
            .min(of(self.gpus, task.gpus))
            .min(of(self.memory_gb, task.memory_gb));
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

/// A team's guarantee and limit.
#[derive(Debug, Clone, Default)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

impl Team {
    /// A limit of 0 means that none is set.
    pub fn allows(&self, used: &Resources) -> bool {
        (self.cpus_max <= 0.0 || used.cpus <= self.cpus_max + EPSILON)
            && (self.gpus_max <= 0.0 || used.gpus <= self.gpus_max + EPSILON)
    }

    /// True if work of this size is within the guarantee. A resource without a guarantee counts
    /// only if the team has a guarantee of no resource at all.
    pub fn guarantees(&self, used: &Resources) -> bool {
        if self.cpus <= 0.0 && self.gpus <= 0.0 {
            return false;
        }
        (self.cpus <= 0.0 || used.cpus <= self.cpus + EPSILON)
            && (self.gpus <= 0.0 || used.gpus <= self.gpus + EPSILON)
    }
}

/// Why a job can never run, if so. Every node decides this by itself when it accepts a job.
pub fn never_runs(
    spec: &JobSpec,
    types: &[MachineType],
    zones: &[String],
    teams: &[Team],
) -> Option<String> {
    use hopyoke_protocol::user::JobKind;
    let Some(team) = teams.iter().find(|t| t.name == spec.team) else {
        return Some(format!("crew: no team is named '{}'", spec.team));
    };
    let task = Resources::of_task(spec);
    let allowed = |t: &&MachineType| {
        spec.types
            .as_ref()
            .is_none_or(|names| names.contains(&t.name))
    };
    let zone_ok = |t: &MachineType| match &spec.zone {
        Some(z) => t.zones.is_empty() && zones.contains(z) || t.zones.contains(z),
        None => true,
    };
    if !types
        .iter()
        .filter(allowed)
        .any(|t| task.fits_in(&Resources::of_type(t)) && zone_ok(t))
    {
        return Some("a task fits no allowed machine type".into());
    }
    let tasks = if spec.kind == JobKind::Array {
        1.0
    } else {
        f64::from(spec.tasks)
    };
    if !team.allows(&task.times(tasks)) {
        return Some(format!(
            "the job needs more than the limit of team '{}'",
            team.name
        ));
    }
    // At most half of the tasks may be in one zone, given where the others are. An array's can run one after
    // another; those of gangs and services must all have places at once.
    if spec.kind != JobKind::Array && spec.spread && spec.tasks > 1 {
        if spec.one_zone {
            return Some("together: its tasks must be apart as well".into());
        }
        let fits = |t: &&MachineType| task.fits_in(&Resources::of_type(t)) && zone_ok(t);
        let usable = types.iter().filter(allowed).filter(fits);
        let usable = usable.flat_map(|t| {
            if t.zones.is_empty() {
                zones
            } else {
                &t.zones[..]
            }
        });
        let usable = usable.filter(|z| spec.zone.as_ref().is_none_or(|only| only == *z));
        if usable.collect::<BTreeSet<_>>().len() == 1 {
            return Some("apart: only one zone has machines for its tasks".into());
        }
    }
    None
}
