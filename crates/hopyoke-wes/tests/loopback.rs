//! Real processes on loopback: controllers, the workflow service and the command line, around
//! stand-ins of the state service, the cloud and the workers.

use hopyoke_emulator::{Cluster, ClusterConfig};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client as Http, Method, Response};
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros};
use hopyoke_wes::access::Access;
use hopyoke_wes::client::Client;
use hopyoke_wes::upload::Form;
use hopyoke_wes::wire::{BASE, RunList, State};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

/// The programs are beside the test's own directory.
fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("a path");
    let dir = test
        .parent()
        .and_then(Path::parent)
        .expect("target/PROFILE/deps");
    let path = dir.join(name);
    assert!(
        path.is_file(),
        "{} is missing: `cargo build --release --workspace` makes it",
        path.display()
    );
    path
}

fn dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a directory");
    dir
}

fn on_runtime<F: Future<Output = ()> + 'static>(test: F) {
    let done = Rc::new(RefCell::new(false));
    let flag = done.clone();
    runtime::run(async move {
        test.await;
        *flag.borrow_mut() = true;
    })
    .expect("an event loop");
    assert!(*done.borrow());
}

/// The workflow service as a process; it ends with the test.
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
const OTHER: &str = "a token of another one";

fn service(site: &Cluster) -> Service {
    let held = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = held.local_addr().expect("its address");
    drop(held);
    let mesh: Vec<String> = site.mesh_addrs.iter().map(|m| format!("\"{m}\"")).collect();
    let text = format!(
        "listen = \"{addr}\"\ncontrollers = [{}]\ndescriptions = {:?}\n\
         [[client]]\nname = \"ledger\"\ntoken_sha256 = \"{}\"\nteams = [\"crew\"]\n\
         [[client]]\nname = \"another\"\ntoken_sha256 = \"{}\"\nteams = [\"other\"]\n",
        mesh.join(", "),
        site.config.dir.join("descriptions"),
        Access::digest_text(TOKEN),
        Access::digest_text(OTHER),
    );
    let file = site.config.dir.join("wes.toml");
    std::fs::write(&file, text).expect("a file");
    let log = std::fs::File::create(site.config.dir.join("wes.log")).expect("a log");
    let child = Command::new(program("hopyoke-cwl"))
        .args(["serve", "--config"])
        .arg(&file)
        .stdin(Stdio::null())
        .stderr(log)
        .spawn()
        .expect("the service");
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

/// split, then a fan-out, then merge.
fn ledger() -> String {
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

/// What started, in its order, without job ids.
fn started(site: &Cluster) -> Vec<(String, u32, String, String)> {
    let task_starts = site.fleet.task_starts.borrow();
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

/// Submits a job natively and waits for its end.
async fn native(site: &Cluster, spec: &JobSpec) {
    let client = Http::new(site.api_addrs[0]);
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

/// The command line's run, on a thread, so that the site goes on.
async fn command(args: Vec<String>, token: &str) -> (i32, String, String) {
    let mut child = Command::new(program("hopyoke"))
        .arg("cwl")
        .args(&args)
        .env("HOPYOKE_TOKEN", token)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command");
    let end = runtime::now() + Micros::from_secs(90);
    loop {
        if let Ok(Some(status)) = child.try_wait() {
            let out = child.wait_with_output().expect("its output");
            let text = |b: Vec<u8>| String::from_utf8_lossy(&b).into_owned();
            return (
                status.code().unwrap_or(-1),
                text(out.stdout),
                text(out.stderr),
            );
        }
        if runtime::now() > end {
            let _ = child.kill();
            panic!("{args:?} takes too long");
        }
        runtime::sleep(Micros::from_millis(50)).await;
    }
}

fn write(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    std::fs::write(&path, text).expect("a file");
    path.to_string_lossy().into_owned()
}

/// The same work natively and as CWL: placement, order and final states are the same.
#[test]
fn native_and_cwl_are_the_same() {
    let site = |name: &str| ClusterConfig {
        controllers: 1,
        max_machines: 1,
        policy: "flows = true\nkeep_ready = 0\nidle_return = 30s\n".into(),
        ..ClusterConfig::new(&program("hopyoke"), &dir(name))
    };
    let (a, b) = (site("same-native"), site("same-cwl"));
    let natively = Rc::new(RefCell::new(Vec::new()));
    let out = natively.clone();
    on_runtime(async move {
        let site = Cluster::start(a).expect("a site");
        for (i, (class, tasks, s)) in [
            ("split", 1, 0.3),
            ("check", 1, 0.3),
            ("convert", 12, 0.4),
            ("merge", 1, 0.3),
        ]
        .iter()
        .enumerate()
        {
            native(
                &site,
                &spec(&format!("req-{}", 1000 + i), class, *tasks, *s),
            )
            .await;
        }
        assert!(site.fleet.violations.borrow().is_empty());
        *out.borrow_mut() = started(&site);
    });
    let as_cwl = Rc::new(RefCell::new(Vec::new()));
    let out = as_cwl.clone();
    on_runtime(async move {
        let site = Cluster::start(b).expect("a site");
        let service = service(&site);
        let main = write(&site.config.dir, "ledger.cwl", &ledger());
        let pages: Vec<u32> = (0..12).collect();
        let inputs = json!({ "book": { "class": "File", "location": "book.csv" }, "pages": pages })
            .to_string();
        let inputs = write(&site.config.dir, "inputs.json", &inputs);
        let args = ["run", &main, &inputs, "--to", &service.url].map(str::to_owned);
        let (code, stdout, stderr) = command(args.to_vec(), TOKEN).await;
        assert_eq!(code, 0, "{stderr}");
        let outputs: Value = serde_json::from_str(&stdout).expect("JSON on standard output");
        assert_eq!(outputs["sum"]["class"], "File", "{stdout}");
        // Every job that it was has ended as done, and has a description for its worker.
        let ends = site.store.keys("end/req-9");
        assert_eq!(ends.len(), 4);
        for key in &ends {
            assert_eq!(
                site.store.get(key).expect("a record")["state"],
                "done",
                "{key}"
            );
            let file = site
                .config
                .dir
                .join("descriptions")
                .join(format!("{}.json", &key[4..]));
            let list: Value =
                serde_json::from_slice(&std::fs::read(file).expect("a description")).expect("JSON");
            assert!(list.as_array().is_some_and(|l| !l.is_empty()));
        }
        assert!(site.fleet.violations.borrow().is_empty());
        *out.borrow_mut() = started(&site);
    });
    assert_eq!(natively.borrow().len(), 15);
    assert_eq!(*natively.borrow(), *as_cwl.borrow());
}

/// All controllers end while runs are under way: nothing is lost, nothing runs twice. Then a run is
/// cancelled halfway, and one fails and is resumed.
#[test]
fn runs_outlive_controllers() {
    let plan = ClusterConfig {
        max_machines: 6,
        policy: "flows = true\njob_backoff = 1s\nstep_patience = 1\nsuspect_after = 2\nmachine_pause = 1s\n"
            .into(),
        ..ClusterConfig::new(&program("hopyoke"), &dir("outlive"))
    };
    on_runtime(async move {
        let mut site = Cluster::start(plan).expect("a site");
        let service = service(&site);
        let client = Client::new(&service.url, TOKEN, Micros::from_secs(60)).expect("an address");
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
                    .submit(&form(&ledger(), inputs.clone(), &format!("run {k}")))
                    .await
                    .expect("accepted"),
            );
        }
        // Asked again, it is the same run.
        let again = client
            .submit(&form(&ledger(), inputs.clone(), "run 0"))
            .await
            .expect("accepted");
        assert_eq!(again, runs[0]);
        runtime::sleep(Micros::from_secs(2)).await;
        for i in 0..3 {
            site.kill_controller(i);
        }
        runtime::sleep(Micros::from_millis(700)).await;
        for i in 0..3 {
            site.start_controller(i).expect("a controller");
        }
        for run in &runs {
            let end = runtime::now() + Micros::from_secs(60);
            while client.status(run).await.is_ok_and(|s| !s.state.is_final())
                && runtime::now() < end
            {
                runtime::sleep(Micros::from_millis(200)).await;
            }
            assert_eq!(
                client.log(run).await.expect("a log").state,
                State::Complete,
                "run {run}"
            );
        }
        assert_eq!(site.store.keys("end/req-9").len(), 16);
        assert_eq!(*site.fleet.violations.borrow(), Vec::<String>::new());
        assert!(
            site.store.keys("flow/").is_empty(),
            "{:?}",
            site.store.keys("flow/")
        );

        // Cancelled halfway: from the answer on nothing of it is submitted, and all is withdrawn.
        let slow = ledger().replace("estimate: 0.4", "estimate: 60");
        let run = client
            .submit(&form(&slow, inputs.clone(), "slow"))
            .await
            .expect("accepted");
        let converting = |s: &Cluster| {
            s.fleet
                .task_starts
                .borrow()
                .iter()
                .filter(|x| x.task.job.as_str().contains(&run))
                .count()
                > 5
        };
        assert!(
            site.wait_for(Micros::from_secs(30), converting).await,
            "it does not get on"
        );
        client.change(&run, "cancel").await.expect("cancelled");
        let submitted = |s: &Cluster| {
            s.store.keys("job/req-9").len() + s.store.keys(&format!("end/req-9{run}")).len()
        };
        let at_cancel = submitted(&site);
        let over = |s: &Cluster| s.store.get(&format!("flowend/{run}")).is_some();
        assert!(
            site.wait_for(Micros::from_secs(20), over).await,
            "it is not over"
        );
        assert_eq!(
            client.status(&run).await.expect("a state").state,
            State::Canceled
        );
        assert_eq!(submitted(&site), at_cancel);
        assert!(site.store.keys("job/req-9").is_empty());
        let merged = site
            .fleet
            .task_starts
            .borrow()
            .iter()
            .any(|x| x.class == "merge" && x.task.job.as_str().contains(&run));
        assert!(!merged);

        // A step that fails everywhere fails the run; resumed, it goes on from what is done.
        *site.fleet.failing_class.borrow_mut() = "convert".into();
        let run = client
            .submit(&form(&ledger(), inputs.clone(), "fails"))
            .await
            .expect("accepted");
        let over = |s: &Cluster| s.store.get(&format!("flowend/{run}")).is_some();
        assert!(
            site.wait_for(Micros::from_secs(40), over).await,
            "it is not given up"
        );
        let log = client.log(&run).await.expect("a log");
        assert_eq!(log.state, State::ExecutorError);
        assert!(
            log.run_log.system_logs[0].contains("convert"),
            "{:?}",
            log.run_log.system_logs
        );
        site.fleet.failing_class.borrow_mut().clear();
        let resumed = client.change(&run, "resume").await.expect("resumed");
        assert_ne!(resumed, run);
        let over = |s: &Cluster| s.store.get(&format!("flowend/{resumed}")).is_some();
        assert!(
            site.wait_for(Micros::from_secs(40), over).await,
            "it does not get on"
        );
        assert_eq!(
            client.status(&resumed).await.expect("a state").state,
            State::Complete
        );
        // split and check were done before.
        assert_eq!(site.store.keys(&format!("end/req-9{resumed}")).len(), 2);
        assert_eq!(
            client.status(&run).await.expect("a state").state,
            State::ExecutorError
        );
        assert_eq!(*site.fleet.violations.borrow(), Vec::<String>::new());
        listed(&service, &client, &runs).await;
    });
}

/// Lists, pages, and who may see what.
async fn listed(service: &Service, client: &Client, runs: &[String]) {
    let http = Http::new(service.addr);
    let get = async |path: &str, token: Option<&str>| {
        let headers = token.map_or(String::new(), |t| format!("Authorization: Bearer {t}\r\n"));
        let path = format!("{BASE}{path}");
        http.send_with_headers(
            Method::Get,
            &path,
            ("application/json", &[]),
            &headers,
            Micros::from_secs(20),
        )
        .await
        .expect("an answer")
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
        let page: RunList = serde_json::from_slice(&r.body).expect("a list");
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
    assert_eq!(client.list("").await.expect("a list").runs.len(), 7);
    assert_eq!(get("/runs", None).await.status, 401);
    assert_eq!(get("/runs", Some("nobody's")).await.status, 401);
    assert_eq!(
        get(&format!("/runs/{}", runs[0]), Some(OTHER)).await.status,
        404
    );
    assert_eq!(get("/runs/000000000000", Some(TOKEN)).await.status, 404);
    assert_eq!(get("/runs?page_size=x", Some(TOKEN)).await.status, 400);
    assert_eq!(get("/service-info", None).await.status, 200);
    let r = get(&format!("/runs/{}/tasks?page_size=2", runs[0]), Some(TOKEN)).await;
    let tasks: Value = serde_json::from_slice(&r.body).expect("tasks");
    assert_eq!(tasks["task_logs"].as_array().map(Vec::len), Some(2));
    assert_eq!(tasks["next_page_token"], "2");
    let task = tasks["task_logs"][0]["id"].as_str().expect("an id");
    assert_eq!(
        get(&format!("/runs/{}/tasks/{task}", runs[0]), Some(TOKEN))
            .await
            .status,
        200
    );
    // Another team's work, and nonsense.
    let other = Client::new(&service.url, OTHER, Micros::from_secs(60)).expect("an address");
    let form = |text: &str, more: Value| Form {
        fields: BTreeMap::from([
            ("workflow_type".to_owned(), "CWL".to_owned()),
            ("workflow_type_version".to_owned(), "v1.2".to_owned()),
            ("workflow_url".to_owned(), "main.cwl".to_owned()),
            ("workflow_engine_parameters".to_owned(), more.to_string()),
        ]),
        files: [("main.cwl".to_owned(), text.to_owned())].into(),
    };
    let one = "cwlVersion: v1.2\nclass: CommandLineTool\nbaseCommand: x\ninputs: {}\noutputs: {}\n";
    let denied = other
        .submit(&form(one, json!({ "team": "crew" })))
        .await
        .expect_err("another's team");
    assert!(denied.contains("403"), "{denied}");
    let wrong = other
        .submit(&form("cwlVersion: v1.2\nclass: Flow\n", json!({})))
        .await
        .expect_err("no process");
    assert!(
        wrong.contains("unknown class Flow") && wrong.contains("400"),
        "{wrong}"
    );
    let unknown = other
        .submit(&form(one, json!({ "colour": "red" })))
        .await
        .expect_err("an unknown word");
    assert!(unknown.contains("unknown 'colour'"), "{unknown}");
    let never = one.replace(
        "inputs",
        "requirements: {ResourceRequirement: {coresMin: 4000}}\ninputs",
    );
    let never = other
        .submit(&form(&never, json!({})))
        .await
        .expect_err("too large");
    assert!(
        never.contains("422") && never.contains("fits no allowed machine type"),
        "{never}"
    );
}

/// The command line by itself: exit codes and what it prints.
#[test]
fn command_line() {
    on_runtime(async {
        let dir = dir("line");
        let good = write(&dir, "good.cwl", &ledger());
        let bad = write(
            &dir,
            "bad.cwl",
            "cwlVersion: v1.2\nclass: CommandLineTool\nbaseCommand: x\ninputs: {a: nothing}\n",
        );
        let unsupported = ledger().replace(
            "requirements: {ScatterF",
            "requirements: {InplaceUpdateRequirement: {}, ScatterF",
        );
        let unsupported = write(&dir, "unsupported.cwl", &unsupported);
        let run =
            async |args: &[&str]| command(args.iter().map(|a| (*a).to_owned()).collect(), "").await;
        let (code, out, _) = run(&["check", &good]).await;
        assert!(code == 0 && out.contains("a sound Workflow"), "{out}");
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
        let inputs = write(
            &dir,
            "in.yml",
            "book: {class: File, path: b.csv}\npages: [1, 2]\n",
        );
        let (code, out, err) = run(&["run", &good, &inputs, "--team", "crew", "--validate"]).await;
        assert!(code == 0 && out.contains("sound, 4 steps"), "{out}{err}");
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
