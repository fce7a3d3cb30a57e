"""Plays clients and servers that do not behave against real processes: these live, keep their limits, and serve an ordinary request afterwards."""
import asyncio
import functools
import json
import re
import unittest

from answers import ANSWERS, silent
from crowds import CROWDS, Crowd, idle_connections
from processes import (DESCRIPTOR_LIMIT, FREE_DESCRIPTORS, MEMORY_LIMIT_BYTES, REQUEST_TIMEOUT_S, AnswerServer, PlatformNode, StandaloneNode, exchange,
                       text_request, wait_until)

WORKERS = 24
MANY_WORKERS = 140
CALLS = 60
JOBS = 140
WAITING_JOBS = 1000
JOBS_WITH_MANY_TASKS = 300
LARGE_LABEL_BYTES = 900_000
ANSWER_S = 4.0  # For so long a server gives its answers.
NO_MORE_DESCRIPTORS = 3  # Those of the standard streams, which stay open.
MAX_ACCEPT_FAILURES = 1000  # In that time.
PART_PAUSE_S = 0.01
# About the largest job that a client sends: the most steps, with all fields that take room.
LARGE_JOB = json.dumps({"spec": "x" * 4000, "steps": [
    {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 1000, "after": list(range(max(0, step - 80), step)), "requires": "label", "affinity": "rack",
     "image": "image"} for step in range(256)]}).encode()


def on_loop(test):
    """Runs an asynchronous test on a loop of its own, and does not wait for what the stubs still do when it is over."""

    @functools.wraps(test)
    def run(self):
        loop = asyncio.new_event_loop()
        try:
            loop.run_until_complete(test(self))
        finally:
            loop.close()

    return run


class LimitsTest(unittest.TestCase):
    """Base of the tests: a process that keeps its limits."""

    def check_limits(self, process):
        peak_memory_bytes = process.peak_memory_bytes()
        self.assertTrue(process.lives(), "the process ended: " + process.log()[-1000:])
        self.assertLess(peak_memory_bytes, MEMORY_LIMIT_BYTES)
        self.assertLessEqual(process.most_descriptors, DESCRIPTOR_LIMIT - FREE_DESCRIPTORS)

    async def play(self, node, listener, play_crowd):
        await node.start()
        crowd = Crowd(*node.LISTENERS[listener])
        try:
            await play_crowd(crowd)
            await node.process.settle()
            status = await node.ordinary_request(listener)
            self.check_limits(node.process)
            self.assertEqual(status, 200, "the ordinary request while the crowd is connected")
            await crowd.close()
            self.assertEqual(await node.ordinary_request(listener), 200, "the ordinary request after the crowd")
        finally:
            await crowd.close()
            await node.stop()


