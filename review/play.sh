#!/usr/bin/env bash
# Plays one scenario of the stand-in against four nodes (three with a disk) as separate processes on
# 127.0.0.0/8, started with the command of deploy/system.toml. The settings are what the template
# platform/node-settings.json.in gives for a small deployment with the bounds of ncu-sched.
# TROUBLE=0 leaves out the disruption. Writes what was sent, answered and run to RECORD.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Usage: review/play.sh SCENARIO RECORD
set -uo pipefail
scenario=$1
record=$(cd "$(dirname "$2")" && pwd)/$(basename "$2")
cd "$(dirname "$0")/.."
root=$PWD
program=$root/target/hyssoppaddle
standin=$root/build-review/standin
: >"$record"
fail() { echo "cannot run: $*" | tee -a "$record"; exit 2; }
[ -x "$program" ] || fail "target/hyssoppaddle is missing"
[ -x "$standin" ] || fail "build-review/standin is missing"
work=$(mktemp -d) || fail "no temporary folder"
nodes=4 # node 1 has no disk, as the most of a deployment; the others hold the state
pids=()
cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
# A free loopback network: no other process listens on the first port of it.
for _ in 1 2 3 4 5 6 7 8 9 10; do
  net=127.$((1 + RANDOM % 250)).$((RANDOM % 250))
  port=$((20000 + RANDOM % 10000))
  (exec 3<>"/dev/tcp/$net.1/$port") 2>/dev/null || break
done
front=$port ready=$((port + 3)) control=$((port + 5)) peers=$((port + 10)) metrics=$((port + 11))
# Prints the settings of a node; $2 is true at its first start.
settings() {
  local folder=""
  [ "$1" = 1 ] || folder="\"data_folder\": \"$work/data-$1\","
  cat <<END
{
  "name": "frontend-norte-$1", "data_centre": "dc-$((($1 - 1) % 3))", "data_centres": ["dc-0", "dc-1", "dc-2"],
  "callers_address": "$net.$1:$front", "control_address": "$net.$1:$control",
  "ready_address": "$net.$1:$ready", "peers_address": "$net.$1:$peers",
  "metrics_address": "$net.$1:$metrics", $folder
  "descriptors": 4100, "first_start": $2,
  "seeds": ["$net.2:$control", "$net.3:$control", "$net.4:$control"],
  "tolerated_losses": { "instances": 1, "data_centres": 0 },
  "times": { "grace_s": 6, "announce_ms": 1500, "max_lease_ms": 6000, "stop_ms": 400,
    "order_lease_ms": 3000, "maintenance_s": 2, "move_s": 1.5 }
}
END
}
for ((n = 1; n <= nodes; ++n)); do
  [ "$n" = 1 ] || mkdir "$work/data-$n"
  settings "$n" true >"$work/node-$n.json"
  settings "$n" false >"$work/node-$n.again.json"
done
[ "${TROUBLE:-1}" = 0 ] && trouble=0 || trouble=1
"$standin" "$scenario" "$trouble" "$net" "$port" "$nodes" "$record" "$program" "$work" &
pids+=($!)
wait $!
code=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$work"/node-*.log "$KEEP_LOGS"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
