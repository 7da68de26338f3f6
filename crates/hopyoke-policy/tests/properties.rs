//! Property tests of the checker: no input makes it panic, and accepted expressions stay within their safe range.

use hopyoke_policy::{Metrics, Policy, Value};
use proptest::prelude::*;

fn numeric_expression() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        (0u32..200).prop_map(|n| n.to_string()),
        Just("machines".to_owned()),
        Just("idle_machines".to_owned()),
        Just("hour".to_owned()),
        Just("10s / 3s".to_owned()),
    ];
    leaf.prop_recursive(4, 24, 3, |inner| {
        prop_oneof![
            (inner.clone(), "[-+*/]", inner.clone())
                .prop_map(|(a, op, b)| format!("({a}) {op} ({b})")),
            (inner.clone(), inner.clone(), inner.clone())
                .prop_map(|(a, b, c)| format!("clamp({a}, {b}, {c})")),
            (inner.clone(), inner.clone()).prop_map(|(a, b)| format!("max({a}, {b})")),
            (
                inner.clone(),
                "(<|<=|>|>=|==|!=)",
                inner.clone(),
                inner.clone(),
                inner
            )
                .prop_map(|(a, op, b, c, d)| format!("if ({a}) {op} ({b}) then {c} else {d}")),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// No input makes the parser panic, and every diagnostic has a span inside the text.
    #[test]
    fn no_input_panics(text in "[ -~\n\tµ#=()$%\"]{0,200}") {
        if let Err(e) = Policy::load("t", &text) {
            prop_assert!(!e.entries.is_empty());
            for f in &e.entries {
                prop_assert!(f.span.end <= text.len() && f.line >= 1 && f.column >= 1);
            }
            let _ = e.to_string();
        }
    }

    /// Accepted expressions never leave the safe range, whatever values the metrics have.
    #[test]
    fn accepted_values_are_safe(
        expr in numeric_expression(),
        machines in prop_oneof![Just(0.0), 0.0..100000.0f64, Just(f64::NAN), Just(1e300)],
        idle in 0.0..100000.0f64,
        hour in -5.0..30.0f64,
    ) {
        for text in [format!("keep_ready = {expr}"), format!("keep_ready = clamp({expr}, 0, 100)")] {
            let Ok(policy) = Policy::load("t", &text) else { continue };
            let metrics = Metrics::default()
                .number("machines", machines)
                .number("idle_machines", idle)
                .number("hour", hour);
            let x = policy.evaluate(&metrics).number("keep_ready");
            prop_assert!((0.0..=100.0).contains(&x), "{text} is {x}");
        }
    }

    /// A formatted duration parses to the same value.
    #[test]
    fn formatted_durations_parse_to_the_same_value(us in 1_000_000u64..1_800_000_000) {
        let formatted = hopyoke_policy::format_value(hopyoke_policy::Type::Duration, &Value::Number(us as f64));
        let policy = Policy::load("t", &format!("idle_return = {formatted}")).expect(&formatted);
        prop_assert_eq!(policy.evaluate(&Metrics::default()).duration("idle_return").0, us);
    }
}
