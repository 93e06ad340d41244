#!/usr/bin/env bash
# Three daemons with a disk, nine workers of 32 cores. With TROUBLE=1 (the default) a client hands in one
# gang of 20,000 lasting subtasks, which no pool can ever hold; with TROUBLE=0 a gang of 20. Then twelve
# small jobs follow, one a second. Broken if one of them, 14 s after the last, has had nothing running for
# 3 s while the turn of a subtask has come (rule "LOST").
# Usage: review/13/run.sh, after the build of the deploy file and review/build-3.sh.
set -uo pipefail
export LC_ALL=C
cd "$(dirname "$0")/../.."
root=$PWD
program=$root/target/hyssoppaddle
gangs=$root/target/review-3/Gangs
record=$root/review/13/record.txt
trouble=${TROUBLE:-1}
[ -x "$program" ] && [ -x "$gangs" ] || { echo "not built" >&2; exit 2; }
: >"$record" || exit 2
work=$(mktemp -d) || exit 2
net=127.$((30 + $$ % 200)).$((1 + $$ / 200 % 250))
base=$((20000 + $$ % 4000 * 5))
callers=$base control=$((base + 1)) ready=$((base + 2)) peers=$((base + 3)) metrics=$((base + 4))
pids=()
cleanup() {
  kill -9 "${pids[@]}" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
for n in 1 2 3; do
  cat >"$work/node-$n.json" <<END
{ "name": "node-$n", "data_centre": "dc-$n", "data_centres": ["dc-1", "dc-2", "dc-3"],
  "callers_address": "$net.$n:$callers", "control_address": "$net.$n:$control",
  "ready_address": "$net.$n:$ready", "peers_address": "$net.$n:$peers",
  "metrics_address": "$net.$n:$metrics", "data_folder": "$work/data-$n", "first_start": true,
  "seeds": ["$net.1:$control", "$net.2:$control", "$net.3:$control"],
  "descriptors": 4100, "memory_mb": 260,
  "tolerated_losses": { "instances": 1, "data_centres": 0 },
  "times": { "grace_s": 6, "announce_ms": 1500, "max_lease_ms": 6000, "stop_ms": 400,
             "order_lease_ms": 3000, "maintenance_s": 2, "move_s": 1.5 } }
END
  "$program" platform run --settings "$work/node-$n.json" >"$work/node-$n.log" 2>&1 &
  pids+=($!)
done
timeout 100 "$gangs" "$trouble" "$net" "$((base + 4990))" \
  "$net.1:$callers,$net.2:$callers,$net.3:$callers" "$net.1:$control,$net.2:$control,$net.3:$control" >"$record" 2>&1
result=$?
case $result in
  0) echo "rule held" >>"$record" ;;
  1) echo "rule LOST broken" >>"$record" ;;
  *) echo "the case couldn't run" >>"$record"; result=2 ;;
esac
for n in 1 2 3; do
  echo "node-$n became the leader $(grep -c '"event":"leadership_gained"' "$work/node-$n.log") times" >>"$record"
done
exit "$result"
