#!/usr/bin/env bash
# Plays the users' deployments before a landing: the standard days, days with other
# random events together with those of deploy/days, and an incident of each; a sweep of
# one deployment of each kind. Output goes to out/regression, followed by a summary with
# the processor time of each play, marked above three quarters of the limit for a day. It
# takes hours: run it in the background.
#
#   scripts/regression.sh "the reason, for the journal" [NAME...] &
#
# Without the users' kit, for example in CI, it prints a message and plays nothing. KIT is
# the folder of the kit, VERBS are the kinds of play (score, hunt, incident, sweep), and
# DAY_LIMIT is the limit of processor time for a day, in seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
why=${1:?usage: scripts/regression.sh WHY [NAME...]}
shift
kit=${KIT:-../given/kit/more/system}
verbs=${VERBS:-score hunt incident sweep}
limit=${DAY_LIMIT:-600}
bench=$kit/more/bench-d17393/bin/fleetbench
if [ ! -x "$bench" ]; then
  echo "regression: the users' kit is not at $kit; nothing to run"
  exit 0
fi

# Site file, number of days to hunt, concurrent plays: few where a play has hundreds of
# processes. The whole fleet is not included: its days are played one at a time, with
# nothing else running.
sites=(
  "demands/lsfaa-booking-grown 8 4"
  "demands/sfap-balsam-grown 8 4"
  "shifted/obala-surf-now-grown 8 4"
  "large/obala-surf-large 8 1"
  "further/hanbit-connect 40 4"
  "sites/bcf-tipton 40 4"
  "further-grown/hanbit-connect-grown 8 2"
  "grown/obala-surf-grown 8 2"
  "grown/bcf-tipton-grown 8 2"
)

# Deployments of the sweep: one of each kind.
swept=" obala-surf-now-grown hanbit-connect bcf-tipton lsfaa-booking-grown sfap-balsam-grown "

out=out/regression
mkdir -p "$out"
touch "$out/began"
wanted() { # SITE NAME...
  local site=$1 name
  shift
  [ $# -eq 0 ] && return 0
  for name in "$@"; do
    [ "$name" = "$(basename "$site")" ] && return 0
  done
  return 1
}

play() { # VERB SITE DAYS JOBS
  local verb=$1 site=$2 days=$3 jobs=$4 options=()
  [ "$verb" = sweep ] && [[ "$swept" != *" $(basename "$site") "* ]] && return 0
  [ "$verb" = hunt ] && options=(--days "$days")
  "$bench" "$verb" "$kit/$site.toml" "${options[@]}" --jobs "$jobs" --why "$why" >"$out/$(basename "$site").$verb.txt" 2>&1 ||
    echo "regression: $verb of $(basename "$site") exited with code $?"
}

for line in "${sites[@]}"; do
  read -r site days jobs <<<"$line"
  wanted "$site" "$@" || continue
  for verb in $verbs; do
    play "$verb" "$site" "$days" "$jobs"
  done
done

echo "regression: $why"
for file in "$out"/*.txt; do
  echo "== $(basename "$file" .txt)"
  grep -E '^(quiet|trouble|scale|fresh)-|GATE|rules? broken|BROKEN|given up' "$file" | cut -c1-100 || echo "no verdict"
done
echo "== processor time"
find journal -maxdepth 1 -name '*.json' -newer "$out/began" | sort | xargs -r go run ./scripts/playcost -limit "$limit"
