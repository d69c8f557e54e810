#!/usr/bin/env bash
# Starts the fake platform services, two entries and four agents on loopback,
# publishes a rule file, serves one request and runs one gang of two workers; in
# between, kills one entry. Prints the results and stops all started processes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target carobrilld carobrill carobrill_fake_log carobrill_fake_worker carobrill_fake_endpoint >/dev/null
bin="$PWD/build"
dir="$(mktemp -d)"
port="${DEMO_PORT:-47100}"
started=()

stop_all() {
  for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop_all EXIT

start() { # start NAME COMMAND...: runs in the background, logs to a file
  local name="$1"
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  started+=("$!")
  pids[$name]="$!"
}
declare -A pids

entry_settings() { # entry_settings NAME HTTP_PORT RPC_PORT PEER_RPC_PORT
  cat >"$dir/$1.json" <<JSON
{
  "role": "entry",
  "instance": {
    "id": "$1", "region": "south", "failure_domain": "fd-1",
    "charts_directory": "$PWD/charts", "log_format": "plain",
    "rpc": {"address": "127.0.0.1", "port": $3},
    "http": {"address": "127.0.0.1", "port": $2}
  },
  "entry": {
    "peers": ["127.0.0.1:$4"],
    "log_service": {"url": "http://127.0.0.1:$port"}
  }
}
JSON
}

agent_settings() { # agent_settings NAME RPC_PORT BODY
  cat >"$dir/$1.json" <<JSON
{
  "role": "agent",
  "instance": {
    "id": "$1", "region": "south", "failure_domain": "fd-1",
    "charts_directory": "$PWD/charts", "log_format": "plain",
    "rpc": {"address": "127.0.0.1", "port": $2}
  },
  "agent": {
    "entries": ["127.0.0.1:$((port + 3))", "127.0.0.1:$((port + 4))"],
    $3
  }
}
JSON
}

wait_for() { # wait_for URL: waits for status 200
  for _ in $(seq 100); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no response from $1" >&2
  return 1
}

entry_a="http://127.0.0.1:$((port + 1))"
entry_b="http://127.0.0.1:$((port + 2))"
cli() { "$bin/carobrill" --entry "$entry_a" --entry "$entry_b" "$@"; }

echo "== starting the fake platform services, two entries and four agents"
start log "$bin/carobrill_fake_log" --listen 127.0.0.1 --port "$port"
entry_settings entry-a "$((port + 1))" "$((port + 3))" "$((port + 4))"
entry_settings entry-b "$((port + 2))" "$((port + 4))" "$((port + 3))"
start entry-a "$bin/carobrilld" --settings "$dir/entry-a.json"
start entry-b "$bin/carobrilld" --settings "$dir/entry-b.json"
for i in 1 2; do
  start "worker-$i" "$bin/carobrill_fake_worker" --listen 127.0.0.1 \
    --port "$((port + 10 + i))" --worker "worker-$i"
  agent_settings "agent-worker-$i" "$((port + 20 + i))" \
    "\"worker\": {\"id\": \"worker-$i\", \"rack\": \"rack-1\", \"url\": \"http://127.0.0.1:$((port + 10 + i))\"}"
  start "agent-worker-$i" "$bin/carobrilld" --settings "$dir/agent-worker-$i.json"
  start "endpoint-$i" "$bin/carobrill_fake_endpoint" --listen 127.0.0.1 \
    --port "$((port + 30 + i))"
  agent_settings "agent-endpoint-$i" "$((port + 40 + i))" \
    "\"endpoint\": {\"id\": \"endpoint-$i\", \"service\": \"calibration\", \"partner\": \"volta\", \"url\": \"http://127.0.0.1:$((port + 30 + i))\"}"
  start "agent-endpoint-$i" "$bin/carobrilld" --settings "$dir/agent-endpoint-$i.json"
done
wait_for "$entry_a/readyz"
wait_for "$entry_b/readyz"

echo "== publishing a rule file"
cat >"$dir/rules.txt" <<'RULES'
account setters guarantee=1x8@worker quota=16 share=3   # asked by: A. Mensah
account dealers guarantee=1x4@worker quota=16 share=1   # asked by: K. Boateng
hardware racks=1 workers_per_rack=2 accelerators=8             # asked by: K. Boateng
service calibration partner=volta short_ms=500 short_slots=2  # asked by: A. Mensah
RULES
cli rules check "$dir/rules.txt"
cli rules publish "$dir/rules.txt" --author "A. Mensah" --base 0

echo "== waiting until both workers are registered"
for _ in $(seq 100); do
  [ "$(cli workers --json | grep -o '"ready"' | wc -l)" -ge 2 ] && break
  sleep 0.1
done
cli workers

echo "== one non-idempotent request"
cli request calibration --account setters \
  --class urgent --kind check --expected-run-ms 100 --key demo-1 --deadline-ms 5000 --payload "reading 1013"

echo "== killing entry-a; the same request again is answered by entry-b"
kill -9 "${pids[entry-a]}"
wait "${pids[entry-a]}" 2>/dev/null || true
cli request calibration --account setters \
  --class urgent --kind check --expected-run-ms 100 --key demo-1 --deadline-ms 5000 --payload "reading 1013"
echo "number of runs at the endpoints:"
for i in 1 2; do curl -s "http://127.0.0.1:$((port + 30 + i))/stats"; echo; done

echo "== one gang of two members with 8 accelerators each, in one rack"
cli submit --account setters --class urgent --kind fit --members 2 --accelerators 8 \
  --cores 4 --memory-mb 1024 --adjacent rack --expected-run-ms 1000 \
  --preemption stop --idempotent --wait
for i in 1 2; do curl -s "http://127.0.0.1:$((port + 10 + i))/stats"; echo; done
echo "== done"
