#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts: store, endpoints, clients and operator, without any dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
