#!/usr/bin/env bash
# Mutation test of the fault matrix. Applies one deliberate defect (a break) at a time to a scratch copy and
# prints the first cell of the matrix that detects it. Exits with 1 if a break is not detected.
# Usage: scripts/check-breaks.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
cd "$copy"
# A break may leave a variable unused.
sed -i 's/ -Werror//' CMakeLists.txt
git init -q . && git add -A && git -c user.name=x -c user.email=x commit -qm copy

# name | file | sed expression | invariant
breaks=(
  "budget-ignored|src/state/InstanceTable.cpp src/planner/Budget.cpp src/core/ReducerEffects.cpp|s/after >= needed/true/; s/return available > taken ? available - taken : 0;/return available;/; s/return unconfirmed > 0 \&\&/return false \&\&/|1 budgets"
  "pool-index-kept|src/state/InstanceTable.cpp|/^InstanceTable::SetPool/,/^}/ s/this->RemoveFromIndexes(aEntry);/;/|2 one pool"
  "withdrawal-ignored|src/request/RequestReducer.h|s/Duration keyLease = std::chrono::seconds(4);/Duration keyLease = std::chrono::seconds(400);/|3 keys"
  "limit-ignored|src/state/CommandHandler.cpp src/planner/Reservations.cpp|s/return committed >= limit ? 0 : limit - committed;/return 1000;/; s/return taken >= team->limit ? 0 : team->limit - taken;/return 1000;/|4 limits"
  "end-forgotten|src/request/EngineCompletion.cpp|s/aReason.notRun \&\& !aRequest.mayHaveRun/true/|6 not run"
  "claim-skipped|src/state/ClaimTable.cpp|s/return MakeClaimOutcome(false, record);/return MakeClaimOutcome(true, record);/|7 at most once"
  "boot-fence-off|src/core/ReducerEffects.cpp src/core/ReducerUpstreams.cpp src/state/JobTasks.cpp|s/deliver.instruction.boot = this->BootFor(aEffect.instruction);/deliver.instruction.boot = upstream->second.announcement.boot;/; s/instruction.boot = this->BootFor(instruction);/instruction.boot = aEvent.announcement.boot;/; s/entry->second.task->boot != aBoot/false/|7 at most once (tasks)"
  "departure-ignored|src/request/Directory.cpp|s/aUpstream.latestAnnouncement.state == state::UpstreamState::Serving/true/; s/alive \&\& aUpstream.phaseAllowsWork/alive/|8 departing"
  "ready-too-early|src/core/Reducer.cpp|/^Reducer::IsReady/,/^}/ s/return !this->impl->stopping/return true; return !this->impl->stopping/|10 never reverts"
  "reboot-at-once|src/planner/Lifecycle.cpp|s/if (!this->IsDrained(aContext, aInstance, aRecord, aProgress))/if (false)/|9 planned stops"
)
wanted=("$@")
missed=0
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DHYSSOPPADDLE_CORE_ONLY=ON >/dev/null
for entry in "${breaks[@]}"; do
  IFS='|' read -r name files expression invariant <<<"$entry"
  [ "${#wanted[@]}" -eq 0 ] || [[ " ${wanted[*]} " == *" $name "* ]] || continue
  # shellcheck disable=SC2086
  sed -i "$expression" $files
  if git diff --quiet; then
    echo "$name ($invariant): the break no longer applies"
    missed=1
    continue
  fi
  if ! cmake --build build --target test_matrix >build.log 2>&1; then
    echo "$name ($invariant): does not compile"
    grep -m 3 error build.log || true
    missed=1
  else
    ./build/test_matrix --jobs 8 >run.log 2>&1 || true
    found=$(grep -m 1 ', seed [0-9]*: ' run.log || true)
    if [ -n "$found" ]; then echo "$name ($invariant): caught by $found"; else
      echo "$name ($invariant): NOT caught"
      missed=1
    fi
  fi
  git checkout -q -- .
done
exit "$missed"
