"""A node of the product as a process of its own, behind proxies to the store and to the instance service."""
import asyncio
import pathlib
import signal

from proxy import Proxy

CALLER_PORT, READINESS_PORT, INTERNAL_PORT, CONTROL_PORT = 18340, 18343, 17000, 18345


class Node:
    """A node whose process may be restarted."""

    def __init__(self, soak, index):
        self.soak, self.index = soak, index
        self.host, self.name = soak.host(index), f"node-{index}"
        self.proxy = Proxy("127.0.0.1", ("127.0.0.1", soak.store_server.port))
        self.service_proxy = Proxy("127.0.0.1", ("127.0.0.1", soak.service.server.port))
        self.process = None
        self.restarting = asyncio.Lock()

    async def start(self):
        if self.proxy.port is None:
            await self.proxy.start()
            await self.service_proxy.start()
        settings = {
            "node": self.name, "zone": "z", "callers": f"{self.host}:{CALLER_PORT}", "readiness": f"{self.host}:{READINESS_PORT}",
            "internal": f"{self.host}:{INTERNAL_PORT}", "store": f"127.0.0.1:{self.proxy.port}",
            "instances": f"127.0.0.1:{self.service_proxy.port}",
            "stopTimeoutS": 5, "notifyOwner": "true",
        }
        peers = ", ".join(f"\"{self.soak.host(peer)}:{CONTROL_PORT}\"" for peer in range(self.soak.options.nodes) if peer != self.index)
        text = "scheduler:\n" + "".join(f"  {name}: {value}\n" for name, value in settings.items()) + f"  peers: [{peers}]\n"
        path = self.soak.folder / f"{self.name}.yaml"
        path.write_text(text)
        log = open(self.soak.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(self.soak.options.daemon, "--config", str(path), stdout=log, stderr=log)
        log.close()

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def peak_memory_bytes(self):
        """Peak of the resident memory of the current process; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        return next((int(line.split()[1]) << 10 for line in status.splitlines() if line.startswith("VmHWM:")), 0)

    async def kill(self, signal_number=signal.SIGKILL):
        if self.alive():
            self.process.send_signal(signal_number)
            try:
                await asyncio.wait_for(self.process.wait(), 6)
            except asyncio.TimeoutError:
                self.process.kill()
                await self.process.wait()

    async def restart(self, signal_number):
        # Faults overlap; the lock ensures that a node has at most one process.
        with self.soak.disruptions.during(self.name):
            async with self.restarting:
                await self.kill(signal_number)
                await asyncio.sleep(0.3)
                await self.start()

    async def pause(self, seconds):
        process = self.process
        if self.alive():
            with self.soak.disruptions.during(self.name):
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(seconds)
                if process.returncode is None:
                    process.send_signal(signal.SIGCONT)
