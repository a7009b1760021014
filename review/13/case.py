"""An endpoint leaves while the store is down; then all daemons are killed, and a heartbeat of the endpoint arrives late."""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-3"))
sys.dont_write_bytecode = True

from deployment import CaseUnusable, Deployment, Record, request_head, run_case  # noqa: E402
from endpoint import Endpoint  # noqa: E402
import http11  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "counter.example"
SERVICE = "balcao-produtor"
# Bounds and limits of the deployment bandeira-mesh.
BOUNDS = {"extra_retries": 60, "grace_s": 6, "drain_ms": 2000}
LIMITS = {"linkMbps": 1000.0, "memoryMb": 260}
CONTACT_S = 3.0
DRAIN_S = 2.0
# Time after the acknowledgement at which the daemons are killed, and after that until they start again.
KILL_AFTER_S = 0.3
DOWN_S = 0.5
# Time after the acknowledgement at which the store is back, and at which the late heartbeat arrives.
STORE_BACK_AFTER_S = 1.2
LATE_BEAT_AFTER_S = 2.5
# Time after its acknowledgement for which the endpoint serves.
SERVES_S = 9.0
REQUEST_INTERVAL_S = 0.1
DEADLINE_MS = 2500

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "lookup",
            "hostname": HOST,
            "prefix": "/stock/",
            "repeat": "idempotent",
            "timeout_ms": 1200,
            "target_latency_ms": 600,
            "priority": 2,
            "service": SERVICE,
            "attempts": 2,
        }
    ],
    "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": False}],
    "limits": {"head_bytes": 16384, "body_bytes": 67108864, "head_timeout_ms": 3000, "idle_timeout_ms": 15000},
}


async def call(record, machine, attempt):
    head = request_head("GET", "/stock/tray", HOST, attempt, DEADLINE_MS, 0)
    record.write("sent", attempt=attempt, machine=machine.name)
    status, _, _ = await http11.exchange(machine.ip, machine.outbound_port, head, timeout_s=4.0)
    record.write("answered", attempt=attempt, status=status)


async def send_requests(record, machine):
    calls = set()
    try:
        for number in itertools.count():
            running = asyncio.ensure_future(call(record, machine, f"{machine.name}.{number}"))
            calls.add(running)
            running.add_done_callback(calls.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)
    finally:
        for running in calls:
            running.cancel()


async def case():
    record = Record(sys.argv[1])
    async with Deployment(record, BOUNDS, LIMITS) as deployment:
        store = deployment.store
        store.put("op/config", CONFIG)
        zones = ["garanhuns-a", "garanhuns-b", "caruaru"]
        machines = [deployment.start_machine(f"counter-{zone}", zone, SERVICE) for zone in zones]
        await deployment.wait_until_ready()
        endpoints = [Endpoint(machine, f"i-{machine.name}", "v1", record) for machine in machines]
        for endpoint in endpoints:
            await endpoint.start()
        clients = [asyncio.ensure_future(send_requests(record, machine)) for machine in machines]
        await asyncio.sleep(8.0)
        leaving = endpoints[0]
        if not any(entry["endpoint"] == leaving.id for entry in record.of("arrived")):
            raise CaseUnusable("the endpoint gets no request before it leaves")

        if HAS_TROUBLE:
            store.go_away()
            record.write("store-down")
            await asyncio.sleep(0.3)
        late_beat = leaving.hold_beat()
        acknowledged_at = await leaving.deregister()
        record.write("acknowledged", at=acknowledged_at, endpoint=leaving.id)

        async def at(after_s):
            await asyncio.sleep(max(0.0, acknowledged_at + after_s - time.monotonic()))

        in_touch_from = acknowledged_at
        if HAS_TROUBLE:
            await at(KILL_AFTER_S)
            for machine in machines:
                machine.process.kill()
                machine.process.wait()
            record.write("killed")
            await at(KILL_AFTER_S + DOWN_S)
            for machine in machines:
                deployment.start_daemon(machine)
            record.write("started")
            await at(STORE_BACK_AFTER_S)
            store.is_away = False
            record.write("store-up")
            in_touch_from = time.monotonic() + CONTACT_S
        await at(LATE_BEAT_AFTER_S)
        record.write("late-beat", acknowledged=await leaving.send_held(late_beat))
        await at(SERVES_S)
        for endpoint in endpoints:
            await endpoint.stop()
        for client in clients:
            client.cancel()
        sent = {entry["attempt"]: entry["at"] for entry in record.of("sent")}
        limit = max(acknowledged_at + DRAIN_S, in_touch_from)
        late = [
            f"{entry['at'] - acknowledged_at:.2f} s"
            for entry in record.of("arrived")
            if entry["endpoint"] == leaving.id and entry["at"] > limit and sent[entry["attempt"]] > limit
        ]
        if not late:
            return None
        return f"DRAIN: {len(late)} requests reached {leaving.id} after its acknowledgement: {late[0]} to {late[-1]}"


sys.exit(run_case(case))
