"""Crowds of clients that do not behave: each opens its connections, sends, and keeps them open until the crowd is closed.

Run as a program, it plays randomly chosen crowds against addresses of the form HOST:PORT/PATH, one after the other.
"""
import argparse
import asyncio
import random
import time

BLOCK_BYTES = 64 * 1024
MAX_BODY_BYTES = 1 << 20  # The servers' limit on a request body.
SEND_TIMEOUT_S = 20.0

HEADERS = b" HTTP/1.1\r\nHost: clients.example\r\nContent-Type: application/json\r\nApi-Key: key-1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ONE_CHUNK = b"2\r\n{}\r\n"
HEADER_LINE = b"X-Pad: " + b"a" * 55 + b"\r\n"


class Crowd:
    """Connections to one address that send the same bytes."""

    def __init__(self, address, path):
        self.address = address
        self.post = b"POST " + path.encode() + HEADERS
        self.get = b"GET " + path.encode() + HEADERS + b"\r\n"
        self.writers = []
        self.readers = []

    async def _send(self, head, block, total_bytes):
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return
        self.writers.append(writer)
        try:
            writer.write(head)
            sent = 0
            while sent < total_bytes:
                part = block[:total_bytes - sent]
                writer.write(part)
                await writer.drain()
                sent += len(part)
            await writer.drain()
        except OSError:
            pass
        self.readers.append(reader)

    async def send(self, count, head, block=b"", total_bytes=0, timeout_s=SEND_TIMEOUT_S):
        """Opens `count` connections and sends `head` and `total_bytes` of repeated `block` on each; returns when all have sent or were closed."""
        sends = [asyncio.ensure_future(self._send(head, block, total_bytes)) for _ in range(count)]
        _, late = await asyncio.wait(sends, timeout=timeout_s)
        for send in late:
            send.cancel()
        await asyncio.gather(*late, return_exceptions=True)

    async def close(self):
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)


async def endless_trailers(crowd):
    await crowd.send(6, crowd.post + CHUNKED + ONE_CHUNK + b"0\r\n", HEADER_LINE * (BLOCK_BYTES // len(HEADER_LINE)), 48 << 20)


async def endless_trailer_line(crowd):
    await crowd.send(6, crowd.post + CHUNKED + ONE_CHUNK + b"0\r\nX-Pad: ", b"a" * BLOCK_BYTES, 48 << 20)


async def endless_chunk_extension(crowd):
    await crowd.send(6, crowd.post + CHUNKED + b"2;pad=", b"a" * BLOCK_BYTES, 48 << 20)


async def endless_header_lines(crowd):
    await crowd.send(6, crowd.post, HEADER_LINE * (BLOCK_BYTES // len(HEADER_LINE)), 48 << 20)


async def endless_header_line(crowd):
    await crowd.send(6, crowd.post + b"X-Pad: ", b"a" * BLOCK_BYTES, 48 << 20)


async def unfinished_bodies(crowd):
    announced = b"Content-Length: " + str(MAX_BODY_BYTES).encode() + b"\r\n\r\n"
    await crowd.send(250, crowd.post + announced, b"a" * BLOCK_BYTES, MAX_BODY_BYTES - 1)


async def unfinished_chunked_bodies(crowd):
    await crowd.send(250, crowd.post + CHUNKED + f"{MAX_BODY_BYTES:x}\r\n".encode(), b"a" * BLOCK_BYTES, MAX_BODY_BYTES - 1)


async def oversized_chunked_bodies(crowd):
    await crowd.send(6, crowd.post + CHUNKED, b"10000\r\n" + b"a" * BLOCK_BYTES + b"\r\n", 48 << 20)


async def oversized_announced_bodies(crowd):
    await crowd.send(6, crowd.post + b"Content-Length: 1000000000000\r\n\r\n", b"a" * BLOCK_BYTES, 48 << 20)


async def pipelined_unread(crowd):
    await crowd.send(20, b"", crowd.get * (BLOCK_BYTES // len(crowd.get)), 4 << 20, timeout_s=3.0)


async def idle_connections(crowd):
    await crowd.send(500, b"")


async def unfinished_headers(crowd):
    await crowd.send(500, crowd.post)


async def unfinished_small_bodies(crowd):
    await crowd.send(500, crowd.post + b"Content-Length: 100\r\n\r\n{")


CROWDS = {crowd.__name__: crowd for crowd in (
    endless_trailers, endless_trailer_line, endless_chunk_extension, endless_header_lines, endless_header_line, unfinished_bodies,
    unfinished_chunked_bodies, oversized_chunked_bodies, oversized_announced_bodies, pipelined_unread, idle_connections, unfinished_headers,
    unfinished_small_bodies)}


async def play_in_turn(targets, seed, seconds):
    """Plays crowds for a time; each stays connected for up to a second after it has sent."""
    choice, end = random.Random(seed), time.monotonic() + seconds
    while time.monotonic() < end:
        address, _, path = choice.choice(targets).partition("/")
        host, _, port = address.partition(":")
        crowd = Crowd((host, int(port)), "/" + path)
        try:
            await asyncio.wait_for(choice.choice(list(CROWDS.values()))(crowd), max(end - time.monotonic(), 0.1))
            await asyncio.sleep(choice.random())
        except asyncio.TimeoutError:
            pass
        await crowd.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("targets", nargs="+", help="HOST:PORT/PATH")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    asyncio.run(play_in_turn(options.targets, options.seed, options.seconds))


if __name__ == "__main__":
    main()
