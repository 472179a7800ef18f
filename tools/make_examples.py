#!/usr/bin/env python3
"""Writes the example topologies and larger topologies for benchmarks.

    make_examples.py consortium > examples/consortium.yaml
    make_examples.py cruxwell > examples/cruxwell.yaml
    make_examples.py scale SERVERS [SHARDS_PER_QUERY] [FIRST_PORT]
"""

import sys


def replicated_service(name, customer, count, centres, address, **settings):
    """A service of one shard with `count` replicas, spread over `centres`."""
    lines = [f"  - name: {name}", f"    customer: {customer}", "    shards: 1"]
    lines += [f"    {key}: {value}" for key, value in settings.items()]
    lines.append("    backend_servers:")
    for i in range(count):
        lines.append(
            f"      - {{name: {name}-{'abcdefgh'[i]}, "
            f"data_centre: {centres[i % len(centres)]}, address: \"{address()}\"}}")
    return lines


def front_service(name, customer, services, policy):
    """A service without servers that depends on the services `services`."""
    return [f"  - name: {name}", f"    customer: {customer}",
            f"    depends_on: [{', '.join(services)}]",
            f"    policy: {policy}"]


def sharded_service(name, customer, servers, centres, address, policy, replicas=2,
                    **settings):
    """A service of `servers` backend servers and as many shards.

    Server i holds shards i to i + replicas - 1, modulo the number of shards.
    """
    lines = [f"  - name: {name}", f"    customer: {customer}",
             f"    shards: {servers}", f"    policy: {policy}"]
    lines += [f"    {key}: {value}" for key, value in settings.items()]
    lines.append("    backend_servers:")
    for i in range(servers):
        shards = sorted((i + k) % servers for k in range(min(replicas, servers)))
        lines.append(
            f"      - {{name: {name}-{i + 1:02}, "
            f"data_centre: {centres[i % len(centres)]}, address: \"{address()}\", "
            f"shards: {shards}}}")
    return lines


def address_allocator(first):
    """Returns a function that returns loopback addresses with consecutive ports."""
    state = {"port": first - 1}

    def next_address():
        state["port"] += 1
        return f"127.0.0.1:{state['port']}"
    return next_address


def header_lines(regions, centres, customers):
    lines = [f"regions: [{', '.join(regions)}]", "", "data_centres:"]
    lines += [f"  - {{name: {n}, region: {r}}}" for n, r in centres]
    lines += ["", "customers:"]
    lines += [f"  - {{name: {n}, weight: {w}}}" for n, w in customers]
    return lines + ["", "services:"]


def consortium():
    centres = [("bogota-norte", "andina"), ("barranquilla-a", "caribe"),
               ("cali-sur", "pacifico")]
    names = [n for n, _ in centres]
    address = address_allocator(21000)
    out = header_lines(["andina", "caribe", "pacifico"], centres,
                       [("consorcio", 3), ("contratistas", 1)])
    alert = [f"alerta-{i:02}" for i in range(1, 11)]
    tariff = [f"tarifas-{i:02}" for i in range(1, 16)]
    out += front_service("alerta-colapso", "consorcio", alert,
                         "{deadline_ms: 110, priority: urgent}")
    for name in alert:
        out += replicated_service(name, "consorcio", 3, names, address, slots=2,
                                  connections=25, connect_ms=6, cold_limit=1)
    out += front_service("tarifas-obra", "contratistas", tariff,
                         "{deadline_ms: 400, priority: normal}")
    for name in tariff:
        out += replicated_service(name, "contratistas", 3, names, address, slots=2,
                                  connections=25, connect_ms=6, cold_limit=1)
    out += sharded_service("visor-informes", "consorcio", 7, names, address,
                           "{deadline_ms: 400, priority: normal}", slots=4,
                           connections=100, connect_ms=1, cold_limit=2)
    out += sharded_service("carga-campo", "contratistas", 3, names, address,
                           "{deadline_ms: 2000, priority: audit, idempotent: false}",
                           slots=4, connections=100, connect_ms=1, cold_limit=2)
    return out


def cruxwell():
    centres = [("mobile-bay", "gulf-coast"), ("durham-lab", "piedmont"),
               ("fayetteville", "ozark")]
    names = [n for n, _ in centres]
    address = address_allocator(22000)
    out = header_lines(["gulf-coast", "piedmont", "ozark"], centres,
                       [("setters", 4), ("members", 2), ("managers", 1)])
    setter = [f"setter-{i:02}" for i in range(1, 11)]
    board = [f"board-{i:02}" for i in range(1, 16)]
    out += front_service("setter-tablet", "setters", setter,
                         "{deadline_ms: 110, priority: urgent, "
                         "soft_deadline_ms: 90, min_coverage: 0.9}")
    for name in setter:
        out += replicated_service(name, "setters", 3, names, address, slots=4,
                                  connections=35, connect_ms=6, cold_limit=1)
    out += front_service("member-board", "members", board,
                         "{deadline_ms: 300, priority: normal}")
    for name in board:
        out += replicated_service(name, "members", 3, names, address, slots=4,
                                  connections=35, connect_ms=6, cold_limit=1)
    out += sharded_service("manager-ledger", "managers", 40, names, address,
                           "{deadline_ms: 10000, priority: audit}", slots=2,
                           connections=35, connect_ms=1, cold_limit=1)
    out += sharded_service("hold-shop", "members", 20, names, address,
                           "{deadline_ms: 1000, priority: normal, idempotent: false}",
                           slots=2, connections=35, connect_ms=1, cold_limit=1)
    return out


def scale(servers, shards_per_query, first_port):
    """Services of one shard and three replicas, and front services over them."""
    centres = [(f"dc-{i}", "east" if i < 3 else "west") for i in range(5)]
    names = [n for n, _ in centres]
    ports = {"n": 0}

    def address():
        ports["n"] += 1
        n = first_port + ports["n"] - 1
        return f"127.0.{n // 60000}.1:{n % 60000}"
    out = header_lines(["east", "west"], centres, [("everyone", 1)])
    count = max(1, servers // 3)
    shards = [f"shard-{i:04}" for i in range(count)]
    for start in range(0, count, shards_per_query):
        part = [shards[(start + k) % count] for k in range(shards_per_query)]
        out += front_service(f"front-{start // shards_per_query:03}", "everyone",
                             sorted(set(part)), "{deadline_ms: 110}")
    for i, name in enumerate(shards):
        rotated = names[i % 5:] + names[:i % 5]
        out += replicated_service(name, "everyone", 3, rotated, address, slots=4,
                                  connections=64, cold_limit=1)
    return out


def main():
    kind = sys.argv[1]
    if kind == "consortium":
        lines = consortium()
    elif kind == "cruxwell":
        lines = cruxwell()
    else:
        arguments = [int(a) for a in sys.argv[2:]] + [0, 0, 0]
        lines = scale(arguments[0], arguments[1] or 54, arguments[2] or 10000)
    print("\n".join(lines))


if __name__ == "__main__":
    main()
