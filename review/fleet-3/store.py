"""A stand-in of the platform's metadata store."""
import asyncio
import base64
import json
import time

PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
ANSWER_S = 0.004


class Store:
    """Keeps items, leases and the history in memory; answers are linearizable.

    `answer_s` is the time of an answer. `watches_silent` holds back events. `lose` may be set to a function of the path that says
    whether the answer to a write that was done is lost.
    """

    def __init__(self):
        self.revision, self.items, self.history, self.compacted = 10, {}, [], 0
        self.leases, self.last_lease = {}, 0
        self.changed = asyncio.Condition()
        self.answer_s, self.watches_silent, self.lose = ANSWER_S, False, None
        self.calls = {}

    def _row(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created, "lease": lease}

    def _write(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key))

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """Writes as the operator or a runner."""
        self.revision += 1
        self._write(key, json.dumps(value).encode())
        await self._notify()

    async def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key))
            await self._notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            over = {lease for lease, (_, until) in self.leases.items() if until <= now}
            for lease in over:
                del self.leases[lease]
            for key in [key for key, item in self.items.items() if item[3] in over]:
                await self.remove(key)

    async def compact(self, silent_s):
        """Holds back events for a time, then discards the history."""
        self.watches_silent = True
        await asyncio.sleep(silent_s)
        self.watches_silent = False
        self.compacted = self.revision
        self.history.clear()
        await self._notify()

    async def handle(self, method, path, query, headers, body):
        kind = path.rsplit("/", 1)[0] if path.count("/") > 2 else path
        self.calls[kind] = self.calls.get(kind, 0) + 1
        await asyncio.sleep(self.answer_s)
        if path == "/v1/kv-key":
            return (200, {**self._row(query["key"]), "as_of": self.revision}) if query["key"] in self.items else (404, {"as_of": self.revision})
        if path == "/v1/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            return await self._watch(query)
        answer = await self._change(path, json.loads(body) if body else {})
        return None if self.lose is not None and self.lose(path) else answer

    def _range(self, prefix, after):
        rows, size = [], 0
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        for key in keys:
            row = self._row(key)
            size += len(row["value"]) + len(key)
            if rows and (len(rows) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            rows.append(row)
        return {"items": rows, "has_more": len(rows) < len(keys), "as_of": self.revision}

    async def _watch(self, query):
        prefix, after, until = query["prefix"], int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if not self.watches_silent:
                if after < self.compacted:
                    return 410, None
                latest = {key: revision for revision, key in self.history if revision > after and key.startswith(prefix)}
                if latest:
                    events = [self._row(key) if key in self.items else {"key": key, "revision": revision, "tombstone": True} for key, revision in latest.items()]
                    return 200, {"events": events, "as_of": self.revision}
            left = until - time.monotonic()
            if left <= 0:
                return 200, {"events": [], "as_of": after}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.05) if self.watches_silent else left)
                except asyncio.TimeoutError:
                    pass

    async def _change(self, path, value):
        if path == "/v1/kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = (value["ttl_ms"], time.monotonic() + value["ttl_ms"] / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": value["ttl_ms"]}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path != "/v1/kv-txn":
            return 400, None
        rows = value.get("expected_rev", [])
        if any((self.items[row["key"]][1] if row["key"] in self.items else 0) != row["revision"] for row in rows):
            return 412, {"items": [self._row(row["key"]) for row in rows if row["key"] in self.items], "as_of": self.revision}
        writes = value.get("writes", [])
        if any(row["key"].startswith(("op/", "servers/")) for row in writes):
            return 403, None
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
            return 404, None
        self.revision += 1
        for row in writes:
            self._write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in value.get("remove", []):
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key))
        await self._notify()
        return 200, {"revision": self.revision}
