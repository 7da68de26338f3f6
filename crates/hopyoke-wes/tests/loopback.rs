//! End-to-end tests on loopback: controllers, the workflow service and the command line run as processes
//! against emulators of the consensus store, the cloud and the workers.

use hopyoke_emulator::{Cluster, ClusterConfig};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client as Http, Method, Response};
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros};
use hopyoke_wes::access::Authenticator;
use hopyoke_wes::client::Client;
use hopyoke_wes::upload::Form;
use hopyoke_wes::wire::{BASE_PATH, RunList, State};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

/// Returns the path of a built binary, which is in the parent of the directory of the test executable.
fn binary_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test has a path");
    let dir = test
        .parent()
        .and_then(Path::parent)
        .expect("target/PROFILE/deps");
    let path = dir.join(name);
    assert!(
        path.is_file(),
        "{} is missing; build it with `cargo build --release --workspace`",
        path.display()
    );
    path
}

fn temp_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("create the directory");
    dir
}

fn run_on_event_loop<F: Future<Output = ()> + 'static>(test: F) {
    let done = Rc::new(RefCell::new(false));
    let flag = done.clone();
    runtime::run(async move {
        test.await;
        *flag.borrow_mut() = true;
    })
    .expect("event loop runs");
    assert!(*done.borrow());
}

