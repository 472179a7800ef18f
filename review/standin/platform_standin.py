"""Stand-ins for the users' platform: store, backend servers, clients, and one host.

Everything runs on loopback addresses. The store and the backend servers are
threads of the calling process; the host is the program of deploy/system.toml,
started as a process of its own with the rendered template of its settings.
"""

import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


def free_port(host="127.0.0.1"):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


class Closed(Exception):
    """The peer has closed the connection."""


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed()
        self.buffer += data

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        text, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def exactly(self, size):
        while len(self.buffer) < size:
            self.fill()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data


def encode(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status}"] + [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """A listener with one thread for each connection."""

    def __init__(self, handle, setup=None, port=0):
        self.handle = handle
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if setup:
            setup(self.listener)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(128)
        self.port = self.listener.getsockname()[1]
        self.open = True
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.open:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        try:
            self.handle(sock)
        except (Closed, OSError, ValueError):
            pass
        finally:
            sock.close()

    def close(self):
        self.open = False
        self.listener.close()


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 1000
        self.server = Server(self.handle)
        self.port = self.server.port

    def put(self, key, value, lease=0):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            old = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(text).decode(),
                    "revision": self.revision,
                    "created": old["created"] if old else self.revision, "lease": lease}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            if key not in self.items:
                return
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "removed": True})
            self.changed.notify_all()

    def handle(self, sock):
        reader = Reader(sock)
        while True:
            line, headers = reader.head()
            body = reader.exactly(int(headers.get("content-length", 0)))
            method, target, _ = line.split(" ")
            status, reply = self.call(method, target, body)
            sock.sendall(encode(status, {"Content-Type": "application/json"},
                                json.dumps(reply).encode()))

    def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        with self.changed:
            if url.path == "/-/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return "404 Not Found", {}
                return "200 OK", dict(item, current_rev=self.revision)
            if url.path == "/-/kv-range":
                return self.list(query)
            if url.path == "/-/kv-watch":
                return self.watch(query)
            if url.path == "/-/kv-txn":
                return self.transact(json.loads(body))
            if url.path == "/-/kv-lease":
                self.next_lease += 1
                ttl = json.loads(body)["ttl_ms"]
                self.leases[self.next_lease] = ttl
                return "200 OK", {"lease": self.next_lease, "ttl_ms": ttl}
            name, _, lease = url.path.rpartition("/")
            if name == "/-/kv-keep" and int(lease) in self.leases:
                return "200 OK", {"ttl_ms": self.leases[int(lease)]}
            if name == "/-/kv-lease-end" and int(lease) in self.leases:
                del self.leases[int(lease)]
                for key in [k for k, i in self.items.items() if i["lease"] == int(lease)]:
                    self.remove(key)
                return "200 OK", {}
        return "404 Not Found", {}

    def list(self, query):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"])
                      and k > query.get("after", ""))
        return "200 OK", {"items": [self.items[k] for k in keys[:500]],
                          "has_more": len(keys) > 500, "current_rev": self.revision}

    def watch(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for e in self.events
                      if e["revision"] > after and e["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return "200 OK", {"events": events, "current_rev": self.revision}
            self.changed.wait(left)

    def transact(self, call):
        for row in call["precondition"]:
            item = self.items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                return "412 Precondition Failed", {"items": []}
        for write in call["writes"]:
            if write["lease"] and write["lease"] not in self.leases:
                return "404 Not Found", {}
        for write in call["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]), write["lease"])
        for key in call["deletes"]:
            self.remove(key)
        return "200 OK", {"revision": self.revision}


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")

    def close(self):
        with self.lock:
            self.file.close()


def route(name, prefix, service, kind="idempotent", timeout_ms=2000):
    return {"name": name, "host": "leno12.example", "prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 1,
            "service": service, "max_attempts": 2, "allowed_regions": []}


def service(name, max_connections=96, cold_per_s=0.0):
    return {"name": name, "health_path": "/health", "max_connections": max_connections,
            "protocol": "h1", "tls": False, "warmup_s": 3.0, "cold_per_s": cold_per_s}


def config(version, routes, services, max_body_bytes=262144):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def entry(name, port, zone="bogota-norte", slots=4, state="ready", sequence=1, **more):
    return {"service": name, "address": f"127.0.0.1:{port}", "zone": zone, "version": "v1",
            "slots": slots, "state": state, "warmup_left_ms": 0, "sequence": sequence, **more}


class Host:
    """One host, started with the command and the template of the deploy file."""

    def __init__(self, store_port, folder, name="frontend-bogota-norte-1",
                 zone="bogota-norte"):
        program = os.path.join(ROOT, "target", "baobabtrayd")
        if not os.access(program, os.X_OK):
            raise FileNotFoundError(program)
        ports = [free_port() for _ in range(4)]
        self.port, self.ready, self.peers, self.admin = ports
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as f:
            template = f.read()
        zones = {"bogota-norte": "andina", "barranquilla-a": "caribe", "cali-sur": "pacifico"}
        template = re.sub(
            r"\{\{#zones\}\}(.*?)\{\{/zones\}\}",
            lambda m: "".join(m[1].replace("{{@}}", z).replace("{{.}}", r)
                              for z, r in zones.items()), template, flags=re.S)
        values = {"node_name": name, "zone": zone, "region": zones[zone],
                  "listen.frontend": f"127.0.0.1:{self.port}",
                  "listen.ready": f"127.0.0.1:{self.ready}", "ip": "127.0.0.1",
                  "internal_ports.0": self.peers, "internal_ports.1": self.admin,
                  "platform.address": f"127.0.0.1:{store_port}",
                  "bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_floor": 52,
                  "bounds.budget_window_s": 10, "bounds.config_apply_ms": 3000,
                  "bounds.drain_ms": 3000, "bounds.grace_s": 6}
        # Sections of values that this platform does not have.
        template = re.sub(r"\{\{#([^}]*)\}\}(.*?)\{\{/\1\}\}",
                          lambda m: m[2] if m[1] in values else "", template, flags=re.S)
        text = re.sub(r"\{\{([^}]*)\}\}", lambda m: str(values[m[1]]), template)
        path = os.path.join(folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        self.log = open(os.path.join(folder, f"{name}.log"), "w", encoding="utf-8")
        self.process = subprocess.Popen([program, "--settings", path], cwd=ROOT,
                                        stdout=self.log, stderr=self.log)

    def wait_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                with socket.create_connection(("127.0.0.1", self.ready), 1) as s:
                    s.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if b" 200 " in s.recv(100):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise TimeoutError("the host is not ready")

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(8)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.log.close()


class Client:
    """A client that keeps its connection open and sends one request at a time."""

    def __init__(self, port):
        self.port = port
        self.sock = None
        self.reader = None

    def request(self, method, target, request_id, body=None, deadline_ms=2000):
        """Returns (status, headers, body), or None if there was no whole answer."""
        try:
            if self.sock is None:
                self.sock = socket.create_connection(("127.0.0.1", self.port), 1)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.reader = Reader(self.sock)
            self.sock.settimeout(deadline_ms / 1000 + 1)
            head = (f"{method} {target} HTTP/1.1\r\nHost: leno12.example\r\n"
                    f"Request-Id: {request_id}\r\nDeadline-Remaining: {deadline_ms}\r\n")
            if body is not None:
                head += f"Content-Length: {len(body)}\r\n"
            self.sock.sendall(head.encode() + b"\r\n" + (body or b""))
            line, headers = self.reader.head()
            answer = self.reader.exactly(int(headers["content-length"]))
            if headers.get("connection", "").lower() == "close":
                self.close()
            return int(line.split(" ")[1]), headers, answer
        except (Closed, OSError, KeyError, ValueError):
            self.close()
            return None

    def close(self):
        if self.sock is not None:
            self.sock.close()
        self.sock = None


def run_case(case, folder):
    """Runs case(trouble, temporary folder, record). Exits with 0 (held), 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    temporary = tempfile.mkdtemp(prefix="review-")
    try:
        broken = case(trouble, temporary, record)
    except Exception as e:  # pylint: disable=broad-except
        record.line(f"could not run: {e!r}")
        print(f"could not run: {e!r}")
        code = 2
    else:
        code = 1 if broken else 0
        record.line(f"trouble {int(trouble)}: {'BROKEN: ' + broken if broken else 'held'}")
        print("BROKEN: " + broken if broken else "held")
    record.close()
    shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
