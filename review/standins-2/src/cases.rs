//! The cases.

use crate::cluster::Controllers;
use crate::fleet::{Cloud, Fleet, Team};
use crate::proxy::Link;
use crate::store::Store;
use crate::users::{Users, job};
use crate::world::{LANE, Record, Uploads, cfg, choose, json_len};
use hopyoke_event_loop::{self as runtime};
use hopyoke_types::Micros;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

/// A small deployment: three controllers, and four machines that are up at the start.
pub struct Site {
    pub record: Rc<Record>,
    pub store: Rc<Store>,
    pub fleet: Rc<Fleet>,
    pub cloud: Rc<Cloud>,
    pub controllers: Rc<Controllers>,
    pub users: Rc<Users>,
    pub links: Vec<Vec<Rc<Link>>>,
    dir: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var("CASE_KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

pub fn secs(s: f64) -> Micros {
    Micros::from_secs_f64(s)
}

fn teams() -> Vec<Team> {
    let named = cfg().teams.iter().filter(|t| !t.0.is_empty());
    named
        .map(|&(name, gpus, gpus_max)| Team {
            name,
            gpus,
            gpus_max,
        })
        .collect()
}

impl Site {
    pub async fn start(dir: &str, most_machines: usize) -> Option<Site> {
        Site::start_with(dir, most_machines, None).await
    }

    /// Starts a deployment with the operators' own settings.
    pub async fn start_with(dir: &str, most_machines: usize, policy: Option<&str>) -> Option<Site> {
        let record = Record::open(&format!("{dir}/record.txt"));
        let tmp = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&tmp).ok()?;
        let uploads: Uploads = Rc::default();
        let (store, state) = Store::start(3);
        let fleet = Fleet::new(record.clone(), uploads.clone(), teams());
        let (cloud, cloud_addr) = Cloud::start(&fleet, &cfg().zones, most_machines, 2.0);
        let links: Vec<Vec<Rc<Link>>> = (0..3)
            .map(|_| (0..3).map(|_| Link::start()).collect())
            .collect();
        let controllers = Rc::new(Controllers::new(
            &tmp,
            &teams(),
            &state,
            cloud_addr,
            policy,
            |i, j, a| {
                links[i][j].to.set(Some(a));
                links[i][j].address
            },
        ));
        *fleet.controllers.borrow_mut() = (0..3)
            .map(|i| (Controllers::name(i), controllers.api[i]))
            .collect();
        for (i, n) in cfg().up.iter().enumerate() {
            for _ in 0..*n {
                cloud.rent(cfg().zones[i], false, Some(Micros::ZERO));
            }
        }
        let users = Users::new(&record, &fleet, &uploads, &controllers.api);
        let site = Site {
            record,
            store,
            fleet,
            cloud,
            controllers,
            users,
            links,
            dir: tmp,
        };
        for i in 0..3 {
            if !site.controllers.start(i) {
                return None;
            }
        }
        let until = runtime::now() + secs(20.0);
        while runtime::now() < until {
            runtime::sleep(secs(0.25)).await;
            let mut healthy = 0;
            for i in 0..3 {
                healthy += usize::from(site.users.healthy(i).await);
            }
            if healthy == 3 {
                return Some(site);
            }
        }
        site.record.line("the controllers did not become healthy");
        None
    }

    pub fn verdict(&self) -> u8 {
        let broken = self.record.broken.borrow();
        for b in broken.iter() {
            println!("broken: {b}");
        }
        self.record.line(if broken.is_empty() {
            "the rules held"
        } else {
            "a rule was broken"
        });
        u8::from(!broken.is_empty())
    }
}

/// A deployment for trials by hand.
async fn serve_site(dir: &str) -> u8 {
    let Some(site) = Site::start(dir, 16).await else {
        return 2;
    };
    println!("{:?}", site.controllers.api);
    for _ in 0..1200 {
        runtime::sleep(secs(0.5)).await;
        if let Some(i) = site.controllers.ended() {
            println!("controller {i} ended by itself");
            return 1;
        }
    }
    0
}

pub async fn play(name: &str, dir: &str, trouble: bool) -> u8 {
    match name {
        "serve" => serve_site(dir).await,
        "failed-once" => failed_once(dir, trouble).await,
        "workflow-hunt" => crate::workflows::hunt(dir).await,
        "before-outage" => crate::hunt::before_outage(dir).await,
        "slow-state" => crate::hunt::slow_state(dir).await,
        "meetings" => crate::hunt::meetings(dir).await,
        "hunt" => crate::hunt::hunt(dir, trouble).await,
        "many-warnings" => crate::workflows::many_warnings(dir, trouble).await,
        "same-key" => crate::workflows::same_key(dir, trouble).await,
        "workflow-cancel" => crate::workflows::cancel(dir, trouble).await,
        "odd-names" => odd_names(dir, trouble).await,
        _ => 2,
    }
}

/// The record of an accepted job, as the controllers keep it.
fn record_len(spec: &Value) -> usize {
    json_len(
        &json!({"spec":spec,"accepted_us":1_765_065_000_000_000u64,"done":[],"term":0,"marks_start":true}),
    )
}

/// A job whose list of machine types holds garbage besides the right name. A control character takes one byte in
/// MessagePack and six in JSON, in which the pages count: accepted, its record takes 8,188 of 8,192 bytes.
fn odd_job(id: &str) -> Value {
    let mut j = job(id, "fleetwatch", "array", 2);
    let mut rigs = vec!["bancarig".to_owned()];
    let limit = 8188;
    loop {
        let mut more = rigs.clone();
        more.push("\u{1}".repeat(150));
        j["rigs"] = json!(more);
        if record_len(&j) + 10 > limit {
            break;
        }
        rigs = more;
    }
    rigs.push(String::new());
    loop {
        j["rigs"] = json!(rigs);
        let left = limit - record_len(&j);
        let Some(last) = rigs.last_mut() else { break };
        match left {
            0 => break,
            1..=5 => last.push('x'),
            _ => last.push('\u{1}'),
        }
    }
    j
}

/// Watches jobs after they were accepted, until all have started or `until`, and checks: "Once the troubles are over, no
/// job is left waiting for 90 s while a machine that fits has room and its team is under its limit."
pub async fn watch_waiting(site: &Site, jobs: &[String], until: Micros) {
    let mut since: BTreeMap<&String, Micros> = BTreeMap::new();
    let mut next_poll = runtime::now();
    let mut round = 0;
    while runtime::now() < until {
        runtime::sleep(secs(0.5)).await;
        let now = runtime::now();
        let waiting: Vec<&String> = jobs.iter().filter(|j| site.fleet.waits(j)).collect();
        if jobs.iter().all(|j| site.fleet.is_over(j)) {
            return;
        }
        since.retain(|j, _| waiting.contains(j));
        for j in waiting {
            if !site.fleet.has_room(j) {
                since.remove(j);
                continue;
            }
            let from = *since.entry(j).or_insert(now);
            if now >= from + secs(90.0) {
                site.record.broken(&format!("waiting: {j} was accepted, and has waited for 90 s while a machine that fits has room"));
                return;
            }
        }
        if now >= next_poll {
            next_poll = now + secs(5.0);
            round += 1;
            for j in jobs {
                site.users.poll(round % 3, j).await;
            }
        }
    }
}

async fn odd_names(dir: &str, trouble: bool) -> u8 {
    let Some(site) = Site::start(dir, 20).await else {
        return 2;
    };
    let u = &site.users;
    if trouble
        && !u
            .submit_until_accepted(1, &odd_job("req-000100"), 3.0)
            .await
    {
        site.record
            .line("the job with garbage among its machine types was not accepted");
        return 2;
    }
    // Ordinary jobs of other teams.
    let mut jobs = Vec::new();
    for (i, crew) in ["skipperops", "dockworks", "ledgermove", "bookingdesk"]
        .iter()
        .enumerate()
    {
        let id = format!("req-00020{i}");
        if !u
            .submit_until_accepted(i % 3, &job(&id, crew, "array", 1 + i as u32 % 2), 3.0)
            .await
        {
            return 2;
        }
        jobs.push(id);
    }
    watch_waiting(&site, &jobs, runtime::now() + secs(98.0)).await;
    if site.fleet.starts.borrow().is_empty() {
        site.record
            .broken("nothing_ran: no task of any job was started");
    }
    let refused = site.store.malformed.get();
    site.record.line(&format!(
        "the state service refused {refused} transactions, the last one for: {}",
        site.store.malformed_reason.borrow()
    ));
    site.verdict()
}

/// A machine fails a task, for a short while, and is well again.
async fn failed_once(dir: &str, trouble: bool) -> u8 {
    choose(&LANE);
    let Some(site) = Site::start(dir, 20).await else {
        return 2;
    };
    site.cloud
        .zone_most
        .borrow_mut()
        .insert(cfg().zones[0].to_owned(), 1);
    let u = &site.users;
    let mut service = job("req-000101", "albumcrew", "daemon", 1);
    service["rank"] = json!("prod");
    service["cpus"] = json!(5.0);
    service["mem_gb"] = json!(29.0);
    service["voyage_s"] = json!(0.0);
    service["basin"] = json!(cfg().zones[0]);
    if !u.submit_until_accepted(0, &service, 0.0).await {
        return 2;
    }
    let until = runtime::now() + secs(12.0);
    while runtime::now() < until && site.fleet.started("req-000101").is_none() {
        runtime::sleep(secs(0.25)).await;
    }
    let machine = site
        .fleet
        .workers
        .borrow()
        .values()
        .find(|w| w.basin == cfg().zones[0])
        .cloned();
    let Some(machine) = machine.filter(|_| site.fleet.started("req-000101").is_some()) else {
        return 2;
    };
    machine.failing.set(trouble);
    if trouble {
        site.record
            .line(&format!("{} fails every task that it starts", machine.id));
    }
    let mut bound = job("req-000200", "archivecrew", "array", 1);
    bound["basin"] = json!(cfg().zones[0]);
    if !u.submit_until_accepted(1, &bound, 3.0).await {
        return 2;
    }
    let until = runtime::now() + secs(8.0);
    while runtime::now() < until && site.fleet.started("req-000200").is_none() {
        runtime::sleep(secs(0.25)).await;
    }
    runtime::sleep(secs(1.0)).await;
    machine.failing.set(false);
    site.record.line(&format!("{} is well again", machine.id));
    watch_waiting(
        &site,
        &["req-000200".to_owned()],
        runtime::now() + secs(95.0),
    )
    .await;
    site.verdict()
}
