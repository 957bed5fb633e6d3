#!/usr/bin/env bash
# Runs small versions of both deployments in docs/design.md: a platform, backend
# servers and three instances each, with settings, searches, a fetch and a
# reservation, and the loss of a backend server and of a shard group.
# Exits with a non-zero status on any failure. Usage: demo.sh BUILD_DIR
set -euo pipefail
build=${1:-build}
work=$(mktemp -d)
pids=()     # Platforms and backend servers.
daemons=()  # Running instances.

stop_all() {
  local status=$?
  local pid
  for pid in "${daemons[@]}" "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  if [ "$status" -ne 0 ]; then
    echo "demo: FAILED; logs in $work" >&2
  else
    rm -rf "$work"
  fi
  exit "$status"
}
trap stop_all EXIT

fail() { echo "demo: $*" >&2; exit 1; }

# wait_for DESCRIPTION COMMAND...: up to 30 s.
wait_for() {
  local what=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "no $what within 30 s"
}

# field FILE NAME: string member NAME of the first JSON line that has it.
field() { sed -n 's/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$1" | head -1; }

start_platform() {
  "$build/wasabihook-fake-platform" >"$work/$1-platform.out" 2>&1 &
  pids+=($!)
  wait_for "platform" grep -q 'listening on' "$work/$1-platform.out"
  platform=$(sed -n 's/listening on //p' "$work/$1-platform.out")
}

# start_backends COMPANY ARGUMENT...
start_backends() {
  local company=$1
  shift
  "$build/wasabihook-fake-backends" "$@" \
    --write-settings "$work/$company-%t.toml" >"$work/$company-backends.out" 2>&1 &
  pids+=($!)
  wait_for "backend servers" grep -q '"control"' "$work/$company-backends.out"
  control=$(field "$work/$company-backends.out" control)
}

# start_instance COMPANY NUMBER DATA_CENTRE SEEDS
start_instance() {
  local file="$work/$1-$2"
  cat >"$file.toml" <<TOML
[instance]
id = "$1-$2"
data_centre = "$3"
[listen]
caller = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"
[platform]
address = "$platform"
[peers]
seeds = [$4]
[drain]
notice_ms = 200
limit_ms = 10000
TOML
  "$build/wasabihookd" --config "$file.toml" --check >/dev/null
  "$build/wasabihookd" --config "$file.toml" 2>"$file.log" &
  daemons+=($!)
  wait_for "start of $1-$2" grep -q '"event":"started"' "$file.log"
}

# ask WHAT EXPECTED ARGUMENT...: sends one query with wasabihookctl. EXPECTED is
# a list of Python expressions over the answer `a` that must be true.
ask() {
  local what=$1 expected=$2
  shift 2
  echo "--- $what"
  "$build/wasabihookctl" query "$@" --json >"$work/answer" || true
  python3 - "$work/answer" "$expected" <<'PY'
import json, sys
text = open(sys.argv[1]).read()
a = json.loads(text)
shown = dict(a)
if "rows" in a:
    shown["rows"] = f"{len(a['rows'])} rows"
print(json.dumps(shown))
for expression in sys.argv[2].split(";"):
    if not eval(expression):
        sys.exit(f"demo: not so: {expression}\n{text[:2000]}")
PY
}

# first_server INDEX_SET: address of one server, from the list on standard input.
first_server() {
  python3 -c 'import json, sys
servers = json.load(sys.stdin)
servers = servers["servers"] if isinstance(servers, dict) else servers
print(next(s["server"] for s in servers if s["index_set"] == sys.argv[1]))' "$1"
}

# set_lost SELECTOR true|false: makes backend servers unavailable or restores
# them.
set_lost() {
  curl -fsS "http://$control/faults" \
    -d "{\"select\":$1,\"faults\":{\"lost\":$2}}" >/dev/null
}

# instances COMPANY DATA_CENTRE...: starts one instance for each data centre.
instances() {
  local company=$1 number=0 seeds=""
  shift
  callers=()
  for centre in "$@"; do
    number=$((number + 1))
    start_instance "$company" "$number" "$centre" "$seeds"
    callers+=("$(field "$work/$company-$number.log" caller_address)")
    seeds="\"$(field "$work/$company-1.log" peer_address)\""
  done
}

# operation COMPANY TEAM INDEX_SET: sends a reservation and repeats it.
operation() {
  local key issued
  key="demo-$1"
  issued=$(date +%s%3N)
  local common=(operation --team "$2" --index-set "$3" --record-key "$3-7"
    --idempotency-key "$key" --issued-at-ms "$issued"
    --operation '{"reserve":1}' --deadline-ms 5000)
  ask "$1: reservation" 'a["replayed"] is False;len(a["rows"]) == 1' \
    "${common[@]}" --instance "${callers[0]}"
  ask "$1: the same reservation sent again to another instance" \
    'a["replayed"] is True;len(a["rows"]) == 1' \
    "${common[@]}" --instance "${callers[1]}"
  local runs
  runs=$(curl -fsS "http://$control/log?kind=operation" |
    python3 -c 'import json,sys; print(len(json.load(sys.stdin)["operations"]))')
  [ "$runs" = 1 ] || fail "the reservation ran $runs times"
  echo "--- $1: backend servers ran the reservation $runs time"
}

# tour COMPANY TEAM SEARCH_SET GROUPS FETCH_SET
tour() {
  local company=$1 team=$2 set=$3 groups=$4 desk=$5
  for caller in "${callers[@]}"; do
    wait_for "settings at $caller" curl -fsS "http://$caller/readyz"
  done
  local search=(search --team "$team" --index-set "$set" --query t5
    --deadline-ms 5000)
  ask "$company: search of $set" \
    "a['coverage']['complete'];a['coverage']['groups_asked'] == $groups;len(a['rows']) > 0" \
    "${search[@]}" --instance "${callers[0]}"
  ask "$company: fetch from $desk" \
    'a["coverage"]["complete"];len(a["rows"]) == 1' \
    fetch --team "$team" --index-set "$desk" --record-key "$desk-3" \
    --deadline-ms 5000 --instance "${callers[1]}"
  operation "$company" "$team" "$desk"

  local server
  server=$(curl -fsS "http://$control/servers" | first_server "$set")
  set_lost "{\"server\":\"$server\"}" true
  ask "$company: search with one backend server lost" \
    "a['coverage']['complete'];a['coverage']['groups_covered'] == $groups" \
    "${search[@]}" --instance "${callers[2]}"
  set_lost "{\"server\":\"$server\"}" false

  set_lost "{\"index_set\":\"$set\",\"group\":\"g1\"}" true
  ask "$company: search with shard group g1 lost" \
    "not a['coverage']['complete'];a['coverage']['groups_covered'] == $groups - 1;a['coverage']['missing_groups'] == ['g1'];0 < a['coverage']['records_covered'] < a['coverage']['records_asked']" \
    "${search[@]}" --instance "${callers[0]}"
  set_lost "{\"index_set\":\"$set\",\"group\":\"g1\"}" false
}

# Stops the instances and checks that each one drained.
drain_instances() {
  for pid in "${daemons[@]}"; do kill -TERM "$pid"; done
  for pid in "${daemons[@]}"; do
    wait "$pid" || fail "an instance of $1 ended with status $?"
  done
  daemons=()
  echo "--- $1: all instances drained"
}

# Shows the service-level report of the counts that the drained instances left
# in the platform's store.
show_report() {
  echo "--- $1: service-level report (page: $build/demo-report-$1.html)"
  "$build/wasabihookctl" report --platform "$platform"
  "$build/wasabihookctl" report --platform "$platform" --format html \
    --output "$build/demo-report-$1.html"
}

# put_settings COMPANY TEAM: lowers the minimum coverage, so that the loss of one
# group in this small deployment gives a partial answer, and writes the settings.
put_settings() {
  local file="$work/$1-$2.toml"
  printf '\n[coverage]\nleast_coverage = 0.5\n' >>"$file"
  "$build/wasabihookctl" settings check "$file" >/dev/null
  "$build/wasabihookctl" settings put --platform "$platform" "$file"
}

echo "=== Brightrim Eyewear Supply (small stand-in)"
start_platform brightrim
start_backends brightrim --data-centre bay-a --data-centre bay-b \
  --data-centre bay-c --data-centre dispatch-hall \
  --team sales-desk --team warehouse \
  --index-set sales-lookup:4:2:2:25:6 --index-set restock-planner:6:2:2:25:6 \
  --index-set pick-assist:1:5:2:100:1 --index-set returns-desk:1:4:2:100:1
instances brightrim bay-a bay-b dispatch-hall
put_settings brightrim sales-desk
put_settings brightrim warehouse
tour brightrim sales-desk sales-lookup 4 returns-desk
drain_instances brightrim
show_report brightrim

echo "=== Abay Dental Systems PLC (small stand-in)"
start_platform abay
start_backends abay --data-centre addis-bole --data-centre bahirdar-kebele \
  --data-centre hawassa-piassa --team clerks --team couriers \
  --index-set counter-desk:4:2:2:25:6 --index-set lab-ledger:6:2:2:25:6 \
  --index-set courier-app:1:3:4:45:1 --index-set recall-notes:1:3:4:45:1
instances abay addis-bole bahirdar-kebele hawassa-piassa
put_settings abay clerks
put_settings abay couriers
tour abay clerks counter-desk 4 recall-notes
drain_instances abay
show_report abay
echo "demo: all as expected"
