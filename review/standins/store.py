"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it."""
import asyncio
import base64
import json
import time

HEARTBEAT_S = 1.5


class Store:
    """Keeps items, leases and the history in memory.

    In mode "down" a call stays without a response and does nothing; leases and registrations run out meanwhile.
    `hold_write`, if set, is called with the body of each transaction; if it returns a number of seconds, the call gets no response
    and is carried out that much later, if its condition still holds then.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 0
        self.heartbeats = {}
        self.changed = asyncio.Condition()
        self.mode = "serves"
        self.hold_write = None
        self.last_writer = None

    def _item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created, "lease": lease}

    def _write(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key))

    def _erase(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append((self.revision, key))

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """Writes a key as the operator does."""
        self.revision += 1
        self._write(key, json.dumps(value).encode())
        await self._notify()

    async def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._erase(key)
            await self._notify()

    async def heartbeat(self, key, value):
        """Registers a runner; returns False while the store is down."""
        if self.mode != "serves":
            return False
        self.heartbeats[key] = time.monotonic()
        await self.put(key, value)
        return True

    async def expire(self):
        """Removes expired leases with their keys, and the entries of runners that have been silent for three heartbeat intervals."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
                del self.leases[lease]
                for key in [key for key, item in self.items.items() if item[3] == lease]:
                    await self.remove(key)
            for key in [key for key, at in self.heartbeats.items() if now - at > 3 * HEARTBEAT_S]:
                del self.heartbeats[key]
                self.record(f"store: the entry {key} has expired")
                await self.remove(key)

    def handler(self, caller):
        """Returns the handler for the calls of one node, so that the last node that wrote under a condition is known."""

        async def handle(method, path, query, headers, body):
            return await self.handle(caller, method, path, query, body)

        return handle

    async def handle(self, caller, method, path, query, body):
        if self.mode == "down":
            return None
        await asyncio.sleep(0.002)
        if self.mode == "down":
            return None
        value = json.loads(body) if body else {}
        if path == "/v1/kv-key":
            return (200, {**self._item(query["key"]), "as_of": self.revision}) if query["key"] in self.items else (404, None)
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self._item(key) for key in keys[:500]], "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = max(value["ttl_ms"], 1000)
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            self.leases[lease] = (0, 0.0)
            return 200, {}
        if path == "/v1/kv-txn":
            delay = self.hold_write(value) if self.hold_write is not None else None
            if delay is not None:
                asyncio.create_task(self._commit_later(caller, value, delay))
                return None
            return await self._commit(caller, value)
        return 400, None

    async def _commit_later(self, caller, value, delay):
        self.record(f"store: a write of {caller} gets no response and is carried out {delay:g} s later")
        await asyncio.sleep(delay)
        status, _ = await self._commit(caller, value)
        self.record(f"store: the late write of {caller} has status {status}")

    async def _watch(self, query):
        after, deadline = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        prefix = query["prefix"]
        while True:
            if self.mode == "down":
                return None
            latest = {}
            for revision, key in reversed(self.history):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    latest.setdefault(key, revision)
            events = [self._item(key) if key in self.items else {"key": key, "revision": revision, "tombstone": True}
                      for key, revision in latest.items()]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining)
                except asyncio.TimeoutError:
                    pass

    async def _commit(self, caller, value):
        rows = value.get("expected_rev", [])
        if any((self.items[row["key"]][1] if row["key"] in self.items else 0) != row["revision"] for row in rows):
            return 412, {"items": [self._item(row["key"]) for row in rows if row["key"] in self.items]}
        writes = value.get("writes", [])
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
            return 404, None
        if any(row["key"].startswith(("op/", "servers/")) for row in writes):
            return 403, None
        if rows:
            self.last_writer = caller
        self.revision += 1
        for row in writes:
            self._write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in value.get("remove", []):
            self._erase(key)
        await self._notify()
        return 200, {"revision": self.revision}
