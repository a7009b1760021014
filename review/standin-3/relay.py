"""Relay of TCP connections that can make the open ones silent for good while new ones work."""

import asyncio


class Relay:
    def __init__(self, ip, port, target_port):
        self.ip = ip
        self.port = port
        self.target_port = target_port
        self._is_silent = {}
        self._tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.ip, self.port)

    def silence(self):
        """Passes on nothing more on the connections that are open, in either direction. None of them is closed."""
        for connection in self._is_silent:
            self._is_silent[connection] = True
        return len(self._is_silent)

    async def _accept(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection(self.ip, self.target_port)
        except OSError:
            writer.close()
            return
        connection = object()
        self._is_silent[connection] = False
        try:
            await asyncio.gather(
                self._pass_on(connection, reader, other_writer), self._pass_on(connection, other_reader, writer)
            )
        except asyncio.CancelledError:
            pass
        finally:
            del self._is_silent[connection]
            writer.close()
            other_writer.close()

    async def _pass_on(self, connection, reader, writer):
        try:
            while data := await reader.read(65536):
                if not self._is_silent[connection]:
                    writer.write(data)
                    await writer.drain()
            if not self._is_silent[connection] and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            pass
