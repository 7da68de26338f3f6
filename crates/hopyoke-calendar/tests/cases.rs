//! Runs the calendar cases of `tests/cases.txt`, and property tests of staffed hours.
//!
//! ```text
//! calendar ZONE | HOURS | HOLIDAYS         calendar that the following lines use
//! skew SECONDS                             bound on the clocks' error
//! override on|off until TIME               operator's override; `override none` removes it
//! at TIME staffed|unstaffed until TIME     expected window; `until forever` if it does not end
//! invalid ZONE | HOURS | HOLIDAYS | TEXT   parsing fails with an error that contains TEXT
//! ```

use hopyoke_calendar::{Calendar, HoldSelector, StaffedHours, StaffingOverride, StaffingWindow};
use hopyoke_types::Micros;
use jiff::Timestamp;
use proptest::prelude::*;

fn time(text: &str) -> Micros {
    let t: Timestamp = text.parse().unwrap_or_else(|e| panic!("{text}: {e}"));
    Micros(t.as_microsecond() as u64)
}

fn staffed_hours(calendar: Calendar, skew: Micros) -> StaffedHours {
    StaffedHours {
        calendar,
        hold_selector: HoldSelector::default(),
        drain: false,
        max_clock_skew: skew,
        placement_margin: Micros::ZERO,
        staffing_override: None,
    }
}

#[test]
fn cases() {
    let mut current: Option<StaffedHours> = None;
    let mut failed = 0;
    let mut count = 0;
    for (n, line) in (1..).zip(include_str!("cases.txt").lines()) {
        let line = line.split('#').next().unwrap_or("").trim();
        let Some((verb, rest)) = line.split_once(' ') else {
            continue;
        };
        count += 1;
        if let Err(e) = run_statement(&mut current, verb, rest) {
            failed += 1;
            println!("FAIL line {n}: `{line}`: {e}");
        }
    }
    println!("{} passed, {failed} failed", count - failed);
    assert_eq!(failed, 0, "cases failed");
}

fn run_statement(current: &mut Option<StaffedHours>, verb: &str, rest: &str) -> Result<(), String> {
    let parts: Vec<&str> = rest.split('|').map(str::trim).collect();
    let columns: Vec<&str> = rest.split(' ').collect();
    match verb {
        "calendar" => {
            let calendar = Calendar::parse(parts[1], parts[0], parts[2]);
            *current = Some(staffed_hours(
                calendar.map_err(|e| e.to_string())?,
                Micros::ZERO,
            ));
            Ok(())
        }
        "skew" => {
            let c = current.as_mut().expect("a calendar");
            c.max_clock_skew = Micros::from_secs_f64(rest.parse().expect("seconds"));
            Ok(())
        }
        "override" => {
            let c = current.as_mut().expect("a calendar");
            c.staffing_override = (columns[0] != "none").then(|| StaffingOverride {
                staffed: columns[0] == "on",
                expires_at_us: time(columns[2]).0,
                operator: "test".into(),
            });
            Ok(())
        }
        "at" => expect_window(current.as_ref().expect("a calendar"), &columns),
        "invalid" => match Calendar::parse(parts[1], parts[0], parts[2]) {
            Ok(_) => Err("the calendar was accepted".into()),
            Err(e) if e.to_string().contains(parts[3]) => Ok(()),
            Err(e) => Err(e.to_string()),
        },
        other => Err(format!("unknown statement {other}")),
    }
}

/// Checks `TIME staffed|unstaffed until TIME|forever`.
fn expect_window(hours: &StaffedHours, columns: &[&str]) -> Result<(), String> {
    let expected = StaffingWindow {
        staffed: columns[1] == "staffed",
        until: (columns[3] != "forever").then(|| time(columns[3])),
    };
    let got = hours.window_at(time(columns[0]));
    if got == expected {
        return Ok(());
    }
    let until = got.until.map(|t| {
        Timestamp::from_microsecond(t.0 as i64)
            .expect("a time")
            .to_string()
    });
    Err(format!("staffed {} until {until:?}", got.staffed))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// A window stays the same until its end and changes there.
    #[test]
    fn windows_last_until_their_end(
        zone in prop::sample::select(vec!["UTC", "Europe/London", "America/New_York", "Australia/Lord_Howe", "Asia/Kathmandu"]),
        from in 0u32..1440, length in 1u32..1440, days in prop::sample::select(vec!["Mon-Fri", "Sat,Sun", "Mon-Sun", "Wed"]),
        at in 1_700_000_000u64..1_900_000_000, skew in 0u64..5, step in 0.0f64..1.0,
    ) {
        let to = (from + length) % 1440;
        prop_assume!(to != from);
        let text = format!("{days} {:02}:{:02}-{:02}:{:02}", from / 60, from % 60, to / 60, to % 60);
        let hours = staffed_hours(Calendar::parse(&text, zone, "12-25").expect("a valid calendar"), Micros::from_secs(skew));
        let now = Micros::from_secs(at);
        let window = hours.window_at(now);
        let Some(until) = window.until else { return Ok(()) };
        prop_assert!(until > now);
        let between = Micros(now.0 + ((until.0 - now.0 - 1) as f64 * step) as u64);
        prop_assert_eq!(hours.window_at(between), window);
        prop_assert_eq!(hours.window_at(until).staffed, !window.staffed);
    }

    /// No clock within the bound on skew reports staffed hours while the true time is unstaffed.
    #[test]
    fn skewed_clocks_never_extend_staffed_hours(at in 1_700_000_000u64..1_900_000_000, off in -250_000i64..=250_000) {
        let calendar = Calendar::parse("Mon-Fri 08:00-18:00", "Europe/London", "").expect("a valid calendar");
        let (skewed, truth) = (staffed_hours(calendar.clone(), Micros(250_000)), staffed_hours(calendar, Micros::ZERO));
        for edge in [truth.window_at(Micros::from_secs(at)).until.expect("a change"), Micros::from_secs(at)] {
            for near in [-260_000i64, -100, 0, 100, 260_000] {
                let t = (edge.0 as i64 + near) as u64;
                let clock = (t as i64 + off) as u64;
                prop_assert!(!skewed.window_at(Micros(clock)).staffed || truth.window_at(Micros(t)).staffed);
            }
        }
    }
}
