#!/usr/bin/env bash
# Demonstrates queries on the consortium example: a query over ten services with
# thirty backend servers, then with one server killed, then with all replicas of a
# shard killed. All processes listen on loopback and are stopped at the end.
set -u
build="$(cd "${1:-build}" && pwd)"
root="$(cd "$(dirname "$0")/.." && pwd)"
work="$(mktemp -d)"
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap stop_all EXIT
fail() { echo "demo: FAILED: $*"; tail -n 5 "$work"/*.log; exit 1; }
say() { echo "-- $*"; }

echo "demo-token" > "$work/token"
echo "demo-secret" > "$work/secret"
settings() {  # NUMBER DATA_CENTRE REGION
  cat > "$work/entry-$1.yaml" <<YAML
name: entry-$1
data_centre: $2
region: $3
callers: 127.0.0.1:18${1}1
peers: 127.0.0.1:18${1}2
admin: 127.0.0.1:18${1}3
store: 127.0.0.1:18000
seeds: ["127.0.0.1:1812", "127.0.0.1:1822"]
admin_token_file: $work/token
peer_secret_file: $work/secret
YAML
}
settings 1 bogota-norte andina
settings 2 barranquilla-a caribe
tool() {
  "$build/baobabtray" --admin 127.0.0.1:1813 --token-file "$work/token" \
    --callers 127.0.0.1:1811 "$@"
}
backends() { curl -s --noproxy '*' -d "$1" http://127.0.0.1:18001/control >/dev/null; }
expect() {  # TEXT COMMAND...
  local wanted="$1" answer; shift
  answer="$("$@" 2>&1)" || true
  echo "   $answer"
  case "$answer" in *"$wanted"*) ;; *) fail "expected '$wanted'";; esac
}

say "starting the stand-in store and the consortium's backend servers"
"$build/standin_store" --listen 127.0.0.1:18000 2>"$work/store.log" & pids+=($!)
"$build/standin_backends" --text "$root/examples/consortium.yaml" \
  --control 127.0.0.1:18001 2>"$work/backends.log" & pids+=($!)
sleep 0.5
say "starting two entry hosts"
for i in 1 2; do
  "$build/baobabtrayd" --settings "$work/entry-$i.yaml" >"$work/entry-$i.log" 2>&1 &
  pids+=($!)
done
sleep 1
say "applying the topology"
expect "accepted as revision 1" tool apply "$root/examples/consortium.yaml"
say "waiting until the hosts are ready"
for i in 1 2; do
  for _ in $(seq 100); do
    curl -sf --noproxy '*' "http://127.0.0.1:18${i}3/ready" >/dev/null && break
    sleep 0.1
  done
done
tool status | sed 's/^/   /'
say "querying ten services with thirty backend servers"
expect "complete: 10 of 10 shards" tool query alerta-colapso '{"pipe":"C-104"}'
say "killing one backend server; the other replicas answer"
backends '{"match":{"server":"alerta-01-a"},"action":"kill"}'
expect "complete: 10 of 10 shards" tool query alerta-colapso '{"pipe":"C-104"}'
say "killing all replicas of one shard; the response names the missing shard"
backends '{"match":{"service":"alerta-04"},"action":"kill"}'
expect "partial: 9 of 10 shards" tool query alerta-colapso '{"pipe":"C-104"}'
expect "missing: alerta-04 shard 0" tool query alerta-colapso '{"pipe":"C-104"}'
say "stopping all processes"
for pid in "${pids[@]}"; do kill -TERM "$pid"; done
for pid in "${pids[@]:2}"; do wait "$pid" || fail "a host exited with an error"; done
echo "demo: ok"
