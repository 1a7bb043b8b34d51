#!/usr/bin/env bash
# Runs a cell of separate processes on loopback: the platform stand-in, workers in each zone and ingress nodes. Publishes
# examples/gatecare, runs a batch job, a gang job and requests, prints a summary and stops all processes by their IDs.
# The exit code is 0 if every step succeeded. Usage: scripts/cell.sh [NODES], with NODES from 3 (the default) to 9.
set -euo pipefail
cd "$(dirname "$0")/.."
nodes=${1:-3}
[[ $nodes =~ ^[3-9]$ ]] || { echo "NODES must be a number from 3 to 9" >&2; exit 2; }
zones=(moji shimonoseki kokura ube)
ip=127.$((64 + $$ % 128)).0.1
dir=$(mktemp -d)
pids=()
bin=$dir/sequoiastall

stop_all() {
  code=$?
  trap - EXIT INT TERM
  # Stop the nodes first, so that they can hand over their partitions and shut down cleanly; then the workers, then the
  # platform.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
    if ((i == 1 + ${#zones[@]} || i == 1)); then wait_for "${pids[@]:i}"; fi
  done
  wait_for ${pids[@]+"${pids[@]}"}
  if grep -hs 'invariant violated\|guarantee violated\|^panic:' "$dir"/*.log; then code=1; fi
  grep -hs '"workers stopped"' "$dir"/*.log || true
  if ((code == 0)); then
    rm -rf "$dir"
    echo "the cell worked"
  else
    echo "failed with exit code $code; logs are in $dir" >&2
  fi
  exit "$code"
}

wait_for() { for pid in "$@"; do wait "$pid" || true; done; }

# start NAME ARGUMENTS... runs the binary in the background and writes its output to NAME.log.
start() {
  local name=$1
  shift
  "$bin" "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

# retry COMMAND... repeats a command until it succeeds, for up to a minute.
retry() {
  for _ in $(seq 120); do
    if "$@" >"$dir/last" 2>&1; then
      cat "$dir/last"
      return 0
    fi
    sleep 0.5
  done
  cat "$dir/last" >&2
  return 1
}

# healthy NODE succeeds if the node's health check does.
healthy() {
  local line
  exec 3<>"/dev/tcp/$ip/$((7500 + $1))" || return 1
  printf 'GET /healthz HTTP/1.1\r\nHost: cell\r\nConnection: close\r\n\r\n' >&3
  read -r line <&3
  exec 3>&- 3<&-
  [[ $line == *" 200 "* ]]
}

# request NODE SECRET PATH sends a request to a service through a node, prints the status line and succeeds if it is 200.
request() {
  local line
  exec 3<>"/dev/tcp/$ip/$((7500 + $1))" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: cell\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n' "$3" "$2" >&3
  read -r line <&3
  exec 3>&- 3<&-
  echo "node$1 $3: $line"
  [[ $line == *" 200 "* ]]
}

# submit NODE SECRET ARGUMENTS... submits a job through a node and prints the job's ID.
submit() {
  local node=$1 secret=$2
  shift 2
  SEQUOIASTALL_KEY=$secret "$bin" submit --node "$ip:$((7500 + node))" -o json "$@" |
    sed -n 's/^ *"id": *"\([^"]*\)".*/\1/p' | head -1
}

trap stop_all EXIT
trap 'exit 130' INT TERM
go build -o "$bin" ./cmd/sequoiastall
start platform platform --listen "$ip:7300"
for zone in "${zones[@]}"; do
  start "worker-$zone" worker --zone "$zone" --count 6 --pool standard-16c-32g --listen "$ip:0" --platform "$ip:7300"
done
retry "$bin" publish examples/gatecare --platform "$ip:7300" --wait 0
for ((i = 0; i < nodes; i++)); do
  zone=${zones[i % ${#zones[@]}]}
  cat >"$dir/node$i.jsonc" <<SETTINGS
{
  "node_id": "node$i", "zone": "$zone", "region": "kanmon", "platform_address": "$ip:7300",
  "peer_address": "$ip:$((7400 + i))", "http_address": "$ip:$((7500 + i))", "seeds": ["$ip:7400"],
}
SETTINGS
  start "node$i" serve --settings "$dir/node$i.jsonc"
done
for ((i = 0; i < nodes; i++)); do retry healthy "$i"; done
"$bin" publish examples/gatecare --platform "$ip:7300" --wait 30s

batch=$(submit 0 example-harbour-batch --queue harbour-reports --tasks 40 --slots 1 --milli-cpu 1000 --memory-mb 512 --duration-ms 500 --idempotent)
gang=$(submit 1 example-river --queue river-survey --class gang --tasks 8 --slots 2 --milli-cpu 2000 --memory-mb 512 --duration-ms 500 --idempotent)
for ((i = 0; i < nodes; i++)); do retry request "$i" example-canal "/services/canal-plans/gates/$i"; done
SEQUOIASTALL_KEY=example-harbour-batch timeout 120 "$bin" job "$batch" --wait --node "$ip:7502"
SEQUOIASTALL_KEY=example-river timeout 120 "$bin" job "$gang" --wait --node "$ip:7500"
