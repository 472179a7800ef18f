"""Backend servers reject some long requests before the body is in, and read on later."""

import os
import random
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import platform_standin as standin  # noqa: E402  pylint: disable=wrong-import-position

SERVICE = "kafi81c"
SERVERS = 2
# As `kinds` has it: a share of .5 of the servers spoil .02 of their answers, for 5 s.
EARLY_SERVERS = 1
EARLY_SHARE = 0.04
EARLY_FROM_S = (2.0, 9.0)
EARLY_FOR_S = 5.0
LENGTH_S = 16.0
READ_ON_AFTER_S = 0.3
LONG_BODY = 1_000_000  # max_body_bytes is 1 MiB
CLIENTS = 12


def body_of(request_id):
    line = f"<{request_id}>".encode()
    return (line * (LONG_BODY // len(line) + 1))[:LONG_BODY]


class Backend:
    """A backend server on a link with segments of Ethernet's size and a small window."""

    def __init__(self, index, record, early):
        self.id = f"i-{index:08x}"
        self.record = record
        self.early = early  # returns whether a long request is rejected early
        self.wrong = []
        self.early_count = 0
        self.run_count = 0
        self.server = standin.Server(self.handle, self.setup)
        self.port = self.server.port

    @staticmethod
    def setup(listener):
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)

    def handle(self, sock):
        reader = standin.Reader(sock)
        while True:
            line, headers = reader.head()
            size = int(headers.get("content-length", 0))
            request_id = headers.get("request-id", "")
            if not request_id or len(line.split(" ")) != 3:
                self.wrong.append(f"{self.id}: bytes that are no request: {line[:60]!r}")
                self.record.line("server " + self.wrong[-1])
                return
            early = size > 65536 and self.early(self)
            if early:
                self.early_count += 1
                self.record.line(f"server {self.id} rejects {request_id} before its body is in")
                sock.sendall(standin.encode("503 Service Unavailable", {
                    "Request-Id": request_id, "Not-Executed": "1"}))
                time.sleep(READ_ON_AFTER_S)
            body = reader.exactly(size)
            if size > 0:
                self.check(request_id, body, early)
            if early:
                continue
            time.sleep(0.015)
            self.run_count += 1
            self.record.line(f"server {self.id} ran {request_id}")
            sock.sendall(standin.encode("200 OK", {
                "Request-Id": request_id, "Response-Seal": standin.SIGNATURE},
                f"answer to {request_id}".encode()))

    def check(self, request_id, body, early):
        expected = body_of(request_id)
        if body == expected:
            return
        at = next((i for i, (a, b) in enumerate(zip(body, expected)) if a != b), len(body))
        self.wrong.append(
            f"{self.id}: {request_id}, {'rejected early' if early else 'run'}: byte {at} of "
            f"{len(expected)} differs, there stands {body[at:at + 48]!r}")
        self.record.line("server " + self.wrong[-1])


def case(trouble, folder, record):
    rng = random.Random(1)
    start = time.monotonic()

    def early(backend):
        elapsed = time.monotonic() - start
        return (trouble and backend in backends[:EARLY_SERVERS]
                and any(at <= elapsed < at + EARLY_FOR_S for at in EARLY_FROM_S)
                and rng.random() < EARLY_SHARE)

    store = standin.Store()
    backends = [Backend(i, record, early) for i in range(SERVERS)]
    for b in backends:
        store.put(f"servers/{b.id}", standin.entry(SERVICE, b.port))
    store.put("op/config", standin.config(
        7, [standin.route("r-1", "/goka902/", SERVICE)], [standin.service(SERVICE)],
        max_body_bytes=1 << 20))
    host = standin.Host(store.port, folder)
    try:
        host.wait_ready()
        start = time.monotonic()
        statuses = {}

        def run(number):
            client = standin.Client(host.port)
            count = 0
            while time.monotonic() - start < LENGTH_S:
                count += 1
                request_id = f"{number:04x}{count:08x}"
                long = count % 3 == 0
                answer = client.request("PUT" if long else "GET", "/goka902/2f", request_id,
                                        body_of(request_id) if long else None)
                status = answer[0] if answer else "none"
                record.line(f"client {request_id} {'PUT' if long else 'GET'}: {status}")
                statuses[status] = statuses.get(status, 0) + 1
                time.sleep(0.02)

        threads = [threading.Thread(target=run, args=(i,)) for i in range(CLIENTS)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
    finally:
        host.stop()
    wrong = [w for b in backends for w in b.wrong]
    record.line(f"answers by status: {statuses}; run: {sum(b.run_count for b in backends)}; "
                f"rejected early: {sum(b.early_count for b in backends)}; wrong: {len(wrong)}")
    if statuses.get(200, 0) < 100:
        raise RuntimeError(f"too few requests were served: {statuses}")
    return f"{len(wrong)} times; first: {wrong[0]}" if wrong else ""


standin.run_case(case, HERE)
