#!/usr/bin/env bash
# Measures the resource usage of one entry and its agents for several numbers of
# agents: CPU share and resident memory over 10 s, and control traffic as counted
# by the entry. Usage: measure-capacity.sh [AGENTS...]; default 8 32 96. Needs a
# build in ./build; use a Release build for measurements (BUILD=build-release).
set -euo pipefail
cd "$(dirname "$0")/.."
bin="$PWD/${BUILD:-build}"
port="${MEASURE_PORT:-48100}"
sizes=("$@")
[ "${#sizes[@]}" -gt 0 ] || sizes=(8 32 96)
seconds=10
started=()
dir=""

stop_all() {
  for pid in "${started[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
  started=()
  [ -z "$dir" ] || rm -rf "$dir"
}
trap stop_all EXIT

start() { # start COMMAND...: runs in the background; sets $last to its process id
  "$@" >/dev/null 2>&1 &
  last="$!"
  started+=("$last")
}

instance() { # instance NAME RPC_PORT: prints the common part of the settings
  echo "\"instance\": {\"id\": \"$1\", \"region\": \"r\", \"failure_domain\": \"d\",
    \"charts_directory\": \"$PWD/charts\", \"log_level\": \"error\",
    \"rpc\": {\"address\": \"127.0.0.1\", \"port\": $2},
    \"http\": {\"address\": \"127.0.0.1\", \"port\": ${3:-0}}}"
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_mb() { awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$1/status"; }
metric() { curl -s "http://127.0.0.1:$((port + 1))/metrics" | awk -v m="$1" '$1 == m {print $2}'; }

measure() { # measure AGENTS
  local agents="$1"
  dir="$(mktemp -d)"
  start "$bin/carobrill_fake_log" --listen 127.0.0.1 --port "$port"
  start "$bin/carobrill_fake_endpoint" --listen 127.0.0.1 --port "$((port + 3))"
  echo "{\"role\": \"entry\", $(instance entry $((port + 2)) $((port + 1))),
    \"entry\": {\"log_service\": {\"url\": \"http://127.0.0.1:$port\"}}}" >"$dir/entry.json"
  start "$bin/carobrilld" --settings "$dir/entry.json"
  local entry="$last"
  local agent=""
  for i in $(seq "$agents"); do
    echo "{\"role\": \"agent\", $(instance "agent-$i" 0),
      \"agent\": {\"entries\": [\"127.0.0.1:$((port + 2))\"],
      \"endpoint\": {\"id\": \"endpoint-$i\", \"service\": \"s\", \"partner\": \"p\",
        \"url\": \"http://127.0.0.1:$((port + 3))\"}}}" >"$dir/agent-$i.json"
    start "$bin/carobrilld" --settings "$dir/agent-$i.json"
    agent="$last"
  done
  for _ in $(seq 300); do
    [ "$(metric carobrill_agents_heard || true)" = "$agents" ] && break
    sleep 0.1
  done
  sleep 3
  local entry_before agent_before
  entry_before="$(cpu_ticks "$entry")"
  agent_before="$(cpu_ticks "$agent")"
  sleep "$seconds"
  local hz
  hz="$(getconf CLK_TCK)"
  awk -v n="$agents" -v e="$(($(cpu_ticks "$entry") - entry_before))" \
    -v a="$(($(cpu_ticks "$agent") - agent_before))" -v hz="$hz" -v s="$seconds" \
    -v em="$(rss_mb "$entry")" -v am="$(rss_mb "$agent")" \
    -v heard="$(metric carobrill_agents_heard)" \
    -v bytes="$(metric carobrill_control_bytes_per_second)" \
    'BEGIN {printf "%6d %6d %10.2f %9.1f %12.0f %10.2f %9.1f\n", n, heard, 100 * e / hz / s, em, bytes, 100 * a / hz / s, am}'
  stop_all
  dir=""
}

echo "agents  heard entry_cpu% entry_MB entry_bytes/s agent_cpu% agent_MB"
for size in "${sizes[@]}"; do
  measure "$size"
done
