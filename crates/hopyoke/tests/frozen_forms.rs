//! Wire compatibility of the messages between controllers: field numbers and types of `proto/mesh.proto`. Each message
//! is encoded with all of its fields and compared with its fixture, and the fixture is decoded again.

#[path = "../../hopyoke-protocol/tests/frozen/mod.rs"]
mod frozen;

use frozen::{assert_bytes, bytes};
use hopyoke::peers::client::proto::flow_request::Operation;
use hopyoke::peers::client::proto::{
    FlowRequest, FlowResponse, ForwardRequest, ForwardResponse, Greeting, HeartbeatBatch,
    HeartbeatResponses, HistoryRequest, HistoryResponse, JobChange, QueuePosition, ResumeRun,
    RunInfo, RunList, RunQuestion, StaffedRequest, StaffedResponse, StatusRequest, StatusResponse,
    StepInfo, SubmitRun, WhenRequest, WhenResponse,
};
use prost::Message;
use std::collections::HashMap;
use std::fmt::Debug;

fn assert_message<T: Message + Default + PartialEq + Debug>(name: &str, message: &T) {
    assert_bytes(name, &message.encode_to_vec());
    let decoded = T::decode(&bytes(name)[..]).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(&decoded, message, "{name}: decoded to a different message");
}

/// Returns a single entry, since a map's order on the wire is not fixed.
fn tags() -> HashMap<String, String> {
    HashMap::from([("color".into(), "red".into())])
}

#[test]
fn greetings() {
    let full = Greeting {
        node: "node-2".into(),
        store_reachable: true,
        token: 5_000_000_007,
        incarnation: 7_001,
        support_us: 2_000_000,
        cancelled_jobs: vec!["req-41".into(), "req-42".into()],
        cancelled_up_to: 12,
        cancellations_complete: false,
        applied_revision: 950,
        delivered_incarnation: 7_002,
        delivered_up_to: 11,
        write_demand: 3.5,
        requested_loan: 20.25,
        granted_loan: 8.75,
        open: 140,
        max_open: 1_500,
        offloads: true,
        queue_positions: vec![QueuePosition {
            job: "req-43".into(),
            team: 2,
            due_us: 900_000,
        }],
    };
    assert_message("greeting", &full);
    assert_message("greeting-empty", &Greeting::default());
}

#[test]
fn forwarded_requests_and_notifications() {
    let request = ForwardRequest {
        node: "node-2".into(),
        method: "POST".into(),
        path: "/jobs".into(),
        body: vec![0x81, 0xa2, 0x69, 0x64],
        remaining_us: 0,
    };
    assert_message("user-request", &request);
    assert_message(
        "user-answer",
        &ForwardResponse {
            status: 429,
            body: vec![0x80],
            retry_after_s: 7,
        },
    );
    assert_message(
        "news",
        &JobChange {
            node: "node-2".into(),
            job: "req-41".into(),
        },
    );
}

#[test]
fn relayed_heartbeats() {
    let heartbeats = HeartbeatBatch {
        node: "node-2".into(),
        heartbeats: vec![vec![0x81, 0xc0], vec![0x80]],
    };
    assert_message("reports", &heartbeats);
    // An empty response keeps its position.
    assert_message(
        "report-answers",
        &HeartbeatResponses {
            responses: vec![vec![0x82], Vec::new(), vec![0x83]],
        },
    );
}

#[test]
fn operators_calls() {
    assert_message("status-request", &StatusRequest {});
    assert_message(
        "status-answer",
        &StatusResponse {
            text: "leads\n".into(),
        },
    );
    let when = WhenRequest {
        node: "node-2".into(),
        job: "req-41".into(),
        team: "vision".into(),
        gpus: 4.5,
        zone: "east".into(),
    };
    assert_message("when-request", &when);
    let answer = WhenResponse {
        error: "no".into(),
        p50_s: 60.5,
        p90_s: 120.25,
        basis: "8 runs".into(),
    };
    assert_message("when-answer", &answer);
    assert_message(
        "history-request",
        &HistoryRequest {
            node: "node-2".into(),
            token: 5_000_000_007,
            since: 80,
        },
    );
    let history = HistoryResponse {
        error: "no".into(),
        csv: "1,train\n".into(),
        token: 5_000_000_007,
        last: 81,
        more: true,
    };
    assert_message("history-answer", &history);
    assert_message(
        "staffed-request",
        &StaffedRequest {
            mode: "on".into(),
            duration_s: 3_600,
            set_by: "ana".into(),
        },
    );
    assert_message(
        "staffed-answer",
        &StaffedResponse {
            error: "no".into(),
            text: "staffed".into(),
        },
    );
}

#[test]
fn workflow_requests() {
    let submit = SubmitRun {
        run: 41_000_000_007,
        name: "nightly".into(),
        team: "vision".into(),
        owner: "ana".into(),
        continue_on_error: true,
        tags: tags(),
        plan: b"{\"steps\":[]}".to_vec(),
    };
    let question = RunQuestion {
        run: 41_000_000_007,
        from: 200,
        limit: 100,
    };
    let asks = [
        ("flow-submit", Operation::Submit(submit)),
        ("flow-get", Operation::Get(question)),
        (
            "flow-list",
            Operation::List(RunList {
                after: 41_000_000_006,
                limit: 50,
                owner: "ana".into(),
            }),
        ),
        ("flow-cancel", Operation::Cancel(question)),
        (
            "flow-resume",
            Operation::Resume(ResumeRun {
                run: 41_000_000_007,
                new_run: 41_000_000_008,
                owner: "ana".into(),
            }),
        ),
    ];
    for (name, ask) in asks {
        assert_message(
            name,
            &FlowRequest {
                operation: Some(ask),
            },
        );
    }
    assert_message("flow-none", &FlowRequest { operation: None });
}

#[test]
fn workflow_answers() {
    let run = RunInfo {
        run: 41_000_000_008,
        name: "nightly".into(),
        team: "vision".into(),
        owner: "ana".into(),
        state: "failed".into(),
        submitted_us: 1_700_000_000_000_000,
        ended_us: 1_700_000_360_000_000,
        steps: 9,
        done: 4,
        in_flight: 2,
        reason: "step convert: exit 2".into(),
        resumed_run: 41_000_000_007,
        tags: tags(),
    };
    let step = StepInfo {
        number: 3,
        path: "convert".into(),
        tasks: 8,
        state: "submitted".into(),
        job: "req-90410000000080000300".into(),
    };
    let answer = FlowResponse {
        status: 200,
        error: "no".into(),
        retry_after_s: 5,
        runs: vec![run],
        steps: vec![step],
        outputs: "{}".into(),
        more: true,
    };
    assert_message("flow-answer", &answer);
}

/// Request paths contain the names of the package, the service and its calls.
#[test]
fn calls() {
    let expected = frozen::text("calls.txt");
    let source = include_str!("../proto/mesh.proto");
    let package = source
        .lines()
        .find_map(|l| l.strip_prefix("package "))
        .expect("a package")
        .trim_end_matches(';');
    let service = source
        .lines()
        .find_map(|l| l.strip_prefix("service "))
        .expect("a service")
        .trim_end_matches(" {");
    let method = |l: &str| Some(l.trim().strip_prefix("rpc ")?.split('(').next()?.to_owned());
    let paths: String = source
        .lines()
        .filter_map(method)
        .map(|method| format!("/{package}.{service}/{method}\n"))
        .collect();
    assert_eq!(paths, expected);
}
