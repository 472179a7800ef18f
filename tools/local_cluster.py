"""Runs a cluster of real processes on loopback for the benchmarks.

    with LocalCluster(build, topology_file, hosts=8) as cluster:
        cluster.control_backends({"action": "set", "set": {"straggle": 0.05}})
        print(cluster.load(service="alerta-colapso", rate=100, seconds=5))
        print(cluster.backend_stats())

All processes are stopped when the block ends.
"""

import json
import os
import re
import signal
import subprocess
import tempfile
import time
import urllib.request

STORE_PORT = 18000
CONTROL_PORT = 18001
HOST_PORT = 18010  # host i uses HOST_PORT + 10 * i and the two after it
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def http(port, path, body=None, token=None, timeout=10):
    """Sends one HTTP request on loopback; returns the response's body.

    The method is POST with a body and GET without.
    """
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}")
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    data = None if body is None else json.dumps(body).encode()
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(request, data, timeout) as reply:
        return reply.read().decode()


def data_centres(topology_file):
    """(name, region) of the data centres in a file written by make_examples.py."""
    return re.findall(r"- \{name: ([^,}]+), region: ([^}]+)\}",
                      open(topology_file).read())


class LocalCluster:
    """A store, backend servers and hosts, as a context manager."""

    TOKEN = "bench-token"

    def __init__(self, build, topology_file, hosts=1, threads=1, service_us=2000,
                 cold=False, settings=None, ready=True):
        self.build, self.topology_file, self.hosts = build, topology_file, hosts
        self.threads, self.service_us, self.cold = threads, service_us, cold
        self.settings = settings or {}
        self.apply_on_start = ready
        self.work_dir = tempfile.mkdtemp(prefix="cluster-")
        self.processes = {}

    # ---- Processes -------------------------------------------------------

    def spawn(self, name, *arguments):
        log = open(f"{self.work_dir}/{name}.log", "a")
        self.processes[name] = subprocess.Popen(
            [f"{self.build}/{arguments[0]}", *map(str, arguments[1:])],
            stderr=log, stdout=log)

    def port(self, host):
        return HOST_PORT + 10 * host

    def host_settings(self, host):
        places = data_centres(self.topology_file)
        name, region = places[host % len(places)]
        port = self.port(host)
        seeds = [f"127.0.0.1:{self.port(i) + 1}" for i in range(min(3, self.hosts))]
        lines = {"name": f"entry-{host}", "data_centre": name, "region": region,
                 "callers": f"127.0.0.1:{port}", "peers": f"127.0.0.1:{port + 1}",
                 "admin": f"127.0.0.1:{port + 2}",
                 "store": f"127.0.0.1:{STORE_PORT}", "seeds": seeds,
                 "threads": self.threads, "log_level": "warning",
                 "admin_token_file": f"{self.work_dir}/token",
                 "peer_secret_file": f"{self.work_dir}/secret", **self.settings}
        path = f"{self.work_dir}/entry-{host}.yaml"
        with open(path, "w") as out:
            for key, value in lines.items():
                out.write(f"{key}: {json.dumps(value)}\n")
        return path

    def start_host(self, host):
        self.spawn(f"entry-{host}", "baobabtrayd", "--settings",
                   self.host_settings(host))

    def stop_host(self, host, kill=False, wait=True):
        process = self.processes[f"entry-{host}"]
        process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
        if wait:
            process.wait()

    def signal_host(self, host, number):
        self.processes[f"entry-{host}"].send_signal(number)

    def __enter__(self):
        for name in ("token", "secret"):
            with open(f"{self.work_dir}/{name}", "w") as out:
                out.write(self.TOKEN + "\n")
        try:
            self.spawn("store", "standin_store", "--listen",
                       f"127.0.0.1:{STORE_PORT}")
            cold = ["--cold"] if self.cold else []
            self.spawn("backends", "standin_backends", "--text", self.topology_file,
                       "--control", f"127.0.0.1:{CONTROL_PORT}", "--service-us",
                       self.service_us, *cold)
            self.wait_for(lambda: http(STORE_PORT, "/ledger"))
            self.wait_for(lambda: http(CONTROL_PORT, "/ledger"))
            for host in range(self.hosts):
                self.start_host(host)
            for host in range(self.hosts):
                self.wait_for(lambda: http(self.port(host) + 2, "/live"))
            if self.apply_on_start:
                self.apply()
                self.await_ready()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc):
        self.stop()

    def stop(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    @staticmethod
    def wait_for(check, seconds=30):
        end = time.time() + seconds
        while True:
            try:
                result = check()
                if result:
                    return result
            except OSError:
                pass
            if time.time() > end:
                raise RuntimeError(f"condition not met within {seconds} s")
            time.sleep(0.05)

    def await_ready(self, hosts=None):
        for host in hosts or range(self.hosts):
            self.wait_for(lambda: http(self.port(host) + 2, "/ready"))

    # ---- Requests ----------------------------------------------------------

    def edit(self, host=0, **body):
        body = {"by": "bench", **body}
        try:
            return json.loads(http(self.port(host) + 2, "/v1/edit", body,
                                   self.TOKEN, timeout=70))
        except urllib.error.HTTPError as e:
            return json.loads(e.read().decode())

    def apply(self, topology_file=None, host=0):
        return self.edit(host, kind="apply",
                         text=open(topology_file or self.topology_file).read())

    def set_placement(self, kind, place_kind, name, host=0, **more):
        return self.edit(host, kind=kind, place_kind=place_kind, place=name,
                         **more)

    def admin_state(self, host=0):
        return json.loads(http(self.port(host) + 2, "/v1/state", None,
                               self.TOKEN))

    def metrics(self, host=0):
        """Values of metrics by name with labels, and sums of them by name."""
        values = {}
        for line in http(self.port(host) + 2, "/metrics").splitlines():
            if line.startswith("#"):
                continue
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
            bare = name.split("{")[0]
            if bare != name:
                values[bare] = values.get(bare, 0) + float(value)
        return values

    def control_backends(self, command):
        return json.loads(http(CONTROL_PORT, "/control", command))

    def backend_stats(self):
        return json.loads(http(CONTROL_PORT, "/ledger"))

    def execution_counts(self):
        return json.loads(http(CONTROL_PORT, "/runs", timeout=60))

    def control_store(self, command):
        return http(STORE_PORT, "/control", command)

    def store_stats(self):
        return json.loads(http(STORE_PORT, "/ledger"))

    def cpu_seconds(self, host=0):
        """Processor time used by a host's process since its start."""
        pid = self.processes[f"entry-{host}"].pid
        fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory_mb(self, host=0):
        pid = self.processes[f"entry-{host}"].pid
        for line in open(f"/proc/{pid}/status"):
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0

    def start_load(self, hosts=None, **options):
        """Starts a load process; finish_load reads its result.

        `options` are flags of the load program, with underscores for hyphens.
        """
        targets = ",".join(f"127.0.0.1:{self.port(h)}"
                           for h in (hosts or range(self.hosts)))
        arguments = [f"{self.build}/load", "--targets", targets]
        for key, value in options.items():
            flag = "--" + key.replace("_", "-")
            arguments += [flag] if value is True else [flag, str(value)]
        return subprocess.Popen(arguments, stdout=subprocess.PIPE,
                                stderr=subprocess.DEVNULL)

    @staticmethod
    def finish_load(process):
        out, _ = process.communicate(timeout=300)
        return json.loads(out)

    def load(self, **options):
        return self.finish_load(self.start_load(**options))
