#!/usr/bin/env bash
# Three daemons with a disk and 260 MB each. The operator sends a long series of valid configurations.
# With TROUBLE=1 (the default) the configuration has grown four times by 350 routes; with TROUBLE=0 it
# has the eight routes of a small deployment. The platform is this script: it kills a process that uses
# more than its memory limit and starts it again. Broken if processes on half of the core end so three
# times (rule "Fault").
# Usage: review/14/run.sh, after the build of the deploy file and review/build-3.sh.
set -uo pipefail
export LC_ALL=C
cd "$(dirname "$0")/../.."
root=$PWD
program=$root/target/hyssoppaddle
operator=$root/target/review-3/Operator
record=$root/review/14/record.txt
trouble=${TROUBLE:-1}
memory_mb=260
changes=2800
seconds=100
routes=8
[ "$trouble" = 0 ] || routes=$((8 + 4 * 350))
[ -x "$program" ] && [ -x "$operator" ] || { echo "not built" >&2; exit 2; }
: >"$record" || exit 2
work=$(mktemp -d) || exit 2
# Loopback addresses and ports that nothing else uses: the subnet and the ports come from the process ID.
net=127.$((30 + $$ % 200)).$((1 + $$ / 200 % 250))
base=$((20000 + $$ % 4000 * 5))
callers=$base control=$((base + 1)) ready=$((base + 2)) peers=$((base + 3)) metrics=$((base + 4))
declare -A pid ended
operator_pid=
cleanup() {
  kill -9 "${pid[@]}" $operator_pid 2>/dev/null
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
exec {idle}<> <(:)
idle() { read -r -t "$1" -u "$idle" || true; }
begun=${EPOCHREALTIME/./}
elapsed_ms() { echo $(((${EPOCHREALTIME/./} - begun) / 1000)); }
note() { echo "$(elapsed_ms) ms: $*" >>"$record"; }

settings() {
  cat <<END
{ "name": "node-$1", "data_centre": "dc-$1", "data_centres": ["dc-1", "dc-2", "dc-3"],
  "callers_address": "$net.$1:$callers", "control_address": "$net.$1:$control",
  "ready_address": "$net.$1:$ready", "peers_address": "$net.$1:$peers",
  "metrics_address": "$net.$1:$metrics", "data_folder": "$work/data-$1", "first_start": $2,
  "seeds": ["$net.1:$control", "$net.2:$control", "$net.3:$control"],
  "descriptors": 4100, "memory_mb": $memory_mb,
  "tolerated_losses": { "instances": 1, "data_centres": 0 },
  "times": { "grace_s": 6, "announce_ms": 1500, "max_lease_ms": 6000, "stop_ms": 400,
             "order_lease_ms": 3000, "maintenance_s": 2, "move_s": 1.5 } }
END
}
start() {
  settings "$1" "$2" >"$work/node-$1.json"
  "$program" platform run --settings "$work/node-$1.json" >>"$work/node-$1.log" 2>&1 &
  pid[$1]=$!
}
# Resident memory of a process in KiB; 0 if it has ended.
resident() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$1/status" 2>/dev/null || true; }

for n in 1 2 3; do ended[$n]=0; start "$n" true; done
"$operator" "$routes" 1 "$changes" 0 "$net.1:$control" "$net.2:$control" "$net.3:$control" \
  >"$work/operator.log" 2>&1 &
operator_pid=$!
peak=0
next_note=0
broken=0
while [ "$(elapsed_ms)" -lt $((seconds * 1000)) ] && kill -0 "$operator_pid" 2>/dev/null; do
  line=
  for n in 1 2 3; do
    used=$(resident "${pid[$n]}")
    if ! kill -0 "${pid[$n]}" 2>/dev/null || [ -z "$used" ]; then
      wait "${pid[$n]}"
      note "node-$n ended by itself with status $?"
      ended[$n]=$((ended[$n] + 1))
      start "$n" false
      continue
    fi
    [ "$used" -le "$peak" ] || peak=$used
    line+=" node-$n $((used / 1024)) MB"
    if [ "$used" -gt $((memory_mb * 1024)) ]; then
      note "node-$n uses $((used / 1024)) MB of $memory_mb MB after $(grep -c acknowledged "$work/operator.log") acknowledged changes: the platform kills it and starts it again"
      kill -9 "${pid[$n]}"
      wait "${pid[$n]}" 2>/dev/null
      ended[$n]=$((ended[$n] + 1))
      start "$n" false
    fi
  done
  if [ "$(elapsed_ms)" -ge "$next_note" ]; then
    note "$(grep -c acknowledged "$work/operator.log") changes acknowledged;$line"
    next_note=$(($(elapsed_ms) + 5000))
  fi
  count=0
  for n in 1 2 3; do [ "${ended[$n]}" -lt 3 ] || count=$((count + 1)); done
  if [ "$count" -ge 2 ]; then
    broken=1
    break
  fi
  idle 0.1
done
acknowledged=$(grep -c acknowledged "$work/operator.log")
{
  echo "operator: first and last lines, and answers that are no acknowledgement"
  head -n 3 "$work/operator.log"
  grep answered "$work/operator.log" | head -n 40
  tail -n 2 "$work/operator.log"
} >>"$record"
note "$acknowledged changes with $routes routes acknowledged; most memory of a process $((peak / 1024)) MB; processes ended: node-1 ${ended[1]}, node-2 ${ended[2]}, node-3 ${ended[3]}"
[ "$acknowledged" -ge 500 ] || { note "too few changes for a verdict"; [ "$broken" = 1 ] || exit 2; }
note "rule $([ "$broken" = 1 ] && echo broken || echo held)"
exit "$broken"
