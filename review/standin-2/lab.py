"""Stand-ins for the platform's store, backend servers and clients, and the start of hosts.

Everything listens on 127.0.0.1, on free ports. Used by the scripts of review/6 to review/10.
The store and the servers follow the platform's PROTOCOL page; a script says itself where a
server deviates. Hosts are the project's daemon, started with the command of the deploy file
and settings like those that deploy/settings.yaml gives on a small deployment.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "baobabtrayd")
HEARTBEAT_S = 1.2
HISTORY_S = 20
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    pass


def free_ports(count):
    """Ports that nothing listens on. All are held open until all are chosen."""
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


async def read_head(reader):
    """Returns (first line, headers by lower-case name) or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def response(status, headers, body, close=False):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{n}: {v}" for n, v in headers]
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: keys, revisions, watches, transactions and leases."""

    def __init__(self):
        self.items, self.revision, self.history = {}, 1, []
        self.written_at, self.forgotten = [], 1  # history up to this revision is discarded
        self.leases, self.last_lease = {}, 0
        self.changed = asyncio.Event()
        self.era, self.copy = 1, None
        self.turned_away = set()  # ports whose calls get a connection reset
        self.servers = []

    async def start(self):
        self.sweeper = asyncio.ensure_future(self.sweep())

    async def listen(self):
        """Opens a port of its own for one machine, so that this one can be turned away."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def save_copy(self):
        self.copy = (dict(self.items), self.revision, dict(self.leases))

    def go_back(self):
        """Comes back from the copy: what was written since is gone, leases too."""
        self.items, self.revision, self.leases = (dict(self.copy[0]), self.copy[1],
                                                  dict(self.copy[2]))
        self.history = [e for e in self.history if e["revision"] <= self.revision]
        self.written_at = [w for w in self.written_at if w[1] <= self.revision]
        self.era += 1
        self.wake()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value.encode()).decode(),
                           "revision": self.revision, "created": created, "lease": lease}
        self.history.append(dict(self.items[key]))
        self.written_at.append((time.monotonic(), self.revision))
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "removed": True})
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def sweep(self):
        while True:
            await asyncio.sleep(0.05)
            while self.written_at and time.monotonic() - self.written_at[0][0] > HISTORY_S:
                self.forgotten = self.written_at.pop(0)[1]
            self.history = [e for e in self.history if e["revision"] > self.forgotten]
            for lease, (ttl, until) in list(self.leases.items()):
                if time.monotonic() > until:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if port not in self.turned_away:
                    status, answer = await self.answer(method, target, body)
                if port in self.turned_away:
                    return writer.transport.abort()
                writer.write(response(status, [("Content-Type", "application/json"),
                                               ("Store-Era", str(self.era))],
                                      json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the host has closed the connection
        except asyncio.CancelledError:
            pass  # the script ends
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        path = url.path
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "current_rev": self.revision}
        if path == "/-/kv-key":
            item = self.items.get(unquote(query.get("key", "")))
            if item is None:
                return 404, {}
            return 200, dict(item, current_rev=self.revision)
        if path == "/-/kv-watch":
            after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            era = self.era
            while True:
                if after > self.revision or after < self.forgotten or era != self.era:
                    return 410, {}
                events = [e for e in self.history if e["revision"] > after
                          and e["key"].startswith(query.get("prefix", ""))]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/-/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/-/kv-txn":
            call = json.loads(body)
            for row in call.get("precondition", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": []}
            for row in call.get("writes", []):
                if row.get("lease", 0) and row["lease"] not in self.leases:
                    return 404, {}
            for row in call.get("writes", []):
                self.put(row["key"], base64.b64decode(row["value"]).decode(), row.get("lease", 0))
            for key in call.get("deletes", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {}


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.id = headers.get("request-id", "")


class Backend:
    """A sound backend server. `work` is a coroutine (Request) -> body."""

    def __init__(self, store, server_id, service, zone, work, slots=4):
        self.store, self.id, self.service, self.zone = store, server_id, service, zone
        self.work, self.slots, self.sequence = work, asyncio.Semaphore(slots), 0
        self.slot_count, self.running, self.waiting = slots, 0, 0
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, request id, tenant) of each run, when it begins
        self.broken = []  # ids of answers that could not be written

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat_task = asyncio.ensure_future(self.beat())

    async def beat(self):
        key = f"servers/{self.id}"
        while True:
            self.sequence += 1
            if key not in self.store.items:  # an entry changes when more than this does
                self.store.put(key, json.dumps({
                    "service": self.service, "address": f"127.0.0.1:{self.port}",
                    "zone": self.zone, "version": "v1", "slots": self.slot_count,
                    "state": "ready", "warmup_left_ms": 0, "sequence": self.sequence,
                    "born": self.born}))
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self.handle(Request(method, target, headers, body), writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the host has closed the connection
        finally:
            writer.close()

    async def handle(self, request, writer):
        target = request.headers.get("target-instance", "")
        echo = [("Request-Id", request.id)]
        if target and target != self.id:
            writer.write(response(421, echo + [("Not-Executed", "1")], b""))
            return await writer.drain()
        if not request.id:
            writer.write(response(400, [("Not-Executed", "1")], b""))
            return await writer.drain()
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            try:
                self.runs.append((time.monotonic(), request.id,
                                  request.headers.get("tenant", "")))
                body = await self.work(request)
            finally:
                self.running -= 1
        load = f"{self.running},{self.waiting},{self.slot_count}"
        try:
            writer.write(response(200, echo + [("Response-Seal", f"{self.id}.{request.id}"),
                                               ("Server-Load", load)], body))
            await writer.drain()
        except ConnectionError:
            self.broken.append(request.id)
            raise


class Host:
    """One process of the project's daemon. `apply_ms`: the site's config_apply_ms and drain_ms,
    which are the same on the small sites and on hearthtable-menus-grown."""

    def __init__(self, lab, name, zone, memory_mb=260, apply_ms=3000, extra=""):
        self.lab, self.name, self.zone = lab, name, zone
        self.callers, self.peers, self.admin, self.ready = free_ports(4)
        self.settings = os.path.join(lab.folder, f"{name}.yaml")
        self.log = os.path.join(lab.folder, f"{name}.log")
        self.process, self.store_port = None, None
        places = "".join(f"\n    - {{ data_centre: \"{z}\", region: \"{r}\" }}"
                         for z, r in lab.zones.items())
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(f"""name: "{name}"
data_centre: "{zone}"
region: "{lab.zones[zone]}"
callers: "127.0.0.1:{self.callers}"
peers: "127.0.0.1:{self.peers}"
admin: "127.0.0.1:{self.admin}"
store: "127.0.0.1:{{STORE}}"
interface: platform
memory_mb: {memory_mb}
max_fds: 4100
relay:
  ready: "127.0.0.1:{self.ready}"
  places:{places}
  extra_ratio: 0.2
  extra_floor: 52
  extra_window_s: 10
  apply_s: {apply_ms}e-3
  leave_s: {apply_ms}e-3
  grace_s: 6
{extra}""")

    async def start(self):
        if self.store_port is None:
            self.store_port = await self.lab.store.listen()
            with open(self.settings, encoding="utf-8") as f:
                text = f.read().replace("{STORE}", str(self.store_port))
            with open(self.settings, "w", encoding="utf-8") as f:
                f.write(text)
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                DAEMON, "--settings", self.settings, stdout=log, stderr=log, cwd=ROOT)

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.alive():
            os.kill(self.process.pid, number)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def wait_ready(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if not self.alive():
                raise CannotRun(f"{self.name} has ended: {self.last_log()}")
            try:
                if (await ask(self.ready, "/-/ready", timeout=1))[0] == 200:
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def last_log(self):
        with open(self.log, "rb") as f:
            return f.read()[-500:].decode("utf-8", "replace")


class Client:
    """One kept connection of a client. Reads answers as fast as they come."""

    def __init__(self, port, window=None):
        self.port, self.window, self.reader, self.writer = port, window, None, None

    async def connect(self):
        s = socket.socket()
        s.setblocking(False)
        if self.window:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
        await asyncio.get_running_loop().sock_connect(s, ("127.0.0.1", self.port))
        self.reader, self.writer = await asyncio.open_connection(sock=s)

    def send(self, request_id, path, method="GET", headers=(), body=b"", deadline_ms=2000,
             host="lab.example"):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {request_id}",
                 f"Deadline-Remaining: {deadline_ms}"]
        lines += [f"{n}: {v}" for n, v in headers]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def receive(self):
        """Returns (status, headers, body). EOFError: the connection ended before the answer
        was whole; its argument is the number of bytes that had come."""
        got = b""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            got = head
            lines = head.decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            body = await self.reader.readexactly(int(headers.get("content-length", "0")))
            return int(lines[0].split()[1]), headers, body
        except asyncio.IncompleteReadError as e:
            raise EOFError(len(got) + len(e.partial)) from e
        except ConnectionError as e:
            raise EOFError(len(got)) from e

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def ask(port, path, timeout=5, request_id="probe", **more):
    """One request on a new connection."""
    client = Client(port)
    await asyncio.wait_for(client.connect(), timeout)
    try:
        client.send(request_id, path, **more)
        return await asyncio.wait_for(client.receive(), timeout)
    finally:
        client.close()


def route(name, prefix, service, kind="idempotent", timeout_ms=2000, target_ms=300,
          attempts=2, **more):
    return {"name": name, "host": "lab.example", "prefix": prefix, "service": service,
            "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": target_ms,
            "priority": 1, "max_attempts": attempts, "allowed_regions": [], **more}


def service(name, connections=96):
    return {"name": name, "health_path": "/health", "max_connections": connections,
            "warmup_s": 3.0, "cold_per_s": 0.0}


def config(version, routes, services, **more):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, **more}


class Lab:
    """Owns the store, the processes, a temporary folder and the record."""

    def __init__(self, case_folder, zones=None):
        self.zones = zones or {"bogota-norte": "andina"}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record_file = open(os.path.join(case_folder, "record.txt"), "w",
                                encoding="utf-8")
        self.began = time.monotonic()
        self.store, self.hosts = Store(), []

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record_file.flush()

    def say(self, text):
        print(text, flush=True)
        self.record(text)

    async def close(self):
        for host in self.hosts:
            if host.alive():
                await host.kill()
        for host in self.hosts:
            if os.path.exists(host.log):
                with open(host.log, encoding="utf-8", errors="replace") as f:
                    for line in f.read().splitlines()[-40:]:
                        self.record(f"log of {host.name}: {line[:300]}")
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, limit_s, zones=None):
    """Runs `case(lab)`, which returns whether the rule was broken. Exits with 1 if it was, 0
    if it held, 2 if the case couldn't run."""
    async def run():
        lab = Lab(os.path.dirname(os.path.abspath(sys.argv[0])), zones)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            if not os.path.exists(DAEMON):
                raise CannotRun("target/baobabtrayd is missing: run the deploy file's build")
            await lab.store.start()
            lab.say(f"trouble: {'yes' if TROUBLE else 'no'}")
            broken = await asyncio.wait_for(case(lab), limit_s)
            lab.say("RULE BROKEN" if broken else "rule held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as e:  # a fault of the script is no broken rule
            lab.say(f"could not run: {type(e).__name__} {e}")
            return 2
        finally:
            await lab.close()
    sys.exit(asyncio.run(run()))
