#!/usr/bin/env bash
# Fails if a protocol name of the platform occurs outside platform/, tests and
# stand-ins.
cd "$(dirname "$0")/.."
names='Response-Seal|Not-Executed|Part-Seals|Missing-Parts|Target-Instance|Deadline-Remaining|Server-Load|Server-Limit|Server-Leaving|kv-(txn|watch|range|lease|keep)|op/(config|evacuate)|"servers/|max_attempts|min_part_share|target_latency_ms|allowed_regions|warmup_left_ms'
found=$(git grep -nE "$names" -- 'tray/*.cc' 'tray/*.h' ':!tray/testing' ':!tray/standin')
if [ -n "$found" ]; then
  echo "protocol names of the platform outside platform/:"
  echo "$found"
  exit 1
fi
