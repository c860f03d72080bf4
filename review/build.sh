#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
go build -buildvcs=false -o ../target/review/standin .
