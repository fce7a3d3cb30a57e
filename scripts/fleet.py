"""Starts a small fleet of processes on loopback and sends requests to it; used by the demo, the drills and the measurements."""
import concurrent.futures
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")) / "src"
OPERATOR_SECRET = "operator-on-loopback"
CLUSTER_SECRET = "cluster-secret-on-loopback"
STORE_PORT = 24790
UPSTREAM_PORT = 24800
CALLER_PORT = 24600
PLATFORM_PORT = 24780
CONTROL_PORT = 24700


def call(port, method, path, body=None, headers=None, timeout=10.0):
    """Sends one request on a new connection; returns status, headers with lower-case names, and body. Raises OSError or HTTPException on failure."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, response.read()
    finally:
        connection.close()


class Fleet:
    """The stubs of the store, the platform and the upstreams, and the nodes."""

    def __init__(self, nodes=3, upstreams=4, delay_ms=20, zones=("a", "b", "c"), slots=8, balancer_delay_ms=300):
        self.zones = zones
        self.node_count = nodes
        self.upstream_count = upstreams
        self.delay_ms = delay_ms
        self.slots = slots
        self.balancer_delay_ms = balancer_delay_ms
        self.store = None
        self.platform = None
        self.upstreams = {}
        self.nodes = {}
        self.keys = {}
        self.folder = tempfile.TemporaryDirectory(prefix="oleanderwick-")

    def __enter__(self):
        try:
            self.start_store()
            self.platform = subprocess.Popen([BIN / "oleanderwick-platformstub", "--listen", f"127.0.0.1:{PLATFORM_PORT}", "--reboot-ms", "400"])
            for index in range(self.upstream_count):
                self.start_upstream(index)
            for index in range(self.node_count):
                self.start_node(index)
            self.wait(lambda: all(self.alive(i) for i in range(self.node_count)), "nodes answer")
        except BaseException:
            self.stop_all()
            raise
        return self

    def __exit__(self, *_):
        self.stop_all()

    # Processes.

    def start_store(self):
        self.store = subprocess.Popen([BIN / "oleanderwick-storestub", "--port", str(STORE_PORT)])

    def start_upstream(self, index):
        command = [BIN / "oleanderwick-upstreamstub", "--listen", f"127.0.0.1:{UPSTREAM_PORT + index}",
                   "--name", f"u{index}", "--delay-ms", str(self.delay_ms)]
        self.upstreams[index] = subprocess.Popen(command)

    def settings(self, index):
        digest = subprocess.run([BIN / "oleanderwick", "key", "hash"], input=OPERATOR_SECRET + "\n", text=True,
                                capture_output=True, check=True).stdout.strip()
        peers = [f"127.0.0.1:{CONTROL_PORT + other}" for other in range(self.node_count) if other != index]
        lines = [f"node: n{index}", f"zone: {self.zones[index % len(self.zones)]}",
                 f"callers: 127.0.0.1:{CALLER_PORT + index}", f"control: 127.0.0.1:{CONTROL_PORT + index}",
                 "store:", "  kind: platform", f"  endpoints: ['127.0.0.1:{STORE_PORT}']",
                 f"platform: 127.0.0.1:{PLATFORM_PORT}", f"peers: {json.dumps(peers)}", f"clusterSecret: {CLUSTER_SECRET}",
                 "operators:", "  - name: demo", f"    keyHash: {digest}",
                 "limits:", f"  balancerDelayMs: {self.balancer_delay_ms}"]
        return "\n".join(lines) + "\n"

    def start_node(self, index):
        path = pathlib.Path(self.folder.name) / f"n{index}.yaml"
        path.write_text(self.settings(index))
        log = open(pathlib.Path(self.folder.name) / f"n{index}.log", "ab")
        self.nodes[index] = subprocess.Popen([BIN / "oleanderwickd", "--config", path], stdout=log, stderr=log)

    def stop_node(self, index, timeout=30.0):
        """Sends SIGTERM to a node and waits for its exit; returns the seconds until then. Raises if the exit code is not 0."""
        started = time.monotonic()
        process = self.nodes.pop(index)
        process.send_signal(signal.SIGTERM)
        code = process.wait(timeout)
        if code != 0:
            raise RuntimeError(f"node {index} exited with code {code}")
        return time.monotonic() - started

    def kill_node(self, index):
        process = self.nodes.pop(index)
        process.kill()
        process.wait()

    def report_exited(self):
        """Prints each node, upstream stub or store stub that exited unexpectedly, nodes with the last 2,000 characters of their logs."""
        for index, process in self.nodes.items():
            if process.poll() is not None:
                print(f"node {index} exited unexpectedly with code {process.returncode}:\n{self.log_of(index)[-2000:]}", file=sys.stderr)
        for name, process in [("store", self.store), *self.upstreams.items()]:
            if process is not None and process.poll() is not None:
                print(f"stub {name} exited unexpectedly with code {process.returncode}", file=sys.stderr)

    def stop_all(self):
        self.report_exited()
        processes = list(self.nodes.values()) + list(self.upstreams.values()) + [p for p in (self.store, self.platform) if p]
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in processes:
            process.wait()
        self.folder.cleanup()

    def log_of(self, index):
        return (pathlib.Path(self.folder.name) / f"n{index}.log").read_text()

    # Conditions.

    @staticmethod
    def wait(condition, description, timeout=15.0):
        """Polls a condition every 10 ms until it is true; returns the seconds until then. Raises after `timeout` s."""
        started = time.monotonic()
        while time.monotonic() - started < timeout:
            if condition():
                return time.monotonic() - started
            time.sleep(0.01)
        raise RuntimeError(f"timed out: {description}")

    def alive(self, index):
        try:
            return call(CONTROL_PORT + index, "GET", "/healthz")[0] == 200
        except OSError:
            return False

    def ready(self, index):
        try:
            return call(CONTROL_PORT + index, "GET", "/readyz")[0] == 200
        except OSError:
            return False

    # Operators.

    def operator(self, index, method, path, body=None, headers=None):
        merged = {"Authorization": f"Bearer {OPERATOR_SECRET}"}
        merged.update(headers or {})
        return call(CONTROL_PORT + index, method, path, body, merged)

    def version(self, index):
        return json.loads(self.operator(index, "GET", "/v1/status")[2])["version"]

    def patch(self, index, base, document, patch_id=None):
        headers = {"If-Match": f'"{base}"', "Content-Type": "application/merge-patch+json"}
        if patch_id:
            headers["Oleanderwick-Patch-Id"] = patch_id
        return self.operator(index, "PATCH", "/v1/config", json.dumps(document), headers)

    def patch_latest(self, index, document):
        """Patches the latest version of the configuration, again after a conflict; returns the new version."""
        for _ in range(20):
            status, _, body = self.patch(index, self.version(index), document)
            if status == 200:
                return json.loads(body)["version"]
            if status != 412:
                raise RuntimeError(f"patch: {status} {body}")
        raise RuntimeError("patch: 20 version conflicts in a row")

    def wait_in_force(self, version, timeout=15.0):
        """Waits until all nodes use `version` or a later one; returns the seconds until then."""
        return self.wait(lambda: all(self.version(i) >= version for i in self.nodes), f"version {version} in force", timeout)

    def instances(self, pool):
        return {f"u{i}": {"pool": pool, "address": f"127.0.0.1:{UPSTREAM_PORT + i}", "zone": self.zones[i % len(self.zones)],
                          "rack": f"r{i // 4}", "slots": self.slots} for i in range(self.upstream_count)}

    def add_key(self, team, name=None):
        result = subprocess.run([BIN / "oleanderwick", "-n", f"127.0.0.1:{CONTROL_PORT}", "-k", OPERATOR_SECRET, "key", "add", team, name or team],
                                text=True, capture_output=True, check=True)
        self.keys[team] = result.stdout.split("key (shown once): ")[1].strip()
        return self.keys[team]

    def withdraw_key(self, team, name=None, node=0):
        subprocess.run([BIN / "oleanderwick", "-n", f"127.0.0.1:{CONTROL_PORT + node}", "-k", OPERATOR_SECRET, "key", "withdraw", team, name or team],
                       text=True, capture_output=True, check=True)

    def zone(self, action, zone, node=0):
        """Runs `oleanderwick zone ACTION ZONE`; returns the exit code."""
        return subprocess.run([BIN / "oleanderwick", "-n", f"127.0.0.1:{CONTROL_PORT + node}", "-k", OPERATOR_SECRET, "zone", action, zone],
                              text=True, capture_output=True, check=False).returncode

    def store_faults(self, **faults):
        call(STORE_PORT, "POST", "/stub/faults", json.dumps(faults))

    def store_counts(self):
        return json.loads(call(STORE_PORT, "GET", "/stub/counts")[2])

    def platform_list(self):
        return json.loads(call(PLATFORM_PORT, "GET", "/v1/instances")[2])

    def set_health(self, health_by_instance):
        call(PLATFORM_PORT, "POST", "/stub/instances", json.dumps(health_by_instance))

    def waves(self, index=0):
        return json.loads(self.operator(index, "GET", "/v1/waves")[2])

    def upstream_counts(self):
        counts = [json.loads(call(UPSTREAM_PORT + i, "GET", "/stub/counts")[2]) for i in self.upstreams]
        return {key: sum(entry[key] for entry in counts) for key in ("runs", "twice", "peak")}

    # Callers.

    def send(self, index, queue, key=None, method="GET", body=None, path="/work", timeout=10.0):
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        return call(CALLER_PORT + index, method, f"/q/{queue}{path}", body, headers, timeout)


class Load:
    """Callers that send requests over persistent connections until stopped; `counts` has the number of responses by outcome.

    An outcome is whole (the complete response to this request), wrong (status 200 without the line of this request), cut (connection
    broken or response malformed), or another status with the outcome that the node reports.
    """

    def __init__(self, fleet, queue, key, callers, method="GET", nodes=None):
        self.fleet = fleet
        self.queue = queue
        self.key = key
        self.method = method
        self.nodes = nodes
        self.counts = {}
        self.errors = []
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(callers)
        self._futures = [self._pool.submit(self._run, number) for number in range(callers)]

    def stop(self):
        self._stop.set()
        for future in self._futures:
            future.result()
        self._pool.shutdown()
        return self.counts

    def total(self):
        return sum(self.counts.values())

    def _count(self, outcome):
        with self._lock:
            self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def _pick_node(self, number):
        # Like a load balancer, uses only nodes whose readiness check succeeds.
        candidates = self.nodes if self.nodes is not None else [i for i in list(self.fleet.nodes) if self.fleet.ready(i)]
        return candidates[number % len(candidates)] if candidates else None

    def _run(self, number):
        connection = None
        sequence = 0
        while not self._stop.is_set():
            if connection is None:
                index = self._pick_node(number + sequence)
                if index is None:
                    time.sleep(0.02)
                    continue
                connection = http.client.HTTPConnection("127.0.0.1", CALLER_PORT + index, timeout=20)
            sequence += 1
            path = f"/work/{number}/{sequence}"
            connection = self._send(connection, path)

    def _send(self, connection, path):
        try:
            headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
            connection.request(self.method, f"/q/{self.queue}{path}", headers=headers)
            response = connection.getresponse()
            body = response.read()
        except OSError as error:
            self._count("cut")
            self.errors.append(repr(error))
            connection.close()
            return None
        except http.client.HTTPException as error:
            self._count("cut")
            self.errors.append(repr(error))
            connection.close()
            return None
        if response.status == 200:
            whole = f" {self.method} {path}\n".encode() in body
            self._count("whole" if whole else "wrong")
        else:
            outcome = json.loads(body).get("outcome", "?") if body else "?"
            self._count(f"{response.status} {outcome}")
        if response.getheader("Connection", "").lower() == "close":
            connection.close()
            return None
        return connection
