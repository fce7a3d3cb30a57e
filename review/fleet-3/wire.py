"""A small HTTP/1.1 server, client and proxy on loopback for the stand-ins."""
import asyncio
import json
import urllib.parse


async def read_message(reader):
    """Reads one message with a Content-Length; returns its start line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or 0)
    return lines[0], headers, await reader.readexactly(length) if length else b""


class Server:
    """Answers requests with `await handle(method, path, query, headers, body)`, which returns (status, object or None).

    For the result None the request gets no answer, and its connection carries nothing more.
    """

    def __init__(self, handle, host="127.0.0.1", port=0):
        self.handle, self.host, self.port = handle, host, port
        self.server, self.writers, self.tasks = None, set(), set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stops like a process that has ended: the port is closed and the connections are reset."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                answer = await self.handle(method, path, dict(urllib.parse.parse_qsl(query, keep_blank_values=True)), headers, body)
                if answer is None:
                    await reader.read()
                    return
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.transport.abort()


async def call(host, port, method, path, headers=None, body=None, timeout=3.0):
    """Sends one request on a connection of its own; returns (status, object), or None without an answer within `timeout` s."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        line, _, content = await read_message(reader)
        return int(line.split(" ")[1]), json.loads(content) if content else None

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Proxy:
    """Forwards connections to a target. In the mode `silent` it passes nothing on, in either direction; `bytes_per_s` limits it."""

    def __init__(self, target, host="127.0.0.1"):
        self.target, self.host = target, host
        self.port, self.server, self.mode, self.writers = None, None, "pass", set()
        self.bytes_per_s, self.free_at = 0, 0.0

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, other_writer}
        await asyncio.gather(self._pump(reader, other_writer, False), self._pump(other_reader, writer, True))
        self.writers -= {writer, other_writer}

    async def _pump(self, reader, writer, limited):
        loop = asyncio.get_running_loop()
        muted = False
        try:
            while data := await reader.read(16384):
                muted = muted or self.mode == "silent"
                if muted:
                    continue
                if limited and self.bytes_per_s:
                    start = max(loop.time(), self.free_at)
                    self.free_at = start + len(data) / self.bytes_per_s
                    await asyncio.sleep(self.free_at - loop.time())
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
