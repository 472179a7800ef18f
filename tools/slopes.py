"""Measures slopes at several sizes and carries them to the future size.

Writes docs/capacity/*.csv (what was measured) and docs/capacity/table.md (what
follows for 740 hosts); tools/plot.gp draws the plots.
"""

import csv
import os

from scenarios import ROOT, CONSORTIUM, measure_control, scale_text
from tier import Tier

OUT = f"{ROOT}/docs/capacity"
# The future size, from the users' first letter.
HOSTS, SERVERS, QUERIES, SHARDS, EDITS_A_DAY = 740, 4700, 120_000, 54, 2700
DATA_CENTRES, OWNERS, RESTARTS_A_DAY = 5, 8, 790
DAY = 86_400


def fit(points):
    """Slope and intercept of a straight line through (x, y) points."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def save(name, header, rows):
    os.makedirs(OUT, exist_ok=True)
    with open(f"{OUT}/{name}.csv", "w", newline="") as out:
        writer = csv.writer(out)
        writer.writerow(header)
        writer.writerows([[f"{v:.6g}" for v in row] for row in rows])


def by_hosts(build, figures):
    """Control cost of one host, by the number of hosts, without edits."""
    rows = []
    for hosts in (2, 4, 8, 16, 32):
        cost = measure_control(build, CONSORTIUM, hosts, 15, 0)
        rows.append((hosts, cost["bytes"], cost["cpu"], cost["store_calls"]))
        figures.report(f"slope.control_bytes_s_{hosts}_hosts", cost["bytes"],
                       "B/s")
        figures.report(f"slope.control_core_part_{hosts}_hosts", cost["cpu"],
                       "%")
        figures.report(f"slope.store_calls_s_{hosts}_hosts",
                       cost["store_calls"], "1/s")
    save("by_hosts", ("hosts", "bytes_s", "core_percent", "store_calls_s"), rows)
    return rows


def by_servers(build, figures):
    """Memory of one host and its control cost, by backend servers in the text."""
    rows = []
    for servers in (51, 501, 1500, 4700):
        text = scale_text(servers, 10)
        cost = measure_control(build, text, 1, 8, 0)
        with Tier(build, text, hosts=1) as tier:
            start = tier.cpu_seconds()
            tier.place("out", "data_centre", "dc-0")
            edit = tier.cpu_seconds() - start
        os.unlink(text)
        rows.append((servers, cost["memory"], cost["bytes"], cost["cpu"], edit))
        figures.report(f"slope.memory_mb_{servers}_servers", cost["memory"],
                       "MB")
        figures.report(f"slope.control_bytes_s_{servers}_servers",
                       cost["bytes"], "B/s")
        figures.report(f"slope.edit_cpu_s_{servers}_servers", edit, "s")
    save("by_servers", ("servers", "memory_mb", "bytes_s", "core_percent",
                        "edit_cpu_s"), rows)
    return rows


def call_cost(tier, service, hosts, seconds=4, callers=4):
    """Processor microseconds of all hosts for one shard call."""
    def sums():
        calls = sum(tier.metrics(h)["baobabtray_shards_total"]
                    for h in range(hosts))
        return calls, sum(tier.cpu_seconds(h) for h in range(hosts))
    tier.load(service=service, callers=callers, seconds=2, deadline_ms=1000)
    before = sums()
    result = tier.load(service=service, callers=callers, seconds=seconds,
                       deadline_ms=1000)
    after = sums()
    return 1e6 * (after[1] - before[1]) / result["shards_total"]


def by_shards(build, figures):
    """Processor time of one call, by shards in a query."""
    rows = []
    for shards in (10, 27, 54, 108):
        text = scale_text(3 * shards, shards)
        with Tier(build, text, hosts=1, service_us=500) as tier:
            cost = call_cost(tier, "front-000", 1)
        os.unlink(text)
        rows.append((shards, cost))
        figures.report(f"slope.call_us_{shards}_shards", cost, "us")
    save("by_shards", ("shards", "call_us"), rows)
    return rows


def hand_over(build, figures):
    """Processor time of one call that is handed over, from the difference between
    a fleet in which every host owns every server and one in which half do."""
    text = scale_text(162, 54)
    costs = {}
    for hosts in (8, 16):
        with Tier(build, text, hosts=hosts, service_us=500) as tier:
            costs[hosts] = call_cost(tier, "front-000", hosts, callers=hosts)
            figures.report(f"slope.call_us_{hosts}_hosts", costs[hosts], "us")
    os.unlink(text)
    # With 16 hosts half of the servers of a host are not its own; replicas that
    # are its own come first, so only (1/2)^3 of the calls must be handed over.
    save("hand_over", ("hosts", "call_us"), list(costs.items()))
    return costs


def per_edit(build, figures):
    """Bytes that one edit costs a host, from runs with and without edits."""
    quiet = measure_control(build, CONSORTIUM, 8, 15, 0)
    busy = measure_control(build, CONSORTIUM, 8, 15, 2)
    cost = (busy["bytes"] - quiet["bytes"]) / 2
    figures.report("slope.bytes_per_edit", cost, "B")
    save("per_edit", ("edits_s", "bytes_s", "core_percent"),
         [(0, quiet["bytes"], quiet["cpu"]), (2, busy["bytes"], busy["cpu"])])
    return cost, (busy["cpu"] - quiet["cpu"]) / 2


def table(hosts, servers, shards, handed, edit):
    """Rows of docs/CAPACITY.md: figure, value, bound, where it comes from."""
    bytes_slope, bytes_base = fit([(h, b) for h, b, _, _ in hosts])
    cpu_slope, cpu_base = fit([(h, c) for h, _, c, _ in hosts])
    calls_slope, calls_base = fit([(h, s) for h, _, _, s in hosts])
    memory_slope, memory_base = fit([(s, m) for s, m, _, _, _ in servers])
    edit_slope, edit_base = fit([(s, e) for s, _, _, _, e in servers])
    call_us = dict(shards)[54]
    calls_host = QUERIES * SHARDS / HOSTS
    owned = SERVERS * OWNERS / HOSTS
    edit_bytes, _ = edit
    edit_cpu = edit_base + edit_slope * SERVERS
    health = owned / 10 * 700
    quiet = bytes_base + max(0, bytes_slope) * HOSTS
    # Of the measured base, the health reads of the example's 85 servers.
    gossip = max(0, bytes_base - 85 / 10 * 700)
    return [
        ("calls a host makes for its callers", f"{calls_host:.0f} /s", "",
         "derived: 120,000 x 54 / 740"),
        ("processor time of them", f"{calls_host * call_us / 1e4:.0f} % of a core",
         "", f"derived: x {call_us:.0f} us a call, measured"),
        ("servers whose shares a host owns", f"{owned:.0f}", "",
         "derived: 4,700 x 8 / 740"),
        ("memory with a text of 4,700 servers",
         f"{memory_base + memory_slope * SERVERS:.0f} MB", "256 MB",
         "measured slope by servers"),
        ("control bytes, digests", f"{gossip:.0f} B/s", "",
         "measured at 2 to 32 hosts, less health reads"),
        ("control bytes, growth by hosts",
         f"{bytes_slope:.2f} B/s a host", "0",
         "measured slope; more than 0 would not carry"),
        ("control bytes, health reads", f"{health:.0f} B/s", "",
         "derived: owned / 10 s x 700 B"),
        ("control bytes, edits",
         f"{edit_bytes * EDITS_A_DAY / DAY:.0f} B/s", "",
         "derived: measured bytes an edit x 2,700 a day"),
        ("control bytes in all",
         f"{gossip + health + edit_bytes * EDITS_A_DAY / DAY:.0f} B/s",
         "6,000 B/s", "sum"),
        ("same, if the slope by hosts is real", f"{quiet:.0f} B/s",
         "6,000 B/s", "measured slope carried to 740"),
        ("control processor time, quiet",
         f"{cpu_base + max(0, cpu_slope) * HOSTS:.2f} %", "1.7 %",
         "measured slope by hosts"),
        ("processor time of one edit at 4,700 servers",
         f"{1000 * edit_cpu:.0f} ms", "", "measured slope by servers"),
        ("control processor time, edits",
         f"{100 * edit_cpu * EDITS_A_DAY / DAY:.2f} %", "",
         "derived: x 2,700 a day"),
        ("store calls of the fleet, measured slope",
         f"{calls_base + calls_slope * HOSTS:.0f} /s", "2,000 /s",
         "measured slope by hosts"),
        ("store calls of the fleet, by mechanism",
         f"{DATA_CENTRES * 2 / 4 + HOSTS / 30 + HOSTS / 10 + 2 * EDITS_A_DAY / DAY:.0f} /s",
         "2,000 /s",
         "derived: 10 watchers / 4 s + 740 / 30 s + host list 740 / 10 s + edits"),
        ("call cost with 8 and with 16 hosts",
         f"{handed[8]:.0f} and {handed[16]:.0f} us", "", "measured"),
    ]


def run(build, figures):
    hosts = by_hosts(build, figures)
    servers = by_servers(build, figures)
    shards = by_shards(build, figures)
    handed = hand_over(build, figures)
    edit = per_edit(build, figures)
    lines = ["| figure | at the future size | bound | source |", "|---|---|---|---|"]
    lines += [f"| {' | '.join(row)} |"
              for row in table(hosts, servers, shards, handed, edit)]
    with open(f"{OUT}/table.md", "w") as out:
        out.write("\n".join(lines) + "\n")
    print("\n".join(lines))
