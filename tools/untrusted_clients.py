#!/usr/bin/env python3
"""Clients that keep no limits, against a host as a process on loopback.

    tools/untrusted_clients.py --build build --test NAME [--interface relay|query]

Tests, each with a small crowd whose connections stay open:
  chunked_bodies    chunked bodies in large and in very small chunks; most stop just
                    short of their end
  oversized_bodies  bodies far over the limit, announced by their length or just sent
  slow_readers      long answers of which nothing is read (relay only)
  descriptors       more connections than the host has descriptors, then closed again

Checked is only what does not depend on the machine's speed: the process lives, its
resident memory (VmHWM) stays within the memory that its settings state, its open
descriptors stay under a bound, and one ordinary request is answered while the crowd is
still connected (after it has left, in `descriptors`). Before, a single request with a
body of the largest allowed size is answered. All waits are bounded. The last line of
output is JSON; the exit code is 1 if a check fails.
"""

import argparse
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time

STORE_PORT, SERVER_PORT, HOST_PORT = 19400, 19410, 19460
# The crowd and the bounds.
CLIENTS = 48
READERS = 24
MEMORY_MB = 64
MAX_DESCRIPTORS = 512  # half of the usual limit of 1,024
BODY_BYTES = 4 << 20  # of chunked bodies
FAR_OVER_BYTES = 8 << 20
ANNOUNCED_BYTES = 60 << 20
ANSWER_BYTES = 4 << 20
ALLOWED_BODY_BYTES = 256 << 10  # the largest, by the stand-in's configuration
FEW_DESCRIPTORS = 120
IDLE_CONNECTIONS = 150
# Bounds of waits, in seconds.
START_S = 30
SEND_S = 20
SETTLE_S = 3
ANSWER_S = 60


class Failure(Exception):
    pass


def wait_for(done, seconds, what):
    end = time.monotonic() + seconds
    while True:
        result = done()
        if result:
            return result
        if time.monotonic() > end:
            raise Failure(f"timed out: {what}")
        time.sleep(0.1)


class Deployment:
    """The store, the backend servers and one host."""

    def __init__(self, args, folder):
        self.args, self.folder, self.children = args, folder, []
        self.relay = args.interface == "relay"
        self.host = None

    def start(self, *command, limit=None):
        def lower():
            if limit:
                resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
        log = open(os.path.join(self.folder, os.path.basename(command[0]) + ".log"), "ab")
        child = subprocess.Popen(command, stdout=log, stderr=log, preexec_fn=lower)
        self.children.append(child)
        return child

    def program(self, name):
        return os.path.join(self.args.build, name)

    def settings(self, memory):
        path = os.path.join(self.folder, "host.yaml")
        data_centre, region = (("dc-a", "region-a") if self.relay
                               else ("bogota-norte", "andina"))
        lines = ["name: host-1", f"data_centre: {data_centre}", f"region: {region}",
                 f"callers: 127.0.0.1:{HOST_PORT}", f"peers: 127.0.0.1:{HOST_PORT + 1}",
                 f"admin: 127.0.0.1:{HOST_PORT + 2}", f"store: 127.0.0.1:{STORE_PORT}"]
        if memory:
            lines.append(f"memory_mb: {MEMORY_MB}")
        if self.relay:
            lines += ["interface: platform", "relay:", f"  ready: 127.0.0.1:{HOST_PORT + 3}",
                      "  places: [{data_centre: dc-a, region: region-a},"
                      " {data_centre: dc-b, region: region-b},"
                      " {data_centre: dc-c, region: region-c}]"]
        else:
            token = os.path.join(self.folder, "token")
            with open(token, "w") as out:
                out.write("token\n")
            lines.append(f"admin_token_file: {token}")
        with open(path, "w") as out:
            out.write("\n".join(lines) + "\n")
        return path

    def run(self, limit=None):
        if self.relay:
            self.start(self.program("standin_platform"), "--listen",
                       f"127.0.0.1:{STORE_PORT}", "--first-port", str(SERVER_PORT),
                       "--text-bytes", str(ANSWER_BYTES))
        else:
            root = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
            self.topology = os.path.join(root, "examples", "consortium.yaml")
            self.start(self.program("standin_store"), "--listen",
                       f"127.0.0.1:{STORE_PORT}")
            self.start(self.program("standin_backends"), "--text", self.topology,
                       "--control", f"127.0.0.1:{STORE_PORT + 1}")
        # A build without the setting gets none; the bound is the same.
        path = self.settings(memory=True)
        known = subprocess.run([self.program("baobabtrayd"), "--settings", path, "--check"],
                               capture_output=True, timeout=START_S).returncode == 0
        if not known:
            path = self.settings(memory=False)
        self.host = self.start(self.program("baobabtrayd"), "--settings", path, limit=limit)
        if not self.relay:
            wait_for(lambda: self.tool("apply", self.topology) == 0, START_S, "topology")
        wait_for(self.ordinary_request, START_S, "an answer after the start")

    def tool(self, *command):
        return subprocess.run(
            [self.program("baobabtray"), "--admin", f"127.0.0.1:{HOST_PORT + 2}",
             "--token-file", os.path.join(self.folder, "token"),
             "--callers", f"127.0.0.1:{HOST_PORT}", *command],
            capture_output=True, timeout=START_S).returncode

    def status_of(self, request, seconds=5):
        """The status of the answer to `request`; 0 if there is none."""
        try:
            with socket.create_connection(("127.0.0.1", HOST_PORT), timeout=seconds) as s:
                s.settimeout(seconds)
                s.sendall(request)
                head = b""
                while b"\r\n" not in head:
                    part = s.recv(4096)
                    if not part:
                        return 0
                    head += part
                return int(head.split()[1])
        except (OSError, ValueError, IndexError):
            return 0

    def ordinary_request(self):
        if not self.relay:
            return self.tool("query", "alerta-colapso", "{}") == 0
        return self.status_of(head("GET", "/sweep/a") + b"\r\n") == 200

    def largest_request(self):
        if not self.relay:
            return True
        body = b"x" * ALLOWED_BODY_BYTES
        request = (head("POST", "/sweep/a")
                   + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return self.status_of(request) == 200

    def memory_mb(self):
        with open(f"/proc/{self.host.pid}/status") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.host.pid}/fd"))

    def stop(self):
        for child in self.children:
            child.terminate()
        for child in self.children:
            try:
                child.wait(10)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()


