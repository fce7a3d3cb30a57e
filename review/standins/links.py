"""A TCP proxy for the link between a node and a part of the platform, which can be cut."""
import asyncio
import time


class Link:
    """Passes bytes on until `cut()`; the far side then hears nothing until `heal()`.

    As on a real link, bytes that a connection has sent during the cut are delivered after it, also if the sender has closed the
    connection in the meantime, unless it has reset it. They are sent again with growing pauses, as by TCP: 0.2 s, 0.4 s, 0.8 s and so
    on after the first attempt, and given up after `GIVE_UP_S`. Connections that are opened during the cut never come about.
    `watch(data)`, if set, is called with the bytes of the near side before they pass.
    """

    FIRST_RETRY_S = 0.2
    GIVE_UP_S = 10.0

    def __init__(self, target, record, name):
        self.target, self.record, self.name = target, record, name
        self.is_cut = False
        self.watch = None
        self.server = None
        self.port = None
        self.writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Closes the port and resets the connections, as the end of the process behind it does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def cut(self):
        self.is_cut = True

    def heal(self):
        self.is_cut = False

    async def _accept(self, reader, writer):
        if self.is_cut:
            try:
                while await reader.read(65536):
                    pass
            except (ConnectionError, OSError):
                pass
            writer.close()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        state = {"reset": False}
        self.writers |= {writer, far_writer}
        try:
            await asyncio.gather(self._pump(reader, far_writer, state, True), self._pump(far_reader, writer, state, False))
        finally:
            self.writers -= {writer, far_writer}

    async def _pump(self, reader, writer, state, is_near):
        queue = asyncio.Queue()
        sender = asyncio.create_task(self._send(queue, writer, state))
        try:
            while data := await reader.read(65536):
                if is_near and self.watch is not None:
                    self.watch(data)
                queue.put_nowait((time.monotonic(), data))
            queue.put_nowait((time.monotonic(), None))
        except (ConnectionError, OSError):
            state["reset"] = True
            queue.put_nowait((time.monotonic(), None))
        await sender

    async def _send(self, queue, writer, state):
        """Delivers in order; bytes that meet the cut wait for the first retry after it."""
        try:
            while True:
                since, data = await queue.get()
                held, retry = False, self.FIRST_RETRY_S
                while self.is_cut and not state["reset"]:
                    held = True
                    if time.monotonic() - since > self.GIVE_UP_S:
                        return
                    await asyncio.sleep(max(0.0, since + retry - time.monotonic()))
                    retry = 2 * retry + self.FIRST_RETRY_S
                if data is None or state["reset"]:
                    return
                if held:
                    self.record(f"link {self.name}: bytes that were held up for {time.monotonic() - since:.2f} s arrive")
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
