#!/usr/bin/env bash
# Runs nodes and one stand-in upstream on 127.0.0.0/8, and clients outside the limits against all addresses
# of the nodes (test/standin/HostileClients.cpp lists the kinds). Jobs are submitted before the clients
# come and while they stay. Violations: a node that ends, more memory or descriptors than the bounds, a job
# that is not accepted or not completed, a request that is not answered once the clients have gone. Checks
# no times; the tries only bound a run that hangs.
# HOSTILE_CLIENTS_BUILD names the folder of the programs; build.
# Usage: test/processes/hostile-clients.sh KIND
set -euo pipefail
export LC_ALL=C
cd "$(dirname "$0")/../.."
kind=${1:?kind}
build=${HOSTILE_CLIENTS_BUILD:-build}
# Bounds of one node, also in its settings.
max_resident_kb=$((128 * 1024))
max_descriptors=512
tries=600
net=127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250))
nodes=1
[ "$kind" != forwarded ] || nodes=3
ulimit -S -n "$(ulimit -H -n)"
work=$(mktemp -d)
cp "$build/hyssoppaddle" "$build/PlatformUpstreamStandin" "$build/HostileClients" "$work/"
pids=() others=()
cleanup() {
  kill -9 "${pids[@]}" "${others[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  [ -e "$work/keep" ] || rm -rf "$work"
}
trap cleanup EXIT
cd "$work"
exec {idle}<> <(:)
idle() { read -r -t "$1" -u "$idle" || true; }
violation() { echo "$*" >>violations; }
mapfile -t ports < <(./HostileClients --free-ports 6)
callers=${ports[0]} control=${ports[1]} ready=${ports[2]} peers=${ports[3]} metrics=${ports[4]}

