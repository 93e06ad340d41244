#!/usr/bin/env bash
# Builds, runs one entry instance and two stand-in upstreams on 127.0.0.0/8, rolls out a bundle, sends
# a keyed request and a job, explains a decision, and stops all processes cleanly.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
root=$PWD
bin=$root/build/hyssoppaddle
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

# Retries a command until it succeeds, at most 100 times with 0.1 s between.
until_ok() {
  local try
  for try in $(seq 100); do
    "$@" >"$work/last" 2>&1 && return 0
    read -r -t 0.1 <> <(:) || true
  done
  cat "$work/last" >&2
  return 1
}

# The paths in the sample are relative, so all files of this run are in one folder.
cp samples/01-one-instance/settings.json samples/01-one-instance/bundle.json "$work/"
cd "$work"
openssl rand -hex 32 >secret.hex
echo "hp_operator_bootstrap_$(openssl rand -hex 24)" >operator.token
callers=127.0.0.1:7100
export HYSSOPPADDLE_SERVER=127.0.0.1:7101
member=printer team=clerks service=preview

echo "== start one entry instance"
"$bin" settings check settings.json
"$bin" run --settings settings.json >daemon.log 2>&1 &
daemon=$!
pids+=("$daemon")
operator=(--token-file operator.token)
until_ok "$bin" status "${operator[@]}"

echo "== the first member, its key, a bundle proposed and approved"
"$bin" member propose "$member" "${operator[@]}"
"$bin" key grant member "$member" --out member.token "${operator[@]}"
"$bin" bundle propose bundle.json "${operator[@]}"
until_ok "$bin" bundle approve 1 --file bundle.json --token-file member.token
"$bin" key grant team "$team" --out team.token "${operator[@]}"
"$bin" key grant upstream --out upstream.token "${operator[@]}"

echo "== two stand-in upstreams announce themselves"
for number in 1 2; do
  "$root/build/upstream_standin" --instance "worker-$number" --service "$service" \
    --pool previews --data-centre dc-a --rack "rack-$number" \
    --address "127.0.0.1:0" --control "$HYSSOPPADDLE_SERVER" \
    --token "$(cat upstream.token)" --run-ms 500 >"upstream-$number.log" 2>&1 &
  pids+=("$!")
done
until_ok curl -sf -H "Authorization: Bearer $(cat team.token)" \
  "http://$callers/services/$service/echo" -d warm-up

echo "== a keyed request through the entry instance"
curl -sf -H "Authorization: Bearer $(cat team.token)" \
  "http://$callers/services/$service/echo" -d 'hello from a caller'
echo
echo "== a job"
echo "{\"service\": \"$service\", \"job\": \"job-1\", \"run_time_ms\": 500, \"size\": {\"milli_cpus\": 500, \"memory_mb\": 64}}" >job.json
"$bin" job submit job.json --token-file team.token
job_is_done() { "$bin" job status job-1 --token-file team.token --json | grep -q '"state": "done"'; }
until_ok job_is_done
"$bin" job status job-1 --token-file team.token
echo "== why it ran where it ran"
"$bin" explain job job-1 "${operator[@]}"
"$bin" status "${operator[@]}"

echo "== graceful stop: the upstreams depart, then the daemon drains"
for pid in "${pids[@]}"; do
  [ "$pid" = "$daemon" ] || { kill -TERM "$pid"; wait "$pid"; }
done
kill -TERM "$daemon"
wait "$daemon"
pids=()
"$bin" state verify "$work/data"
echo "quickstart: done"
