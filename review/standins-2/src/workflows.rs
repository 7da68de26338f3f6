//! Cases of workflows: the project's workflow service and command line beside controllers that execute workflows.

use crate::cases::{Site, secs};
use crate::cluster::free_addresses;
use hopyoke_event_loop::http::{Client, Method};
use hopyoke_event_loop::{self as runtime};
use hopyoke_types::Micros;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The token of `deploy/wes.toml`'s example client, and its digest there.
const TOKEN: &str = "example-token-0000";
const CWL: &str = "target/release/hopyoke-cwl";

/// The workflow service as a process.
pub struct Service {
    child: Child,
    pub address: SocketAddr,
    pub descriptions: PathBuf,
    client: Client,
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Service {
    /// Starts the service with the settings of `deploy/wes.toml`, but for its addresses.
    pub async fn start(site: &Site) -> Option<Service> {
        let dir = &site.controllers.dir;
        let address = free_addresses(7).pop()?;
        let mesh: Vec<String> = site
            .controllers
            .mesh
            .iter()
            .map(|a| format!("\"{a}\""))
            .collect();
        let descriptions = dir.join("descriptions");
        let text = std::fs::read_to_string("deploy/wes.toml").ok()?;
        let lines = text
            .lines()
            .map(|l| match l.split(' ').next().unwrap_or("") {
                "listen" => format!("listen = \"{address}\""),
                "controllers" => format!("controllers = [{}]", mesh.join(", ")),
                "descriptions" => format!("descriptions = \"{}\"", descriptions.display()),
                _ => l.to_owned(),
            });
        let config = dir.join("wes.toml");
        std::fs::write(&config, lines.collect::<Vec<_>>().join("\n")).ok()?;
        let log = std::fs::File::create(dir.join("wes.log")).ok()?;
        let child = Command::new(CWL)
            .args(["serve", "--config"])
            .arg(&config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .ok()?;
        let service = Service {
            child,
            address,
            descriptions,
            client: Client::new(address),
        };
        for _ in 0..40 {
            runtime::sleep(secs(0.25)).await;
            if service.call(site, Method::Get, "/service-info").await.0 == 200 {
                return Some(service);
            }
        }
        None
    }

    pub async fn call(&self, site: &Site, method: Method, path: &str) -> (u16, Value) {
        let path = format!("/ga4gh/wes/v1{path}");
        let headers = format!("Authorization: Bearer {TOKEN}\r\n");
        let r = self
            .client
            .send_with_headers(
                method,
                &path,
                ("application/json", b""),
                &headers,
                Micros::from_secs(20),
            )
            .await;
        let (status, body) = match r {
            Ok(r) => (
                r.status,
                serde_json::from_slice(&r.body).unwrap_or(Value::Null),
            ),
            Err(_) => (0, Value::Null),
        };
        if path.ends_with("service-info") {
            site.record
                .line(&format!("client {} {path}: {status}", method.as_str()));
        } else {
            site.record.line(&format!(
                "client {} {path}: {status} {body}",
                method.as_str()
            ));
        }
        (status, body)
    }

    /// Submits a document by the command line, with a key. Returns the run's id, or what the command said.
    pub async fn submit(&self, site: &Site, document: &Path, key: &str) -> Result<String, String> {
        let child = Command::new(CWL)
            .args([
                "run",
                "--detach",
                "--team",
                "ledgermove",
                "--key",
                key,
                "--patience",
                "20",
                "--to",
            ])
            .arg(format!("http://{}", self.address))
            .arg(document)
            .env("HOPYOKE_TOKEN", TOKEN)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn();
        let Ok(mut child) = child else {
            return Err("not started".into());
        };
        let until = runtime::now() + secs(30.0);
        while matches!(child.try_wait(), Ok(None)) && runtime::now() < until {
            runtime::sleep(secs(0.05)).await;
        }
        let _ = child.kill();
        let Ok(out) = child.wait_with_output() else {
            return Err("no output".into());
        };
        let text = |b: &[u8]| String::from_utf8_lossy(b).trim().to_owned();
        site.record.line(&format!(
            "client submits {} with key {key}: {} {}",
            document.display(),
            text(&out.stdout),
            text(&out.stderr)
        ));
        if out.status.success() {
            Ok(text(&out.stdout))
        } else {
            Err(text(&out.stderr))
        }
    }
}

/// The settings of `deploy/workflows.policy` for workflows; its staffed hours are left out, so that the time of day has no
/// influence.
const POLICY: &str = "flows = true\nflow_write_share = 10%\n";

fn wide_workflow(steps: usize) -> String {
    let mut t = String::from(
        "cwlVersion: v1.2\nclass: Workflow\n$namespaces: {hopyoke: \"urn:hopyoke:cwl#\"}\nhints:\n  hopyoke:Scheduling: {jobClass: ledger, estimate: 20, imageGb: 0.3}\ninputs: {}\noutputs: {}\nsteps:\n",
    );
    for i in 0..steps {
        t += &format!(
            "  convert{i:02}:\n    in: {{}}\n    out: []\n    run:\n      class: CommandLineTool\n      baseCommand: [convert, page{i:02}]\n      requirements: {{ResourceRequirement: {{coresMin: 8, ramMin: 2048}}}}\n      inputs: {{}}\n      outputs: []\n"
        );
    }
    t
}

/// A workflow whose steps fan out is cancelled halfway through.
pub async fn cancel(dir: &str, trouble: bool) -> u8 {
    const STEPS: usize = 30;
    let Some(site) = Site::start_with(dir, 4, Some(POLICY)).await else {
        return 2;
    };
    *site.fleet.steps.borrow_mut() = Some((site.store.clone(), 40.0));
    let Some(service) = Service::start(&site).await else {
        return 2;
    };
    let document = site.controllers.dir.join("wide.cwl");
    std::fs::write(&document, wide_workflow(STEPS)).expect("document");
    let Ok(run) = service.submit(&site, &document, "ledger-1").await else {
        return 2;
    };
    // Halfway: some steps are done, others run, others wait.
    runtime::sleep(secs(if trouble { 34.0 } else { 60.0 })).await;
    let prefix = format!("req-9{run}");
    site.record
        .line(&format!("on machines: {:?}", site.fleet.tasks_on(&prefix)));
    if !trouble {
        service
            .call(&site, Method::Get, &format!("/runs/{run}/status"))
            .await;
        return site.verdict();
    }
    let (status, _) = service
        .call(&site, Method::Post, &format!("/runs/{run}/cancel"))
        .await;
    let told = runtime::now();
    if status != 200 {
        return 2;
    }
    let bound = secs(crate::world::cfg().cancel_s);
    let mut late_on = 0;
    while runtime::now() < told + bound + secs(20.0) {
        runtime::sleep(secs(5.0)).await;
        let on = site.fleet.tasks_on(&prefix);
        service
            .call(&site, Method::Get, &format!("/runs/{run}/status"))
            .await;
        if runtime::now() > told + bound {
            late_on = late_on.max(on.len());
        }
    }
    let starts = site.fleet.starts.borrow();
    let after = starts
        .iter()
        .filter(|s| s.1.starts_with(&prefix) && s.0 > told)
        .count();
    let late = starts
        .iter()
        .filter(|s| s.1.starts_with(&prefix) && s.0 > told + bound)
        .count();
    site.record.line(&format!("{after} tasks of the run started after its client was told, {late} of them more than 34 s after; {late_on} were on machines then"));
    if late > 0 || late_on > 0 {
        site.record.broken("ran_cancelled: tasks of a workflow are on machines, or start, more than 34 s after its client was told that it is cancelled");
    }
    drop(starts);
    site.verdict()
}

/// A workflow of steps that follow each other, whose commands hold a word.
fn chain(word: &str, steps: &[&str]) -> String {
    let mut t = String::from(
        "cwlVersion: v1.2\nclass: Workflow\n$namespaces: {hopyoke: \"urn:hopyoke:cwl#\"}\nhints:\n  hopyoke:Scheduling: {jobClass: ledger, estimate: 10, imageGb: 0.3}\ninputs: {}\n",
    );
    let last = steps.last().unwrap_or(&"");
    t += &format!("outputs: {{page: {{type: File, outputSource: {last}/page}}}}\nsteps:\n");
    for (i, step) in steps.iter().enumerate() {
        let before = if i == 0 {
            String::new()
        } else {
            format!("before: {}/page", steps[i - 1])
        };
        t += &format!(
            "  {step}:\n    in: {{{before}}}\n    out: [page]\n    run:\n      class: CommandLineTool\n      baseCommand: [{word}, {step}]\n      requirements: {{ResourceRequirement: {{coresMin: 8, ramMin: 2048}}}}\n      inputs: {{before: \"File?\"}}\n      outputs: {{page: {{type: File, outputBinding: {{glob: {step}.json}}}}}}\n"
        );
    }
    t
}

/// A client submits another document under the key of a run that was accepted and has begun. The service refuses it; the
/// accepted run must go on with its own commands.
pub async fn same_key(dir: &str, trouble: bool) -> u8 {
    let Some(site) = Site::start_with(dir, 4, Some(POLICY)).await else {
        return 2;
    };
    *site.fleet.steps.borrow_mut() = Some((site.store.clone(), 10.0));
    let Some(service) = Service::start(&site).await else {
        return 2;
    };
    *site.fleet.descriptions.borrow_mut() = Some(service.descriptions.clone());
    let (first, second) = (
        site.controllers.dir.join("first.cwl"),
        site.controllers.dir.join("second.cwl"),
    );
    std::fs::write(&first, chain("convert", &["read", "merge"])).expect("document");
    std::fs::write(&second, chain("archive", &["read", "merge", "send"])).expect("document");
    let Ok(run) = service.submit(&site, &first, "ledger-2026").await else {
        return 2;
    };
    let prefix = format!("req-9{run}");
    let until = runtime::now() + secs(30.0);
    while site.fleet.tasks_on(&prefix).is_empty() {
        runtime::sleep(secs(0.5)).await;
        if runtime::now() > until {
            return 2;
        }
    }
    // Without the disruption the client repeats what it sent before.
    let again = if trouble { &second } else { &first };
    match service.submit(&site, again, "ledger-2026").await {
        Ok(r) if trouble && r == run => site.record.line("the second document counts as the first"),
        Ok(r) if !trouble && r == run => {}
        Err(_) if trouble => {}
        _ => return 2,
    }
    let until = runtime::now() + secs(60.0);
    while runtime::now() < until {
        runtime::sleep(secs(2.0)).await;
        let (_, body) = service
            .call(&site, Method::Get, &format!("/runs/{run}/status"))
            .await;
        if matches!(
            body["state"].as_str(),
            Some("COMPLETE" | "EXECUTOR_ERROR" | "SYSTEM_ERROR")
        ) {
            break;
        }
    }
    let ran: Vec<(String, String)> = site
        .fleet
        .commands
        .borrow()
        .iter()
        .filter(|c| c.0.starts_with(&prefix))
        .cloned()
        .collect();
    if ran.len() < 2 {
        return 2;
    }
    for (task, command) in ran {
        if !command.contains("convert") {
            site.record.broken(&format!("wrong work: {task} of the accepted run was given the commands of the refused document: {command}"));
        }
    }
    site.verdict()
}

/// Workflows while controllers end and the state service refuses them, to look for broken promises.
pub async fn hunt(dir: &str) -> u8 {
    use rand::{RngExt, SeedableRng};
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let mut r = rand::rngs::StdRng::seed_from_u64(seed);
    let Some(site) = Site::start_with(dir, 12, Some(POLICY)).await else {
        return 2;
    };
    *site.fleet.steps.borrow_mut() = Some((site.store.clone(), 1.5));
    let Some(service) = Service::start(&site).await else {
        return 2;
    };
    let document = site.controllers.dir.join("chain.cwl");
    std::fs::write(&document, chain("convert", &["read", "sort", "merge"])).expect("document");
    let mut runs = Vec::new();
    for k in 0..5 {
        match service.submit(&site, &document, &format!("key-{k}")).await {
            Ok(run) => runs.push(run),
            Err(_) => return 2,
        }
    }
    let end = runtime::now() + secs(45.0);
    while runtime::now() < end {
        let i = r.random_range(0..3usize);
        let long = r.random_range(0.5..12.0);
        match r.random_range(0..5) {
            0 | 1 => {
                site.record.line(&format!(
                    "TROUBLE {i} ends and is back after {:.1} s",
                    long / 4.0
                ));
                site.controllers.kill(i);
                runtime::sleep(secs(long / 4.0)).await;
                site.controllers.start(i);
            }
            2 => {
                site.record
                    .line(&format!("TROUBLE {i} stands still for {long:.1} s"));
                site.controllers.signal(i, "-STOP");
                runtime::sleep(secs(long)).await;
                site.controllers.signal(i, "-CONT");
            }
            3 => {
                site.record.line(&format!(
                    "TROUBLE the state service refuses {i} for {long:.1} s"
                ));
                site.store.treatment.borrow_mut()[i].refused = true;
                runtime::sleep(secs(long)).await;
                site.store.treatment.borrow_mut()[i].refused = false;
            }
            _ => {
                site.record
                    .line(&format!("TROUBLE late answers to {i} for {long:.1} s"));
                site.store.treatment.borrow_mut()[i].after = secs(4.0);
                runtime::sleep(secs(long)).await;
                site.store.treatment.borrow_mut()[i].after = secs(0.0);
            }
        }
        if r.random_range(0..4) == 0 {
            let k = r.random_range(0..5usize);
            let again = service.submit(&site, &document, &format!("key-{k}")).await;
            if again.as_ref().is_ok_and(|a| *a != runs[k]) {
                site.record.broken(&format!(
                    "a repeated submission of run {} is another run: {again:?}",
                    runs[k]
                ));
            }
        }
        runtime::sleep(secs(r.random_range(0.2..4.0))).await;
    }
    let until = runtime::now() + secs(90.0);
    let mut left = runs.clone();
    while !left.is_empty() && runtime::now() < until {
        runtime::sleep(secs(2.0)).await;
        let mut still = Vec::new();
        for run in left {
            let (_, body) = service
                .call(&site, Method::Get, &format!("/runs/{run}/status"))
                .await;
            if body["state"] != "COMPLETE" {
                still.push(run);
            }
        }
        left = still;
    }
    for run in &left {
        site.record
            .broken(&format!("run {run} isn't complete 90 s after all troubles"));
    }
    let starts = site.fleet.starts.borrow();
    for run in &runs {
        let ids: std::collections::BTreeSet<&String> = starts
            .iter()
            .filter(|s| s.1.starts_with(&format!("req-9{run}")))
            .map(|s| &s.1)
            .collect();
        if ids.len() != 3 && !left.contains(run) {
            site.record
                .broken(&format!("run {run} of three steps had the tasks {ids:?}"));
        }
    }
    drop(starts);
    println!("seed {seed}: workflows");
    site.verdict()
}

/// A workflow with hints for another engine, which are allowed to be ignored, and, with `needs_file`, a requirement that is not
/// supported: its last tool needs a file that the document itself holds.
fn foreign_hints(needs_file: bool) -> String {
    let mut t = String::from(
        "cwlVersion: v1.2\nclass: Workflow\n$namespaces: {hopyoke: \"urn:hopyoke:cwl#\", other: \"urn:example:other#\"}\nhints:\n  hopyoke:Scheduling: {jobClass: ledger, estimate: 10, imageGb: 0.3}\ninputs: {}\noutputs: {page: {type: File, outputSource: merge/page}}\nsteps:\n",
    );
    for i in 0..8 {
        t += &format!(
            "  convert{i}:\n    in: {{}}\n    out: [page]\n    run:\n      class: CommandLineTool\n      hints:\n"
        );
        for h in 0..26 {
            t += &format!("        \"other:Hint{h:02}\": {{value: {h}}}\n");
        }
        t += &format!(
            "      baseCommand: [convert, page{i}]\n      inputs: {{}}\n      outputs: {{page: {{type: File, outputBinding: {{glob: p.json}}}}}}\n"
        );
    }
    let requirement = if needs_file {
        "      requirements: {InitialWorkDirRequirement: {listing: [{entryname: rates.csv, entry: \"EUR 1.0\"}]}}\n"
    } else {
        ""
    };
    t += &format!(
        "  merge:\n    in: {{before: convert0/page}}\n    out: [page]\n    run:\n      class: CommandLineTool\n{requirement}      baseCommand: [merge, rates.csv]\n      inputs: {{before: File}}\n      outputs: {{page: {{type: File, outputBinding: {{glob: m.json}}}}}}\n"
    );
    t
}

/// A document with a requirement that the service can't meet has to be refused, however many warnings stand before it.
pub async fn many_warnings(dir: &str, trouble: bool) -> u8 {
    let Some(site) = Site::start_with(dir, 4, Some(POLICY)).await else {
        return 2;
    };
    *site.fleet.steps.borrow_mut() = Some((site.store.clone(), 2.0));
    let Some(service) = Service::start(&site).await else {
        return 2;
    };
    *site.fleet.descriptions.borrow_mut() = Some(service.descriptions.clone());
    let document = site.controllers.dir.join("hints.cwl");
    std::fs::write(&document, foreign_hints(trouble)).expect("document");
    let run = match service.submit(&site, &document, "hints-1").await {
        Ok(run) => run,
        Err(_) if trouble => {
            site.record.line("the document was refused");
            return site.verdict();
        }
        Err(_) => return 2,
    };
    let until = runtime::now() + secs(90.0);
    let mut state = String::new();
    while runtime::now() < until
        && !matches!(
            state.as_str(),
            "COMPLETE" | "EXECUTOR_ERROR" | "SYSTEM_ERROR"
        )
    {
        runtime::sleep(secs(2.0)).await;
        let (_, body) = service
            .call(&site, Method::Get, &format!("/runs/{run}/status"))
            .await;
        state = body["state"].as_str().unwrap_or("").to_owned();
    }
    let commands = site.fleet.commands.borrow();
    let merge = commands.iter().find(|c| c.1.contains("\"merge\"")).cloned();
    drop(commands);
    match merge {
        Some((task, text)) if trouble => site.record.broken(&format!(
            "accepted though it can't run: {task} was started without the file that its document requires, and the run is {state}: {text}"
        )),
        Some(_) if state == "COMPLETE" => {}
        _ => return 2,
    }
    site.verdict()
}