settings() {
  cat <<END
{ "name": "node-$1", "data_centre": "dc-$1", "data_centres": ["dc-1", "dc-2", "dc-3"],
  "callers_address": "$net.$1:$callers", "control_address": "$net.$1:$control",
  "ready_address": "$net.$1:$ready", "peers_address": "$net.$1:$peers",
  "metrics_address": "$net.$1:$metrics", "data_folder": "$work/data-$1", "first_start": true,
  "seeds": ["$net.1:$control", "$net.2:$control", "$net.3:$control"], "descriptors": $max_descriptors,
  "memory_mb": $((max_resident_kb / 1024)),
  "tolerated_losses": { "instances": $((nodes / 3)), "data_centres": 0 },
  "times": { "announce_ms": 500, "max_lease_ms": 6000, "stop_ms": 400 } }
END
}
# Prints a configuration with one queue, and with many more if the clients read it.
configuration() {
  local route more n
  route='"kind":"non_idempotent","timeout_ms":3000,"target_completion_ms":2500,"priority":1,"service":"s0",'
  route+='"max_attempts":3,"stretch":2,"allow_anonymous":true}'
  echo -n "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\",$route"
  more=$([ "$kind" = readers ] && echo 3000 || echo 0)
  for ((n = 0; n < more; ++n)); do echo -n ",{\"name\":\"q$n\",\"host\":\"h\",\"path_prefix\":\"/more$n/\",$route"; done
  echo '],"services":[{"name":"s0","enforces_capacity":false,"standby":false}],"limits":{},"tenants":[]}'
}
status() { curl -s -m 3 --location-trusted -o /dev/null -w '%{http_code}' "$@" || true; }
# Notes the largest number of descriptors of a node, and whether one has ended.
watch_nodes() {
  local pid count
  for pid in "${pids[@]}"; do
    kill -0 "$pid" 2>/dev/null || { violation "a node ended"; return; }
    count=$(ls "/proc/$pid/fd" 2>/dev/null | wc -l)
    [ "$count" -le "$descriptors" ] || descriptors=$count
  done
}
# Repeats a command until it succeeds.
until_ok() {
  local what=$1 n
  shift
  for ((n = 0; n < tries; ++n)); do
    ! "$@" || return 0
    watch_nodes
    [ ! -s violations ] || return 0
    idle 0.1
  done
  violation "$what"
}
is_ready() { [ "$(status "http://$net.$1:$ready/")" = 200 ]; }
put_configuration() { [ "$(status -X PUT --data-binary @configuration "http://$net.1:$control/config")" = 200 ]; }
submit() {
  local body="{\"spec\":\"$1:1,1\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":100}]}"
  [ "$(status -X POST -H 'Host: h' -d "$body" "http://$net.$(($2 % nodes + 1)):$callers/q/$1")" = 200 ]
}
is_completed() {
  curl -s -m 3 -H 'Host: h' "http://$net.$(($2 % nodes + 1)):$callers/q/$1" | grep -q completed
}
# The shell catches the signal too until the program replaces it.
handles_signals() {
  local mask
  [[ $(readlink "/proc/$1/exe") == *PlatformUpstreamStandin ]] || return 1
  mask=$(sed -n 's/^SigCgt:[[:space:]]*//p' "/proc/$1/status")
  [ $((0x$mask & 0x200)) -ne 0 ]
}
is_settled() { [ "$(cat crowd-*.log 2>/dev/null | grep -c settled)" -eq "$nodes" ]; }

: >violations
descriptors=0
configuration >configuration
for ((n = 1; n <= nodes; ++n)); do
  settings "$n" >"node-$n.json"
  (ulimit -n $((max_descriptors + 100)); exec ./hyssoppaddle platform run --settings "node-$n.json") >"node-$n.log" 2>&1 &
  pids+=($!)
done
for ((n = 1; n <= nodes; ++n)); do until_ok "node $n does not get ready" is_ready "$n"; done
until_ok "no configuration is accepted" put_configuration
controls=$net.1:$control
for ((n = 2; n <= nodes; ++n)); do controls+=,$net.$n:$control; done
./PlatformUpstreamStandin --service s0 --count 2 --net "$net" --first 20 --port "${ports[5]}" \
  --controls "$controls" --seed 7 >standin.log 2>&1 &
upstream=$!
others+=("$upstream")
until_ok "the upstream does not start" handles_signals "$upstream"
kill -USR1 "$upstream" # without its own faults
jobs=()
submit_jobs() {
  local n id
  for ((n = 0; n < 4; ++n)); do
    printf -v id '%016x' $((${#jobs[@]} + 1))
    until_ok "job $id is not accepted $1" submit "$id" "$n"
    jobs+=("$id")
  done
}
submit_jobs "before the clients come"
lost=$({ cat node-*.log | grep -c '"peer_lost"' || true; })
crowds=()
for ((n = 1; n <= nodes; ++n)); do
  ./HostileClients --kind "$kind" --callers "$net.$n:$callers" --control "$net.$n:$control" \
    --ready "$net.$n:$ready" --metrics "$net.$n:$metrics" >"crowd-$n.log" 2>&1 &
  crowds+=($!)
done
others+=("${crowds[@]}")
until_ok "the clients do not settle" is_settled
submit_jobs "while the clients stay"
watch_nodes
kill -TERM "${crowds[@]}"
wait "${crowds[@]}" || true
for ((n = 1; n <= nodes; ++n)); do until_ok "node $n is not ready without the clients" is_ready "$n"; done
submit_jobs "without the clients"
for n in "${!jobs[@]}"; do until_ok "job ${jobs[n]} is not completed" is_completed "${jobs[n]}" "$n"; done
watch_nodes
resident=0 now=0
for pid in "${pids[@]}"; do
  kb=$(sed -n 's/^VmHWM:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$pid/status" 2>/dev/null || echo 0)
  [ "${kb:-0}" -le "$resident" ] || resident=$kb
  kb=$(sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$pid/status" 2>/dev/null || echo 0)
  [ "${kb:-0}" -le "$now" ] || now=$kb
done
[ "$resident" -le "$max_resident_kb" ] || violation "a node used $resident kB of $max_resident_kb"
[ "$descriptors" -le "$max_descriptors" ] || violation "a node used $descriptors descriptors of $max_descriptors"
lost=$(($({ cat node-*.log | grep -c '"peer_lost"' || true; }) - lost))
echo "$kind: peak $resident kB, then $now kB, descriptors $descriptors, lost links $lost, jobs ${#jobs[@]}," \
  "violations $(wc -l <violations); $(head -qn 1 crowd-*.log | head -1)"
[ -s violations ] || exit 0
: >keep
rm -f hyssoppaddle
sort violations | uniq -c | head -20
echo "logs: $work"
exit 1