class ClientsOfPlatformNode(LimitsTest):
    @on_loop
    async def test_descriptors_used_up(self):
        """The process must not try to accept without a pause while it has no descriptors."""
        node = PlatformNode()
        try:
            await node.start()
            node.process.allow_descriptors(NO_MORE_DESCRIPTORS)
            call = asyncio.ensure_future(node.ordinary_request("callers"))
            await asyncio.sleep(ANSWER_S)
            node.process.allow_descriptors(DESCRIPTOR_LIMIT)
            self.assertEqual(await call, 200)
            metrics = (await exchange(node.LISTENERS["internal"][0], "/metrics")).decode()
            failures = re.search(r'refusals_total{listener="callers",reason="accept_failure"} (\d+)', metrics)
            self.assertIsNotNone(failures)
            self.assertGreater(int(failures[1]), 0)
            self.assertLess(int(failures[1]), MAX_ACCEPT_FAILURES)
            self.check_limits(node.process)
        finally:
            await node.stop()

    @on_loop
    async def test_callers_idle_connections_beside_many_workers(self):
        """Connections of clients must not take the descriptors that the node needs for its workers."""
        node, worker = PlatformNode(), AnswerServer(None)
        worker.use(silent)
        await worker.start()
        crowd = Crowd(*node.LISTENERS["callers"])
        try:
            await node.start(workers=[worker.port] * MANY_WORKERS)
            await asyncio.sleep(ANSWER_S)
            await idle_connections(crowd)
            await asyncio.sleep(ANSWER_S)
            self.check_limits(node.process)
            self.assertEqual(await node.ordinary_request("callers"), 200)
        finally:
            await crowd.close()
            await node.stop()
            await worker.stop()

    @on_loop
    async def test_callers_largest_usual_job(self):
        """A job of the largest usual size is served in calm, however it is sent."""
        node = PlatformNode()
        head = b"Host: clients.example\r\nApi-Key: key-1\r\nConnection: close\r\n"
        parts = [LARGE_JOB[start:start + 1000] for start in range(0, len(LARGE_JOB), 1000)]
        chunks = [f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts]
        ways = {
            "with its length": [f"Content-Length: {len(LARGE_JOB)}\r\n\r\n".encode(), LARGE_JOB],
            "slowly": [f"Content-Length: {len(LARGE_JOB)}\r\n\r\n".encode(), *parts],
            "chunked, with a trailer": [b"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", *chunks, b"0\r\nX-Sum: 1\r\n\r\n"],
            "after 100 Continue": [f"Expect: 100-continue\r\nContent-Length: {len(LARGE_JOB)}\r\n\r\n".encode(), LARGE_JOB],
        }
        try:
            await node.start()
            for number, (way, texts) in enumerate(ways.items()):
                reader, writer = await asyncio.open_connection(*node.LISTENERS["callers"][0])
                writer.write(f"POST /a/{1000 + number:016x} HTTP/1.1\r\n".encode() + head)
                for text in texts:
                    writer.write(text)
                    await writer.drain()
                    await asyncio.sleep(PART_PAUSE_S)
                reply = await asyncio.wait_for(reader.read(), REQUEST_TIMEOUT_S)
                writer.close()
                self.assertIn(b"HTTP/1.1 200", reply, way)
            self.check_limits(node.process)
        finally:
            await node.stop()

    @on_loop
    async def test_callers_large_jobs_while_the_store_is_silent(self):
        """Jobs that wait until the store has them must not fill the memory."""
        node = PlatformNode()
        job = json.dumps({"spec": "work", "steps": [{"count": 1, "cpu": 100, "mem_mb": 10, "requires": "x" * LARGE_LABEL_BYTES}]}).encode()
        try:
            await node.start()
            node.store.mode = "silent"
            address, _ = node.LISTENERS["callers"]
            headers = b"Api-Key: key-1\r\nX-Deadline-Ms: 60000\r\n"
            calls = [asyncio.ensure_future(text_request(address, f"/a/{number:016x}", headers, "POST", job)) for number in range(1000, 1000 + JOBS)]
            await asyncio.sleep(ANSWER_S)
            self.check_limits(node.process)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            node.store.mode = "serves"
            node.store_server.drop_connections()
            await wait_until(node.is_ready, "an ordinary request is served")
            self.check_limits(node.process)
        finally:
            await node.stop()


    @on_loop
    async def test_callers_jobs_with_many_tasks(self):
        """The tasks of short jobs that are accepted and wait must not fill the owner's memory."""
        node = PlatformNode()
        job = json.dumps({"spec": "x", "steps": [{"count": 10_000, "cpu": 100, "mem_mb": 10, "estimate_ms": 1000}]}).encode()
        try:
            await node.start()
            address, _ = node.LISTENERS["callers"]
            for first in range(0, JOBS_WITH_MANY_TASKS, 10):
                await asyncio.gather(*(text_request(address, f"/a/{number:016x}", b"Api-Key: key-1\r\n", "POST", job)
                                       for number in range(1000 + first, 1010 + first)))
            await asyncio.sleep(ANSWER_S)
            status = await node.ordinary_request("callers")
            self.check_limits(node.process)
            self.assertEqual(status, 200)
        finally:
            await node.stop()


class ClientsOfStandaloneNode(LimitsTest):
    @on_loop
    async def test_callers_large_answers_unread(self):
        """Answers that nobody reads must not fill the memory."""
        async def ask(crowd):
            await crowd.send(CALLS, b"GET /q/queue/large HTTP/1.1\r\nHost: clients.example\r\n\r\n")

        await self.play(StandaloneNode(), "callers", ask)


