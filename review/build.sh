#!/usr/bin/env bash
# Builds the stand-ins of the cases, the project's emulator of the platform's store within them.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/cmd/...
