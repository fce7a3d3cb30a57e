"""A loopback proxy that delays, resets, silences or cuts one way what passes through it."""
import asyncio


class Proxy:
    """Forwards connections to a target; `mode` is pass, delay, reset, silent, one_way or refuse."""

    def __init__(self, host, target):
        self.host, self.target = host, target
        self.mode = "pass"
        self.port = None
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set(self, mode):
        """Changes the mode; open connections are reset where the mode says so, and go silent for good where it is silence."""
        self.mode = mode
        if mode in ("reset", "refuse"):
            for writer in list(self.writers):
                writer.transport.abort()

    async def _accept(self, reader, writer):
        if self.mode in ("reset", "refuse"):
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        muted = [False]
        await asyncio.gather(self._pump(reader, far_writer, muted, False), self._pump(far_reader, writer, muted, True))
        self.writers -= {writer, far_writer}

    async def _pump(self, reader, writer, muted, answers):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.3)
                # A connection that went silent stays so, while new ones work.
                muted[0] = muted[0] or self.mode == "silent"
                if muted[0] or (self.mode == "one_way" and answers):
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
