#!/bin/sh
# Builds the stand-ins of the review's cases. They use the standard library alone, so no network is needed.
set -eu
cd "$(dirname "$0")"
exec cargo build --release --offline --locked --manifest-path standins/Cargo.toml --target-dir .build
