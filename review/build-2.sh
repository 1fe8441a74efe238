#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 9 start, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/kit-2
