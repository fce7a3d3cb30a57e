"""A minimal HTTP/1.1 server and client: bodies have a Content-Length, and connections are persistent."""
import asyncio
import json
import urllib.parse


async def read_message(reader):
    """Reads one message; returns its start line, headers and body. Raises IncompleteReadError when the connection is closed."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or 0)
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """Serves requests with the coroutine `handle(method, path, query, headers, body)`.

    The coroutine returns a status and an object for the JSON body; for None the request stays without a response, and the
    connection returns nothing further.
    """

    def __init__(self, handle, host="127.0.0.1", port=0):
        self.host, self.port, self.handle = host, port, handle
        self.server = None
        self.connections = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Closes the port and resets the connections, as the end of the process does."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                response = await self.handle(method, path, fields, headers, body)
                if response is None:
                    await reader.read()
                    return
                status, value = response
                data = b"" if value is None else json.dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


async def call(address, method, path, headers=None, body=None, timeout=3.0):
    """Sends one request on a new connection; returns (status, object), or None without a whole response within `timeout` s."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            line, _, content = await read_message(reader)
            try:
                return int(line.split(" ")[1]), json.loads(content) if content else None
            except json.JSONDecodeError:
                return int(line.split(" ")[1]), content.decode()
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
