"""A server's entry is removed while one of four hosts of a zone, the hub, is frozen."""

import json
import os
import signal
import sys
import threading
import time
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import platform_standin as standin  # noqa: E402  pylint: disable=wrong-import-position

SERVICE = "kafi81c"
HOSTS = 4
# The site's bound, and its longest freeze of one machine.
DRAIN_S = 3.0
FREEZE_S = 4.0
# stable_window_ms is 5,000: machines are in touch only after that.
CALM_S = 6.5
REMOVED_AFTER_S = 0.02
ROUNDS = 2


class Backend:
    """Serves on for many seconds after its entry was removed, as the pages allow."""

    def __init__(self, record):
        self.record = record
        self.arrivals = []  # (request id, time)
        self.server = standin.Server(self.handle)

    def handle(self, sock):
        reader = standin.Reader(sock)
        while True:
            _, headers = reader.head()
            reader.exactly(int(headers.get("content-length", 0)))
            request_id = headers["request-id"]
            self.arrivals.append((request_id, time.monotonic()))
            self.record.line(f"server runs {request_id}")
            time.sleep(0.005)
            sock.sendall(standin.encode("200 OK", {
                "Request-Id": request_id, "Response-Seal": standin.SIGNATURE}, b"answer"))


def hub_of(host):
    with urllib.request.urlopen(f"http://127.0.0.1:{host.admin}/store", timeout=2) as reply:
        return json.load(reply)["hub"]


def case(trouble, folder, record):
    store = standin.Store()
    store.put("op/config", standin.config(
        7, [standin.route("r-1", "/goka902/", SERVICE)], [standin.service(SERVICE)]))
    backend = Backend(record)
    hosts = {}
    late, served = [], 0
    try:
        for number in range(ROUNDS):
            name = f"i-{number}"
            store.put(f"servers/{name}", standin.entry(SERVICE, backend.server.port))
            for i in range(HOSTS if not hosts else 0):
                host_name = f"frontend-bogota-norte-{i + 1}"
                hosts[host_name] = standin.Host(store.port, folder, host_name)
            for host in hosts.values():
                host.wait_ready()
            time.sleep(CALM_S)
            hubs = {hub_of(h) for h in hosts.values()} - {""}
            record.line(f"round {number}: the others follow {sorted(hubs)}")
            if len(hubs) != 1:
                raise RuntimeError(f"not one hub: {hubs}")
            frozen = hosts[hubs.pop()]
            if trouble:
                frozen.process.send_signal(signal.SIGSTOP)
            time.sleep(REMOVED_AFTER_S)
            store.remove(f"servers/{name}")
            removed = time.monotonic()
            record.line(f"round {number}: the store has removed the server's entry")
            backend.arrivals.clear()

            def run(host, prefix, removed=removed):
                client = standin.Client(host.port)
                count = 0
                while time.monotonic() < removed + DRAIN_S + 2:
                    count += 1
                    answer = client.request("GET", "/goka902/2f", f"{prefix}{count:06x}")
                    record.line(f"client {prefix}{count:06x}: {answer[0] if answer else None}")
                    time.sleep(0.02)

            threads = [threading.Thread(target=run, args=(h, f"{number:02x}{i:04x}"))
                       for i, h in enumerate(hosts.values()) if h is not frozen]
            for t in threads:
                t.start()
            time.sleep(FREEZE_S)
            if trouble:
                frozen.process.send_signal(signal.SIGCONT)
            for t in threads:
                t.join()
            served += len(backend.arrivals)
            late += [at - removed for _, at in backend.arrivals if at > removed + DRAIN_S]
            last = max((at - removed for _, at in backend.arrivals), default=0)
            record.line(f"round {number}: the last request reached the server {last:.3f} s after "
                        f"its removal, {DRAIN_S} allowed")
    finally:
        for host in hosts.values():
            host.process.send_signal(signal.SIGCONT)
            host.process.kill()
        for host in hosts.values():
            host.stop()
    if served < 100:
        raise RuntimeError(f"too few requests were served: {served}")
    if not late:
        return ""
    return (f"{len(late)} requests reached the server later than {DRAIN_S} s after its removal, "
            f"the last after {max(late):.3f} s")


standin.run_case(case, HERE)
