//! The platform's settings file keeps its names: every field of a full example is read as it was.

use hopyoke_settings::Settings;
use std::path::Path;

fn load(file: &str) -> Settings {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/forms")
        .join(file);
    Settings::load(&path).unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn a_full_file() {
    let s = load("full.toml");
    assert_eq!((s.node.as_str(), s.zone.as_str()), ("node-1", "east"));
    assert_eq!(
        (s.listen.to_string(), s.mesh_listen.to_string()),
        ("127.0.0.1:8080".into(), "127.0.0.1:8081".into())
    );
    let peers: Vec<_> = s
        .peers
        .iter()
        .map(|p| (p.node.as_str(), p.zone.as_str(), p.addr.to_string()))
        .collect();
    assert_eq!(
        peers,
        [
            ("node-2", "west", "127.0.0.1:8082".into()),
            ("node-3", "north", "[::1]:8083".to_string())
        ]
    );
    assert_eq!(s.endpoints.cloud.to_string(), "127.0.0.1:8443");
    assert_eq!(s.endpoints.store.to_string(), "127.0.0.1:2379");
}

#[test]
fn a_full_file_of_facts() {
    let s = load("full.toml");
    let f = &s.platform;
    assert_eq!((f.nodes, f.clock_skew_ms), (3, 250.5));
    assert_eq!(f.zones, ["east", "west", "north"]);
    let teams: Vec<_> = f
        .teams
        .iter()
        .map(|t| {
            (
                t.name.as_str(),
                t.guaranteed_cpus,
                t.max_cpus,
                t.guaranteed_gpus,
                t.max_gpus,
            )
        })
        .collect();
    assert_eq!(
        teams,
        [
            ("vision", 64.0, 128.0, 8.0, 16.0),
            ("tools", 0.0, 0.0, 0.0, 0.0)
        ]
    );
    let objectives: Vec<_> = f
        .objectives
        .iter()
        .map(|o| (o.kind.as_str(), o.class.as_deref(), o.within_s, o.share))
        .collect();
    assert_eq!(
        objectives,
        [
            ("start", Some("serve"), Some(30.0), Some(0.95)),
            ("cost", None, None, None)
        ]
    );

    let w = f.agents;
    assert_eq!(
        (
            w.heartbeat_interval_s,
            w.lease_s,
            w.gang_wait_s,
            w.gang_loss_detection_s,
            w.cancellation_bound_s
        ),
        (2.0, 14.0, 50.0, 6.0, 34.0)
    );
    let store = f.store;
    assert_eq!(
        (
            store.max_requests_per_s,
            store.max_writes_per_s,
            store.max_value_kib,
            store.max_txn_mutations
        ),
        (150.0, 25.0, 8.0, 16)
    );
    assert_eq!((f.cloud.max_requests_per_s, f.cloud.list_lag_s), (5.0, 4.0));
    assert_eq!(
        (
            f.limits.cpu_cores,
            f.limits.memory_mib,
            f.limits.max_connections
        ),
        (0.1, 56.0, 1500)
    );
}

/// What has a default may be left out.
#[test]
fn a_least_file() {
    let s = load("least.toml");
    assert_eq!(
        (
            s.peers.len(),
            s.platform.teams.len(),
            s.platform.objectives.len()
        ),
        (0, 0, 0)
    );
    assert_eq!(s.platform.clock_skew_ms, 0.0);
    assert_eq!(s.platform.nodes, 1);
}
