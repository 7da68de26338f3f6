#!/usr/bin/env bash
# Builds what the cases 4 to 8 start besides the daemon: the stand-ins, and the project's workflow commands.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline -p hopyoke -p hopyoke-wes
exec cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
