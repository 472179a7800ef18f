#!/usr/bin/env bash
# Builds the stand-ins that review/6 to review/10 start. They are review/standin-2/lab.py, which
# needs python3 only (packages.txt), so that this checks that it can be loaded.
set -eu
cd "$(dirname "$0")/standin-2"
python3 -B -c 'import lab'
