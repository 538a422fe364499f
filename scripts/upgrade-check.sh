#!/usr/bin/env bash
# Checks an upgrade with two builds of the program: hosts of both serve beside each other
# while callers call, are replaced one by one and rolled back, and the new build reads
# what the old one wrote: settings, stored rows, the operators' table as CSV, logs.
#
#   scripts/upgrade-check.sh OLD NEW [FOLDER]
#
# OLD and NEW are binaries. Logs and reports go into FOLDER (default: out/upgrade). All
# listen on loopback, on ports from FIRST_PORT (default: 28100) on. It takes two
# minutes, and ends only processes that it started.
set -euo pipefail
old=$(realpath "${1:?usage: scripts/upgrade-check.sh OLD NEW [FOLDER]}")
new=$(realpath "${2:?usage: scripts/upgrade-check.sh OLD NEW [FOLDER]}")
cd "$(dirname "$0")/.."
folder=${3:-out/upgrade}
port=${FIRST_PORT:-28100}
programs=${PROGRAMS:-200}
rm -rf "$folder"
mkdir -p "$folder"
cd "$folder"

declare -A pids
cleanup() {
  local pid
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait
}
trap cleanup EXIT

fail() { # TEXT
  echo "upgrade: FAILED: $1"
  exit 1
}

run() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$name.log" 2>&1 &
  pids[$name]=$!
}

stop() { # NAME
  kill -TERM "${pids[$1]}"
  wait "${pids[$1]}" || fail "$1 stopped with code $?"
  unset "pids[$1]"
}

get() { # PORT PATH
  local text
  exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET %s HTTP/1.0\r\nHost: localhost\r\n\r\n' "$2" >&3
  text=$(cat <&3)
  exec 3<&- 3>&-
  head -1 <<<"$text" | grep -q ' 200 ' && printf '%s\n' "$text"
}

await() { # WHAT COMMAND...
  local what=$1
  shift
  for _ in $(seq 100); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  fail "$what: not within 10 s"
}

cat >keys <<'KEYS'
piran caller piran-key
brindley caller brindley-key
piran operator piran-operator-key
piran admin admin-key
KEYS

# Hosts of "serve": the consortium's daemons.

serve() { # BINARY NUMBER
  run "serve-$2" env BALSAMVALVE_HOST_NAME="host-$2" "$1" serve --zone "zone-$2" --keys-file keys --log-format json \
    --platform-address "127.0.0.1:$port" --poll-interval 200ms --caller-address "127.0.0.1:$((port + 10 * $2))" \
    --peer-address "127.0.0.1:$((port + 10 * $2 + 1))" --operator-address "127.0.0.1:$((port + 10 * $2 + 2))"
  await "serve-$2" get $((port + 10 * $2 + 2)) /ready
}

table() { # BINARY NUMBER KEY ARGUMENT...
  local binary=$1 number=$2 key=$3
  shift 3
  BALSAMVALVE_KEY=$key "$binary" table --operator-address "127.0.0.1:$((port + 10 * number + 2))" "$@"
}

serve_load() { # BINARY NAME SEED
  "$1" load --address "127.0.0.1:$((port + 10)),127.0.0.1:$((port + 20)),127.0.0.1:$((port + 30))" --keys-file keys \
    --programs "$programs" --concurrency 40 --pauses 0.2 --seed "$3" --json "$2.json" \
    --service "127.0.0.1:$((port + 5)),127.0.0.1:$((port + 6))" >"$2.txt" 2>"$2.progress"
}

check_serve() {
  echo "upgrade: serve"
  "$old" check --keys-file keys >/dev/null || fail "the old build's settings, read by itself"
  "$new" check --keys-file keys >/dev/null || fail "the old build's settings, read by the new one"
  diff <("$old" settings --keys-file keys) <("$new" settings --keys-file keys) || fail "settings in force differ"
  run platform "$old" standin platform --address "127.0.0.1:$port"
  run engine-1 "$old" standin engine --platform "127.0.0.1:$port" --address "127.0.0.1:$((port + 1))" --name engine-1 --model booking-model --slots 8
  run engine-2 "$new" standin engine --platform "127.0.0.1:$port" --address "127.0.0.1:$((port + 2))" --name engine-2 --model agent-model --slots 8
  run engine-3 "$old" standin engine --platform "127.0.0.1:$port" --address "127.0.0.1:$((port + 3))" --name engine-3 --model agent-model --slots 8
  run service-1 "$old" standin service --platform "127.0.0.1:$port" --address "127.0.0.1:$((port + 5))" --name booking-1 --service booking
  run service-2 "$new" standin service --platform "127.0.0.1:$port" --address "127.0.0.1:$((port + 6))" --name stock-1 --service stock
  for number in 1 2 3; do
    serve "$old" "$number"
  done
  sleep 1
  printf 'version,member,class,share,budget\n0,piran,,50,1000000\n,brindley,,50,\n' >first.csv
  table "$old" 1 admin-key import first.csv >table.txt
  table "$old" 2 piran-operator-key export >old.csv

  serve_load "$old" load-old 1 || fail "load on the old build alone: $(tail -5 load-old.txt)"
  stop serve-1
  serve "$new" 1
  diff <(table "$old" 2 piran-operator-key export) <(table "$new" 1 piran-operator-key export) || fail "tables of both builds differ"
  sed 's/1000000/900000/' old.csv >edited.csv
  table "$new" 1 piran-operator-key import edited.csv >>table.txt || fail "the old build's CSV, edited and imported by the new one"
  table "$old" 3 piran-operator-key get | grep -q 900000 || fail "the new build's edit is not in force at the old one"
  table "$old" 3 piran-operator-key set piran budget=800000 >>table.txt
  table "$new" 1 piran-operator-key get | grep -q 800000 || fail "the old build's edit is not in force at the new one"
  diff <(table "$old" 1 piran-operator-key --json history) <(table "$new" 3 piran-operator-key --json history) || fail "histories differ"

  serve_load "$old" load-mixed 2 || fail "load on both builds: $(tail -5 load-mixed.txt)"
  serve_load "$new" load-replaced 3 &
  local load=$!
  for number in 2 3; do
    sleep 1
    stop "serve-$number"
    serve "$new" "$number"
  done
  stop serve-1
  serve "$old" 1 # rolled back
  kill -0 "$load" 2>/dev/null || fail "the load ended before the last host was replaced; set PROGRAMS higher"
  wait "$load" || fail "load while hosts are replaced: $(tail -5 load-replaced.txt)"
  BALSAMVALVE_KEY=piran-operator-key "$new" status --operator-address "127.0.0.1:$((port + 12))" >status.txt
  grep -c ' live ' status.txt | grep -qx 3 || [ "$(grep -cE '^host-[123] .* live ' status.txt)" = 3 ] || fail "status does not show 3 live hosts"
  for name in load-old load-mixed load-replaced; do
    echo "  $name: $(grep -m1 'seed ' "$name.txt")"
  done
  for name in serve-1 serve-2 serve-3; do
    stop "$name"
  done
}

