"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio

MAX_HEAD_BYTES = 1 << 18


class Request:
    """Head of a request; its body is read from the connection by `read_body`."""

    def __init__(self, method, target, headers, reader):
        self.method = method
        self.target = target
        self.headers = headers
        self._reader = reader

    async def read_body(self):
        return await _read_body(self._reader, self.headers)


async def read_head(reader):
    """Returns the first line and the headers, with names in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def _read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, headers=(), body=b""):
    """Returns a whole answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def serve(ip, port, handler):
    """Serves connections. `handler` gets a request and returns the bytes of its answer, or None to break off."""

    async def serve_connection(reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                answer = await handler(Request(method, target, head[1], reader))
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, ip, port, limit=MAX_HEAD_BYTES)


async def exchange(ip, port, head, parts=(), timeout_s=10.0):
    """Sends a head and the parts of a body, each after a pause, on a new connection. Returns the status, the headers and the
    body of the answer; status None if there is no whole answer."""

    async def run():
        reader, writer = await asyncio.open_connection(ip, port, limit=MAX_HEAD_BYTES)
        try:
            writer.write(head)

            async def send():
                for pause_s, part in parts:
                    await asyncio.sleep(pause_s)
                    writer.write(part)
                    await writer.drain()

            sending = asyncio.ensure_future(send())
            try:
                answer = await read_head(reader)
                if answer is None:
                    return None, {}, b""
                line, headers = answer
                return int(line.split(" ")[1]), headers, await _read_body(reader, headers)
            finally:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, {}, b""
