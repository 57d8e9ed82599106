#!/usr/bin/env bash
# Runs an end-to-end check with separate processes on loopback and prints one line per step.
set -uo pipefail
cd "$(dirname "$0")"

bin=${CARGO_TARGET_DIR:-target}/debug
work=$(mktemp -d)
pids=()
step="build"

finish() {
  local code=$?
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  if [ "$code" -ne 0 ]; then
    echo "demo: failed at: $step"
    tail -n 5 "$work"/*.log 2>/dev/null
  fi
  rm -rf "$work"
  exit "$code"
}
trap finish EXIT
trap 'exit 143' INT TERM

fail() {
  echo "  $*"
  exit 1
}

ok() {
  echo "ok: $step: $*"
}

# Starts a process that logs to "$work/$1.log" and stores its id in $started_pid.
start() {
  local log=$work/$1.log
  shift
  "$@" >"$log" 2>&1 &
  started_pid=$!
  pids+=("$started_pid")
}

# Retries a command until it succeeds, for at most 10 s.
wait_until() {
  for _ in $(seq 200); do
    "$@" && return
    sleep 0.05
  done
  fail "timed out after 10 s: $*"
}

read_listen_address() {
  address=$(sed -n 's/^listening //p' "$work/$1.log" | head -n 1)
  [ -n "$address" ]
}

# Prints the value of the first field with the given name in a line of JSON.
json_field() {
  grep -oE "\"$1\":[^,}]+" <<<"$2" | head -n 1 | cut -d: -f2
}

cargo build --locked --quiet --bins || fail "cargo build failed"

step="stand-ins"
start platform "$bin/pier-standin" platform
wait_until read_listen_address platform
platform=$address
declare -A upstream
for zone in bne-a tsv-a; do
  for service in licence-portal pack-library; do
    name=$service-$zone
    start "$name" "$bin/pier-standin" upstream --name "$name" --slots 3 --service-time 10ms
    wait_until read_listen_address "$name"
    upstream[$name]=$address
  done
done
ok "platform and ${#upstream[@]} upstreams in two zones of two regions listen"

step="entry hosts"
hosts=(bne-a-1 bne-a-2 tsv-a-1 tsv-a-2)
declare -A caller entry_pid
mapfile -t ports < <("$bin/pier-standin" ports --count 12)
"$bin/pierctl" keys --directory "$work" "${hosts[@]}" || fail "pierctl keys failed"
declare -A host_records
for host in "${hosts[@]}"; do
  caller[$host]=127.0.0.1:${ports[0]}
  peer=127.0.0.1:${ports[1]}
  cat >"$work/$host.yaml" <<YAML
host: $host
zone: ${host%-*}
caller: ${caller[$host]}
peer: $peer
operator: 127.0.0.1:${ports[2]}
platform: ["$platform"]
keys:
  certificate: $work/$host.pem
  private_key: $work/$host.key
  authorities: ["$work/ca.pem"]
YAML
  ports=("${ports[@]:3}")
  host_records[$host]="{\"host\":\"$host\",\"zone\":\"${host%-*}\",\"peer\":\"$peer\",\"caller\":\"${caller[$host]}\"}"
done
# Sends the platform the list of running hosts.
put_hosts() {
  local records
  records=$(printf '%s,' "${host_records[@]}")
  curl -sf -m 5 -X PUT "http://$platform/hosts" -d "[${records%,}]" >"$work/put.log" || fail "the platform did not accept the host list"
}
put_hosts
for host in "${hosts[@]}"; do
  start "$host" "$bin/pier-entry" "$work/$host.yaml"
  entry_pid[$host]=$started_pid
done
cat >"$work/first.yaml" <<YAML
lookup_lifetime: 3s
zones:
  bne-a: {region: bne}
  tsv-a: {region: tsv}
blocks:
  - {first: 0, last: 499, region: bne}
  - {first: 500, last: 999, region: tsv}
services:
  licence-portal:
    endpoints:
      portal-1: {zone: bne-a, address: "${upstream[licence-portal-bne-a]}", slots: 3}
      portal-2: {zone: tsv-a, address: "${upstream[licence-portal-tsv-a]}", slots: 3}
  pack-library:
    class: download
    endpoints:
      packs-1: {zone: bne-a, address: "${upstream[pack-library-bne-a]}", slots: 3}
      packs-2: {zone: tsv-a, address: "${upstream[pack-library-tsv-a]}", slots: 3}
YAML
apply() {
  "$bin/pierctl" apply "$2" --on "$1" --who demo --reason "$3" --platform "$platform" 2>&1
}
apply 0 "$work/first.yaml" "first configuration" >"$work/apply.log" || fail "$(cat "$work/apply.log")"

# Looks up a block at a host and stores the response in $lookup; fails until the host is configured.
look_up() {
  lookup=$(curl -sf -m 1 "http://${caller[$1]}/lookup?service=licence-portal&block=$2")
}
for host in "${hosts[@]}"; do
  wait_until look_up "$host" 7
done
ok "${#hosts[@]} processes applied the first configuration and answer look-ups"

step="look-up"
look_up bne-a-1 7
lookup_host=$(grep -oE '"hosts":\["[^"]+' <<<"$lookup" | grep -oE '[0-9.]+:[0-9]+')
ticket=$(grep -oE '"tickets":\["[^"]+' <<<"$lookup" | sed 's/.*"//')
lifetime=$(json_field lifetime "$lookup")
[ -n "$lookup_host" ] && [ "$lifetime" -gt 0 ] && [ -n "$ticket" ] || fail "$lookup"
ok "block 7 is assigned to $lookup_host for $lifetime s"

step="idempotent request"
is_served() {
  curl -sf -m 5 -D "$work/head" -o "$work/body" "$@" && grep -qi '^pier-outcome: served' "$work/head"
}
wait_until is_served "http://$lookup_host/s/licence-portal/item?key=check&size=2000"
[ "$(wc -c <"$work/body")" -eq 2000 ] && grep -q '"key":"check"' "$work/body" || fail "the response body is incomplete"
is_served "http://$lookup_host/s/pack-library/item?key=pack&size=3000000" || fail "$(cat "$work/head")"
[ "$(wc -c <"$work/body")" -eq 3000000 ] || fail "the response body is incomplete"
ok "received the expected 2000-byte response and a pack of 3000000 bytes"

step="renewal"
renew() {
  is_served -X POST -H "Pier-Ticket: $ticket" -H "Idempotency-Key: renewal-7" \
    --data "renewal of block 7" "http://$1/s/licence-portal/item?key=renewal-7"
}
count_runs() {
  for name in licence-portal-bne-a licence-portal-tsv-a; do
    curl -sf "http://${upstream[$name]}/record"
  done | grep -o "\"key\":\"$1\"[^}]*\"outcome\":\"ran\"" | wc -l
}
renew "$lookup_host" || fail "$(cat "$work/head")"
cp "$work/body" "$work/first-body"
renew "${caller[tsv-a-1]}" || fail "$(cat "$work/head")"
cmp -s "$work/body" "$work/first-body" || fail "the response to the repeated request differs"
[ "$(count_runs renewal-7)" -eq 1 ] || fail "ran $(count_runs renewal-7) times"
ok "served completely; the same request with its ticket, sent through the other region, did not run again"

step="patches"
echo 'lookup_lifetime: 2s' >"$work/second.yaml"
echo 'lookup_lifetime: 1s' >"$work/third.yaml"
result=$(apply 1 "$work/second.yaml" "shorter look-ups") || fail "$result"
stale_result=$(apply 1 "$work/third.yaml" "written too late")
[ $? -eq 1 ] || fail "the stale patch was not refused: $stale_result"
is_in_force() {
  look_up "$1" 7 && [ "$(json_field lifetime "$lookup")" = 2 ]
}
for host in "${hosts[@]}"; do
  wait_until is_in_force "$host"
done
ok "$result, in force on ${#hosts[@]} hosts; a second patch based on 1 is refused: ${stale_result%%$'\n'*}"

# Sends load to the hosts of both regions and compares the results with the upstreams' records.
run_load() {
  local args=()
  for name in "${!upstream[@]}"; do
    args+=(--upstream "${upstream[$name]}")
  done
  for host in "${hosts[@]}"; do
    args+=(--entry "${caller[$host]}")
  done
  "$bin/pier-load" "${args[@]}" --seed "$1" --rate 100 --time 5s --once 0.3 --blocks 1000 \
    --service licence-portal:9:500 --service pack-library:1:200000 >"$work/load.json" 2>&1
}
# Prints a field of the load report.
report_field() {
  json_field "$1" "$(cat "$work/load.json")"
}

step="planned stop"
run_load 1 &
load_pid=$!
pids+=("$load_pid")
sleep 1.5
kill -TERM "${entry_pid[bne-a-1]}"
stop_started_ns=$(date +%s%N)
wait "${entry_pid[bne-a-1]}" || fail "the host exited with status $?"
unset "host_records[bne-a-1]"
put_hosts
stop_ms=$((($(date +%s%N) - stop_started_ns) / 1000000))
wait "$load_pid" || fail "$(cat "$work/load.json")"
for outcome in cut broken stale; do
  grep -q "\"$outcome\":" "$work/load.json" && fail "$(cat "$work/load.json")"
done
[ "$(report_field served)" = "$(report_field requests)" ] || fail "$(cat "$work/load.json")"
ok "SIGTERM under load, exited after $stop_ms ms; all $(report_field served) requests served, none cut"

step="killed host"
run_load 2 &
load_pid=$!
pids+=("$load_pid")
sleep 1.5
kill -KILL "${entry_pid[tsv-a-1]}"
wait "${entry_pid[tsv-a-1]}" 2>/dev/null
# Simulates the delay of a few seconds until the platform removes a failed host from its list.
sleep 2
unset "host_records[tsv-a-1]"
put_hosts
wait "$load_pid" || fail "$(cat "$work/load.json")"
served_count=$(report_field served)
classified_count=$((served_count + $(report_field not_run) + $(report_field unknown)))
[ "$classified_count" = "$(report_field requests)" ] && [ "$served_count" -ge $((classified_count * 98 / 100)) ] ||
  fail "$(cat "$work/load.json")"
ok "$served_count of $classified_count requests served, $(report_field unknown) unknown, none executed twice or misreported"

echo "demo: ok"