# Hosts of "route": on the emulated platform of the users.

route_settings() { # NUMBER
  cat <<SETTINGS
nodeName = "edge-$1"
ip = "127.0.0.1"
zone = "zone-$1"
portRange = [$((port + 100 + 10 * $1)), $((port + 101 + 10 * $1))]
bootstrap = $([ "${first_start:-}" ] && echo true || echo false)
[listen]
front = "127.0.0.1:$((port + 102 + 10 * $1))"
readyAddr = "127.0.0.1:$((port + 103 + 10 * $1))"
[limits]
ramMb = 256
[bounds]
drainMs = 2000
graceS = 5
applyMs = 2000
settleMs = 1000
revokeStrict = true
revokeMs = 3000
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
[platform]
addr = "$store"
rowBytes = 65536
SETTINGS
}

route() { # BINARY NUMBER
  run "route-$2" env BALSAMVALVE_NODE_FILE="edge-$2.toml" "$1" route
  await "route-$2" has_endpoints "$2"
}

has_endpoints() { [ "$(metric "$1" endpoints)" = 5 ]; }

metric() { # NUMBER NAME
  get $((port + 101 + 10 * $1)) / | awk -v name="balsamvalve_$2" '$1 == name || index($1, name "{") == 1 { sum += $2 } END { print sum + 0 }'
}

# explain reads the collected logs; which request it names as an example is drawn anew.
explain() { "$1" explain collected-*.log | sed "s/ (such as .*//"; }

hears_all() { [ "$(metric "$1" hosts_heard)" = 2 ]; }

route_load() { # BINARY NAME SEED PROGRAMS
  "$1" load workspaces --address "127.0.0.1:$((port + 112)),127.0.0.1:$((port + 122)),127.0.0.1:$((port + 132))" \
    --keys-file keys --programs "$4" --concurrency 20 --skew 1 --seed "$3" >"$2.txt" 2>&1
}

check_route() {
  echo "upgrade: route"
  "$old" standin site --engines 3 --services 2 --keys-file keys --rate 200 --burst 200 >site.log 2>&1 &
  pids[site]=$!
  await "site" grep -q listening site.log
  store=$(awk '/^listening/ { print $2 }' site.log)
  for number in 1 2 3; do
    first_start=yes route_settings "$number" >"edge-$number.toml"
    route "$old" "$number"
  done
  for number in 1 2 3; do
    await "edge-$number hears the others" hears_all "$number"
  done
  route_load "$old" route-old 1 "$programs" || fail "load on the old build alone: $(tail -5 route-old.txt)"
  for number in 1 2 3; do
    route_settings "$number" >"edge-$number.toml"
  done
  stop route-1
  route "$new" 1
  for number in 1 2 3; do
    await "edge-$number hears the others, two builds" hears_all "$number"
  done
  route_load "$new" route-mixed 2 "$programs" || fail "load on both builds: $(tail -5 route-mixed.txt)"
  for name in answered quota_claims grants trackers_asked conversations_from_hosts budget_writes; do
    echo "  $name at the new host and the old ones: $(metric 1 $name) $(metric 2 $name) $(metric 3 $name)"
  done
  route_load "$old" route-replaced 3 $((4 * programs)) &
  local load=$!
  for number in 2 3; do
    sleep 1
    stop "route-$number"
    route "$new" "$number"
  done
  stop route-1
  route "$old" 1 # rolled back
  kill -0 "$load" 2>/dev/null || fail "the load ended before the last host was replaced; set PROGRAMS higher"
  wait "$load" || fail "load while hosts are replaced: $(tail -5 route-replaced.txt)"
  for number in 1 2 3; do
    await "edge-$number hears the others, rolled back" hears_all "$number"
  done
  for name in route-old route-mixed route-replaced; do
    echo "  $name: $(head -1 "$name.txt")"
  done
  for name in route-1 route-2 route-3; do
    stop "$name"
  done
  for number in 1 2 3; do
    sed "s/^/edge-$number /" "route-$number.log" >"collected-$number.log"
  done
  diff <(explain "$old") <(explain "$new") >explain.diff || fail "explain differs on the same logs: see explain.diff"
  "$new" explain collected-*.log >explain.txt
  head -1 explain.txt | sed 's/^/  explain: /'
}

check_serve
check_route
echo "upgrade: passed"
