//! Which work is held.

use crate::CalendarFault;
use hopyoke_protocol::user::{JobSpec, Priority};

/// Clauses; a job that meets all conditions of one is held.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Held(Vec<Vec<Condition>>);

#[derive(Debug, Clone, PartialEq)]
enum Condition {
    Class(Vec<String>),
    Team(Vec<String>),
    Priority(Vec<Priority>),
}

impl Held {
    /// Reads clauses such as `team=fleet priority=standard|best_effort; class=facegroup`.
    ///
    /// # Errors
    /// The part at fault.
    pub fn parse(text: &str) -> Result<Held, CalendarFault> {
        let mut clauses = Vec::new();
        for clause in text.split(';').map(str::trim).filter(|c| !c.is_empty()) {
            let conditions: Result<Vec<Condition>, CalendarFault> =
                clause.split_whitespace().map(condition).collect();
            clauses.push(conditions?);
        }
        Ok(Held(clauses))
    }

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

fn condition(text: &str) -> Result<Condition, CalendarFault> {
    let fault = |what: &str| CalendarFault {
        setting: "held",
        part: text.to_owned(),
        what: what.to_owned(),
    };
    let (key, values) = text
        .split_once('=')
        .ok_or_else(|| fault("must be class=, team= or priority="))?;
    let names: Vec<String> = values.split('|').map(str::to_owned).collect();
    if names.iter().any(String::is_empty) {
        return Err(fault("a name is empty"));
    }
    match key {
        "class" => Ok(Condition::Class(names)),
        "team" => Ok(Condition::Team(names)),
        "priority" => {
            let word = |n: &String| match n.as_str() {
                "prod" => Some(Priority::Production),
                "high" => Some(Priority::High),
                "standard" => Some(Priority::Normal),
                "best_effort" => Some(Priority::Low),
                _ => None,
            };
            let list: Option<Vec<Priority>> = names.iter().map(word).collect();
            list.map(Condition::Priority)
                .ok_or_else(|| fault("a priority is prod, high, standard or best_effort"))
        }
        _ => Err(fault("must be class=, team= or priority=")),
    }
}
