//! Scenario statements that need no simulation: request bodies, settings, and raw HTTP.

use hopyoke_event_loop::http::{self, OpenConnections, Request, Response, ServerLimits};
use hopyoke_event_loop::{self as runtime, CancellationToken, TcpListener, TcpStream};
use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::user::JobSpec;
use hopyoke_scheduler::{Team, unschedulable_reason};
use hopyoke_settings::Settings;
use hopyoke_types::Micros;
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;

const VALID_SUBMISSION: &str = r#"{"id":"req-000412","berth":"train","crew":"crew","hull":"group","rank":"high","oars":4,
 "cpus":8.0,"cards":1.0,"mem_gb":32.0,"cargo":"img-07","pull_gb":6.2,"rigs":["std"],"basin":null,
 "together":true,"apart":false,"driftboats":true,"voyage_s":240.0,"logbook_s":30.0,"stow_s":4.0,"ashore_s":900.0}"#;

/// Number that stands for NaN, which JSON lacks, until the body is encoded.
const NAN_PLACEHOLDER: f64 = 123_456.789;

fn replace_nan_placeholders(mut body: Vec<u8>) -> Vec<u8> {
    let placeholder = NAN_PLACEHOLDER.to_be_bytes();
    while let Some(at) = body.windows(8).position(|w| w == placeholder) {
        body[at..at + 8].copy_from_slice(&f64::NAN.to_be_bytes());
    }
    body
}

fn merge(patch: &Value) -> Value {
    let mut submission: Value = serde_json::from_str(VALID_SUBMISSION).expect("valid JSON");
    let map = submission.as_object_mut().expect("an object");
    for (k, v) in patch.as_object().into_iter().flatten() {
        if v.as_str() == Some("<missing>") {
            map.remove(k);
        } else if v.as_str() == Some("<nan>") {
            map.insert(k.clone(), NAN_PLACEHOLDER.into());
        } else {
            map.insert(k.clone(), v.clone());
        }
    }
    submission
}

/// Runs a statement that starts with `word`; returns `None` if it is not one of this module.
pub(crate) fn statement(word: &str, line: &str) -> Option<Result<(), String>> {
    Some(match word {
        "input" => input(line),
        "settings" => settings(line),
        "http" => http(line),
        _ => return None,
    })
}

/// `input PATCH -> ok | 400 FIELD | 422 WORD`: a valid submission with these fields changed.
/// `input hex BYTES -> ...`: a body given as bytes; `input nested N -> ...`: a body with N nested arrays.
#[expect(
    clippy::too_many_lines,
    reason = "one statement of the scenario language, together with its machine types and teams"
)]
fn input(line: &str) -> Result<(), String> {
    let (left, right) = line
        .trim_start_matches("input")
        .split_once("->")
        .ok_or("`->` is missing")?;
    let left = left.trim();
    let body = if let Some(hex) = left.strip_prefix("hex ") {
        hex.split_whitespace()
            .map(|h| u8::from_str_radix(h, 16))
            .collect::<Result<Vec<u8>, _>>()
            .map_err(|e| e.to_string())?
    } else if let Some(n) = left.strip_prefix("nested ") {
        let n: usize = n.trim().parse().map_err(|_| "the depth is not a number")?;
        let mut b = vec![0x81, 0xa2, b'i', b'd'];
        b.extend(std::iter::repeat_n(0x91, n));
        b
    } else {
        let patch: Value = serde_json::from_str(left).map_err(|e| e.to_string())?;
        replace_nan_placeholders(rmp_serde::to_vec(&merge(&patch)).map_err(|e| e.to_string())?)
    };
    let std = MachineType {
        name: "std".into(),
        cpus: 16.0,
        gpus: 2.0,
        memory_gb: 64.0,
        cache_gb: 70.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 1.0,
        boot_s: 10.0,
        zones: vec!["a".into(), "b".into()],
    };
    let only_b = MachineType {
        name: "only-b".into(),
        memory_gb: 128.0,
        zones: vec!["b".into()],
        ..std.clone()
    };
    // Without a list of zones, a machine type is available in every zone.
    let anywhere = MachineType {
        name: "anywhere".into(),
        zones: Vec::new(),
        ..std.clone()
    };
    let types = [std, only_b, anywhere];
    let teams = [
        Team {
            name: "crew".into(),
            gpus_max: 8.0,
            ..Team::default()
        },
        Team {
            name: "free".into(),
            ..Team::default()
        },
    ];
    let got = match JobSpec::parse(&body) {
        Err(e) => format!("400 {e}"),
        Ok(spec) => match unschedulable_reason(&spec, &types, &["a".into(), "b".into()], &teams) {
            Some(reason) => format!("422 {reason}"),
            None => "ok".into(),
        },
    };
    let right = right.trim();
    let (status, part) = right.split_once(' ').unwrap_or((right, ""));
    if got.starts_with(status) && got.contains(part) {
        Ok(())
    } else {
        Err(format!("got {got}"))
    }
}

