"""A loopback TCP proxy that delays or discards data, discards it in one direction only, or resets connections."""
import asyncio


class Proxy:
    """Forwards connections to a target.

    `mode` is pass, delay (0.3 s for each block read), reset or refuse (connections are aborted), silent (data of both directions is
    discarded) or one_way (data from the target is discarded).
    """

    def __init__(self, host, target):
        self.host, self.target = host, target
        self.mode = "pass"
        self.port = None
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set_mode(self, mode):
        """Changes the mode. Modes reset and refuse abort open connections; a connection that carried data in mode silent stays silent."""
        self.mode = mode
        if mode in ("reset", "refuse"):
            for writer in list(self.writers):
                writer.transport.abort()

    async def _accept(self, reader, writer):
        if self.mode in ("reset", "refuse"):
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        muted = [False]
        await asyncio.gather(self._pump(reader, target_writer, muted, False), self._pump(target_reader, writer, muted, True))
        self.writers -= {writer, target_writer}

    async def _pump(self, reader, writer, muted, from_target):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.3)
                # A silent connection stays silent after the mode changes; new connections work.
                muted[0] = muted[0] or self.mode == "silent"
                if muted[0] or (self.mode == "one_way" and from_target):
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
