#!/usr/bin/env bash
# Runs the whole path on loopback: stand-ins, 4 entry VMs in 3 availability
# zones, an operator's settings and the requests of both deployments. Leaves
# nothing running. Argument: the folder of the programs.
set -euo pipefail

bin=${1:?folder of the programs}
base=${DEMO_PORT:-17100}
out=$(mktemp -d)
pids=()

stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ -n "${DEMO_KEEP:-}" ] || rm -rf "$out"
}
trap stop EXIT

addr() { echo "127.0.0.1:$((base + $1))"; }

# start NAME COMMAND...: runs a command in the background with a log of its own.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
}

# await FILE TEXT: waits until the file has the text.
await() {
  local end=$((SECONDS + 20))
  until grep -qs "$2" "$1"; do
    if ((SECONDS >= end)); then
      echo "demo: no \"$2\" in $(basename "$1")" >&2
      cat "$1" >&2
      exit 1
    fi
    sleep 0.05
  done
}

# The stand-ins' ports: 0 log, 1 VM list, 2 weight store, 3 and 4 plain
# services, 10 to 21 engines, 4 in each zone.
{
  echo '{"vms":['
  for idx in $(seq 0 11); do
    zone=z$((idx / 4 + 1))
    echo "{\"name\":\"vm-$idx\",\"addr\":\"$(addr $((10 + idx)))\",\"zone\":\"$zone\",\"domain\":\"$zone-d$((idx / 2 % 2))\",\"kind\":\"engine\"},"
  done
  for idx in 1 2 3 4; do
    zone=z$((idx > 1 ? idx - 1 : 1))
    echo "{\"name\":\"e$idx\",\"addr\":\"$(addr $((40 + idx)))\",\"zone\":\"$zone\",\"kind\":\"entry\"},"
  done
  echo "{\"name\":\"fees-1\",\"addr\":\"$(addr 3)\",\"zone\":\"z1\",\"kind\":\"plain\",\"service\":\"fees\"},"
  echo "{\"name\":\"booking-1\",\"addr\":\"$(addr 4)\",\"zone\":\"z3\",\"kind\":\"plain\",\"service\":\"booking\"}"
  echo ']}'
} >"$out/vms.json"

start log "$bin/standin" log --addr "$(addr 0)"
start vms "$bin/standin" vms --addr "$(addr 1)" --file "$out/vms.json"
start weights "$bin/standin" weights --addr "$(addr 2)" --rate 20
start fees "$bin/standin" plain --addr "$(addr 3)" --vm fees-1
start booking "$bin/standin" plain --addr "$(addr 4)" --vm booking-1
start engines "$bin/standin" engines --count 12 --base-port $((base + 10)) --prefix vm \
  --fencing --load-time 300ms --token-time 2ms --weights "$(addr 2)"
for name in log vms weights fees booking engines; do await "$out/$name.log" "ready"; done

entries=()
operators=()
for idx in 1 2 3 4; do
  zone=z$((idx > 1 ? idx - 1 : 1))
  cat >"$out/e$idx.json" <<JSON
{"node":"e$idx","zone":"$zone",
 "listen":{"callers":"$(addr $((30 + idx)))","operators":"$(addr $((50 + idx)))",
           "peers":"$(addr $((40 + idx)))","metrics":"$(addr $((60 + idx)))"},
 "log":"$(addr 0)","vms":"$(addr 1)","seeds":["$(addr 41)","$(addr 42)","$(addr 43)","$(addr 44)"]}
JSON
  start "e$idx" "$bin/kumquathinged" --config "$out/e$idx.json"
  entries+=(--entry "$(addr $((30 + idx)))")
  operators+=(--operators "$(addr $((50 + idx)))")
done
for idx in 1 2 3 4; do await "$out/e$idx.log" "node started"; done

hash() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
cat >"$out/tree.json" <<JSON
{"/orgs/andes": {"org.key_hashes": ["$(hash andes-key)"], "org.priority": 3},
 "/orgs/kallergis": {"org.key_hashes": ["$(hash kallergis-key)"], "org.priority": 3},
 "/": {"vm.fencing": true},
 "/services/fees": {"service.enabled": true},
 "/services/booking": {"service.enabled": true},
 "/models/alerts": {"model.version": "v1", "group.size": 2, "group.enabled": true},
 "/models/alerts/groups/alerts-1": {"group.zone": "z1"},
 "/models/alerts/groups/alerts-2": {"group.zone": "z2"},
 "/models/notes": {"model.version": "v1", "group.size": 2, "group.enabled": true},
 "/models/notes/groups/notes-2": {"group.zone": "z2"},
 "/models/notes/groups/notes-3": {"group.zone": "z3"}}
JSON
"$bin/kumctl" --server "$(addr 51)" apply "$out/tree.json"

"$bin/demo" "${entries[@]}" "${operators[@]}" --fees "$(addr 3)" \
  --andes-key andes-key --kallergis-key kallergis-key && code=0 || code=$?

if ((code != 0)); then
  grep -hE "level=(warning|error)" "$out"/*.log | tail -n 40 >&2 || true
fi
exit "$code"
