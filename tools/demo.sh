#!/usr/bin/env bash
# Shows the main job on the consortium's services: a query over ten services with
# thirty backend servers, then with one of them dead, then with a shard lost.
# Everything listens on loopback and is stopped at the end.
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

say "the store stand-in and the consortium's backend servers start"
"$build/standin_store" --listen 127.0.0.1:18000 2>"$work/store.log" & pids+=($!)
"$build/standin_backends" --text "$root/examples/consortium.yaml" \
  --control 127.0.0.1:18001 2>"$work/backends.log" & pids+=($!)
sleep 0.5
say "two entry hosts start"
for i in 1 2; do
  "$build/baobabtrayd" --settings "$work/entry-$i.yaml" >"$work/entry-$i.log" 2>&1 &
  pids+=($!)
done
sleep 1
say "the operators' text is applied"
expect "accepted as revision 1" tool apply "$root/examples/consortium.yaml"
say "waiting until the hosts have divided the backend servers' capacity"
for i in 1 2; do
  for _ in $(seq 100); do
    curl -sf --noproxy '*' "http://127.0.0.1:18${i}3/ready" >/dev/null && break
    sleep 0.1
  done
done
tool status | sed 's/^/   /'
say "a query over ten services with thirty backend servers"
expect "complete: 10 of 10 shards" tool query alerta-colapso '{"pipe":"C-104"}'
say "one backend server is killed; its replicas answer"
backends '{"match":{"server":"alerta-01-a"},"action":"kill"}'
expect "complete: 10 of 10 shards" tool query alerta-colapso '{"pipe":"C-104"}'
say "all replicas of one shard are killed; the answer says which is missing"
backends '{"match":{"service":"alerta-04"},"action":"kill"}'
expect "partial: 9 of 10 shards" tool query alerta-colapso '{"pipe":"C-104"}'
expect "missing: alerta-04 shard 0" tool query alerta-colapso '{"pipe":"C-104"}'
say "everything stops"
for pid in "${pids[@]}"; do kill -TERM "$pid"; done
for pid in "${pids[@]:2}"; do wait "$pid" || fail "a host ended with an error"; done
echo "demo: ok"
