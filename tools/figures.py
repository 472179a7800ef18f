"""Prints measured figures and checks them against their bounds."""

import operator

OPERATORS = {"<=": operator.le, ">=": operator.ge, "=": operator.eq}


class Figures:
    """Prints figures and collects the names of those out of bounds."""

    def __init__(self):
        self.broken = []

    def report(self, name, value, unit, op=None, target=None):
        formatted = f"{value:.4g}" if isinstance(value, float) else str(value)
        if op is None:
            print(f"{name} {formatted} {unit}", flush=True)
            return
        held = OPERATORS[op](value, target)
        print(f"{name} {formatted} {unit} bound {op} {target} "
              f"{'held' if held else 'BROKEN'}", flush=True)
        if not held:
            self.broken.append(name)

    def failed(self, name, reason):
        print(f"{name} did not run: {reason} BROKEN", flush=True)
        self.broken.append(name)

    def summarize(self):
        if self.broken:
            print(f"broken: {', '.join(self.broken)}")
        return 1 if self.broken else 0
