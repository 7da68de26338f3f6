//! Weekly calendar of staffed hours in a time zone, less holidays.

use crate::CalendarError;
use hopyoke_types::Micros;
use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Span, Timestamp};
use std::collections::BTreeSet;

/// Whether staff is on duty, and how long that holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaffingWindow {
    /// Whether staff is on duty.
    pub staffed: bool,
    /// Wall clock time of the next change, in microseconds since the Unix epoch. `None` if there is none within a year.
    pub until: Option<Micros>,
}

impl StaffingWindow {
    /// Unstaffed with no known end.
    const UNSTAFFED: StaffingWindow = StaffingWindow {
        staffed: false,
        until: None,
    };
}

/// Staffed interval from `start` to `end` (exclusive), in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Shift {
    start: i64,
    end: i64,
}

impl Shift {
    /// Returns the window at `now` if this is the next shift, or `None` if the shift is over or empty.
    fn window_at(self, now: i64) -> Option<StaffingWindow> {
        if self.start >= self.end || self.end <= now {
            None
        } else if self.start <= now {
            Some(StaffingWindow {
                staffed: true,
                until: to_micros(self.end),
            })
        } else {
            Some(StaffingWindow {
                staffed: false,
                until: to_micros(self.start),
            })
        }
    }
}

fn to_micros(instant: i64) -> Option<Micros> {
    Some(Micros(instant.max(0) as u64))
}

/// Weekly staffed hours in local time. They keep their local times across changes of daylight saving time. A local time
/// that such a change skips is shifted by the length of the gap; one that it repeats means the first occurrence.
#[derive(Debug, Clone, PartialEq)]
pub struct Calendar {
    zone: TimeZone,
    /// Per day from Monday on: start and end, in seconds of the day. An end at or before its start is on the next day.
    week: Week,
    holidays: Holidays,
}

#[derive(Debug, Clone, PartialEq, Default)]
struct Holidays {
    /// Holidays on one date of one year.
    dates: BTreeSet<Date>,
    /// Month and day of the holidays that recur each year.
    yearly: BTreeSet<(i8, i8)>,
}

impl Holidays {
    fn contains(&self, date: Date) -> bool {
        self.dates.contains(&date) || self.yearly.contains(&(date.month(), date.day()))
    }
}

type Week = [Vec<(u32, u32)>; 7];

const DAY_NAMES: [&str; 7] = ["Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"];
/// Number of days that are searched for the end of a window.
const MAX_LOOKAHEAD_DAYS: i64 = 400;
const MICROS_PER_DAY: i64 = 86_400_000_000;

fn setting_error(setting: &'static str, part: &str, reason: &'static str) -> CalendarError {
    CalendarError {
        setting,
        part: part.to_owned(),
        reason,
    }
}

impl Calendar {
    /// Parses staffed hours such as `Mon-Fri 08:00-18:00; Sat 09:00-12:00`, the name of an IANA time zone, and holidays
    /// such as `2026-12-24 12-25`. A holiday without a year recurs each year.
    ///
    /// # Errors
    /// Returns the invalid setting and the part of it that is malformed.
    pub fn parse(hours: &str, zone: &str, holidays: &str) -> Result<Calendar, CalendarError> {
        let tz = TimeZone::get(zone)
            .map_err(|_| setting_error("hours_zone", zone, "no IANA time zone has this name"))?;
        let week = parse_week(hours)?;
        let holidays = parse_holidays(holidays)?;
        Ok(Calendar {
            zone: tz,
            week,
            holidays,
        })
    }

    /// Converts a local time, in seconds of the day of `date`, to microseconds since the Unix epoch. Returns `None` if
    /// it is out of range.
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

