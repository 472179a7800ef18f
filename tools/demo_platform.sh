#!/usr/bin/env bash
# Demonstrates a relaying host with the stand-in platform: a request over ten shards
# and one to a single service, readiness, metrics and a graceful stop. All processes
# listen on loopback.
set -u
build="$(cd "${1:-build}" && pwd)"
work_dir="$(mktemp -d)"
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work_dir"
}
trap stop_all EXIT
fail() { echo "demo-platform: FAILED: $*"; tail -n 5 "$work_dir"/*.log; exit 1; }
get() { curl -s --noproxy '*' --max-time 5 "$@"; }
expect() {  # TEXT COMMAND...
  local expected="$1" output; shift
  output="$("$@" 2>&1)" || true
  case "$output" in *"$expected"*) echo "   $expected";; *) fail "expected '$expected'";; esac
}
cat > "$work_dir/host.yaml" <<YAML
name: host-1
data_centre: dc-a
region: region-a
callers: 127.0.0.1:18501
peers: 127.0.0.1:18502
admin: 127.0.0.1:18503
store: 127.0.0.1:18500
interface: platform
relay:
  ready: 127.0.0.1:18504
  places:
    - {data_centre: dc-a, region: region-a}
    - {data_centre: dc-b, region: region-b}
    - {data_centre: dc-c, region: region-c}
YAML
echo "-- checking the settings"
expect "ok" "$build/baobabtrayd" --settings "$work_dir/host.yaml" --check
echo "-- starting the stand-in platform and one host"
"$build/standin_platform" --listen 127.0.0.1:18500 --first-port 18510 \
  >"$work_dir/platform.log" 2>&1 & pids+=($!)
"$build/baobabtrayd" --settings "$work_dir/host.yaml" >"$work_dir/host.log" 2>&1 &
host=$!; pids+=("$host")
for _ in $(seq 100); do
  get -f 127.0.0.1:18504/ready >/dev/null && break
  sleep 0.1
done
echo "-- requesting a route over ten shards"
expect "Missing-Parts: 0" get -i -H "Host: demo.example" -H "Request-Id: demo-1" \
  -H "Deadline-Remaining: 800" 127.0.0.1:18501/sweep/a
echo "-- requesting a route to a single service"
expect "text of report" get -H "Host: demo.example" -H "Request-Id: demo-2" \
  -H "Deadline-Remaining: 2000" 127.0.0.1:18501/report/a
echo "-- requesting a path without a route"
expect "404" get -i -H "Host: demo.example" -H "Request-Id: demo-3" 127.0.0.1:18501/no/
echo "-- reading metrics, then stopping gracefully"
expect 'outcome="answered"' get 127.0.0.1:18503/metrics
kill -TERM "$host"
wait "$host" || fail "the host exited with an error"
expect '"event":"stopped"' cat "$work_dir/host.log"
echo "demo-platform: ok"
