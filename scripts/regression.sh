#!/usr/bin/env bash
# Plays the users' deployments before a landing: the standard days, days of other luck
# with those of deploy/days, and an incident of each; a sweep of one deployment of each
# kind. Output goes to out/regression; the end shows a summary, with the processor time
# of each play, marked above three quarters of what a day may take. It takes hours: run
# it in the background.
#
#   scripts/regression.sh "the reason, for the journal" [NAME...] &
#
# Without the users' kit (in CI, for one) it says so and plays nothing. KIT names the
# kit's folder, VERBS what is played (score, hunt, incident, sweep), and DAY_LIMIT the
# seconds of processor time that a day may take.
set -euo pipefail
cd "$(dirname "$0")/.."
why=${1:?usage: scripts/regression.sh WHY [NAME...]}
shift
kit=${KIT:-../given/kit/more/system}
verbs=${VERBS:-score hunt incident sweep}
limit=${DAY_LIMIT:-600}
bench=$kit/more/bench-d17393/bin/fleetbench
if [ ! -x "$bench" ]; then
  echo "regression: the users' kit is not at $kit; nothing is played"
  exit 0
fi

# Site file, days to hunt, plays at once: few where a play has hundreds of processes.
# The whole fleet is not among them: its days are played one at a time, alone.
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

# Deployments that are swept: one of each kind.
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
    echo "regression: $verb of $(basename "$site") ended with code $?"
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
