#!/usr/bin/env python3
"""Randomized fault-injection test of relaying hosts as processes on loopback.

    tools/soak.py --build build --seconds 20 --seed 1 [--hosts 6]

Hosts (all but one in one data centre, so that most follow a hub) run against
standin_platform, each behind its own proxy to the store. Faults occur repeatedly and
overlap: a proxy resets, delays or drops traffic in one or both directions; hosts are
paused, killed, stopped and restarted; the store fails, discards its history, comes back
from a copy some seconds old, or never
answers again on the connections that are open; servers
refuse, fail, do not respond, truncate, reset and respond with another request's id;
servers say that they leave, ask for pauses and name rate limits;
server entries and the configuration change, and other writers leave odd entries.
Callers use persistent connections.

Checked from the outside, by what callers and servers see:
- A merged response is sorted, contains each shard at most once and reports the number
  of missing parts.
- A non-idempotent request runs at most once, and never if its caller was told that it
  was not run.
- A host that receives SIGTERM completes its requests before it closes connections.
- A host that is undisturbed, as the store is, has each version of the configuration
  APPLY_S after it was written, whatever happens to other hosts.
- No host ends by itself.
- After the faults, all hosts are ready within RECOVER_S, serve 99% of requests and have
  the newest configuration.

The last line of output is JSON. The exit code is 1 if a check fails. The seed
reproduces the sequence of faults, but not the scheduling of the processes.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

STORE_PORT = 19000
CONTROL_PORT = 19001
SERVER_PORT = 18900
HOST_PORT = 19010  # host i uses HOST_PORT + 10 * i and the next five ports
CALLERS = 12  # as many as the stand-in's servers have room for
SHARDS = 10
MIN_PARTS = 9  # min_part_share 0.89 of ten shards
RECORD_BYTES = 16
# The platform's limits for recovery and for the time from SIGTERM to SIGKILL.
RECOVER_S = 12.0
GRACE_S = 6.0
# A lost response is not a failure if the host was paused, killed or had a link fault
# within this time before the request, or after the request was sent. A stop does not
# count, because a stopping host must complete its requests.
DISTURBED_S = 5.0
# The default of apply_s in the hosts' settings.
APPLY_S = 3.0


async def exchange(reader, writer, request):
    """Sends a request; returns (status, headers, body). Raises if truncated."""
    writer.write(request)
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(lines[0].split()[1]), headers, body


async def call(port, method, path, timeout=5):
    """Sends one request on a new connection; returns (status, body)."""
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            request = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
            status, _, body = await exchange(reader, writer, request.encode())
            return status, body
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


class Proxy:
    """TCP proxy between one host and the store.

    Mode is "pass", "silent" (drops both directions), "cut_up" or "cut_down" (drops
    one); it and `delay` apply to every chunk.
    """

    def __init__(self, port):
        self.port, self.mode, self.delay = port, "pass", 0.0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", STORE_PORT)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, up_writer}
        try:
            await asyncio.gather(self.pump(reader, up_writer, "up"),
                                 self.pump(up_reader, writer, "down"))
        except asyncio.CancelledError:
            pass  # cancelled at the end of the test
        self.writers -= {writer, up_writer}

    async def pump(self, reader, writer, direction):
        try:
            while chunk := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.mode in ("silent", f"cut_{direction}"):
                    continue  # dropped
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass  # reset by one end; the other one is closed below
        writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Host:
    def __init__(self, build, folder, index, last):
        self.index, self.port = index, HOST_PORT + 10 * index
        self.binary = os.path.join(build, "baobabtrayd")
        self.name = f"host-{index}"
        self.proxy = Proxy(self.port + 5)
        self.settings = os.path.join(folder, f"{self.name}.yaml")
        self.log = os.path.join(folder, f"{self.name}.log")
        # busy: a pause, kill or stop of this host is in progress.
        self.process, self.busy = None, False
        self.started_at = 0.0
        self.disturbed_at = 0.0  # last fault other than a stop
        self.faults, self.last_fault_end = 0, 0.0  # in progress; end of the last
        centre = "dc-b" if last else "dc-a"
        ports = [f"127.0.0.1:{self.port + i}" for i in range(4)]
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(f"""name: {self.name}
data_centre: {centre}
region: region-{centre[-1]}
callers: {ports[0]}
peers: {ports[1]}
admin: {ports[2]}
store: 127.0.0.1:{self.port + 5}
interface: platform
relay:
  ready: {ports[3]}
  places:
    - {{data_centre: dc-a, region: region-a}}
    - {{data_centre: dc-b, region: region-b}}
    - {{data_centre: dc-c, region: region-c}}
