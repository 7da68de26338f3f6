#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only.
set -eu
cd "$(dirname "$0")/standins"
exec cargo build --release --offline --target-dir ../../target/review
