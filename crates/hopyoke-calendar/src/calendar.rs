//! A week of staffed hours in a time zone, without its holidays.

use crate::CalendarFault;
use hopyoke_types::Micros;
use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Span, Timestamp};
use std::collections::BTreeSet;

/// Whether somebody is there, and until when that holds; `None`: for more than a year.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    pub staffed: bool,
    /// A time of day in microseconds.
    pub until: Option<Micros>,
}

/// Staffed hours of a week. Times are those on the wall: across a change of clocks they keep their
/// numbers; a time that the change leaves out counts as the one that comes in its place.
#[derive(Debug, Clone, PartialEq)]
pub struct Calendar {
    zone: TimeZone,
    /// From Monday on: seconds of the day; an end at or before its start is on the next day.
    week: [Vec<(u32, u32)>; 7],
    holidays: BTreeSet<Date>,
    /// Month and day, each year.
    yearly: BTreeSet<(i8, i8)>,
}

const DAYS: [&str; 7] = ["Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"];
/// How far ahead a change is looked for.
const AHEAD_DAYS: i64 = 400;

fn fault(setting: &'static str, part: &str, what: &str) -> CalendarFault {
    CalendarFault {
        setting,
        part: part.to_owned(),
        what: what.to_owned(),
    }
}

impl Calendar {
    /// Reads staffed hours such as `Mon-Fri 08:00-18:00; Sat 09:00-12:00`, an IANA time zone, and
    /// holidays such as `2026-12-24 12-25` (each year without a year).
    ///
    /// # Errors
    /// The setting and the part at fault.
    pub fn parse(hours: &str, zone: &str, holidays: &str) -> Result<Calendar, CalendarFault> {
        let tz = TimeZone::get(zone)
            .map_err(|_| fault("hours_zone", zone, "no IANA time zone has this name"))?;
        let mut week: [Vec<(u32, u32)>; 7] = Default::default();
        for part in hours.split(';').map(str::trim).filter(|p| !p.is_empty()) {
            let (days, times) = part
                .split_once(' ')
                .ok_or_else(|| fault("hours", part, "must be as in Mon-Fri 08:00-18:00"))?;
            let spans: Result<Vec<(u32, u32)>, CalendarFault> =
                times.split_whitespace().map(span).collect();
            let spans = spans?;
            for day in days_of(days)? {
                week[day].extend(spans.iter().copied());
            }
        }
        let (mut once, mut yearly) = (BTreeSet::new(), BTreeSet::new());
        for word in holidays.split([' ', ',']).filter(|w| !w.is_empty()) {
            let numbers: Option<Vec<i16>> = word.split('-').map(|n| n.parse().ok()).collect();
            let date = match numbers.as_deref() {
                Some(&[y, m, d]) => Date::new(y, m as i8, d as i8).ok().map(|d| once.insert(d)),
                // 2024 had a 29th of February.
                Some(&[m, d]) => Date::new(2024, m as i8, d as i8)
                    .ok()
                    .map(|d| yearly.insert((d.month(), d.day()))),
                _ => None,
            };
            date.ok_or_else(|| {
                fault(
                    "holidays",
                    word,
                    "must be a date, YYYY-MM-DD, or MM-DD for each year",
                )
            })?;
        }
        Ok(Calendar {
            zone: tz,
            week,
            holidays: once,
            yearly,
        })
    }

    fn instant(&self, date: Date, second: u32) -> Option<i64> {
        let (days, second) = (second / 86_400, second % 86_400);
        let date = date.checked_add(Span::new().days(i64::from(days))).ok()?;
        let (h, m, s) = (second / 3600, second / 60 % 60, second % 60);
        let at = DateTime::from_parts(date, Time::new(h as i8, m as i8, s as i8, 0).ok()?);
        Some(
            self.zone
                .to_ambiguous_timestamp(at)
                .compatible()
                .ok()?
                .as_microsecond(),
        )
    }

    /// Spans that begin on a day, by true time in microseconds.
    fn spans(&self, date: Date) -> Vec<(i64, i64)> {
        if self.holidays.contains(&date) || self.yearly.contains(&(date.month(), date.day())) {
            return Vec::new();
        }
        let day = match date.weekday() {
            Weekday::Monday => 0,
            Weekday::Tuesday => 1,
            Weekday::Wednesday => 2,
            Weekday::Thursday => 3,
            Weekday::Friday => 4,
            Weekday::Saturday => 5,
            Weekday::Sunday => 6,
        };
        let mut out: Vec<(i64, i64)> = self.week[day]
            .iter()
            .filter_map(|&(from, to)| {
                let to = if to <= from { to + 86_400 } else { to };
                Some((self.instant(date, from)?, self.instant(date, to)?))
            })
            .filter(|(a, b)| a < b)
            .collect();
        out.sort_unstable();
        out
    }

