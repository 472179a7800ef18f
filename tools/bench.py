#!/usr/bin/env python3
"""Benchmarks with bounds, on real processes over loopback.

    bench.py --build build [--quick] [--only NAME] [--capacity]

Prints one line per figure: NAME VALUE UNIT bound OP TARGET held|BROKEN, or
NAME VALUE UNIT without a bound. The exit code is 1 if a bound is broken or a
scenario did not run. Bounds are the project's targets, not past measurements.
"""

import argparse
import os
import subprocess
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import scenarios  # noqa: E402
import slopes  # noqa: E402
from figures import Figures  # noqa: E402


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--only", default="")
    parser.add_argument("--capacity", action="store_true")
    options = parser.parse_args()
    build = os.path.abspath(options.build)
    figures = Figures()
    if options.capacity:
        slopes.run(build, figures, options.only)
        return 0
    for name, scenario in scenarios.ALL.items():
        if options.only and options.only not in name:
            continue
        if options.quick and not options.only and name not in scenarios.QUICK:
            continue
        try:
            scenario(build, figures, options.quick)
        except (RuntimeError, OSError, subprocess.SubprocessError) as e:
            figures.failed(name, str(e))
    return figures.summarize()


if __name__ == "__main__":
    sys.exit(main())
