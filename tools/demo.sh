#!/usr/bin/env bash
# Demonstrates queries on the consortium example: a query over ten services with
# thirty backend servers, then with one server killed, then with all replicas of a
# shard killed. All processes listen on loopback and are stopped at the end.
set -u
build="$(cd "${1:-build}" && pwd)"
root="$(cd "$(dirname "$0")/.." && pwd)"
work_dir="$(mktemp -d)"
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work_dir"
}
trap stop_all EXIT
fail() { echo "demo: FAILED: $*"; tail -n 5 "$work_dir"/*.log; exit 1; }
step() { echo "-- $*"; }

echo "demo-token" > "$work_dir/token"
echo "demo-secret" > "$work_dir/secret"
settings() {  # NUMBER DATA_CENTRE REGION
  cat > "$work_dir/entry-$1.yaml" <<YAML
name: entry-$1
data_centre: $2
region: $3
callers: 127.0.0.1:18${1}1
peers: 127.0.0.1:18${1}2
admin: 127.0.0.1:18${1}3
store: 127.0.0.1:18000
seeds: ["127.0.0.1:1812", "127.0.0.1:1822"]
admin_token_file: $work_dir/token
peer_secret_file: $work_dir/secret
YAML
}
settings 1 bogota-norte andina
settings 2 barranquilla-a caribe
tool() {
  "$build/baobabtray" --admin 127.0.0.1:1813 --token-file "$work_dir/token" \
    --callers 127.0.0.1:1811 "$@"
}
control_backends() { curl -s --noproxy '*' -d "$1" http://127.0.0.1:18001/control >/dev/null; }
expect() {  # TEXT COMMAND...
  local expected="$1" output; shift
  output="$("$@" 2>&1)" || true
  echo "   $output"
  case "$output" in *"$expected"*) ;; *) fail "expected '$expected'";; esac
}

step "starting the stand-in store and the consortium's backend servers"
"$build/standin_store" --listen 127.0.0.1:18000 2>"$work_dir/store.log" & pids+=($!)
"$build/standin_backends" --text "$root/examples/consortium.yaml" \
  --control 127.0.0.1:18001 2>"$work_dir/backends.log" & pids+=($!)
sleep 0.5
step "starting two entry hosts"
for i in 1 2; do
  "$build/baobabtrayd" --settings "$work_dir/entry-$i.yaml" >"$work_dir/entry-$i.log" 2>&1 &
  pids+=($!)
done
sleep 1
step "applying the topology"
expect "accepted as revision 1" tool apply "$root/examples/consortium.yaml"
step "waiting until the hosts have divided the servers' capacity and are ready"
for i in 1 2; do
  for _ in $(seq 100); do
    curl -sf --noproxy '*' "http://127.0.0.1:18${i}3/ready" >/dev/null && break
    sleep 0.1
  done
done
tool status | sed 's/^/   /'
step "querying ten services with thirty backend servers"
expect "complete: 10 of 10 shards" tool query alerta-colapso '{"pipe":"C-104"}'
step "killing one backend server; the other replicas answer"
control_backends '{"match":{"server":"alerta-01-a"},"action":"kill"}'
expect "complete: 10 of 10 shards" tool query alerta-colapso '{"pipe":"C-104"}'
step "killing all replicas of one shard; the response names the missing shard"
control_backends '{"match":{"service":"alerta-04"},"action":"kill"}'
expect "partial: 9 of 10 shards" tool query alerta-colapso '{"pipe":"C-104"}'
expect "missing: alerta-04 shard 0" tool query alerta-colapso '{"pipe":"C-104"}'
step "stopping all processes"
for pid in "${pids[@]}"; do kill -TERM "$pid"; done
for pid in "${pids[@]:2}"; do wait "$pid" || fail "a host exited with an error"; done
echo "demo: ok"
