#!/usr/bin/env bash
# Prints the figures of docs/CAPACITY.md: real daemons idle at 3, 7 and 11 entry instances (processor
# time, bytes to peers, memory per role), then the slopes of state, planner and request path over
# 49, 490 and 6,100 workers. Usage: bench/capacity.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
bin=$PWD/build/hyssoppaddle
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
openssl rand -hex 32 >"$work/secret.hex"
echo "hp_operator_bootstrap_$(openssl rand -hex 24)" >"$work/operator.token"

# Settings of instance $1 of $2; the first three vote.
settings() {
  local n peers=""
  for n in $(seq "$2"); do
    peers+="${peers:+,}{\"instance\":\"entry-$n\",\"data_centre\":\"dc-$((n % 3))\",\"address\":\"127.0.1.$n:7302\",\"voter\":$([ "$n" -le 3 ] && echo true || echo false)}"
  done
  cat <<END
{"cluster":"capacity-$2","instance":"entry-$1","data_centre":"dc-$(($1 % 3))",
 $([ "$1" -le 3 ] && echo "\"data_folder\":\"data-$2-$1\",")
 "callers_address":"127.0.1.$1:7300","control_address":"127.0.1.$1:7301","peers_address":"127.0.1.$1:7302",
 "cluster_secret_file":"secret.hex","bootstrap_operator_token_file":"operator.token","peers":[$peers]}
END
}
# Processor ticks (10 ms) and resident KiB of a process.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
sent() { curl -s "http://127.0.1.$1:7301/metrics" | awk '/^hyssoppaddle_peer_(sent|received)_bytes_total/ {total += $2} END {printf "%d", total}'; }

cd "$work"
echo "entry instances, role, processor % of a core, bytes/s to peers, resident MiB"
for count in 3 7 11; do
  pids=()
  for n in $(seq "$count"); do
    settings "$n" "$count" >"entry-$n.json"
    "$bin" run --settings "entry-$n.json" 2>"log-$n" &
    pids+=("$!")
  done
  for n in $(seq "$count"); do
    for try in $(seq 300); do
      curl -sf -m 1 "http://127.0.1.$n:7301/readyz" >/dev/null && break
      read -r -t 0.1 <> <(:) || true
    done
  done
  for n in $(seq "$count"); do before[n]=$(ticks "${pids[n - 1]}") bytes[n]=$(sent "$n"); done
  read -r -t "$seconds" <> <(:) || true
  leader=$("$bin" status --json --server 127.0.1.1:7301 --token-file operator.token | sed -n 's/.*"leader": "entry-\([0-9]*\)".*/\1/p')
  for n in $(seq "$count"); do
    role=learner
    [ "$n" -gt 3 ] || role=voter
    [ "$n" != "$leader" ] || role=leader
    awk -v c="$count" -v r="$role" -v t="$(($(ticks "${pids[n - 1]}") - before[n]))" -v s="$seconds" \
      -v b="$(($(sent "$n") - bytes[n]))" -v m="$(resident "${pids[n - 1]}")" \
      'BEGIN {printf "%d %s %.2f %.0f %.1f\n", c, r, t / s, b / s, m / 1024}'
  done | sort | awk '{k = $1 " " $2; n[k]++; p[k] += $3; b[k] += $4; m[k] += $5}
    END {for (k in n) printf "%s: %.2f%%, %.0f B/s, %.1f MiB (mean of %d)\n", k, p[k] / n[k], b[k] / n[k], m[k] / n[k], n[k]}' | sort
  for pid in "${pids[@]}"; do kill -9 "$pid"; done
  wait 2>/dev/null || true
done
pids=()
cd - >/dev/null
build/StateBench
build/PlannerCostBench 1
build/RequestCostBench 1
