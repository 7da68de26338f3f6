//! The operators' policy file keeps its language, and the settings their names, types, ranges and defaults. A new
//! setting is a new line in the fixtures; a new default is decided there as well.

use hopyoke_policy::{Metrics, Policy, format_value};

fn form(file: &str) -> String {
    let path = format!("{}/tests/forms/{file}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"))
}

fn full() -> Policy {
    Policy::load("full.policy", &form("full.policy")).unwrap_or_else(|e| panic!("{e}"))
}

/// One line for each setting: its name and its value.
fn values(policy: &Policy, metrics: &Metrics) -> String {
    policy
        .evaluate(metrics)
        .iter()
        .map(|(name, ty, value)| format!("{name} = {}\n", format_value(ty, value)))
        .collect()
}

/// One line for each setting and figure, as operators see it.
#[test]
fn declarations() {
    let policy = Policy::defaults();
    let settings = policy.settings().iter().map(|s| {
        let live = if s.allows_metrics {
            "live setting"
        } else {
            "setting"
        };
        format!(
            "{live} {}: {} in [{}] = {}\n",
            s.name,
            s.ty,
            s.format_range(),
            s.default
        )
    });
    let metrics = policy
        .metrics()
        .iter()
        .map(|f| format!("figure {}: {} in {:?}\n", f.name, f.ty, f.range));
    assert_eq!(
        metrics.chain(settings).collect::<String>(),
        form("declarations.txt")
    );
}

#[test]
fn defaults() {
    assert_eq!(
        values(&Policy::defaults(), &Metrics::default()),
        form("defaults.txt")
    );
}

/// With no figures known, and on a busy afternoon.
#[test]
fn a_full_file() {
    let policy = full();
    assert!(
        policy.settings().iter().all(|s| s.overridden),
        "the file sets every setting"
    );
    assert!(policy.may_depend_on_metrics());
    assert_eq!(values(&policy, &Metrics::default()), form("full-quiet.txt"));
    let busy = Metrics::default()
        .number("machines", 100.0)
        .number("idle_machines", 1.0)
        .number("spot_machines", 2.0)
        .number("unfinished_jobs", 400.0)
        .number("unplaced_jobs", 30.0)
        .number("plan_busy", 0.75)
        .number("hour", 14.5)
        .boolean("production_arriving", true);
    assert_eq!(values(&policy, &busy), form("full-busy.txt"));
}