request_number = 0


def head(method, path):
    global request_number
    request_number += 1
    return (f"{method} {path} HTTP/1.1\r\nHost: demo.example\r\n"
            f"Request-Id: u-{request_number}\r\nDeadline-Remaining: 700\r\n").encode()


class Client:
    """A connection that stays open until the test ends."""

    def __init__(self, small_window=False):
        self.socket = socket.socket()
        if small_window:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.settimeout(SEND_S)
        self.socket.connect(("127.0.0.1", HOST_PORT))

    def send(self, *parts):
        """Sends the parts, unless the host refuses them or closes."""
        end = time.monotonic() + SEND_S
        try:
            for part in parts:
                if time.monotonic() > end:
                    return
                self.socket.sendall(part)
        except OSError:
            pass


def chunked(body_bytes, chunk_bytes):
    """Bodies as pieces of some chunks each."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    block = chunk * max(1, 65536 // chunk_bytes)
    return [block] * (body_bytes // (chunk_bytes * max(1, 65536 // chunk_bytes)))


def send_chunked(i, client):
    pieces = chunked(BODY_BYTES - 65536, 8 if i % 3 == 0 else 65536)
    end = [b"0\r\n\r\n"] if i % 8 == 7 else [b"10\r\nxxx"]
    client.send(head("POST", "/sweep/a") + b"Transfer-Encoding: chunked\r\n\r\n",
                *pieces, *end)


def send_oversized(i, client):
    if i % 2 == 0:
        framing = f"Content-Length: {ANNOUNCED_BYTES}\r\n\r\n".encode()
        client.send(head("POST", "/sweep/a") + framing, *[b"x" * 65536] * (FAR_OVER_BYTES >> 16))
    else:
        client.send(head("POST", "/sweep/a") + b"Transfer-Encoding: chunked\r\n\r\n",
                    *chunked(FAR_OVER_BYTES, 65536))


def read_slowly(_, client):
    client.send(head("GET", "/report/a") + b"\r\n")


def crowd(count, act, small_window=False):
    clients = [Client(small_window) for _ in range(count)]
    threads = [threading.Thread(target=act, args=(i, c)) for i, c in enumerate(clients)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    time.sleep(SETTLE_S)
    return clients


def run_test(args, deployment):
    if args.test == "descriptors":
        deployment.run(limit=FEW_DESCRIPTORS)
        clients = [Client() for _ in range(IDLE_CONNECTIONS)]
        time.sleep(SETTLE_S)
        for c in clients:
            c.socket.close()
    else:
        deployment.run()
        wait_for(deployment.largest_request, START_S, "the largest request in calm")
        act = {"chunked_bodies": send_chunked, "oversized_bodies": send_oversized,
               "slow_readers": read_slowly}[args.test]
        readers = args.test == "slow_readers"
        clients = crowd(READERS if readers else CLIENTS, act, small_window=readers)
    answered = True
    try:
        wait_for(lambda: deployment.host.poll() is not None or deployment.ordinary_request(),
                 ANSWER_S, "an ordinary request")
    except Failure:
        answered = False
    lives = deployment.host.poll() is None
    result = {"test": args.test, "interface": args.interface, "lives": lives,
              "answered": answered and lives, "connections": len(clients),
              "memory_mb": round(deployment.memory_mb(), 1) if lives else None,
              "memory_bound_mb": MEMORY_MB,
              "descriptors": deployment.descriptors() if lives else None,
              "descriptors_bound": MAX_DESCRIPTORS}
    result["ok"] = bool(result["answered"] and result["memory_mb"] <= MEMORY_MB
                        and result["descriptors"] <= MAX_DESCRIPTORS)
    return result


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--test", required=True,
                        choices=["chunked_bodies", "oversized_bodies", "slow_readers",
                                 "descriptors"])
    parser.add_argument("--interface", default="relay", choices=["relay", "query"])
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(args, folder)
        try:
            result = run_test(args, deployment)
        except Failure as failure:
            result = {"test": args.test, "interface": args.interface, "ok": False,
                      "error": str(failure)}
        finally:
            deployment.stop()
        if not result["ok"]:
            for name in sorted(os.listdir(folder)):
                if name.endswith(".log"):
                    with open(os.path.join(folder, name), errors="replace") as log:
                        sys.stderr.write("".join(log.readlines()[-5:]))
    print(json.dumps(result))
    return 0 if result["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
