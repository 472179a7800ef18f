"""Measures costs at several sizes and extrapolates them to the planned size.

Writes the measurements to docs/capacity/*.csv and the estimates for 740 hosts to
docs/capacity/table.md; tools/plot.gp draws the plots.
"""

import csv
import os

from scenarios import ROOT, CONSORTIUM, measure_control, write_scale_topology
from local_cluster import LocalCluster

OUTPUT_DIR = f"{ROOT}/docs/capacity"
# The planned size, from the users' requirements.
HOSTS, SERVERS, QUERIES, SHARDS, EDITS_A_DAY = 740, 4700, 120_000, 54, 2700
DATA_CENTRES, OWNERS = 5, 8
EXAMPLE_SERVERS = 85  # in examples/consortium.yaml
DAY = 86_400


def fit_line(points):
    """Slope and intercept of the least-squares line through (x, y) points."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def save_csv(name, header, rows):
    os.makedirs(OUTPUT_DIR, exist_ok=True)
    with open(f"{OUTPUT_DIR}/{name}.csv", "w", newline="") as out:
        writer = csv.writer(out)
        writer.writerow(header)
        writer.writerows([[f"{v:.6g}" for v in row] for row in rows])


def load_csv(name):
    """Rows of a measurement written by save_csv."""
    with open(f"{OUTPUT_DIR}/{name}.csv", newline="") as lines:
        return [[float(v) for v in row] for row in list(csv.reader(lines))[1:]]


def by_hosts(build, figures):
    """Control cost of one host by the number of hosts, without edits."""
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
    save_csv("by_hosts", ("hosts", "bytes_s", "core_percent", "store_calls_s"), rows)
    return rows


def by_servers(build, figures):
    """Memory and control cost of one host by the number of backend servers."""
    rows = []
    for servers in (51, 501, 1500, 4700):
        topology_file = write_scale_topology(servers, 10)
        cost = measure_control(build, topology_file, 1, 8, 0)
        with LocalCluster(build, topology_file, hosts=1) as cluster:
            start = cluster.cpu_seconds()
            cluster.set_placement("out", "data_centre", "dc-0")
            edit = cluster.cpu_seconds() - start
        os.unlink(topology_file)
        rows.append((servers, cost["memory"], cost["bytes"], cost["cpu"], edit))
        figures.report(f"slope.memory_mb_{servers}_servers", cost["memory"],
                       "MB")
        figures.report(f"slope.control_bytes_s_{servers}_servers",
                       cost["bytes"], "B/s")
        figures.report(f"slope.edit_cpu_s_{servers}_servers", edit, "s")
    save_csv("by_servers", ("servers", "memory_mb", "bytes_s", "core_percent",
                            "edit_cpu_s"), rows)
    return rows


def call_cost(cluster, service, hosts, seconds=4, callers=4):
    """Processor time of all hosts for one shard call, in microseconds."""
    def sums():
        calls = sum(cluster.metrics(h)["baobabtray_shards_total"]
                    for h in range(hosts))
        return calls, sum(cluster.cpu_seconds(h) for h in range(hosts))
    cluster.load(service=service, callers=callers, seconds=2, deadline_ms=1000)
    before = sums()
    result = cluster.load(service=service, callers=callers, seconds=seconds,
                          deadline_ms=1000)
    after = sums()
    return 1e6 * (after[1] - before[1]) / result["shards_total"]


def by_shards(build, figures):
    """Processor time of one call by the number of shards in a query."""
    rows = []
    for shards in (10, 27, 54, 108):
        topology_file = write_scale_topology(3 * shards, shards)
        with LocalCluster(build, topology_file, hosts=1, service_us=500) as cluster:
            cost = call_cost(cluster, "front-000", 1)
        os.unlink(topology_file)
        rows.append((shards, cost))
        figures.report(f"slope.call_us_{shards}_shards", cost, "us")
    save_csv("by_shards", ("shards", "call_us"), rows)
    return rows


def hand_over(build, figures):
    """Processor time of one call with and without hand-over.

    With 8 hosts every host owns every server; with 16 hosts half of the hosts
    own each server, and some calls are handed over to an owner.
    """
    topology_file = write_scale_topology(162, 54)
    costs = {}
    for hosts in (8, 16):
        with LocalCluster(build, topology_file, hosts=hosts, service_us=500) as cluster:
            costs[hosts] = call_cost(cluster, "front-000", hosts, callers=hosts)
            figures.report(f"slope.call_us_{hosts}_hosts", costs[hosts], "us")
    os.unlink(topology_file)
    # With 16 hosts a host owns half of the servers. Because it prefers replicas
    # that it owns, it hands over only (1/2)^3 of the calls.
    save_csv("hand_over", ("hosts", "call_us"), list(costs.items()))
    return costs


def per_edit(build, figures):
    """Control bytes and processor time of a host for one edit."""
    without_edits = measure_control(build, CONSORTIUM, 8, 15, 0)
    with_edits = measure_control(build, CONSORTIUM, 8, 15, 2)
    cost = (with_edits["bytes"] - without_edits["bytes"]) / 2
    figures.report("slope.bytes_per_edit", cost, "B")
    save_csv("per_edit", ("edits_s", "bytes_s", "core_percent"),
             [(0, without_edits["bytes"], without_edits["cpu"]),
              (2, with_edits["bytes"], with_edits["cpu"])])
    return cost, (with_edits["cpu"] - without_edits["cpu"]) / 2


def table():
    """Rows of docs/CAPACITY.md: figure, value, bound, source."""
    hosts, servers = load_csv("by_hosts"), load_csv("by_servers")
    hand_over_us = {int(h): us for h, us in load_csv("hand_over")}
    # A host reads the health of the servers it owns: all 85 of the example with
    # up to 8 hosts, fewer with more hosts. The intercept, at no owned server, is
    # the traffic of the digests.
    per_server, digest_bytes = fit_line([(EXAMPLE_SERVERS * min(1, OWNERS / h), b)
                                         for h, b, _, _ in hosts])
    cpu_slope, cpu_base = fit_line([(h, c) for h, _, c, _ in hosts])
    memory_slope, memory_base = fit_line([(s, m) for s, m, _, _, _ in servers])
    edit_slope, edit_base = fit_line([(s, e) for s, _, _, _, e in servers])
    call_us = dict(load_csv("by_shards"))[54]
    (_, without_edits, _), (rate, with_edits, _) = load_csv("per_edit")
    edit_bytes = (with_edits - without_edits) / rate
    calls_host = QUERIES * SHARDS / HOSTS
    owned = SERVERS * OWNERS / HOSTS
    edit_cpu = edit_base + edit_slope * SERVERS
    health_bytes = owned * per_server
    edits_bytes = edit_bytes * EDITS_A_DAY / DAY
    cpu_edits = 100 * edit_cpu * EDITS_A_DAY / DAY
    cpu_quiet = cpu_base + max(0, cpu_slope) * HOSTS
    store_calls = (DATA_CENTRES * 2 * (1 / 4 + 1 / 10) + 16 / 30 +
                   3 * EDITS_A_DAY / DAY)
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
        ("control bytes, digests", f"{digest_bytes:.0f} B/s", "",
         "measured at 2 to 32 hosts, carried to no owned server"),
        ("control bytes, health reads", f"{health_bytes:.0f} B/s", "",
         f"derived: owned x {per_server:.0f} B/s a server, measured"),
        ("control bytes, edits", f"{edits_bytes:.0f} B/s", "",
         f"derived: {edit_bytes:.0f} B an edit, measured at 8 hosts, x 2,700 a day"),
        ("control bytes in all", f"{digest_bytes + health_bytes + edits_bytes:.0f} B/s",
         "6,000 B/s", "sum"),
        ("control processor time, quiet", f"{cpu_quiet:.2f} %", "",
         "measured slope by hosts"),
        ("processor time of one out or in at 4,700 servers",
         f"{1000 * edit_cpu:.0f} ms", "",
         "measured slope by servers, at the host that makes the edit"),
        ("control processor time, edits", f"{cpu_edits:.2f} %", "",
         "derived: x 2,700 a day, as if every host made every edit"),
        ("control processor time in all", f"{cpu_quiet + cpu_edits:.2f} %",
         "1.7 %", "sum"),
        ("store calls of the fleet, by mechanism", f"{store_calls:.0f} /s",
         "2,000 /s",
         "derived: 10 watchers x (1 / 4 s + 1 / 10 s) + 16 / 30 s + 3 an edit"),
        ("call cost with 8 and with 16 hosts",
         f"{hand_over_us[8]:.0f} and {hand_over_us[16]:.0f} us", "", "measured"),
    ]


PARTS = {"by_hosts": by_hosts, "by_servers": by_servers,
         "by_shards": by_shards, "hand_over": hand_over, "per_edit": per_edit}


def run(build, figures, only=""):
    """Measures the parts whose name contains `only`.

    The table uses the saved measurements of the other parts.
    """
    for name, part in PARTS.items():
        if only in name:
            part(build, figures)
    lines = ["| figure | at the future size | bound | source |", "|---|---|---|---|"]
    lines += [f"| {' | '.join(row)} |" for row in table()]
    with open(f"{OUTPUT_DIR}/table.md", "w") as out:
        out.write("\n".join(lines) + "\n")
    print("\n".join(lines))
