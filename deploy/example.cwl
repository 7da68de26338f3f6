#!/usr/bin/env cwl-runner
# Converts the pages of a ledger in parallel and merges them into a sum.
cwlVersion: v1.2
class: Workflow
$namespaces: {hopyoke: "urn:hopyoke:cwl#"}
requirements: {ScatterFeatureRequirement: {}}
hints:
  hopyoke:Scheduling: {jobClass: ledger, estimate: 10, imageGb: 1}
inputs:
  pages: File[]
outputs:
  sum: {type: File, outputSource: merge/sum}
steps:
  convert:
    scatter: page
    in: {page: pages}
    out: [entries]
    run:
      class: CommandLineTool
      baseCommand: [convert, --strict]
      requirements: {ResourceRequirement: {coresMin: 2, ramMin: 2048}}
      inputs: {page: {type: File, inputBinding: {}}}
      outputs: {entries: {type: File, outputBinding: {glob: $(inputs.page.nameroot).json}}}
  merge:
    in: {parts: convert/entries}
    out: [sum]
    run:
      class: CommandLineTool
      baseCommand: merge
      inputs: {parts: {type: "File[]", inputBinding: {}}}
      outputs: {sum: {type: File, outputBinding: {glob: sum.json}}}
