"""Processes of the product on loopback with lowered limits, and what the checks measure of them."""
import asyncio
import hashlib
import json
import os
import pathlib
import resource
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))

from http11 import Server, read_message  # noqa: E402
from store import Store  # noqa: E402

BIN = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")).resolve() / "src"
MEMORY_LIMIT_BYTES = 192 << 20
DESCRIPTOR_LIMIT = 300
# The process keeps so many descriptors free for itself.
FREE_DESCRIPTORS = 16
REQUEST_TIMEOUT_S = 30.0
LARGE_ANSWER_BYTES = 4 << 20
START_TIMEOUT_S = 40.0
SAMPLE_INTERVAL_S = 0.02
SETTLE_TIMEOUT_S = 10.0
SETTLE_INTERVAL_S = 0.25
IDLE_TICKS = 2
# Of this run only, so that runs can be played at the same time.
HOST = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.9"


def lower_limits():
    resource.setrlimit(resource.RLIMIT_DATA, (MEMORY_LIMIT_BYTES, MEMORY_LIMIT_BYTES))
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))


class Process:
    """A process of the product with the lowered limits, whose open descriptors are counted all the while."""

    def __init__(self, settings):
        self.folder = tempfile.TemporaryDirectory(prefix="oleanderwick-clients-")
        path = pathlib.Path(self.folder.name) / "settings.yaml"
        path.write_text(settings)
        self.log_path = path.with_suffix(".log")
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen([BIN / "oleanderwickd", "--config", path], stdout=log, stderr=log, preexec_fn=lower_limits)
        self.most_descriptors = 0
        self.sampler = asyncio.ensure_future(self._sample())

    async def _sample(self):
        while self.lives():
            self.most_descriptors = max(self.most_descriptors, self.open_descriptors())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def lives(self):
        return self.process.poll() is None

    def open_descriptors(self):
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    def allow_descriptors(self, count):
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (count, DESCRIPTOR_LIMIT))

    def peak_memory_bytes(self):
        """Peak of the resident memory; 0 for a process that has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        return next((int(line.split()[1]) << 10 for line in status.splitlines() if line.startswith("VmHWM:")), 0)

    def _processor_ticks(self):
        try:
            fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            return 0
        return int(fields[11]) + int(fields[12])

    async def settle(self):
        """Waits until the process has handled what it has received, so that it is nearly idle; at most 10 s."""
        for _ in range(int(SETTLE_TIMEOUT_S / SETTLE_INTERVAL_S)):
            before = self._processor_ticks()
            await asyncio.sleep(SETTLE_INTERVAL_S)
            if self._processor_ticks() - before <= IDLE_TICKS:
                return

    def log(self):
        return self.log_path.read_text(errors="replace")

    async def stop(self):
        self.sampler.cancel()
        self.process.kill()
        self.process.wait()
        self.folder.cleanup()


class AnswerServer(Server):
    """A stub that answers properly, or with `answer` while that is set: `answer(writer)` writes the whole answer to one request."""

    def __init__(self, handle):
        super().__init__(HOST, 0, handle)
        self.answer = None

    async def _serve(self, reader, writer):
        if self.answer is None:
            await super()._serve(reader, writer)
            return
        self.connections.add(writer)
        try:
            await read_message(reader)
            await self.answer(writer)
            await asyncio.sleep(REQUEST_TIMEOUT_S)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def use(self, answer):
        """Answers in another way from now on, also on connections that are open."""
        self.answer = answer
        self.drop_connections()


async def wait_until(condition, what):
    async def poll():
        while not await condition():
            await asyncio.sleep(0.05)

    try:
        await asyncio.wait_for(poll(), START_TIMEOUT_S)
    except asyncio.TimeoutError:
        raise RuntimeError("timed out: " + what) from None


async def exchange(address, path, headers=b"", method="GET", body=b""):
    """Sends one request, whose response ends with its connection; returns all of the response, empty without one."""
    try:
        reader, writer = await asyncio.open_connection(*address)
        head = f"{method} {path} HTTP/1.1\r\nHost: clients.example\r\nConnection: close\r\nContent-Length: {len(body)}\r\n".encode()
        writer.write(head + headers + b"\r\n" + body)
        reply = await asyncio.wait_for(reader.read(), REQUEST_TIMEOUT_S)
        writer.close()
        return reply
    except (OSError, asyncio.TimeoutError):
        return b""


async def text_request(*arguments):
    """Sends one request like `exchange`; returns the status, or None without a response."""
    reply = await exchange(*arguments)
    return int(reply.split(b" ")[1]) if reply else None


class PlatformNode:
    """A node on a stub of the platform's store."""

    LISTENERS = {"callers": ((HOST, 18340), "/a/0123456789abcdef"), "readiness": ((HOST, 18343), "/v1/ready"), "internal": ((HOST, 17000), "/metrics")}

    def __init__(self):
        self.store = Store()
        self.store_server = AnswerServer(self.store.handle)
        self.jobs = 0
        self.process = None

    async def start(self, extra_settings="", workers=()):
        await self.store_server.start()
        await self.store.put("op/config", {
            "version": 1,
            "routes": [{"name": "queue", "host": "clients.example", "prefix": "/a/", "service": "pool", "max_attempts": 3, "stretch": 1.5, "slo_ms": 600}],
            "services": [{"name": "pool", "enforce_capacity": True}],
            "tenants": [{"name": "team", "api_keys": ["key-1"], "weight": 1, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]})
        for number, port in enumerate(workers):
            await self.store.put(f"servers/w{number}", {
                "service": "pool", "address": f"{HOST}:{port}", "zone": "z", "version": "1", "slots": 8, "state": "ready", "seq": 1, "born": 1,
                "capacity": {"cpu": 8000, "mem_mb": 32000}, "labels": ["plain"]})
        addresses = "".join(f"  {name}: {host}:{port}\n" for name, ((host, port), _) in self.LISTENERS.items())
        self.process = Process(f"scheduler:\n  node: node-0\n  zone: z\n{addresses}  store: {HOST}:{self.store_server.port}\n{extra_settings}")
        await wait_until(self.is_ready, "the node is ready")

    async def is_ready(self):
        return await self.ordinary_request("callers") == 200

    async def ordinary_request(self, listener):
        """Sends an ordinary request to a listener; returns its status, 200 if it was served."""
        address, path = self.LISTENERS[listener]
        if listener != "callers":
            return await text_request(address, path)
        self.jobs += 1
        job = {"spec": "work", "steps": [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 100}]}
        return await text_request(address, f"/a/{self.jobs:016x}", b"Api-Key: key-1\r\n", "POST", json.dumps(job).encode())

    async def stop(self):
        if self.process is not None:
            await self.process.stop()
        await self.store_server.stop()


