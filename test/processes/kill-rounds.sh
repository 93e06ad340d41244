#!/usr/bin/env bash
# Runs three daemons and four stand-in upstreams on 127.0.0.0/8. In each round one daemon is either
# killed with SIGKILL and restarted, or paused with SIGSTOP for longer than its lease, while keys are
# granted and non-idempotent requests are sent and resent. Checks counts only: no acknowledged key is
# lost, and no request ran twice.
# Usage: test/processes/kill-rounds.sh [ROUNDS] [SEED]
set -euo pipefail
cd "$(dirname "$0")/../.."
rounds=${1:-6}
RANDOM=${2:-7}
work=$(mktemp -d)
# Works on copies, so that a build in the meantime does not replace a running program.
cp build/hyssoppaddle build/upstream_standin "$work/"
bin=$work/hyssoppaddle
declare -A pid
cleanup() {
  for each in "${pid[@]}"; do kill -CONT "$each" 2>/dev/null || true; kill -9 "$each" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
cp samples/02-three-instances/*.json "$work/"
cd "$work"
openssl rand -hex 32 >secret.hex
echo "hp_operator_bootstrap_$(openssl rand -hex 24)" >operator.token

control() { sed -n 's|.*"control_address": *"\([0-9.:]*\)".*|\1|p' "entry-$1.json"; }
callers() { sed -n 's|.*"callers_address": *"\([0-9.:]*\)".*|\1|p' "entry-$1.json"; }
start() { "$bin" run --settings "entry-$1.json" >>"daemon-$1.log" 2>&1 & pid[$1]=$!; }
# Retries until success, at most 300 times at intervals of 0.1 s.
until_ok() {
  local try
  for try in $(seq 300); do
    "$@" >last 2>&1 && return 0
    read -r -t 0.1 <> <(:) || true
  done
  cat last >&2
  return 1
}
operate() { "$bin" "$@" --server "$server" --token-file operator.token; }

for n in 1 2 3; do start $n; done
server=$(control 1)
until_ok operate status
until_ok operate member propose printer --idempotency-key join
member=$(sed -n 's|.*"member": *"\([a-z-]*\)".*|\1|p' bundle.json | head -1)
[ "$member" = printer ] || until_ok operate member propose "$member" --idempotency-key join2
until_ok operate key grant member printer --out member.token
until_ok operate bundle propose bundle.json
until_ok "$bin" bundle approve 1 --file bundle.json --server "$server" --token-file member.token
service=$(sed -n '/"services"/,$ s|.*"name": *"\([a-z-]*\)".*|\1|p' bundle.json | head -1)
pool=$(sed -n '/"services"/,$ s|.*"pool": *"\([a-z-]*\)".*|\1|p' bundle.json | head -1)
team=$(sed -n '/"teams"/,$ s|.*"name": *"\([a-z-]*\)".*|\1|p' bundle.json | head -1)
until_ok operate key grant team "$team" --out team.token
until_ok operate key grant upstream --out upstream.token
controls=$(control 1),$(control 2),$(control 3)
upstreams=()
while read -r name dc rack; do
  [ "${#upstreams[@]}" -lt 4 ] || break
  "$work/upstream_standin" --instance "$name" --service "$service" --pool "$pool" \
    --data-centre "$dc" --rack "$rack" --address 127.0.0.1:0 --control "$controls" \
    --token "$(cat upstream.token)" >"up-$name.log" 2>&1 &
  pid[$name]=$!
  upstreams+=("$name")
done < <(sed -n "/\"name\": *\"$pool\"/,/]/p" bundle.json |
  sed -n 's|.*"name": *"\([^"]*\)", *"data_centre": *"\([^"]*\)", *"rack": *"\([^"]*\)".*|\1 \2 \3|p')
auth="Authorization: Bearer $(cat team.token)"
until_ok curl -sf -m 5 -H "$auth" "http://$(callers 1)/services/$service/echo" -d warm

granted=() sent=0 answered=0 refused=0 other=0
: >not-run
# Sends one non-idempotent request with its own key. Resends it to the next instance if necessary.
send() {
  local key="run-$sent" n status
  sent=$((sent + 1))
  for n in $(((sent % 3) + 1)) $((((sent + 1) % 3) + 1)); do
    status=$(curl -s -m 3 -o answer -w '%{http_code}' -H "$auth" -H "Idempotency-Key: $key" \
      "http://$(callers "$n")/services/$service/echo" -d "$key" || true)
    case $status in
      200) answered=$((answered + 1)); [ "$(cat answer)" = "$key" ] || { echo "wrong answer for $key"; exit 1; }; return ;;
      503 | 429) refused=$((refused + 1)); grep -q '"not_run": *true' answer && last_not_run=$key ;;
      *) other=$((other + 1)) ;;
    esac
  done
}
grant() {
  local key="k$1"
  # A paused instance does not answer, so the others are tried first.
  for n in $((victim % 3 + 1)) $(((victim + 1) % 3 + 1)) "$victim"; do
    if "$bin" key grant operator --key "$key" --secret "$(printf 's%.0s' $(seq 40))" --out /dev/null \
      --server "$(control "$n")" --token-file operator.key --idempotency-key "grant-$key" >last 2>&1; then
      granted+=("$key")
      return
    fi
  done
}
# From here on an operator key replaces the bootstrap token.
until_ok operate key grant operator --out operator.key --key first --idempotency-key first
[ -s operator.key ] || { echo "no operator key"; exit 1; }
for round in $(seq "$rounds"); do
  victim=$((RANDOM % 3 + 1))
  kind=$((RANDOM % 3))
  if [ "$kind" -eq 0 ]; then kill -STOP "${pid[$victim]}"; else kill -9 "${pid[$victim]}"; fi
  for each in 1 2 3 4; do send; grant "$round-$each"; done
  if [ "$kind" -eq 0 ]; then kill -CONT "${pid[$victim]}"; else wait "${pid[$victim]}" 2>/dev/null || true; start "$victim"; fi
  until_ok curl -sf -m 2 "http://$(control "$victim")/readyz"
  echo "round $round: instance $victim $([ "$kind" -eq 0 ] && echo paused || echo killed), ${#granted[@]} keys granted"
done
lost=0
for n in 1 2 3; do
  until_ok curl -sf -m 2 "http://$(control "$n")/readyz"
  "$bin" key list --json --server "$(control "$n")" --token-file operator.key >keys
  for key in "${granted[@]}"; do grep -q "\"key\": \"$key\"" keys || lost=$((lost + 1)); done
done
run_twice=0 executions=0
for name in "${upstreams[@]}"; do
  address=$(head -1 "up-$name.log")
  curl -s -m 5 "http://$address/ran" >"ran-$name" || true
done
cat ran-* >ran-all
for ((request = 0; request < sent; ++request)); do
  count=$({ grep -o "\"run-$request\": *[0-9]*" ran-all || true; } | sed 's/.*: *//' | awk '{ total += $1 } END { print total + 0 }')
  executions=$((executions + count))
  [ "$count" -le 1 ] || run_twice=$((run_twice + 1))
done
echo "sent $sent, answered $answered, refused $refused, other $other, executions $executions"
echo "keys granted ${#granted[@]}, lost $lost; requests run twice $run_twice"
[ "$lost" -eq 0 ] && [ "$run_twice" -eq 0 ] && [ "${#granted[@]}" -gt 0 ] && [ "$answered" -gt 0 ]