def add_crowds(test_class, node_class):
    """Adds a test for each crowd on each listener of a product."""
    for listener in node_class.LISTENERS:
        for name, play_crowd in CROWDS.items():
            async def test(self, listener=listener, play_crowd=play_crowd):
                await self.play(node_class(), listener, play_crowd)
            setattr(test_class, f"test_{listener}_{name}", on_loop(test))


add_crowds(ClientsOfPlatformNode, PlatformNode)
add_crowds(ClientsOfStandaloneNode, StandaloneNode)


class KnownRed(LimitsTest):
    """Tests that fail for faults listed in KNOWN-RED.txt; not run by CI."""

    @on_loop
    async def test_callers_many_large_jobs(self):
        """Jobs of the largest usual size that are accepted and wait fill the owner's memory."""
        node = PlatformNode()
        try:
            await node.start()
            address, _ = node.LISTENERS["callers"]
            for first in range(0, WAITING_JOBS, 10):
                await asyncio.gather(*(text_request(address, f"/a/{number:016x}", b"Api-Key: key-1\r\n", "POST", LARGE_JOB)
                                       for number in range(1000 + first, 1010 + first)))
                self.check_limits(node.process)
            self.assertIn(await node.ordinary_request("callers"), (200, 429, 503))
        finally:
            await node.stop()


class ServersOfPlatformNode(LimitsTest):
    """Answers of workers, the store and the instance service."""

    async def check_workers(self, answer):
        node, worker = PlatformNode(), AnswerServer(None)
        worker.use(answer)
        await worker.start()
        try:
            await node.start(workers=[worker.port] * WORKERS)
            await asyncio.sleep(ANSWER_S)
            self.check_limits(node.process)
            self.assertEqual(await node.ordinary_request("callers"), 200)
        finally:
            await node.stop()
            await worker.stop()

    async def check_store(self, answer):
        node = PlatformNode()
        try:
            await node.start()
            node.store_server.use(answer)
            await asyncio.sleep(ANSWER_S)
            self.check_limits(node.process)
            node.store_server.use(None)
            await wait_until(node.is_ready, "an ordinary request is served")
            self.check_limits(node.process)
        finally:
            await node.stop()

    async def check_instances(self, answer):
        node, service = PlatformNode(), AnswerServer(None)
        service.use(answer)
        await service.start()
        try:
            await node.start(f"  instances: {service.host}:{service.port}\n")
            await asyncio.sleep(ANSWER_S)
            self.check_limits(node.process)
            self.assertEqual(await node.ordinary_request("callers"), 200)
        finally:
            await node.stop()
            await service.stop()


class ServersOfStandaloneNode(LimitsTest):
    """Answers of instances and of the store."""

    async def check_instance(self, answer):
        node = StandaloneNode()
        try:
            await node.start()
            node.instance.use(answer)
            address, path = node.LISTENERS["callers"]
            calls = [asyncio.ensure_future(text_request(address, path)) for _ in range(CALLS)]
            await asyncio.sleep(ANSWER_S)
            self.check_limits(node.process)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            node.instance.use(None)
            await wait_until(node.serves, "an ordinary request is served")
            self.check_limits(node.process)
        finally:
            await node.stop()

    async def check_store(self, answer):
        node, store = StandaloneNode(), AnswerServer(None)
        store.use(answer)
        await store.start()
        try:
            await node.start(store.port)
            await asyncio.sleep(ANSWER_S)
            self.check_limits(node.process)
            self.assertEqual(await node.ordinary_request("control"), 200)
        finally:
            await node.stop()
            await store.stop()


def add_answers(test_class, servers):
    """Adds a test for each answer of each kind of server."""
    for server in servers:
        for name, answer in ANSWERS.items():
            async def test(self, server=server, answer=answer):
                await getattr(self, "check_" + server)(answer)
            setattr(test_class, f"test_{server}_{name}", on_loop(test))


add_answers(ServersOfPlatformNode, ("workers", "store", "instances"))
add_answers(ServersOfStandaloneNode, ("instance", "store"))

if __name__ == "__main__":
    unittest.main()
