//! Guards the compatibility of operators' policy files: the language, and the settings' names, types, ranges and defaults. A
//! new setting or a changed default needs a change of the fixtures.

use hopyoke_policy::{Metrics, Policy, format_value};

fn read_fixture(file: &str) -> String {
    let path = format!("{}/tests/forms/{file}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"))
}

fn load_full_policy() -> Policy {
    Policy::load("full.policy", &read_fixture("full.policy")).unwrap_or_else(|e| panic!("{e}"))
}

/// Formats the name and value of each setting, one per line.
fn format_values(policy: &Policy, metrics: &Metrics) -> String {
    policy
        .evaluate(metrics)
        .iter()
        .map(|(name, ty, value)| format!("{name} = {}\n", format_value(ty, value)))
        .collect()
}

/// Declarations of all settings and metrics.
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
        read_fixture("declarations.txt")
    );
}

#[test]
fn defaults() {
    assert_eq!(
        format_values(&Policy::defaults(), &Metrics::default()),
        read_fixture("defaults.txt")
    );
}

/// A file that sets every setting, evaluated without metrics and for a busy afternoon.
#[test]
fn a_full_file() {
    let policy = load_full_policy();
    assert!(
        policy.settings().iter().all(|s| s.overridden),
        "the file sets every setting"
    );
    assert!(policy.may_depend_on_metrics());
    assert_eq!(
        format_values(&policy, &Metrics::default()),
        read_fixture("full-quiet.txt")
    );
    let busy = Metrics::default()
        .number("machines", 100.0)
        .number("idle_machines", 1.0)
        .number("spot_machines", 2.0)
        .number("unfinished_jobs", 400.0)
        .number("unplaced_jobs", 30.0)
        .number("plan_busy", 0.75)
        .number("hour", 14.5)
        .boolean("production_arriving", true);
    assert_eq!(format_values(&policy, &busy), read_fixture("full-busy.txt"));
}
