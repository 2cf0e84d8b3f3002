#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The program of the deploy file is
# built by the deploy file's own line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-rig-2 ./review/rig-2
