#!/usr/bin/env bash
# Measures added latency, look-ups and requests per second, and memory of one entry host on loopback.
# docs/MEASUREMENTS.md lists the results; absolute values depend on the machine.
set -uo pipefail
cd "$(dirname "$0")"

bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  rm -rf "$work"
}
trap finish EXIT

start() {
  local log=$work/$1.log
  shift
  "$@" >"$log" 2>&1 &
  started_pid=$!
  pids+=("$started_pid")
}

wait_until() {
  for _ in $(seq 200); do
    "$@" && return
    sleep 0.05
  done
  echo "timed out after 10 s: $*"
  exit 1
}

read_listen_address() {
  address=$(sed -n 's/^listening //p' "$work/$1.log" | head -n 1)
  [ -n "$address" ]
}

cargo build --locked --release --quiet --bins || exit 1
start platform "$bin/pier-standin" platform
wait_until read_listen_address platform
platform=$address
endpoint_count=10
slots_per_endpoint=3
upstreams=()
document="zones: {bne-a: {region: bne}}
blocks: [{first: 0, last: 999, region: bne}]
services:
  licence-portal:
    endpoints:"
for index in $(seq $endpoint_count); do
  start "upstream-$index" "$bin/pier-standin" upstream --slots $slots_per_endpoint --service-time 5ms
  wait_until read_listen_address "upstream-$index"
  upstreams+=("$address")
  document+="
      portal-$index: {zone: bne-a, address: \"$address\", slots: $slots_per_endpoint}"
done
start fast "$bin/pier-standin" upstream --slots 64 --service-time 0ms
wait_until read_listen_address fast
fast_address=$address
document+="
  fast:
    endpoints:
      fast-1: {zone: bne-a, address: \"$fast_address\", slots: 64}"
echo "$document" >"$work/first.yaml"
mapfile -t ports < <("$bin/pier-standin" ports --count 3)
caller=127.0.0.1:${ports[0]}
"$bin/pierctl" keys --directory "$work" bne-a-1 || exit 1
cat >"$work/host.yaml" <<YAML
host: bne-a-1
zone: bne-a
caller: $caller
peer: 127.0.0.1:${ports[1]}
operator: 127.0.0.1:${ports[2]}
platform: ["$platform"]
log: {level: warn}
keys:
  certificate: $work/bne-a-1.pem
  private_key: $work/bne-a-1.key
  authorities: ["$work/ca.pem"]
YAML
host_record="{\"host\":\"bne-a-1\",\"zone\":\"bne-a\",\"peer\":\"127.0.0.1:${ports[1]}\",\"caller\":\"$caller\"}"
curl -sf -X PUT "http://$platform/hosts" -d "[$host_record]" >/dev/null || exit 1
start host "$bin/pier-entry" "$work/host.yaml"
host_pid=$started_pid
"$bin/pierctl" apply "$work/first.yaml" --on 0 --who measure --reason first \
  --platform "$platform" >/dev/null || exit 1
is_ready() {
  curl -sf -m 1 "http://$caller/lookup?service=fast&block=1" >/dev/null
}
wait_until is_ready

resident_memory() {
  awk '/VmRSS/ {print $2 " kB"}' "/proc/$host_pid/status"
}
# Prints the CPU time that the entry host has used, in hundredths of a second.
cpu_ticks() {
  awk '{print $14 + $15}' "/proc/$host_pid/stat"
}

echo "memory idle: $(resident_memory)"

direct_args=()
for address in "${upstreams[@]}"; do
  direct_args+=(--direct "$address")
done
for rate in 100 3000; do
  echo "open loop, $rate requests a second over $endpoint_count x $slots_per_endpoint slots of 5 ms (6000 a second):"
  for round in 1 2; do
    echo "  direct:  $("$bin/pier-load" "${direct_args[@]}" --once 0 --rate $rate --time 4s --seed $round |
      grep -oE '"all":\{[^}]*\}')"
    echo "  through: $("$bin/pier-load" --entry "$caller" --once 0 --rate $rate --time 4s --seed $round |
      grep -oE '"all":\{[^}]*\}')"
  done
done

measure_closed_loop() {
  local before after
  before=$(cpu_ticks)
  echo "  $("$bin/pier-load" --closed "$1" --entry "$caller" --connections "$2" --time 3s)"
  after=$(cpu_ticks)
  echo "  processor time of the entry host: $((after - before)) hundredths in 3 s"
}
echo "one connection, no service time:"
echo "  direct: $("$bin/pier-load" --closed "/item?key=a" --direct "$fast_address" --connections 1 --time 3s)"
measure_closed_loop "/s/fast/item?key=a" 1
echo "requests, 16 connections:"
measure_closed_loop "/s/fast/item?key=a" 16
echo "look-ups, 16 connections:"
measure_closed_loop "/lookup?service=licence-portal&block=7" 16
echo "memory after: $(resident_memory)"
"$bin/pier-load" --closed "/s/licence-portal/item?key=a" --entry "$caller" --connections 400 \
  --time 4s >"$work/many.json" &
load_pid=$!
sleep 3
echo "memory at 400 connections: $(resident_memory)"
wait "$load_pid"
cat "$work/many.json"
