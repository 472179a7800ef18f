#!/usr/bin/env bash
# Fails if the log events of a relaying host and those in docs/LOGS.md differ.
set -u
cd "$(dirname "$0")/.."
sources="tray/relayd/*.cc tray/http/*.cc"
in_code=$(cat $sources tray/daemon/daemon_main.cc | tr '\n' ' ' |
  grep -oE 'Log\((log_level::k[A-Za-z]+|level|[a-z_]+ \? [^,]*),[^"]{0,40}"[a-z_]+"( : +"[a-z_]+")?' |
  grep -oE '"[a-z_]+"' | tr -d '"' | sort -u)
in_page=$(grep -E '^\| `' docs/LOGS.md | cut -d'|' -f2 | grep -oE '[a-z_]+' | sort -u)
difference=$(diff <(echo "$in_code") <(echo "$in_page"))
if [ -n "$difference" ]; then
  echo "docs/LOGS.md differs from the code (<: code only, >: page only):"
  echo "$difference" | grep '^[<>]'
  exit 1
fi
