//! Compatibility of the settings file: every field of a complete file is read under its name.

use hopyoke_settings::Settings;
use std::path::Path;

fn load(file: &str) -> Settings {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/forms")
        .join(file);
    Settings::load(&path).unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn complete_node_settings() {
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
#[expect(clippy::too_many_lines, reason = "one comparison per field")]
fn complete_platform_settings() {
    let s = load("full.toml");
    let platform = &s.platform;
    assert_eq!((platform.nodes, platform.clock_skew_ms), (3, 250.5));
    assert_eq!(platform.zones, ["east", "west", "north"]);
    let teams: Vec<_> = platform
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
    let objectives: Vec<_> = platform
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

    let agents = platform.agents;
    assert_eq!(
        (
            agents.heartbeat_interval_s,
            agents.lease_s,
            agents.gang_wait_s,
            agents.gang_loss_detection_s,
            agents.cancellation_bound_s
        ),
        (2.0, 14.0, 50.0, 6.0, 34.0)
    );
    let store = platform.store;
    assert_eq!(
        (
            store.max_requests_per_s,
            store.max_writes_per_s,
            store.max_value_kib,
            store.max_txn_mutations
        ),
        (150.0, 25.0, 8.0, 16)
    );
    assert_eq!(
        (platform.cloud.max_requests_per_s, platform.cloud.list_lag_s),
        (5.0, 4.0)
    );
    assert_eq!(
        (
            platform.limits.cpu_cores,
            platform.limits.memory_mib,
            platform.limits.max_connections
        ),
        (0.1, 56.0, 1500)
    );
}

/// Fields with a default may be omitted.
#[test]
fn minimal_settings() {
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
