"""A bad version is brought in, and during its trial the store comes back from a copy that is some seconds old."""

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
ROLLBACK_S = 5.0
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
BAD_ANSWERS = 50
DURATION_S = 16
# Share of the bad version's answers that are failures, and the time after the order from which they are.
FAILING_SHARE = 0.5
FAILS_AFTER_S = 4.0
# Age of the copy from which the store comes back, and time for which it is away.
ORDER_AFTER_COPY_S = 3.0
TRIAL_S = 1.5
AWAY_S = 1.0
REQUEST_INTERVAL_S = 0.05
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
        },
        {
            "name": "reserve",
            "hostname": HOST,
            "prefix": "/reserve/",
            "repeat": "non_idempotent",
            "timeout_ms": 1500,
            "target_latency_ms": 800,
            "priority": 1,
            "service": SERVICE,
            "attempts": 2,
        },
    ],
    "services": [
        {"name": SERVICE, "healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": False},
        {"name": "expedicao", "healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": False},
    ],
    "limits": {"head_bytes": 16384, "body_bytes": 67108864, "head_timeout_ms": 3000, "idle_timeout_ms": 15000},
}


async def call(record, machine, attempt, is_read):
    body = b"" if is_read else b"x" * 1000
    method, path = ("GET", "/stock/tray") if is_read else ("POST", "/reserve/batch")
    head = request_head(method, path, HOST, attempt, DEADLINE_MS, len(body))
    record.write("sent", attempt=attempt, machine=machine.name)
    status, _, _ = await http11.exchange(machine.ip, machine.outbound_port, head + body, timeout_s=4.0)
    record.write("answered", attempt=attempt, status=status)


async def send_requests(record, machine):
    calls = set()
    try:
        for number in itertools.count():
            attempt = f"{machine.name}.{number}"
            running = asyncio.ensure_future(call(record, machine, attempt, number % 3 != 0))
            calls.add(running)
            running.add_done_callback(calls.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)
    finally:
        for running in calls:
            running.cancel()


async def drill(deployment, snapshot, record):
    """The store is away for a moment and comes back from an older copy; the operator's order is written again."""
    key = f"op/rollout/{SERVICE}"
    order = deployment.store.value(key)
    record.write("store-away", order_revision=deployment.store.items[key]["revision"])
    deployment.store.go_away()
    await asyncio.sleep(AWAY_S)
    deployment.store.come_back(snapshot, [(key, order)])
    record.write("store-back", order_revision=deployment.store.items[key]["revision"], era=deployment.store.era)


async def wait_for_state(deployment, states, timeout_s):
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        status = deployment.store.value(f"status/rollout/{SERVICE}")
        if status and status["state"] in states:
            return status["state"]
        await asyncio.sleep(0.02)
    return None


def judge(record, began_at, deadline):
    """Returns what of EXPOSURE is broken; counted is what was sent after the time from which the store was stable."""
    sent = {entry["attempt"]: entry["at"] for entry in record.of("sent")}
    arrivals = [entry for entry in record.of("arrived") if began_at <= entry["at"] <= deadline]
    new = sum(entry["version"] == "v2" for entry in arrivals)
    allowed = EXPOSURE_SHARE * len(arrivals) + EXPOSURE_SLACK
    faults = []
    if new > allowed:
        faults.append(f"v2 got {new} of {len(arrivals)} requests by its deadline, allowed {allowed:.0f}")
    bad = [entry["at"] for entry in record.of("ran") if entry["version"] == "v2" and entry["status"] == 500 and entry["at"] > began_at]
    if len(bad) >= BAD_ANSWERS:
        limit = bad[BAD_ANSWERS - 1] + ROLLBACK_S
        late = [entry for entry in record.of("arrived") if entry["version"] == "v2" and sent.get(entry["attempt"], 0) > limit]
        if late:
            faults.append(f"{len(late)} requests reached v2 that were sent over {ROLLBACK_S:.0f} s after its 50th bad answer")
    return faults


async def case():
    record = Record(sys.argv[1])
    async with Deployment(record, BOUNDS, LIMITS) as deployment:
        store = deployment.store
        store.put("op/config", CONFIG)
        zones = ["garanhuns-a", "garanhuns-b", "caruaru"]
        old_machines = [deployment.start_machine(f"counter-{zone}", zone, SERVICE) for zone in zones]
        deployment.start_machine("dispatch-1", "arcoverde", "expedicao")
        await deployment.wait_until_ready()
        old = [Endpoint(machine, f"i-{machine.name}", "v1", record) for machine in old_machines]
        for endpoint in old:
            await endpoint.start()
        clients = [asyncio.ensure_future(send_requests(record, machine)) for machine in deployment.machines]
        await asyncio.sleep(6.0)
        if not any(entry["status"] == 200 for entry in record.of("answered")):
            raise CaseUnusable("no request is served before the case")

        snapshot, copied_at = store.snapshot(), time.monotonic()
        new_machine = deployment.start_machine("counter-new", "arcoverde", SERVICE)
        await deployment.wait_until_ready()
        new = Endpoint(new_machine, "i-new", "v2", record)
        await new.start()
        await asyncio.sleep(max(0.0, copied_at + ORDER_AFTER_COPY_S - time.monotonic()))
        order = {"service": SERVICE, "target_version": "v2", "duration_s": DURATION_S}
        record.write("ordered", revision=store.put(f"op/rollout/{SERVICE}", order))
        began_at = time.monotonic()
        asyncio.get_running_loop().call_later(FAILS_AFTER_S, setattr, new, "failing_share", FAILING_SHARE)
        await asyncio.sleep(TRIAL_S)
        if HAS_TROUBLE:
            await drill(deployment, snapshot, record)
            # The order was written again, and the store is stable from `contact` after its return.
            began_at = time.monotonic()
        state = await wait_for_state(deployment, ("completed", "reverted"), DURATION_S + 6.0)
        record.write("state", state=state)
        if state == "completed":
            for endpoint in old:
                await endpoint.stop()
        await asyncio.sleep(max(0.0, began_at + DURATION_S - time.monotonic()))
        await asyncio.sleep(12.0)
        for client in clients:
            client.cancel()
        for endpoint in [new, *old]:
            await endpoint.stop()
        stable_from = began_at + (CONTACT_S if HAS_TROUBLE else 0.0)
        faults = judge(record, stable_from, began_at + DURATION_S)
        return f"EXPOSURE (state {state}): {'; '.join(faults)}" if faults else None


sys.exit(run_case(case))
