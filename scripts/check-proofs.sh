#!/usr/bin/env bash
# Fails when docs/PROOFS.md names a test that does not exist.
set -euo pipefail
cd "$(dirname "$0")/.."
known=$(git ls-files -co --exclude-standard '*_test.go' | xargs grep -hoE '^func Test[A-Za-z0-9_]+' | sed 's/func //' | sort -u)
named=$(grep -oE '`Test[A-Za-z0-9_]+`' docs/PROOFS.md | tr -d '`' | sort -u)
missing=$(comm -13 <(echo "$known") <(echo "$named"))
if [ -n "$missing" ]; then
  echo "docs/PROOFS.md names tests that do not exist:"
  echo "$missing"
  exit 1
fi
