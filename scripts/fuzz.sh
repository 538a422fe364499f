#!/usr/bin/env bash
# Runs the state machine tests with new random seeds for a given time, such as 40s or 5m.
# A failure prints the seed and rapid's shrunk trace; add the seed as a test.
set -euo pipefail
cd "$(dirname "$0")/.."
limit=${1:-40s}
case "$limit" in
  *m) seconds=$((${limit%m} * 60)) ;;
  *s) seconds=${limit%s} ;;
  *) echo "usage: scripts/fuzz.sh 40s|5m" >&2; exit 2 ;;
esac
tests=(
  "bvledger TestPromisesHoldUnderFaults 400"
  "bvgate TestPoolKeepsItsInvariantsUnderFailures 150"
  "bvrouter TestNoEndpointIsCalledBeyondTheDrainBound 100"
  "bvstream TestAFoundStartIsTheTrueOne 500"
  "bvtable TestTableNeverLosesAnEditAndNeverGoesBack 150"
)
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for test in "${tests[@]}"; do
  read -r package _ _ <<<"$test"
  go test -c -o "$out/$package" "./$package"
done
end=$((SECONDS + seconds))
runs=0
while [ "$SECONDS" -lt "$end" ]; do
  for test in "${tests[@]}"; do
    read -r package name checks <<<"$test"
    seed=$((RANDOM * 32768 + RANDOM + 1))
    if ! (cd "$package" && "$out/$package" -test.run "^$name\$" -test.v -rapid.seed="$seed" -rapid.checks="$checks" -rapid.nofailfile) >"$out/log" 2>&1; then
      cat "$out/log"
      echo "fuzz: $package $name failed; reproduce with: go test ./$package -run $name -rapid.seed=$seed -rapid.checks=$checks"
      exit 1
    fi
    runs=$((runs + checks))
    grep -ho '[0-9]* actions in [0-9]* runs' "$out/log" | sed "s/^/fuzz: $package seed=$seed: /" || true
  done
done
echo "fuzz: $runs runs with new seeds, no failures"