const VALID_SETTINGS: &str = include_str!("settings.toml");

/// `settings OLD => NEW -> ok | FIELD`: valid settings with one line replaced.
fn settings(line: &str) -> Result<(), String> {
    let (edit, want) = line
        .trim_start_matches("settings")
        .rsplit_once("->")
        .ok_or("`->` is missing")?;
    let (old, new) = edit.split_once("=>").ok_or("`=>` is missing")?;
    let (old, new, want) = (old.trim(), new.trim(), want.trim());
    if !VALID_SETTINGS.contains(old) {
        return Err(format!("the valid settings don't contain `{old}`"));
    }
    let text = VALID_SETTINGS.replacen(old, new, 1);
    match (Settings::parse("test", &text), want) {
        (Ok(_), "ok") => Ok(()),
        (Ok(_), _) => Err("the settings are accepted".into()),
        (Err(e), "ok") => Err(e.to_string()),
        (Err(e), field) if e.to_string().contains(field) => Ok(()),
        (Err(e), _) => Err(format!("got {e}")),
    }
}

/// `http [crowded] "RAW" -> STATUS [close]`: raw bytes to the real server on loopback; `crowded`: more connections are
/// open than may persist.
fn http(line: &str) -> Result<(), String> {
    let (raw, want) = line
        .trim_start_matches("http")
        .rsplit_once("->")
        .ok_or("`->` is missing")?;
    let (raw, max_persistent) = match raw.trim().strip_prefix("crowded") {
        Some(r) => (r, 0),
        None => (raw, 8),
    };
    let raw = raw
        .trim()
        .trim_matches('"')
        .replace("\\r\\n", "\r\n")
        .replace("<32K>", &"a".repeat(32 * 1024));
    let want = want.trim().to_owned();
    let outcome = Rc::new(RefCell::new(Err("no response".to_owned())));
    let result = outcome.clone();
    runtime::run(async move {
        *result.borrow_mut() = exchange(raw, max_persistent, &want).await;
    })
    .map_err(|e| e.to_string())?;
    outcome.replace(Err(String::new()))
}

/// Sends `raw` to a server and compares the response's status, and whether the connection was closed, with `want`.
async fn exchange(raw: String, max_persistent: usize, want: &str) -> Result<(), String> {
    let io = |e: std::io::Error| e.to_string();
    let listener =
        TcpListener::bind("127.0.0.1:0".parse().expect("a valid address")).map_err(io)?;
    let addr = listener.local_addr().map_err(io)?;
    let cancel = CancellationToken::new();
    let limits = ServerLimits {
        max_connections: 8,
        max_persistent_connections: max_persistent,
        idle_timeout: Micros::from_secs(2),
        request_timeout: Micros::from_secs(2),
        max_body_bytes: 64 * 1024,
    };
    let handler = Rc::new(
        |r: Request| -> futures_util::future::LocalBoxFuture<'static, Response> {
            Box::pin(async move { Response::msgpack(200, &r.body.len()) })
        },
    );
    runtime::spawn_until(
        cancel.clone(),
        http::serve(
            listener,
            limits,
            OpenConnections::default(),
            cancel.clone(),
            handler,
        ),
    );
    let stream = TcpStream::connect(addr, Micros::from_secs(1))
        .await
        .map_err(io)?;
    let _ = stream.write_all(raw.as_bytes()).await;
    let mut got = Vec::new();
    let mut closed = false;
    loop {
        let mut buf = [0u8; 4096];
        match runtime::timeout(Micros::from_millis(150), stream.read(&mut buf)).await {
            Ok(Ok(0)) | Ok(Err(_)) => {
                closed = true;
                break;
            }
            Ok(Ok(n)) => got.extend_from_slice(&buf[..n]),
            Err(_) => break,
        }
    }
    cancel.cancel();
    let text = String::from_utf8_lossy(&got);
    let status = text.split_whitespace().nth(1).unwrap_or("none");
    let actual = format!("{status}{}", if closed { " close" } else { "" });
    if actual == want {
        Ok(())
    } else {
        Err(format!(
            "got {actual}: {}",
            text.lines().next().unwrap_or("")
        ))
    }
}