/// A workflow service process, killed on drop.
struct Service {
    child: Child,
    url: String,
    addr: SocketAddr,
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const TOKEN: &str = "a token of the ledger";
const OTHER_TOKEN: &str = "a token of another one";

fn start_service(cluster: &Cluster) -> Service {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let addr = listener.local_addr().expect("the socket has an address");
    drop(listener);
    let mesh: Vec<String> = cluster
        .mesh_addrs
        .iter()
        .map(|m| format!("\"{m}\""))
        .collect();
    let text = format!(
        "listen = \"{addr}\"\ncontrollers = [{}]\ndescriptions = {:?}\n\
         [[client]]\nname = \"ledger\"\ntoken_sha256 = \"{}\"\nteams = [\"crew\"]\n\
         [[client]]\nname = \"another\"\ntoken_sha256 = \"{}\"\nteams = [\"other\"]\n",
        mesh.join(", "),
        cluster.config.dir.join("descriptions"),
        Authenticator::token_digest(TOKEN),
        Authenticator::token_digest(OTHER_TOKEN),
    );
    let file = cluster.config.dir.join("wes.toml");
    std::fs::write(&file, text).expect("write the file");
    let log =
        std::fs::File::create(cluster.config.dir.join("wes.log")).expect("create the log file");
    let child = Command::new(binary_path("hopyoke-cwl"))
        .args(["serve", "--config"])
        .arg(&file)
        .stdin(Stdio::null())
        .stderr(log)
        .spawn()
        .expect("start the service");
    Service {
        child,
        url: format!("http://{addr}"),
        addr,
    }
}

fn spec(id: &str, class: &str, tasks: u32, estimate_s: f64) -> JobSpec {
    let plain = JobSpec::with_defaults(JobId::new(id), class, "crew", "ledger");
    JobSpec {
        tasks,
        cpus: 4.0,
        estimate_s,
        ..plain
    }
}

fn tool(name: &str, estimate_s: f64) -> String {
    format!(
        "{{class: CommandLineTool, id: {name}, baseCommand: {name}, \
         requirements: {{ResourceRequirement: {{coresMin: 4, ramMin: 1024}}, DockerRequirement: {{dockerPull: ledger}}}}, \
         hints: {{hopyoke:Scheduling: {{estimate: {estimate_s}, imageGb: 1}}}}, \
         inputs: {{x: Any}}, outputs: {{out: {{type: File, outputBinding: {{glob: out.json}}}}}}}}"
    )
}

/// Returns a workflow of split, check, a scattered convert step and merge, run one after the other.
fn ledger_workflow() -> String {
    format!(
        "cwlVersion: v1.2\nclass: Workflow\nrequirements: {{ScatterFeatureRequirement: {{}}}}\n\
         inputs: {{book: File, pages: \"int[]\"}}\noutputs: {{sum: {{type: File, outputSource: merge/out}}}}\nsteps:\n\
         \x20 split: {{run: {}, in: {{x: book}}, out: [out]}}\n\
         \x20 check: {{run: {}, in: {{x: split/out}}, out: [out]}}\n\
         \x20 convert: {{run: {}, scatter: x, in: {{x: pages, after: check/out}}, out: [out]}}\n\
         \x20 merge: {{run: {}, in: {{x: convert/out}}, out: [out]}}\n",
        tool("split", 0.3),
        tool("check", 0.3),
        tool("convert", 0.4),
        tool("merge", 0.3)
    )
}

/// Returns the started tasks in order, as class, index, machine and zone.
fn task_starts(cluster: &Cluster) -> Vec<(String, u32, String, String)> {
    let task_starts = cluster.fleet.task_starts.borrow();
    task_starts
        .iter()
        .map(|s| {
            (
                s.class.clone(),
                s.task.index,
                s.machine.to_string(),
                s.zone.clone(),
            )
        })
        .collect()
}

async fn post(client: &Http, path: &str, body: &[u8]) -> Option<Response> {
    client
        .send(Method::Post, path, body, Micros::from_secs(5))
        .await
        .ok()
}

/// Submits a job through the job API and waits until it is done.
async fn run_native_job(cluster: &Cluster, spec: &JobSpec) {
    let client = Http::new(cluster.api_addrs[0]);
    let body = hopyoke_protocol::encode(spec);
    loop {
        if post(&client, "/api/jobs", &body)
            .await
            .is_some_and(|r| r.status == 201 || r.status == 200)
        {
            break;
        }
        runtime::sleep(Micros::from_millis(300)).await;
    }
    loop {
        let path = format!("/api/jobs/{}", spec.id);
        let answer = client
            .send(Method::Get, &path, &[], Micros::from_secs(2))
            .await;
        if let Ok(r) = answer
            && let Ok(v) = hopyoke_protocol::decode::<Value>(&r.body)
            && v["bearing"] == "done"
        {
            return;
        }
        runtime::sleep(Micros::from_millis(100)).await;
    }
}

/// Runs `hopyoke cwl` as a process and polls it, so that the emulators on this event loop keep running.
/// Returns its exit code, standard output and standard error.
async fn run_cwl_command(args: Vec<String>, token: &str) -> (i32, String, String) {
    let mut child = Command::new(binary_path("hopyoke"))
        .arg("cwl")
        .args(&args)
        .env("HOPYOKE_TOKEN", token)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the command");
    let end = runtime::now() + Micros::from_secs(90);
    loop {
        if let Ok(Some(status)) = child.try_wait() {
            let out = child
                .wait_with_output()
                .expect("read the output of the command");
            let text = |b: Vec<u8>| String::from_utf8_lossy(&b).into_owned();
            return (
                status.code().unwrap_or(-1),
                text(out.stdout),
                text(out.stderr),
            );
        }
        if runtime::now() > end {
            let _ = child.kill();
            panic!("{args:?} timed out");
        }
        runtime::sleep(Micros::from_millis(50)).await;
    }
}

fn write_file(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    std::fs::write(&path, text).expect("write the file");
    path.to_string_lossy().into_owned()
}

/// The same jobs submitted through the job API and as CWL start in the same order on the same machines, and
/// end in the same state.
#[test]
fn native_and_cwl_runs_are_equivalent() {
    let config = |name: &str| ClusterConfig {
        controllers: 1,
        max_machines: 1,
        policy: "flows = true\nkeep_ready = 0\nidle_return = 30s\n".into(),
        ..ClusterConfig::new(&binary_path("hopyoke"), &temp_dir(name))
    };
    let (a, b) = (config("same-native"), config("same-cwl"));
    let native_starts = Rc::new(RefCell::new(Vec::new()));
    let out = native_starts.clone();
    run_on_event_loop(async move {
        let cluster = Cluster::start(a).expect("start the cluster");
        for (i, (class, tasks, s)) in [
            ("split", 1, 0.3),
            ("check", 1, 0.3),
            ("convert", 12, 0.4),
            ("merge", 1, 0.3),
        ]
        .iter()
        .enumerate()
        {
            run_native_job(
                &cluster,
                &spec(&format!("req-{}", 1000 + i), class, *tasks, *s),
            )
            .await;
        }
        assert!(cluster.fleet.violations.borrow().is_empty());
        *out.borrow_mut() = task_starts(&cluster);
    });
    let cwl_starts = Rc::new(RefCell::new(Vec::new()));
    let out = cwl_starts.clone();
    run_on_event_loop(async move {
        let cluster = Cluster::start(b).expect("start the cluster");
        let service = start_service(&cluster);
        let main = write_file(&cluster.config.dir, "ledger.cwl", &ledger_workflow());
        let pages: Vec<u32> = (0..12).collect();
        let inputs = json!({ "book": { "class": "File", "location": "book.csv" }, "pages": pages })
            .to_string();
        let inputs = write_file(&cluster.config.dir, "inputs.json", &inputs);
        let args = ["run", &main, &inputs, "--to", &service.url].map(str::to_owned);
        let (code, stdout, stderr) = run_cwl_command(args.to_vec(), TOKEN).await;
        assert_eq!(code, 0, "{stderr}");
        let outputs: Value = serde_json::from_str(&stdout).expect("standard output is JSON");
        assert_eq!(outputs["sum"]["class"], "File", "{stdout}");
        // Every job of the run has ended as done and has a task description.
        let ends = cluster.store.keys("end/req-9");
        assert_eq!(ends.len(), 4);
        for key in &ends {
            assert_eq!(
                cluster.store.get(key).expect("the job has a record")["state"],
                "done",
                "{key}"
            );
            let file = cluster
                .config
                .dir
                .join("descriptions")
                .join(format!("{}.json", &key[4..]));
            let list: Value =
                serde_json::from_slice(&std::fs::read(file).expect("the job has a description"))
                    .expect("JSON");
            assert!(list.as_array().is_some_and(|l| !l.is_empty()));
        }
        assert!(cluster.fleet.violations.borrow().is_empty());
        *out.borrow_mut() = task_starts(&cluster);
    });
    assert_eq!(native_starts.borrow().len(), 15);
    assert_eq!(*native_starts.borrow(), *cwl_starts.borrow());
}

/// Guards against a run that never ends, and holds up all others, because the key-value store rejects the records of its
/// steps' jobs as invalid.
#[test]
fn run_fails_if_a_step_can_not_be_stored() {
    run_on_event_loop(async {
        let config = ClusterConfig {
            controllers: 1,
            max_machines: 1,
            policy: "flows = true\n".into(),
            ..ClusterConfig::new(&binary_path("hopyoke"), &temp_dir("rejected-step"))
        };
        let cluster = Cluster::start(config).expect("start the cluster");
        let service = start_service(&cluster);
        cluster.store.reject_puts("job/");
        let main = write_file(&cluster.config.dir, "ledger.cwl", &ledger_workflow());
        let inputs = json!({ "book": { "class": "File", "location": "book.csv" }, "pages": [1] });
        let inputs = write_file(&cluster.config.dir, "inputs.json", &inputs.to_string());
        let args = ["run", &main, &inputs, "--to", &service.url].map(str::to_owned);
        let (code, _, stderr) = run_cwl_command(args.to_vec(), TOKEN).await;
        assert!(code != 0 && stderr.contains("can't be stored"), "{stderr}");
    });
}

/// Active runs complete without lost or duplicate tasks after all controllers are killed and restarted.
/// Also covers cancelling an active run and resuming a failed one.
#[test]
fn runs_survive_controller_restarts() {
    let config = ClusterConfig {
        max_machines: 6,
        policy: "flows = true\njob_backoff = 1s\nstep_patience = 1\nsuspect_after = 2\nmachine_pause = 1s\n"
            .into(),
        ..ClusterConfig::new(&binary_path("hopyoke"), &temp_dir("restart"))
    };
    run_on_event_loop(async move {
        let mut cluster = Cluster::start(config).expect("start the cluster");
        let service = start_service(&cluster);
        let client =
            Client::new(&service.url, TOKEN, Micros::from_secs(60)).expect("valid service URL");
        let form = |text: &str, inputs: Value, key: &str| Form {
            fields: [
                ("workflow_type", "CWL".to_owned()),
                ("workflow_type_version", "v1.2".to_owned()),
                ("workflow_url", "main.cwl".to_owned()),
                ("workflow_params", inputs.to_string()),
                (
                    "workflow_engine_parameters",
                    json!({ "key": key }).to_string(),
                ),
                ("tags", json!({ "purpose": "test" }).to_string()),
            ]
            .into_iter()
            .map(|(k, v)| (k.to_owned(), v))
            .collect(),
            files: [("main.cwl".to_owned(), text.to_owned())].into(),
        };
        let pages: Vec<u32> = (0..30).collect();
        let inputs = json!({ "book": { "class": "File", "location": "b" }, "pages": pages });
        let mut runs = Vec::new();
        for k in 0..4 {
            runs.push(
                client
                    .submit(&form(
                        &ledger_workflow(),
                        inputs.clone(),
                        &format!("run {k}"),
                    ))
                    .await
                    .expect("submission is accepted"),
            );
        }
        // A submission with the same key returns the same run.
        let repeated = client
            .submit(&form(&ledger_workflow(), inputs.clone(), "run 0"))
            .await
            .expect("submission is accepted");
        assert_eq!(repeated, runs[0]);
        runtime::sleep(Micros::from_secs(2)).await;
        for i in 0..3 {
            cluster.kill_controller(i);
        }
        runtime::sleep(Micros::from_millis(700)).await;
        for i in 0..3 {
            cluster.start_controller(i).expect("restart the controller");
        }
        for run in &runs {
            let end = runtime::now() + Micros::from_secs(60);
            while client.status(run).await.is_ok_and(|s| !s.state.is_final())
                && runtime::now() < end
            {
                runtime::sleep(Micros::from_millis(200)).await;
            }
            assert_eq!(
                client.log(run).await.expect("read the run log").state,
                State::Complete,
                "run {run}"
            );
        }
        assert_eq!(cluster.store.keys("end/req-9").len(), 16);
        assert_eq!(*cluster.fleet.violations.borrow(), Vec::<String>::new());
        assert!(
            cluster.store.keys("flow/").is_empty(),
            "{:?}",
            cluster.store.keys("flow/")
        );

        // After the response to a cancellation, no further job is submitted and all jobs of the run are removed.
        let slow = ledger_workflow().replace("estimate: 0.4", "estimate: 60");
        let run = client
            .submit(&form(&slow, inputs.clone(), "slow"))
            .await
            .expect("submission is accepted");
        let is_converting = |s: &Cluster| {
            s.fleet
                .task_starts
                .borrow()
                .iter()
                .filter(|x| x.task.job.as_str().contains(&run))
                .count()
                > 5
        };
        assert!(
            cluster.wait_for(Micros::from_secs(30), is_converting).await,
            "the run made no progress"
        );
        client.change(&run, "cancel").await.expect("cancel the run");
        let submitted = |s: &Cluster| {
            s.store.keys("job/req-9").len() + s.store.keys(&format!("end/req-9{run}")).len()
        };
        let at_cancel = submitted(&cluster);
        let has_ended = |s: &Cluster| s.store.get(&format!("flowend/{run}")).is_some();
        assert!(
            cluster.wait_for(Micros::from_secs(20), has_ended).await,
            "the cancelled run did not end"
        );
        assert_eq!(
            client.status(&run).await.expect("read the run state").state,
            State::Canceled
        );
        assert_eq!(submitted(&cluster), at_cancel);
        assert!(cluster.store.keys("job/req-9").is_empty());
        let merged = cluster
            .fleet
            .task_starts
            .borrow()
            .iter()
            .any(|x| x.class == "merge" && x.task.job.as_str().contains(&run));
        assert!(!merged);

        // A step that fails on all machines fails the run; the resumed run skips the completed steps.
        *cluster.fleet.failing_class.borrow_mut() = "convert".into();
        let run = client
            .submit(&form(&ledger_workflow(), inputs.clone(), "fails"))
            .await
            .expect("submission is accepted");
        let has_ended = |s: &Cluster| s.store.get(&format!("flowend/{run}")).is_some();
        assert!(
            cluster.wait_for(Micros::from_secs(40), has_ended).await,
            "the failing run did not end"
        );
        let log = client.log(&run).await.expect("read the run log");
        assert_eq!(log.state, State::ExecutorError);
        assert!(
            log.run_log.system_logs[0].contains("convert"),
            "{:?}",
            log.run_log.system_logs
        );
        cluster.fleet.failing_class.borrow_mut().clear();
        let resumed = client.change(&run, "resume").await.expect("resume the run");
        assert_ne!(resumed, run);
        let has_ended = |s: &Cluster| s.store.get(&format!("flowend/{resumed}")).is_some();
        assert!(
            cluster.wait_for(Micros::from_secs(40), has_ended).await,
            "the run made no progress"
        );
        assert_eq!(
            client
                .status(&resumed)
                .await
                .expect("read the run state")
                .state,
            State::Complete
        );
        // The original run completed split and check.
        assert_eq!(cluster.store.keys(&format!("end/req-9{resumed}")).len(), 2);
        assert_eq!(
            client.status(&run).await.expect("read the run state").state,
            State::ExecutorError
        );
        assert_eq!(*cluster.fleet.violations.borrow(), Vec::<String>::new());
        check_lists_and_access(&service, &client, &runs).await;
    });
}

/// Checks run and task lists, their paging, authorization, and the rejection of invalid submissions.
async fn check_lists_and_access(service: &Service, client: &Client, runs: &[String]) {
    let http = Http::new(service.addr);
    let get = async |path: &str, token: Option<&str>| {
        let headers = token.map_or(String::new(), |t| format!("Authorization: Bearer {t}\r\n"));
        let path = format!("{BASE_PATH}{path}");
        http.send_with_headers(
            Method::Get,
            &path,
            ("application/json", &[]),
            &headers,
            Micros::from_secs(20),
        )
        .await
        .expect("the service responds")
    };
    let mut seen = BTreeSet::new();
    let mut token = String::new();
    loop {
        let r = get(
            &format!("/runs?page_size=2&page_token={token}"),
            Some(TOKEN),
        )
        .await;
        assert_eq!(r.status, 200);
        let page: RunList = serde_json::from_slice(&r.body).expect("a run list");
        assert!(page.runs.len() <= 2);
        seen.extend(page.runs.iter().map(|r| r.run_id.clone()));
        assert!(
            page.runs
                .iter()
                .all(|r| r.tags.get("purpose").is_some_and(|p| p == "test"))
        );
        token = page.next_page_token;
        if token.is_empty() {
            break;
        }
    }
    assert!(runs.iter().all(|r| seen.contains(r)));
    assert_eq!(seen.len(), 7);
    assert_eq!(client.list("").await.expect("a run list").runs.len(), 7);
    assert_eq!(get("/runs", None).await.status, 401);
    assert_eq!(get("/runs", Some("nobody's")).await.status, 401);
    assert_eq!(
        get(&format!("/runs/{}", runs[0]), Some(OTHER_TOKEN))
            .await
            .status,
        404
    );
    assert_eq!(get("/runs/000000000000", Some(TOKEN)).await.status, 404);
    assert_eq!(get("/runs?page_size=x", Some(TOKEN)).await.status, 400);
    assert_eq!(get("/service-info", None).await.status, 200);
    let r = get(&format!("/runs/{}/tasks?page_size=2", runs[0]), Some(TOKEN)).await;
    let tasks: Value = serde_json::from_slice(&r.body).expect("a task list");
    assert_eq!(tasks["task_logs"].as_array().map(Vec::len), Some(2));
    assert_eq!(tasks["next_page_token"], "2");
    let task = tasks["task_logs"][0]["id"]
        .as_str()
        .expect("the task has an id");
    assert_eq!(
        get(&format!("/runs/{}/tasks/{task}", runs[0]), Some(TOKEN))
            .await
            .status,
        200
    );
    // Submissions for another team, and invalid ones.
    let other =
        Client::new(&service.url, OTHER_TOKEN, Micros::from_secs(60)).expect("valid service URL");
    let form = |text: &str, more: Value| Form {
        fields: BTreeMap::from([
            ("workflow_type".to_owned(), "CWL".to_owned()),
            ("workflow_type_version".to_owned(), "v1.2".to_owned()),
            ("workflow_url".to_owned(), "main.cwl".to_owned()),
            ("workflow_engine_parameters".to_owned(), more.to_string()),
        ]),
        files: [("main.cwl".to_owned(), text.to_owned())].into(),
    };
    let single_tool =
        "cwlVersion: v1.2\nclass: CommandLineTool\nbaseCommand: x\ninputs: {}\noutputs: {}\n";
    let denied = other
        .submit(&form(single_tool, json!({ "team": "crew" })))
        .await
        .expect_err("the team of another client is rejected");
    assert!(denied.contains("403"), "{denied}");
    let wrong = other
        .submit(&form("cwlVersion: v1.2\nclass: Flow\n", json!({})))
        .await
        .expect_err("an unknown class is rejected");
    assert!(
        wrong.contains("unknown class Flow") && wrong.contains("400"),
        "{wrong}"
    );
    let unknown = other
        .submit(&form(single_tool, json!({ "colour": "red" })))
        .await
        .expect_err("an unknown parameter is rejected");
    assert!(unknown.contains("unknown 'colour'"), "{unknown}");
    let too_large = single_tool.replace(
        "inputs",
        "requirements: {ResourceRequirement: {coresMin: 4000}}\ninputs",
    );
    let too_large = other
        .submit(&form(&too_large, json!({})))
        .await
        .expect_err("an oversized task is rejected");
    assert!(
        too_large.contains("422") && too_large.contains("fits no allowed machine type"),
        "{too_large}"
    );
}

/// Checks exit codes and output of the command line without a service.
#[test]
fn command_line() {
    run_on_event_loop(async {
        let dir = temp_dir("command-line");
        let good = write_file(&dir, "good.cwl", &ledger_workflow());
        let bad = write_file(
            &dir,
            "bad.cwl",
            "cwlVersion: v1.2\nclass: CommandLineTool\nbaseCommand: x\ninputs: {a: nothing}\n",
        );
        let unsupported = ledger_workflow().replace(
            "requirements: {ScatterF",
            "requirements: {InplaceUpdateRequirement: {}, ScatterF",
        );
        let unsupported = write_file(&dir, "unsupported.cwl", &unsupported);
        let run = async |args: &[&str]| {
            run_cwl_command(args.iter().map(|a| (*a).to_owned()).collect(), "").await
        };
        let (code, out, _) = run(&["check", &good]).await;
        assert!(code == 0 && out.contains(": valid Workflow"), "{out}");
        let (code, _, err) = run(&["check", &good, &bad]).await;
        assert!(
            code == 1 && err.contains("bad.cwl:4:13") && err.contains("outputs is missing"),
            "{err}"
        );
        let (code, _, err) = run(&["check", &unsupported]).await;
        assert!(
            code == 33 && err.contains("InplaceUpdateRequirement is not supported"),
            "{err}"
        );
        let (code, out, _) = run(&["run", &good, "--print-graph"]).await;
        assert!(
            code == 0 && out.contains("digraph") && out.contains("\"convert\" -> \"merge\""),
            "{out}"
        );
        let (code, out, _) = run(&["run", &good, "--print-graph", "--format", "svg"]).await;
        assert!(code == 0 && out.contains("<svg"), "{out}");
        let inputs = write_file(
            &dir,
            "in.yml",
            "book: {class: File, path: b.csv}\npages: [1, 2]\n",
        );
        let (code, out, err) = run(&["run", &good, &inputs, "--team", "crew", "--validate"]).await;
        assert!(code == 0 && out.contains(": valid, 4 steps"), "{out}{err}");
        let (code, _, err) = run(&["run", &good, "--team", "crew", "--validate"]).await;
        assert!(
            code == 1 && err.contains("input 'book' is missing"),
            "{err}"
        );
        let (code, _, err) = run(&[
            "run",
            &good,
            &inputs,
            "--to",
            "http://127.0.0.1:1",
            "--patience",
            "1",
        ])
        .await;
        assert!(code == 1 && err.contains("not sent"), "{err}");
    });
}
