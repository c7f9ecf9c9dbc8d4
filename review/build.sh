#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review. The folder .standin is no package of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin review/.standin/*.go
