"""One server of a plain service as a process of its own: `server_process.py NAME UNFRAMED_PART`.

It prints its port, then a line `half ID` in the middle of each answer without a length. The given part of its
answers, from 0 to 1, has no length and ends with its channel.
"""

import asyncio
import sys

from stand import read_message

NAME, UNFRAMED_PART = sys.argv[1], float(sys.argv[2])
# Within the longest work that the sheet's figures allow.
WORK_S = 0.4
BODY_BYTES = 800


def body_of(request):
    """The whole body of the answer to a request."""
    text = f"receipt of {request} "
    return (text * (BODY_BYTES // len(text) + 1))[:BODY_BYTES].encode()


async def serve(reader, writer):
    while (received := await read_message(reader)) is not None:
        line, headers, _ = received
        request = headers.get("x-request-id", "")
        common = f"X-Instance-Id: {NAME}\r\nX-Request-Id: {request}\r\n"
        if headers.get("x-expect-instance", NAME) != NAME:
            writer.write(f"HTTP/1.1 421 X\r\n{common}Content-Length: 0\r\n\r\n".encode())
            continue
        if line.split(" ")[1] == "/health":
            writer.write(f"HTTP/1.1 200 X\r\n{common}Content-Length: 0\r\n\r\n".encode())
            continue
        body = body_of(request)
        head = f"HTTP/1.1 200 X\r\n{common}X-Response-Signature: {NAME}.{request}\r\n"
        serve.count += 1
        if int(serve.count * UNFRAMED_PART) == int((serve.count - 1) * UNFRAMED_PART):
            await asyncio.sleep(WORK_S)
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            continue
        writer.write(f"{head}Connection: close\r\n\r\n".encode() + body[:BODY_BYTES // 2])
        await writer.drain()
        print("half", request, flush=True)
        await asyncio.sleep(WORK_S)
        writer.write(body[BODY_BYTES // 2:])
        break
    writer.close()


serve.count = 0


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 20)
    print("port", server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
