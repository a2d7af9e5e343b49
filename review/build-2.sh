#!/usr/bin/env bash
# Builds the programs of the scripts of the second review, stand-ins included, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/case6 ./review/6
go build -tags review -o target/review/case7 ./review/7
