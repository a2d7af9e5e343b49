#!/usr/bin/env bash
# Builds the programs of the scripts, stand-ins included, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/case2 ./review/2
