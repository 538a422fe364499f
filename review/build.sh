#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. It needs no network and no package beyond the standard library.
set -euo pipefail
cd "$(dirname "$0")/platform"
mkdir -p ../../target
go build -o ../../target/review-standin .
