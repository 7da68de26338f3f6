//! Property tests: any input yields a process or diagnostics within the limits, and random workflow graphs
//! expand to the dependencies of a reference model.

use hopyoke_cwl::{Diagnostics, Options, expand, expr, open, yaml};
use hopyoke_workflow::RunId;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const SEED: &str = r#"cwlVersion: v1.2
class: Workflow
requirements: {ScatterFeatureRequirement: {}, InlineJavascriptRequirement: {}}
inputs: {xs: "string[]", n: {type: int, default: 3}}
outputs: {o: {type: "File[]", outputSource: a/out}}
steps:
  a:
    run:
      class: CommandLineTool
      baseCommand: [x, y]
      arguments: ['$(inputs.x + "z")', {prefix: -p, valueFrom: $(inputs.x)}]
      inputs: {x: {type: string, inputBinding: {position: 1}}}
      outputs: {out: {type: File, outputBinding: {glob: $(inputs.x).txt}}}
    scatter: x
    in: {x: xs}
    out: [out]
"#;

const TOOL: &str =
    "{class: CommandLineTool, baseCommand: t, inputs: {a: Any?, k: int?}, outputs: {out: stdout}}";

fn read(text: &str) {
    let files: BTreeMap<String, String> = [("main.cwl".to_owned(), text.to_owned())].into();
    match open(&files, "main.cwl") {
        Err(diagnostics) => {
            assert!(diagnostics.has_errors() && !diagnostics.to_string().is_empty())
        }
        Ok((process, mut diagnostics)) => {
            let mut input_diagnostics = Diagnostics::default();
            let inputs =
                yaml::parse("xs: [p, q]", 0, &mut 0, &mut input_diagnostics).expect("inputs");
            let run = RunId::new(1).expect("in range");
            let options = Options {
                team: Some("crew".into()),
                ..Options::new(run)
            };
            if let Some(x) = expand(&process, &inputs, &options, &mut diagnostics) {
                assert!(x.plan.check("crew").is_ok());
            } else {
                assert!(diagnostics.has_errors());
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_text_is_read_or_rejected(text in "\\PC{0,400}") {
        read(&text);
    }

    #[test]
    fn any_corruption_is_read_or_rejected(
        edits in prop::collection::vec((any::<prop::sample::Index>(), 0usize..12, ".{0,6}"), 1..6)
    ) {
        let mut text: Vec<char> = SEED.chars().collect();
        for (at, cut, put) in edits {
            let at = at.index(text.len().max(1));
            let end = (at + cut).min(text.len());
            text.splice(at..end, put.chars());
        }
        read(&text.into_iter().collect::<String>());
    }

    #[test]
    fn any_token_sequence_is_read_or_rejected(
        words in prop::collection::vec(prop::sample::select(vec![
            "class: ", "Workflow\n", "inputs: ", "{", "}", "[", "]", "- ", "\n", "  ", "&a ", "*a", "<<: ",
            "$graph: ", "$import: main.cwl\n", "run: ", "'#main'", "steps: ", "$(inputs.x)", "${", "x: ", ", ",
            "cwlVersion: v1.2\n", "CommandLineTool\n", "scatter: x\n", "|", "\"", "'", "? ", "!!t ", "type: ",
        ]), 0..60)
    ) {
        read(&words.concat());
    }

    #[test]
    fn any_expression_is_split_or_rejected(text in "[${}()\\[\\]'\"\\\\a.b /*\n]{0,200}") {
        let _ = expr::parts(&text);
    }

    /// Compares the expansion of random graphs of tools, scattered or not, with a reference model.
    #[test]
    fn graphs_expand_like_the_reference_model(
        steps in prop::collection::vec((prop::collection::vec(any::<prop::sample::Index>(), 0..4), 0usize..4), 1..14)
    ) {
        let mut text = String::from(
            "cwlVersion: v1.2\nclass: Workflow\nrequirements: {ScatterFeatureRequirement: {}, \
             MultipleInputFeatureRequirement: {}}\ninputs: {n: \"int[]\"}\noutputs: {}\nsteps:\n");
        let mut dependencies: Vec<BTreeSet<usize>> = Vec::new();
        for (i, (after, width)) in steps.iter().enumerate() {
            let after: BTreeSet<usize> =
                if i == 0 { BTreeSet::new() } else { after.iter().map(|x| x.index(i)).collect() };
            let sources: Vec<String> = after.iter().map(|s| format!("s{s}/out")).collect();
            let (scatter, list) = match width {
                0 => ("", String::new()),
                _ => {
                    let list: Vec<String> = (0..*width).map(|k| k.to_string()).collect();
                    ("scatter: k, ", format!(", k: {{default: [{}]}}", list.join(", ")))
                }
            };
            let _ = writeln!(
                text,
                "  s{i}: {{{scatter}run: {TOOL}, in: {{a: {{source: [{}]}}{list}}}, out: [out]}}",
                sources.join(", ")
            );
            dependencies.push(after);
        }
        let files: BTreeMap<String, String> = [("main.cwl".to_owned(), text.clone())].into();
        let (process, mut diagnostics) = open(&files, "main.cwl")
            .map_err(|f| TestCaseError::fail(format!("{f}\n{text}")))?;
        let inputs = yaml::parse("n: []", 0, &mut 0, &mut Diagnostics::default()).expect("inputs");
        let options = Options { team: Some("crew".into()), ..Options::new(RunId::new(1).expect("in range")) };
        let x = expand(&process, &inputs, &options, &mut diagnostics)
            .ok_or_else(|| TestCaseError::fail(format!("{diagnostics}\n{text}")))?;
        prop_assert_eq!(x.plan.steps.len(), steps.len());
        // Plan steps may be in a different order than the document's, so they are matched by path.
        let index_by_path: BTreeMap<&str, usize> =
            x.plan.steps.iter().enumerate().map(|(i, s)| (s.path.as_str(), i)).collect();
        for (i, (_, width)) in steps.iter().enumerate() {
            let step = &x.plan.steps[index_by_path[format!("s{i}").as_str()]];
            prop_assert_eq!(step.tasks as usize, (*width).max(1));
            let after: BTreeSet<usize> = step.dependencies.iter().map(|s| s.0 as usize).collect();
            let expected: BTreeSet<usize> =
                dependencies[i].iter().map(|s| index_by_path[format!("s{s}").as_str()]).collect();
            prop_assert_eq!(after, expected);
        }
    }
}

#[test]
fn resource_exhaustion_is_rejected() {
    // Exponential alias expansion ("billion laughs").
    let mut text = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
    for i in 1..12 {
        let _ = writeln!(
            text,
            "a{i}: &a{i} [{}]",
            vec![format!("*a{}", i - 1); 10].join(", ")
        );
    }
    read(&text);
    // Deep nesting of lists, maps and brackets.
    read(&"[".repeat(100_000));
    read(&format!("{}x", "a:\n ".repeat(3000)));
    read(&SEED.replace(
        "$(inputs.x + \"z\")",
        &format!("$({}1{})", "(".repeat(40_000), ")".repeat(40_000)),
    ));
    // Deeply nested array types.
    read(&SEED.replace("string[]", &format!("string{}", "[]".repeat(20_000))));
    // A scatter over a cross product.
    let wide = SEED.replace(
        "scatter: x",
        "scatter: [x, y]\n    scatterMethod: flat_crossproduct",
    );
    read(&wide.replace("in: {x: xs}", "in: {x: xs, y: xs}"));
    // A file that imports itself many times.
    let files: BTreeMap<String, String> = [(
        "main.cwl".to_owned(),
        format!("[{}]", vec!["{$import: main.cwl}"; 30].join(", ")),
    )]
    .into();
    assert!(open(&files, "main.cwl").is_err());
}