    /// Returns the shifts that begin on a local date, in order.
    fn shifts(&self, date: Date) -> Vec<Shift> {
        if self.holidays.contains(date) {
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
        let mut out: Vec<Shift> = self.week[day]
            .iter()
            .filter_map(|&(from, to)| {
                let to = if to <= from { to + 86_400 } else { to };
                Some(Shift {
                    start: self.instant(date, from)?,
                    end: self.instant(date, to)?,
                })
            })
            .filter(|shift| shift.start < shift.end)
            .collect();
        out.sort_unstable();
        out
    }

    /// Returns whether a wall clock time is in staffed hours, and until when that holds. Staffed hours count from
    /// `start_delay` after their start to `end_advance` before their end.
    pub fn window_at(
        &self,
        wall_time: Micros,
        start_delay: Micros,
        end_advance: Micros,
    ) -> StaffingWindow {
        let (start_delay, end_advance) = (start_delay.0 as i64, end_advance.0 as i64);
        let Ok(now) = i64::try_from(wall_time.0) else {
            return StaffingWindow::UNSTAFFED;
        };
        let Some(first_day) = self.day_before_yesterday(now) else {
            return StaffingWindow::UNSTAFFED;
        };
        let narrowed = |shift: Shift| Shift {
            start: shift.start + start_delay,
            end: shift.end - end_advance,
        };
        // Overlapping and adjacent shifts are merged before they are narrowed. Otherwise narrowing would open gaps
        // between them.
        let mut merged: Option<Shift> = None;
        for day in 0..MAX_LOOKAHEAD_DAYS {
            let Ok(date) = first_day.checked_add(Span::new().days(day)) else {
                break;
            };
            for shift in self.shifts(date) {
                match &mut merged {
                    Some(open) if shift.start <= open.end => open.end = shift.end.max(open.end),
                    _ => {
                        if let Some(window) = merged.and_then(|m| narrowed(m).window_at(now)) {
                            return window;
                        }
                        merged = Some(shift);
                    }
                }
            }
        }
        let Some(last) = merged else {
            return StaffingWindow::UNSTAFFED;
        };
        let mut window = narrowed(last)
            .window_at(now)
            .unwrap_or(StaffingWindow::UNSTAFFED);
        // The window may extend beyond the days that were searched.
        if window.staffed && last.end > now + (MAX_LOOKAHEAD_DAYS - 10) * MICROS_PER_DAY {
            window.until = None;
        }
        window
    }

    /// Returns the local date two days before an instant, as a shift that began on that day may still be open. Returns
    /// `None` if it is out of range.
    fn day_before_yesterday(&self, now: i64) -> Option<Date> {
        let timestamp = Timestamp::from_microsecond(now).ok()?;
        let today = self.zone.to_datetime(timestamp).date();
        today.checked_sub(Span::new().days(2)).ok()
    }

    /// Formats a wall clock time as local time, such as `Mon 2026-03-30 08:00`. Returns an empty string if it is out of
    /// range.
    pub fn format_local(&self, wall_time: Micros) -> String {
        let timestamp = i64::try_from(wall_time.0)
            .ok()
            .and_then(|t| Timestamp::from_microsecond(t).ok());
        timestamp.map_or_else(String::new, |s| {
            self.zone
                .to_datetime(s)
                .strftime("%a %Y-%m-%d %H:%M")
                .to_string()
        })
    }
}

/// Parses staffed hours, by day of the week.
fn parse_week(hours: &str) -> Result<Week, CalendarError> {
    let mut week: Week = Default::default();
    for part in hours.split(';').map(str::trim).filter(|p| !p.is_empty()) {
        let (days, times) = part.split_once(' ').ok_or_else(|| {
            setting_error("hours", part, "must have the form Mon-Fri 08:00-18:00")
        })?;
        let time_ranges: Result<Vec<(u32, u32)>, CalendarError> =
            times.split_whitespace().map(parse_time_range).collect();
        let time_ranges = time_ranges?;
        for day in parse_days(days)? {
            week[day].extend(time_ranges.iter().copied());
        }
    }
    Ok(week)
}

/// Parses holidays: dates, and days that recur each year.
fn parse_holidays(text: &str) -> Result<Holidays, CalendarError> {
    let mut holidays = Holidays::default();
    for item in text.split([' ', ',']).filter(|w| !w.is_empty()) {
        let numbers: Option<Vec<i16>> = item.split('-').map(|n| n.parse().ok()).collect();
        let date = match numbers.as_deref() {
            Some(&[y, m, d]) => Date::new(y, m as i8, d as i8)
                .ok()
                .map(|d| holidays.dates.insert(d)),
            // Validated against a leap year, so that 02-29 is accepted.
            Some(&[m, d]) => Date::new(2024, m as i8, d as i8)
                .ok()
                .map(|d| holidays.yearly.insert((d.month(), d.day()))),
            _ => None,
        };
        date.ok_or_else(|| {
            setting_error(
                "holidays",
                item,
                "must be a date, YYYY-MM-DD, or MM-DD for each year",
            )
        })?;
    }
    Ok(holidays)
}

/// Parses days such as `Mon`, `Mon-Fri` or `Sat,Sun` to indices in the week, 0 for Monday.
fn parse_days(text: &str) -> Result<Vec<usize>, CalendarError> {
    let invalid = |part: &str| {
        setting_error(
            "hours",
            part,
            "must be a day such as Mon, or Mon-Fri, or Sat,Sun",
        )
    };
    let day = |name: &str| {
        DAY_NAMES
            .iter()
            .position(|d| d.eq_ignore_ascii_case(name))
            .ok_or_else(|| invalid(name))
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

/// Parses times such as `08:00-18:00` to seconds of the day. The end may be `24:00`.
fn parse_time_range(text: &str) -> Result<(u32, u32), CalendarError> {
    let invalid = || setting_error("hours", text, "must be two times, as in 08:00-18:00");
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
    let (a, b) = text.split_once('-').ok_or_else(invalid)?;
    match (second(a), second(b)) {
        (Some(a), Some(b)) if a < 86_400 => Ok((a, b)),
        _ => Err(invalid()),
    }
}
