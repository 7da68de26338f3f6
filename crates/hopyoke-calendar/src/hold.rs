//! Selection of the jobs that are held outside staffed hours.

use crate::CalendarError;
use hopyoke_protocol::user::{JobSpec, Priority};

/// Selects the jobs that are held outside staffed hours: those that meet all conditions of at least one clause.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct HoldSelector(Vec<Vec<Condition>>);

#[derive(Debug, Clone, PartialEq)]
enum Condition {
    Class(Vec<String>),
    Team(Vec<String>),
    Priority(Vec<Priority>),
}

impl HoldSelector {
    /// Parses clauses such as `team=fleet priority=standard|best_effort; class=facegroup`.
    ///
    /// # Errors
    /// Returns the part that is malformed or has an unknown key or priority.
    pub fn parse(text: &str) -> Result<HoldSelector, CalendarError> {
        let mut clauses = Vec::new();
        for clause in text.split(';').map(str::trim).filter(|c| !c.is_empty()) {
            let conditions: Result<Vec<Condition>, CalendarError> =
                clause.split_whitespace().map(parse_condition).collect();
            clauses.push(conditions?);
        }
        Ok(HoldSelector(clauses))
    }

    /// Returns whether the job meets all conditions of at least one clause.
    pub fn matches(&self, spec: &JobSpec) -> bool {
        self.0.iter().any(|clause| {
            clause.iter().all(|c| match c {
                Condition::Class(names) => names.contains(&spec.class),
                Condition::Team(names) => names.contains(&spec.team),
                Condition::Priority(list) => list.contains(&spec.priority),
            })
        })
    }
}

fn parse_condition(text: &str) -> Result<Condition, CalendarError> {
    let error = |reason| CalendarError {
        setting: "held",
        part: text.to_owned(),
        reason,
    };
    let (key, values) = text
        .split_once('=')
        .ok_or_else(|| error("must be class=, team= or priority="))?;
    let names: Vec<String> = values.split('|').map(str::to_owned).collect();
    if names.iter().any(String::is_empty) {
        return Err(error("names must not be empty"));
    }
    match key {
        "class" => Ok(Condition::Class(names)),
        "team" => Ok(Condition::Team(names)),
        "priority" => {
            let by_name = |n: &String| match n.as_str() {
                "prod" => Some(Priority::Production),
                "high" => Some(Priority::High),
                "standard" => Some(Priority::Normal),
                "best_effort" => Some(Priority::Low),
                _ => None,
            };
            let list: Option<Vec<Priority>> = names.iter().map(by_name).collect();
            list.map(Condition::Priority)
                .ok_or_else(|| error("priority must be prod, high, standard or best_effort"))
        }
        _ => Err(error("must be class=, team= or priority=")),
    }
}