""")

    def is_undisturbed(self):
        return self.faults == 0 and time.monotonic() - self.last_fault_end > DISTURBED_S

    def start(self):
        self.started_at = time.monotonic()
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([self.binary, "--settings", self.settings],
                                            stdout=log, stderr=log)

    def alive(self):
        return self.process.poll() is None

    def send(self, signal_number):
        if self.alive():
            os.kill(self.process.pid, signal_number)

    async def wait_for_exit(self, timeout):
        end = time.monotonic() + timeout
        while self.alive() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return not self.alive()


class FaultTest:
    def __init__(self, args, folder):
        self.args, self.folder = args, folder
        self.rng = random.Random(args.seed)
        self.hosts = [Host(args.build, folder, i, i == args.hosts - 1)
                      for i in range(args.hosts)]
        self.failures, self.injected = [], []
        self.served = self.refused = self.failed = self.unanswered = 0
        self.orders = {}  # request id -> status, None without a response
        self.lost = set()  # orders without a response from undisturbed hosts
        self.version, self.injecting, self.running = 1, True, True
        self.recent = []  # since the faults ended: whether served
        self.store_faults, self.last_store_fault_end = 0, 0.0
        self.written = [(0.0, 1)]  # times of versions of the configuration
        self.checked_versions = 0

    def report_failure(self, text):
        self.failures.append(text)
        print(f"broken: {text}", flush=True)

    # ---- Callers ----

    async def caller(self, number):
        sent, connection, host = 0, None, None
        rng = random.Random(f"{self.args.seed}-{number}")
        while self.running:
            if connection is None:
                host = rng.choice(self.hosts)
                try:
                    connection = await asyncio.wait_for(
                        asyncio.open_connection("127.0.0.1", host.port), 1)
                except (OSError, asyncio.TimeoutError):
                    await asyncio.sleep(0.05)
                    continue
            sent += 1
            if not await self.request(connection, host, f"c{number}-{sent}", rng):
                connection[1].close()
                connection = None
            await asyncio.sleep(rng.uniform(0.01, 0.06))
        if connection is not None:
            connection[1].close()

    async def request(self, connection, host, name, rng):
        """Sends one request; returns whether the connection is reusable."""
        order = rng.random() < 0.3
        method, path = ("POST", "/order/x") if order else ("GET", "/sweep/x")
        head = (f"{method} {path} HTTP/1.1\r\nHost: demo.example\r\nRequest-Id: {name}\r\n"
                "Deadline-Remaining: 2000\r\n" + ("Content-Length: 2\r\n" if order else ""))
        data = (head + "\r\n" + ("{}" if order else "")).encode()
        start = time.monotonic()
        try:
            status, headers, body = await asyncio.wait_for(
                exchange(*connection, data), 2.5)
        except (OSError, EOFError, asyncio.TimeoutError) as e:
            self.record(name, order, None)
            self.check_unanswered(host, name, start, e)
            return False
        self.record(name, order, status)
        if status == 200 and not order:
            self.check_merged(name, headers, body)
        return headers.get("connection", "").lower() != "close"

    def record(self, name, order, status):
        if order:
            self.orders[name] = status
        self.served += status == 200
        self.refused += status == 503
        self.failed += status not in (200, 503, None)
        self.unanswered += status is None
        if not self.injecting:
            self.recent.append(status == 200)

    def check_unanswered(self, host, name, start, error):
        # A closed connection raises IncompleteReadError, an EOFError. A request sent
        # while the host closes the idle connection gets no response either, but must
        # not have run.
        disturbed = start - host.disturbed_at < DISTURBED_S or host.disturbed_at > start
        partial = getattr(error, "partial", b"")
        if not isinstance(error, EOFError) or disturbed:
            return
        if name in self.orders:
            self.lost.add(name)
        if partial:
            self.report_failure(
                f"{name}: {host.name}'s response truncated after {len(partial)} bytes")

    def check_merged(self, name, headers, body):
        seals = [s.strip() for s in headers.get("part-seals", "").split(",") if s.strip()]
        missing = int(headers.get("missing-parts", "0"))
        shards = {s.split(".")[1].rsplit("-dc-", 1)[0] for s in seals}
        if any(not s.endswith(f".{name}") for s in seals):
            self.report_failure(f"{name}: contains a part of another request: {seals}")
        if len(shards) != len(seals) or len(seals) + missing != SHARDS:
            self.report_failure(
                f"{name}: {len(seals)} parts, {missing} missing or duplicate: {seals}")
        if len(seals) < MIN_PARTS:
            self.report_failure(f"{name}: {len(seals)} parts, fewer than {MIN_PARTS}")
        records = [body[i:i + RECORD_BYTES] for i in range(0, len(body), RECORD_BYTES)]
        if records != sorted(records, reverse=True) or len(records) != 50:
            self.report_failure(
                f"{name}: {len(records)} records, expected 50 in descending order")

    # ---- Faults ----

    async def control(self, path):
        status, _ = await call(CONTROL_PORT, "POST", path)
        assert status == 200, path

    async def pause(self, host):
        host.disturbed_at = time.monotonic()
        host.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 2.5))
        host.send(signal.SIGCONT)
        host.disturbed_at = time.monotonic()

    async def kill(self, host):
        host.disturbed_at = time.monotonic()
        host.send(signal.SIGKILL)
        await host.wait_for_exit(5)
        await asyncio.sleep(self.rng.uniform(0, 1))
        host.start()
        host.disturbed_at = time.monotonic()

    async def stop(self, host):
        host.send(signal.SIGTERM)
        if self.rng.random() < 0.3:
            await asyncio.sleep(0.2)
            host.send(signal.SIGTERM)  # a second one must have no effect
        if not await host.wait_for_exit(GRACE_S):
            self.report_failure(f"{host.name}: still running {GRACE_S} s after SIGTERM")
            host.send(signal.SIGKILL)
            await host.wait_for_exit(5)
        elif host.process.returncode != 0:
            self.report_failure(
                f"{host.name}: exit code {host.process.returncode} after SIGTERM")
        host.start()

    async def reload(self, host):
        for _ in range(self.rng.randint(1, 3)):
            # No process can handle a signal before the start of main.
            if time.monotonic() - host.started_at > 0.1:
                host.send(signal.SIGHUP)
            await asyncio.sleep(0.05)

    async def link_fault(self, host):
        kind = self.rng.choice(["silent", "cut_up", "cut_down", "reset", "delay"])
        host.disturbed_at = time.monotonic()
        if kind == "reset":
            host.proxy.reset()
            return
        if kind == "delay":
            host.proxy.delay = self.rng.uniform(0.05, 0.6)
        else:
            host.proxy.mode = kind
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        host.proxy.mode, host.proxy.delay = "pass", 0.0

    async def store_fault(self, _):
        fault = self.rng.choice(["busy", "reset", "silent"])
        await self.control(f"/store?failing={fault}")
        await asyncio.sleep(self.rng.uniform(0.2, 3))
        await self.control("/store?failing=none")
        if self.rng.random() < 0.5:
            await self.control("/forget")

    async def go_back(self, _):
        """The store is away and comes back from a copy that is some seconds old."""
        await self.control("/copy")
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        await self.control("/store?failing=reset")
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        await self.control("/back")
        await self.control("/store?failing=none")
        await asyncio.sleep(2)  # the operator and the servers write again

    def any_server(self):
        shard = self.rng.choice([f"shard-{i}" for i in range(SHARDS)] + ["report"])
        return f"{shard}-dc-{self.rng.choice('abc')}"

    async def statement(self, _):
        """A server leaves, asks for pauses or names a rate limit, then restarts."""
        name = self.any_server()
        stated = self.rng.choice(["leaving=1", "limit=8", "limit=0.5", "retry_after=1.5",
                                  "retry_after=never", "leaving=1&limit=20"])
        await self.control(f"/statement?id={name}&{stated}")
        if "retry_after" in stated:
            await self.control(f"/server?id={name}&mode=refuse")
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        await self.control(f"/server?id={name}&mode=normal")
        await self.control(f"/restart?id={name}")

    async def server_fault(self, _):
        name = self.any_server()
        if self.rng.random() < 0.3:
            state = self.rng.choice(["draining", "gone"])
            await self.control(f"/entry?id={name}&state={state}")
            await asyncio.sleep(self.rng.uniform(0.5, 3))
            await self.control(f"/entry?id={name}&state=ready")
            return
        mode = self.rng.choice(["refuse", "fail", "mute", "cut", "reset", "crossed"])
        await self.control(f"/server?id={name}&mode={mode}")
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        await self.control(f"/server?id={name}&mode=normal")

    async def odd_entry(self, _):
        """Another writer leaves an odd entry, of its own or in place of a server's."""
        own = self.rng.random() < 0.5
        name = f"odd-{self.rng.randint(1, 3)}" if own else self.any_server()
        kind = self.rng.choice(["deep", "port", "number", "type"])
        await self.control(f"/odd?id={name}&kind={kind}")
        await asyncio.sleep(self.rng.uniform(0.2, 3))
        await self.control(f"/odd?id={name}&kind=removed" if own else
                           f"/entry?id={name}&state=ready")

    async def silence(self, _):
        """All open connections to the store go silent for good."""
        await self.control("/silence")
        for host in self.hosts:
            host.last_fault_end = time.monotonic()

    async def configure(self, _):
        for _ in range(self.rng.randint(1, 3)):
            self.version += 1
            await self.control("/version")
            # Calls of overlapping faults may arrive in any order.
            self.written.append((time.monotonic(), self.written[-1][1] + 1))
            await asyncio.sleep(self.rng.uniform(0, 0.3))

    async def run_fault(self, fault, host):
        exclusive = fault in (self.pause, self.kill, self.stop)
        if exclusive and host.busy:
            return
        host.busy |= exclusive
        self.injected.append(f"{fault.__name__} {host.name}")
        on_store = fault in (self.store_fault, self.go_back)
        on_host = fault in (self.pause, self.kill, self.stop, self.link_fault)
        self.store_faults += on_store
        host.faults += on_host
        await fault(host)
        self.store_faults -= on_store
        host.faults -= on_host
        if on_store:
            self.last_store_fault_end = time.monotonic()
        if on_host:
            host.last_fault_end = time.monotonic()
        if exclusive:
            host.busy = False

    async def inject_faults(self):
        kinds = [self.pause, self.kill, self.stop, self.reload, self.link_fault,
                 self.store_fault, self.server_fault, self.server_fault,
                 self.statement, self.configure, self.odd_entry, self.silence,
                 self.go_back]
        end = time.monotonic() + self.args.seconds
        tasks = []
        while time.monotonic() < end:
            task = self.run_fault(self.rng.choice(kinds), self.rng.choice(self.hosts))
            tasks.append(asyncio.create_task(task))
            await asyncio.sleep(self.rng.uniform(0.05, 0.8))
        await asyncio.gather(*tasks)

    def is_store_undisturbed(self):
        return (self.store_faults == 0 and
                time.monotonic() - self.last_store_fault_end > DISTURBED_S)

    async def check_versions(self):
        """Compares the versions in force on undisturbed hosts with those written."""
        while self.injecting:
            await asyncio.sleep(0.2)
            for host in self.hosts:
                if not host.busy and not host.alive():
                    self.report_failure(f"{host.name}: ended by itself, exit code "
                                        f"{host.process.returncode}")
                    host.start()
                if not (host.is_undisturbed() and self.is_store_undisturbed()):
                    continue
                due = max(v for t, v in self.written if t <= time.monotonic() - APPLY_S)
                try:
                    state = json.loads((await call(host.port + 2, "GET", "/state", 1))[1])
                except (OSError, EOFError, asyncio.TimeoutError):
                    continue  # a fault has begun meanwhile
                self.checked_versions += 1
                if state["routes_version"] < due:
                    self.report_failure(f"{host.name}: configuration version "
                                        f"{state['routes_version']} in force, {due} was due")

    # ---- Recovery and final checks ----

    async def is_ready(self, host):
        try:
            return (await call(host.port + 3, "GET", "/ready", 1))[0] == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def recover(self):
        begin = time.monotonic()
        while not all([await self.is_ready(h) for h in self.hosts]):
            if time.monotonic() - begin > RECOVER_S:
                ended = [(h.name, h.process.returncode) for h in self.hosts
                         if not h.alive()]
                return self.report_failure(f"not all hosts ready {RECOVER_S} s after "
                                           f"the faults; ended: {ended}")
            await asyncio.sleep(0.1)
        # Leaves time for excluded servers and outdated state to recover as well.
        await asyncio.sleep(max(0.0, RECOVER_S / 2 - (time.monotonic() - begin)))
        self.injecting = False
        await asyncio.sleep(3)
        served = sum(self.recent)
        if served < 0.99 * len(self.recent) or not self.recent:
            self.report_failure(
                f"{served} of {len(self.recent)} requests served after the faults")
        for host in self.hosts:
            state = json.loads((await call(host.port + 2, "GET", "/state"))[1])
            if state["routes_version"] != self.version:
                self.report_failure(f"{host.name}: configuration version "
                                    f"{state['routes_version']}, expected {self.version}")

    async def check_orders(self):
        execution_counts = json.loads((await call(CONTROL_PORT, "GET", "/ledger"))[1])
        for name, status in self.orders.items():
            executions = execution_counts.get(name, 0)
            if executions > 1:
                self.report_failure(f"{name}: executed {executions} times")
            if status == 503 and executions:
                self.report_failure(f"{name}: executed, but answered with 503")
            if name in self.lost and executions:
                self.report_failure(
                    f"{name}: executed, but connection closed without a response")
            if status == 200 and not executions:
                self.report_failure(f"{name}: answered with 200, but not executed")

    async def run(self):
        platform = subprocess.Popen(
            [os.path.join(self.args.build, "standin_platform"),
             "--listen", f"127.0.0.1:{STORE_PORT}", "--first-port", str(SERVER_PORT),
             "--control", f"127.0.0.1:{CONTROL_PORT}"],
            stderr=subprocess.DEVNULL)
        try:
            await asyncio.sleep(0.3)
            for host in self.hosts:
                await host.proxy.start()
                host.start()
            while not all([await self.is_ready(h) for h in self.hosts]):
                await asyncio.sleep(0.1)
            callers = [asyncio.create_task(self.caller(i))
                       for i in range(CALLERS)]
            versions = asyncio.create_task(self.check_versions())
            await self.inject_faults()
            await self.recover()
            self.injecting = False
            await versions
            self.running = False
            await asyncio.gather(*callers)
            await self.check_orders()
        finally:
            for host in self.hosts:
                host.proxy.reset()
            await asyncio.sleep(0.1)  # the transports are closed by the loop
            for process in [h.process for h in self.hosts if h.process] + [platform]:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=20,
                        help="duration of the faults")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--keep", help="folder for the hosts' logs")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = args.keep or temporary
        os.makedirs(folder, exist_ok=True)
        test = FaultTest(args, folder)
        asyncio.run(test.run())
    print(json.dumps({"seed": args.seed, "hosts": args.hosts, "seconds": args.seconds,
                      "actions": len(test.injected), "served": test.served,
                      "refused": test.refused, "failed": test.failed,
                      "cut": test.unanswered, "orders": len(test.orders),
                      "versions_checked": test.checked_versions,
                      "broken": len(test.failures)}))
    return 1 if test.failures else 0


if __name__ == "__main__":
    sys.exit(main())