    /// Whether a time of day lies in staffed hours that begin `late` after their time and end
    /// `early` before it, and until when.
    pub fn at(&self, time_of_day: Micros, late: Micros, early: Micros) -> Window {
        let (late, early) = (late.0 as i64, early.0 as i64);
        let Ok(now) = i64::try_from(time_of_day.0) else {
            return Window {
                staffed: false,
                until: None,
            };
        };
        let Ok(stamp) = Timestamp::from_microsecond(now) else {
            return Window {
                staffed: false,
                until: None,
            };
        };
        let Ok(first) = self
            .zone
            .to_datetime(stamp)
            .date()
            .checked_sub(Span::new().days(2))
        else {
            return Window {
                staffed: false,
                until: None,
            };
        };
        let time = |t: i64| Some(Micros(t.max(0) as u64));
        // Spans that touch are one.
        let mut open: Option<(i64, i64)> = None;
        let verdict = |(a, b): (i64, i64)| {
            let (a, b) = (a + late, b - early);
            if a >= b || b <= now {
                None
            } else if a <= now {
                Some(Window {
                    staffed: true,
                    until: time(b),
                })
            } else {
                Some(Window {
                    staffed: false,
                    until: time(a),
                })
            }
        };
        for day in 0..AHEAD_DAYS {
            let Ok(date) = first.checked_add(Span::new().days(day)) else {
                break;
            };
            for (a, b) in self.spans(date) {
                match &mut open {
                    Some((_, end)) if a <= *end => *end = b.max(*end),
                    _ => {
                        if let Some(w) = open.and_then(verdict) {
                            return w;
                        }
                        open = Some((a, b));
                    }
                }
            }
        }
        match open {
            Some((a, b)) if a + late <= now && now < b - early => {
                // It may go on beyond what was looked at.
                let far = b > now + (AHEAD_DAYS - 10) * 86_400_000_000;
                Window {
                    staffed: true,
                    until: if far { None } else { time(b - early) },
                }
            }
            Some(span) => verdict(span).unwrap_or(Window {
                staffed: false,
                until: None,
            }),
            None => Window {
                staffed: false,
                until: None,
            },
        }
    }

    /// A time of day as the clocks of the zone show it.
    pub fn local(&self, time_of_day: Micros) -> String {
        let stamp = i64::try_from(time_of_day.0)
            .ok()
            .and_then(|t| Timestamp::from_microsecond(t).ok());
        stamp.map_or_else(String::new, |s| {
            self.zone
                .to_datetime(s)
                .strftime("%a %Y-%m-%d %H:%M")
                .to_string()
        })
    }
}

/// `Mon`, `Mon-Fri` or `Sat,Sun`, as places in the week.
fn days_of(text: &str) -> Result<Vec<usize>, CalendarFault> {
    let wrong = |part: &str| {
        fault(
            "hours",
            part,
            "must be a day such as Mon, or Mon-Fri, or Sat,Sun",
        )
    };
    let day = |name: &str| {
        DAYS.iter()
            .position(|d| d.eq_ignore_ascii_case(name))
            .ok_or_else(|| wrong(name))
    };
    let mut out = Vec::new();
    for part in text.split(',') {
        match part.split_once('-') {
            Some((a, b)) => {
                let (a, b) = (day(a)?, day(b)?);
                out.extend((0..7).map(|i| (a + i) % 7).take((b + 7 - a) % 7 + 1));
            }
            None => out.push(day(part)?),
        }
    }
    Ok(out)
}

/// `08:00-18:00` as seconds of the day; the end may be 24:00.
fn span(text: &str) -> Result<(u32, u32), CalendarFault> {
    let wrong = || fault("hours", text, "must be two times, as in 08:00-18:00");
    let second = |t: &str| -> Option<u32> {
        let numbers: Option<Vec<u32>> = t.split(':').map(|n| n.parse().ok()).collect();
        let (h, m, s) = match numbers?.as_slice() {
            [h, m] => (*h, *m, 0),
            [h, m, s] => (*h, *m, *s),
            _ => return None,
        };
        let total = h.checked_mul(3600)?.checked_add(m * 60 + s)?;
        (m < 60 && s < 60 && total <= 86_400).then_some(total)
    };
    let (a, b) = text.split_once('-').ok_or_else(wrong)?;
    match (second(a), second(b)) {
        (Some(a), Some(b)) if a < 86_400 => Ok((a, b)),
        _ => Err(wrong()),
    }
}
