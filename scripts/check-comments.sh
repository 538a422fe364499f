#!/usr/bin/env bash
# Fails when a comment in product code contains a date, a seed, an issue number or the
# figure of a run, or names a deployment or the users' bench.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files '*.go' | grep -vE '_test\.go$|\.pb\.go$|_string\.go$')
pattern='//.*(\b20[0-9][0-9]-[0-9][0-9]\b|\bissue [0-9#]|#[0-9]+\b|\bseed=?[ ]?[0-9]|fleetbench|\bbench\b|hanbit|tipton|obala|piran-hall|\bmeasured over\b|\bwas seen to\b|\bwere seen to\b)'
if found=$(grep -nE "$pattern" $files); then
  echo "comments with dates, seeds, issue numbers, figures of runs or names of deployments:"
  echo "$found"
  exit 1
fi

# The head comment of a test has at most four lines: the failure that it guards against and its cause.
if found=$(awk 'FNR == 1 { lines = 0 }
  /^func Test[A-Za-z0-9_]*\(t \*testing\.T\)/ && lines > 4 { print FILENAME ":" FNR ": " $2 }
  { lines = /^\/\// ? lines + 1 : 0 }' $(git ls-files '*_test.go') | grep .); then
  echo "tests with more than four lines of head comment:"
  echo "$found"
  exit 1
fi

# Words of speech and figures of speech for state and messages, in product code and tests:
# data is reported, received or recorded; requests are in flight, rejected, retried.
words='\b(told|tells?|heard|hears?|said|says|under way|for ever|any more|turned away|comes? back|newcomers?|faith|crowd(s|ed)?|go(es)? quiet|lately|nobody|somebody|takes in|point of history)\b'
# At most ten lines, the reason beside each.
allowed=(
  'ReportedCaps // told' # text of the enum, an argument of `fleet caps`
)
if found=$(grep -nE "//.*$words" $(git ls-files '*.go' | grep -vE '\.pb\.go$|_string\.go$') | grep -vF "$(printf '%s\n' "${allowed[@]}")"); then
  echo "comments with figurative words:"
  echo "$found"
  exit 1
fi
