"""Stand-in of an endpoint: announces itself, runs requests in its slots, and leaves as the platform's pages say."""

import asyncio
import collections
import random
import time

import http11
import msgpack

HEARTBEAT_S = 1.5


class Endpoint:
    """An endpoint beside the daemon of a machine."""

    def __init__(self, machine, endpoint_id, version, record, slots=12, work_s=0.05):
        self.machine = machine
        self.id = endpoint_id
        self.version = version
        self.record = record
        self.slots = slots
        self.work_s = work_s
        # Share of the answers that are failures.
        self.failing_share = 0.0
        # Requests in a second above which answers fail; every load if None.
        self.fails_above_per_s = None
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.beats = None
        self._arrivals = collections.deque()

    async def start(self):
        self.server = await http11.serve(self.machine.ip, self.machine.app_port, self._handle)
        self.beats = asyncio.ensure_future(self._announce_forever())

    async def announce(self):
        """Sends one heartbeat; returns whether it was acknowledged."""
        return await self.send_held(self.hold_beat())

    def hold_beat(self):
        """Returns a heartbeat, to be sent later as one that the network has delayed."""
        self.sequence += 1
        return {
            "service": self.machine.service,
            "address": f"{self.machine.ip}:{self.machine.app_port}",
            "zone": self.machine.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def send_held(self, beat):
        return await self._call("PUT", beat)

    async def drain(self):
        """Reports `draining` until that is acknowledged, and returns the time of the acknowledgement."""
        self.state = "draining"
        while not await self.announce():
            await asyncio.sleep(0.2)
        return time.monotonic()

    async def deregister(self):
        """Deregisters until that is acknowledged, and returns the time of the acknowledgement. No heartbeat follows."""
        self.beats.cancel()
        while not await self._call("DELETE", {"born": self.born}):
            await asyncio.sleep(0.2)
        return time.monotonic()

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        self.server.close()

    async def _announce_forever(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def _call(self, method, message):
        body = msgpack.encode(message)
        head = (
            f"{method} /fuchsiashore/instances/{self.id} HTTP/1.1\r\nHost: {self.machine.ip}\r\n"
            f"Content-Type: application/msgpack\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        status, _, _ = await http11.exchange(
            self.machine.ip, self.machine.control_port, head.encode(), [(0, body)], timeout_s=1.0
        )
        return status is not None and 200 <= status < 300

    async def _handle(self, request):
        arrived_at = time.monotonic()
        attempt = request.headers.get("attempt-id", "")
        if request.method == "GET" and request.target == "/health":
            status = 200 if self.state == "ready" else 503
            return http11.answer_bytes(status, [("Instance-Id", self.id), ("Server-Load", self._load())])
        self.record.write("arrived", at=arrived_at, endpoint=self.id, version=self.version, attempt=attempt)
        self._arrivals.append(arrived_at)
        await request.read_body()
        headers = [("Attempt-Id", attempt), ("Server-Load", self._load())]
        if request.headers.get("target-instance", self.id) != self.id:
            return http11.answer_bytes(421, [*headers, ("Instance-Id", self.id), ("Not-Executed", "1")])
        if self.running >= self.slots:
            return http11.answer_bytes(503, [*headers, ("Not-Executed", "1")])
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        status = 500 if self._is_loaded() and random.random() < self.failing_share else 200
        self.record.write("ran", endpoint=self.id, version=self.version, attempt=attempt, status=status)
        return http11.answer_bytes(status, [*headers, ("Response-Stamp", f"{self.id}.{attempt}")], b"done " + attempt.encode())

    def _is_loaded(self):
        while self._arrivals and self._arrivals[0] < time.monotonic() - 1:
            self._arrivals.popleft()
        return self.fails_above_per_s is None or len(self._arrivals) > self.fails_above_per_s

    def _load(self):
        return f"{self.running},0,{self.slots}"
