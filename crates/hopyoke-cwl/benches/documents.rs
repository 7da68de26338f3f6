//! Benchmarks for reading, checking and expanding documents.

use criterion::{Criterion, criterion_group, criterion_main};
use hopyoke_cwl::{Diagnostics, Options, expand, open, yaml};
use hopyoke_workflow::RunId;
use std::collections::BTreeMap;
use std::fmt::Write;

const TOOL: &str = "{class: CommandLineTool, baseCommand: convert, inputs: {page: {type: File, inputBinding: {}}, \
                    level: int?}, outputs: {out: {type: File, outputBinding: {glob: $(inputs.page.nameroot).json}}}}";

/// Returns a workflow that is a chain of `steps` steps or, if `wide`, one scattered step.
fn document(steps: usize, wide: bool) -> String {
    let mut text = String::from(
        "cwlVersion: v1.2\nclass: Workflow\nrequirements: {ScatterFeatureRequirement: {}, \
         InlineJavascriptRequirement: {}, StepInputExpressionRequirement: {}}\n\
         inputs: {pages: \"File[]\", first: File}\noutputs: {}\nsteps:\n",
    );
    if wide {
        let _ = writeln!(
            text,
            "  all: {{run: {TOOL}, scatter: page, in: {{page: pages}}, out: [out]}}"
        );
        return text;
    }
    for i in 0..steps {
        let from = if i == 0 {
            "first".to_owned()
        } else {
            format!("s{}/out", i - 1)
        };
        let _ = writeln!(
            text,
            "  s{i}: {{run: {TOOL}, in: {{page: {from}, level: {{valueFrom: \"$(1 + 2)\"}}}}, out: [out]}}"
        );
    }
    text
}

fn documents(c: &mut Criterion) {
    for (name, steps, wide, pages) in [
        ("100 steps with an expression each", 100, false, 1),
        ("a scatter of 500", 1, true, 500),
    ] {
        let files: BTreeMap<String, String> =
            [("main.cwl".to_owned(), document(steps, wide))].into();
        let mut job = String::from("first: {class: File, location: a.csv}\npages:\n");
        for i in 0..pages {
            let _ = writeln!(job, "- {{class: File, location: p{i}.csv}}");
        }
        let inputs = yaml::parse(&job, 0, &mut 0, &mut Diagnostics::default()).expect("inputs");
        c.bench_function(&format!("read and check {name}"), |b| {
            b.iter(|| open(&files, "main.cwl").expect("sound"))
        });
        let (process, _) = open(&files, "main.cwl").expect("sound");
        c.bench_function(&format!("expand {name}"), |b| {
            b.iter(|| {
                let options = Options {
                    team: Some("crew".into()),
                    ..Options::new(RunId::new(1).expect("in range"))
                };
                expand(&process, &inputs, &options, &mut Diagnostics::default()).expect("sound")
            })
        });
    }
}

criterion_group! { name = benches; config = Criterion::default().sample_size(10); targets = documents }
criterion_main!(benches);