class StandaloneNode:
    """A node with its own store in memory, or one on another address, and one instance."""

    LISTENERS = {"callers": ((HOST, 24600), "/q/queue/work"), "control": ((HOST, 24700), "/healthz")}
    OPERATOR_KEY = "operator-on-loopback"

    def __init__(self):
        self.instance = AnswerServer(self.serve_work)
        self.process = None

    async def serve_work(self, method, path, query, headers, body):
        return 200, {"work": "x" * LARGE_ANSWER_BYTES if path.endswith("/large") else "done"}

    async def start(self, store_port=None):
        await self.instance.start()
        (host, callers), (_, control) = (address for address, _ in self.LISTENERS.values())
        store = "kind: memory" if store_port is None else f"kind: platform\n  endpoints: ['{HOST}:{store_port}']"
        digest = hashlib.sha256(self.OPERATOR_KEY.encode()).hexdigest()
        self.process = Process(f"node: n0\nzone: a\ncallers: {host}:{callers}\ncontrol: {host}:{control}\nstore:\n  {store}\n"
                               f"operators:\n  - name: clients\n    keyHash: {digest}\n")
        await wait_until(self.is_up, "the node answers")
        if store_port is None:
            await wait_until(self.configure, "the configuration is accepted")
            await wait_until(self.serves, "the node serves")

    async def is_up(self):
        return await self.ordinary_request("control") == 200

    async def serves(self):
        return await self.ordinary_request("callers") == 200

    async def configure(self):
        document = {"pools": {"pool": {}}, "queues": {"queue": {"pool": "pool", "open": True}},
                    "instances": {"i0": {"pool": "pool", "address": f"{HOST}:{self.instance.port}", "zone": "a", "rack": "r", "slots": 64}}}
        headers = f"Authorization: Bearer {self.OPERATOR_KEY}\r\nIf-Match: \"0\"\r\nContent-Type: application/merge-patch+json\r\n"
        return await text_request(self.LISTENERS["control"][0], "/v1/config", headers.encode(), "PATCH", json.dumps(document).encode()) == 200

    async def ordinary_request(self, listener):
        """Sends an ordinary request to a listener; returns its status, 200 if it was served."""
        return await text_request(*self.LISTENERS[listener])

    async def stop(self):
        if self.process is not None:
            await self.process.stop()
        await self.instance.stop()
