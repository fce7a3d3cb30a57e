"""Answers of servers that do not behave: an instance, a worker or a store that does not end what it sends."""

import asyncio

SILENCE_S = 30
BLOCK_BYTES = 64 * 1024
TOTAL_BYTES = 256 << 20
OK = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
HEADER_LINE = b"X-Pad: " + b"a" * 55 + b"\r\n"


async def send(writer, head, block, total_bytes):
    writer.write(head)
    for _ in range(total_bytes // len(block)):
        writer.write(block)
        await writer.drain()


async def silent(_writer):
    await asyncio.sleep(SILENCE_S)


async def endless_trailers(writer):
    await send(writer, CHUNKED + b"2\r\n{}\r\n0\r\n", HEADER_LINE * (BLOCK_BYTES // len(HEADER_LINE)), TOTAL_BYTES)


async def endless_chunk_extension(writer):
    await send(writer, CHUNKED + b"2;pad=", b"a" * BLOCK_BYTES, TOTAL_BYTES)


async def endless_header_line(writer):
    await send(writer, OK + b"X-Pad: ", b"a" * BLOCK_BYTES, TOTAL_BYTES)


async def endless_chunks(writer):
    await send(writer, CHUNKED, b"10000\r\n" + b"a" * BLOCK_BYTES + b"\r\n", TOTAL_BYTES)


async def unfinished_body(writer):
    size = 8 << 20
    await send(writer, OK + f"Content-Length: {size}\r\n\r\n".encode(), b"a" * BLOCK_BYTES, size - BLOCK_BYTES)


async def many_values(writer):
    """A complete body of JSON values that take many times their size in memory."""
    body = b"[" + b"{}," * ((8 << 20) // 3 - 2) + b"{}]"
    await send(writer, OK + f"Content-Length: {len(body)}\r\n\r\n".encode(), body, len(body))


ANSWERS = {answer.__name__: answer for answer in (
    endless_trailers, endless_chunk_extension, endless_header_line, endless_chunks, unfinished_body, many_values)}
