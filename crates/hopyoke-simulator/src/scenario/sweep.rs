//! Sweeps: a scenario runs once for each value of a parameter.

use super::parser::number;

/// A sweep's parameter and its values.
pub(super) struct Sweep<'a> {
    /// Name of the parameter.
    pub(super) parameter: &'a str,
    /// Its values, in the order of the runs.
    pub(super) values: Vec<f64>,
}

impl<'a> Sweep<'a> {
    /// Parses `sweep NAME FROM TO STEP`. Returns `None` if the line is another statement.
    pub(super) fn parse(line: &'a str) -> Option<Sweep<'a>> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["sweep", parameter, from, to, step] = words[..] else {
            return None;
        };
        let (from, to, step) = (number(from), number(to), number(step));
        let values = (0..)
            .map(|n| from + step * f64::from(n))
            .take_while(|v| *v <= to + step / 1e6)
            .collect();
        Some(Sweep { parameter, values })
    }
}

/// Replaces `{NAME}` with the parameter's value, and `{NAME+2.5}` with the value plus the offset.
pub(super) fn substitute(text: &str, parameter: &str, value: f64) -> String {
    let open = format!("{{{parameter}");
    let mut parts = text.split(open.as_str());
    let mut out = parts.next().unwrap_or("").to_owned();
    for part in parts {
        let (offset, rest) = part.split_once('}').expect("a closing brace");
        let substituted = value
            + if offset.is_empty() {
                0.0
            } else {
                number(offset)
            };
        out.push_str(&format!("{}{rest}", (substituted * 1e6).round() / 1e6));
    }
    out
}
