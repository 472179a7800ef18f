#!/usr/bin/env python3
"""Randomized fault soak of relaying hosts as real processes on loopback.

    tools/soak.py --build build --seconds 20 --seed 1

Six hosts (five in one data centre, so that four follow a hub) run against
standin_platform, each behind a proxy of its own to the store. Faults come in series and
overlap: the proxy resets, delays, silences or cuts one way; hosts are paused, killed,
stopped and started again; the store fails or drops its history; servers refuse, fail,
fall silent, cut, reset and answer with another's id; entries and configurations change.
Callers keep their connections until these close.

Checked while it runs, from what callers and servers see: merged answers are whole or say
what is missing, sorted, each shard once; a request that is not idempotent runs at most
once, and never if its caller was told that it was not run; a host that was only asked to
stop closes no connection under a request; after the faults all hosts are ready within
RECOVER_S, serve 99 of 100 requests, and have the newest configuration.

The last line is JSON. Exit code 1 if a promise is broken; the seed plays it again, though
the timing of processes is not the seed's.
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
SERVER_PORT = 19100
HOST_PORT = 19010  # host i uses HOST_PORT + 10 * i and the four after it
HOSTS = 6
SHARDS = 10
LEAST_PARTS = 9  # 0.89 of ten shards
RECORD = 16
# The platform's bound on recovery, and its time from SIGTERM to SIGKILL.
RECOVER_S = 12.0
GRACE_S = 6.0
# A request in hand at a stop is the host's to finish; one sent to a host that was
# disturbed otherwise within this long is not counted.
DISTURBED_S = 5.0


async def exchange(reader, writer, request):
    """Sends a request, returns (status, headers, body); raises when cut."""
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
    """One request on a connection of its own; returns (status, body)."""
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
    """TCP between one host and the store; `mode` is looked at for every chunk."""

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
            pass  # the soak is over
        self.writers -= {writer, up_writer}

    async def pump(self, reader, writer, way):
        try:
            while chunk := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.mode in ("silent", f"cut_{way}"):
                    continue  # swallowed
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass  # a reset by either end; the other is closed below
        writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Host:
    def __init__(self, build, folder, index):
        self.index, self.port = index, HOST_PORT + 10 * index
        self.binary = os.path.join(build, "baobabtrayd")
        self.name = f"host-{index}"
        self.proxy = Proxy(self.port + 5)
        self.settings = os.path.join(folder, f"{self.name}.yaml")
        self.log = os.path.join(folder, f"{self.name}.log")
        self.process, self.busy = None, False
        self.disturbed_at = 0.0  # by anything but a stop
        centre = "dc-a" if index < HOSTS - 1 else "dc-b"
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

    def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([self.binary, "--settings", self.settings],
                                            stdout=log, stderr=log)

    def alive(self):
        return self.process.poll() is None

    def send(self, what):
        if self.alive():
            os.kill(self.process.pid, what)

    async def ended(self, timeout):
        end = time.monotonic() + timeout
        while self.alive() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return not self.alive()


class Soak:
    def __init__(self, args, folder):
        self.args, self.folder = args, folder
        self.random = random.Random(args.seed)
        self.hosts = [Host(args.build, folder, i) for i in range(HOSTS)]
        self.broken, self.actions = [], []
        self.served = self.refused = self.failed = self.cut = 0
        self.orders = {}  # request id -> what its caller was told
        self.lost = set()  # orders without an answer from undisturbed hosts
        self.version, self.faults, self.running = 1, True, True
        self.recent = []  # outcomes since the faults ended

    def fail(self, text):
        self.broken.append(text)
        print(f"broken: {text}", flush=True)

    # ---- Callers ----

    async def caller(self, number):
        sent, connection, host = 0, None, None
        chooser = random.Random(f"{self.args.seed}-{number}")
        while self.running:
            if connection is None:
                host = chooser.choice(self.hosts)
                try:
                    connection = await asyncio.wait_for(
                        asyncio.open_connection("127.0.0.1", host.port), 1)
                except (OSError, asyncio.TimeoutError):
                    await asyncio.sleep(0.05)
                    continue
            sent += 1
            if not await self.request(connection, host, f"c{number}-{sent}", chooser):
                connection[1].close()
                connection = None
            await asyncio.sleep(chooser.uniform(0.01, 0.06))

    async def request(self, connection, host, name, chooser):
        """Sends one request; returns whether the connection may be used again."""
        order = chooser.random() < 0.3
        method, path = ("POST", "/order/x") if order else ("GET", "/sweep/x")
        head = (f"{method} {path} HTTP/1.1\r\nHost: demo.example\r\nRequest-Id: {name}\r\n"
                "Deadline-Remaining: 2000\r\n" + ("Content-Length: 2\r\n" if order else ""))
        data = (head + "\r\n" + ("{}" if order else "")).encode()
        began = time.monotonic()
        try:
            status, headers, body = await asyncio.wait_for(
                exchange(*connection, data), 2.5)
        except (OSError, EOFError, asyncio.TimeoutError) as e:
            self.note(name, order, None)
            self.check_cut(host, name, began, e)
            return False
        self.note(name, order, status)
        if status == 200 and not order:
            self.check_merged(name, headers, body)
        return headers.get("connection", "").lower() != "close"

    def note(self, name, order, status):
        if order:
            self.orders[name] = status
        self.served += status == 200
        self.refused += status == 503
        self.failed += status not in (200, 503, None)
        self.cut += status is None
        if not self.faults:
            self.recent.append(status == 200)

    def check_cut(self, host, name, began, error):
        # A reader at its end raises IncompleteReadError, an EOFError. A request that
        # crossed the close of its idle connection has no answer either, but must not
        # have run.
        disturbed = began - host.disturbed_at < DISTURBED_S or host.disturbed_at > began
        partial = getattr(error, "partial", b"")
        if not isinstance(error, EOFError) or disturbed:
            return
        if name in self.orders:
            self.lost.add(name)
        if partial:
            self.fail(f"{name}: answer of {host.name} cut after {len(partial)} bytes")

    def check_merged(self, name, headers, body):
        seals = [s.strip() for s in headers.get("part-seals", "").split(",") if s.strip()]
        missing = int(headers.get("missing-parts", "0"))
        shards = {s.split(".")[1].rsplit("-dc-", 1)[0] for s in seals}
        if any(not s.endswith(f".{name}") for s in seals):
            self.fail(f"{name}: a part of another request: {seals}")
        if len(shards) != len(seals) or len(seals) + missing != SHARDS:
            self.fail(f"{name}: {len(seals)} parts, {missing} missing: {seals}")
        if len(seals) < LEAST_PARTS:
            self.fail(f"{name}: too few parts: {len(seals)}")
        records = [body[i:i + RECORD] for i in range(0, len(body), RECORD)]
        if records != sorted(records, reverse=True) or len(records) != 50:
            self.fail(f"{name}: {len(records)} records, or not falling")

    # ---- Faults ----

    async def control(self, path):
        status, _ = await call(CONTROL_PORT, "POST", path)
        assert status == 200, path

    async def pause(self, host):
        host.disturbed_at = time.monotonic()
        host.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, 2.5))
        host.send(signal.SIGCONT)
        host.disturbed_at = time.monotonic()

    async def kill(self, host):
        host.disturbed_at = time.monotonic()
        host.send(signal.SIGKILL)
        await host.ended(5)
        await asyncio.sleep(self.random.uniform(0, 1))
        host.start()
        host.disturbed_at = time.monotonic()

    async def stop(self, host):
        host.send(signal.SIGTERM)
        if self.random.random() < 0.3:
            await asyncio.sleep(0.2)
            host.send(signal.SIGTERM)  # a second one changes nothing
        if not await host.ended(GRACE_S):
            self.fail(f"{host.name}: still runs {GRACE_S} s after SIGTERM")
            host.send(signal.SIGKILL)
            await host.ended(5)
        elif host.process.returncode != 0:
            self.fail(f"{host.name}: ended with {host.process.returncode}")
        host.start()

    async def reload(self, host):
        for _ in range(self.random.randint(1, 3)):
            host.send(signal.SIGHUP)
            await asyncio.sleep(0.05)

    async def link(self, host):
        kind = self.random.choice(["silent", "cut_up", "cut_down", "reset", "delay"])
        host.disturbed_at = time.monotonic()
        if kind == "reset":
            host.proxy.reset()
            return
        if kind == "delay":
            host.proxy.delay = self.random.uniform(0.05, 0.6)
        else:
            host.proxy.mode = kind
        await asyncio.sleep(self.random.uniform(0.5, 4))
        host.proxy.mode, host.proxy.delay = "pass", 0.0

    async def store(self, _):
        fault = self.random.choice(["busy", "reset", "silent"])
        await self.control(f"/store?failing={fault}")
        await asyncio.sleep(self.random.uniform(0.2, 3))
        await self.control("/store?failing=none")
        if self.random.random() < 0.5:
            await self.control("/forget")

    async def server(self, _):
        shard = self.random.choice([f"shard-{i}" for i in range(SHARDS)] + ["report"])
        name = f"{shard}-dc-{self.random.choice('abc')}"
        if self.random.random() < 0.3:
            state = self.random.choice(["draining", "gone"])
            await self.control(f"/entry?id={name}&state={state}")
            await asyncio.sleep(self.random.uniform(0.5, 3))
            await self.control(f"/entry?id={name}&state=ready")
            return
        mode = self.random.choice(["refuse", "fail", "mute", "cut", "reset", "crossed"])
        await self.control(f"/server?id={name}&mode={mode}")
        await asyncio.sleep(self.random.uniform(0.5, 3))
        await self.control(f"/server?id={name}&mode=normal")

    async def configure(self, _):
        for _ in range(self.random.randint(1, 3)):
            self.version += 1
            await self.control("/version")
            await asyncio.sleep(self.random.uniform(0, 0.3))

    async def act(self, action, host):
        on_host = action in (self.pause, self.kill, self.stop)
        if on_host and host.busy:
            return
        host.busy |= on_host
        self.actions.append(f"{action.__name__} {host.name}")
        await action(host)
        if on_host:
            host.busy = False

    async def trouble(self):
        kinds = [self.pause, self.kill, self.stop, self.reload, self.link, self.store,
                 self.server, self.server, self.configure]
        end = time.monotonic() + self.args.seconds
        tasks = []
        while time.monotonic() < end:
            act = self.act(self.random.choice(kinds), self.random.choice(self.hosts))
            tasks.append(asyncio.create_task(act))
            await asyncio.sleep(self.random.uniform(0.05, 0.8))
        await asyncio.gather(*tasks)

    # ---- The end ----

    async def ready(self, host):
        try:
            return (await call(host.port + 3, "GET", "/ready", 1))[0] == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def recover(self):
        begin = time.monotonic()
        while not all([await self.ready(h) for h in self.hosts]):
            if time.monotonic() - begin > RECOVER_S:
                return self.fail("not all hosts are ready after the faults")
            await asyncio.sleep(0.1)
        # Held servers and stale beliefs have until the bound, too.
        await asyncio.sleep(max(0.0, RECOVER_S / 2 - (time.monotonic() - begin)))
        self.faults = False
        await asyncio.sleep(3)
        good = sum(self.recent)
        if good < 0.99 * len(self.recent) or not self.recent:
            self.fail(f"{good} of {len(self.recent)} served after the faults")
        for host in self.hosts:
            state = json.loads((await call(host.port + 2, "GET", "/state"))[1])
            if state["routes_version"] != self.version:
                self.fail(f"{host.name}: configuration {state['routes_version']}, "
                          f"not {self.version}")

    async def check_orders(self):
        ran = json.loads((await call(CONTROL_PORT, "GET", "/ledger"))[1])
        for name, status in self.orders.items():
            times = ran.get(name, 0)
            if times > 1:
                self.fail(f"{name}: ran {times} times")
            if status == 503 and times:
                self.fail(f"{name}: answered as not run, and ran")
            if name in self.lost and times:
                self.fail(f"{name}: ran, and its connection was closed with no answer")
            if status == 200 and not times:
                self.fail(f"{name}: answered, and never ran")

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
            while not all([await self.ready(h) for h in self.hosts]):
                await asyncio.sleep(0.1)
            callers = [asyncio.create_task(self.caller(i)) for i in range(12)]
            await self.trouble()
            await self.recover()
            self.running = False
            await asyncio.gather(*callers)
            await self.check_orders()
        finally:
            for process in [h.process for h in self.hosts if h.process] + [platform]:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=20, help="of faults")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", help="folder to keep the hosts' logs in")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = args.keep or temporary
        os.makedirs(folder, exist_ok=True)
        soak = Soak(args, folder)
        asyncio.run(soak.run())
    print(json.dumps({"seed": args.seed, "seconds": args.seconds,
                      "actions": len(soak.actions), "served": soak.served,
                      "refused": soak.refused, "failed": soak.failed, "cut": soak.cut,
                      "orders": len(soak.orders), "broken": len(soak.broken)}))
    return 1 if soak.broken else 0


if __name__ == "__main__":
    sys.exit(main())
