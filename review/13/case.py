"""A version that fails under load is brought in, and the machine that controls the move freezes as the share reaches its top."""

import asyncio
import itertools
import os
import signal
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
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
DURATION_S = 16
# Share of the bad version's answers that are failures while it gets more requests in a second than this.
FAILING_SHARE = 0.5
FAILS_ABOVE_PER_S = 60
TOP_SHARE = 0.95
FREEZE_S = 4.0
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


async def wait_for_top(deployment):
    """Waits until a controller has written to the store that the share is at its top; returns its daemon's name."""
    key = f"own/service/{SERVICE}"
    while True:
        record = deployment.store.value(key) or {}
        clearance = (record.get("latest") or {}).get("clearance") or {}
        if clearance.get("share", 0.0) >= TOP_SHARE:
            return clearance["holder"].split("@")[0]
        await asyncio.sleep(0.01)


async def freeze(deployment, record, name):
    """Stops the daemon that last wrote to the store under a condition. Nobody reaches the endpoint beside it meanwhile."""
    machine = next(machine for machine in deployment.machines if machine.name == name)
    machine.process.send_signal(signal.SIGSTOP)
    record.write("frozen", machine=name)
    await asyncio.sleep(FREEZE_S)
    machine.process.send_signal(signal.SIGCONT)
    record.write("thawed", machine=name)


async def wait_for_state(deployment, states, timeout_s):
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        status = deployment.store.value(f"status/rollout/{SERVICE}")
        if status and status["state"] in states:
            return status["state"]
        await asyncio.sleep(0.02)
    return None


def judge(record, began_at, deadline):
    """Returns what of EXPOSURE is broken. What a machine sends from its freeze until `contact` after it is not counted against
    it."""
    sent = {entry["attempt"]: entry for entry in record.of("sent")}
    frozen = {entry["machine"]: entry["at"] for entry in record.of("frozen")}

    def is_in_touch(request):
        since = frozen.get(request["machine"])
        return since is None or not since <= request["at"] <= since + FREEZE_S + CONTACT_S

    arrivals = [entry for entry in record.of("arrived") if began_at <= entry["at"] <= deadline]
    new = [entry for entry in arrivals if entry["version"] == "v2" and is_in_touch(sent[entry["attempt"]])]
    allowed = EXPOSURE_SHARE * len(arrivals) + EXPOSURE_SLACK
    record.write("counted", new=len(new), all=len(arrivals), allowed=round(allowed))
    if len(new) > allowed:
        return f"v2 got {len(new)} of {len(arrivals)} requests between the order and its deadline, allowed {allowed:.0f}"
    return None


async def case():
    record = Record(FOLDER / "record.txt")
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

        new_machine = deployment.start_machine("counter-new", "arcoverde", SERVICE)
        await deployment.wait_until_ready()
        new = Endpoint(new_machine, "i-new", "v2", record)
        new.failing_share, new.fails_above_per_s = FAILING_SHARE, FAILS_ABOVE_PER_S
        await new.start()
        clients.append(asyncio.ensure_future(send_requests(record, new_machine)))
        await asyncio.sleep(4.0)
        began_at = time.monotonic()
        order = {"service": SERVICE, "target_version": "v2", "duration_s": DURATION_S}
        record.write("ordered", at=began_at, revision=store.put(f"op/rollout/{SERVICE}", order))
        name = await asyncio.wait_for(wait_for_top(deployment), DURATION_S)
        record.write("at-top", controller=name)
        if HAS_TROUBLE:
            await freeze(deployment, record, name)
        state = await wait_for_state(deployment, ("completed", "reverted"), DURATION_S + 3.0)
        record.write("state", state=state)
        if state == "completed":
            for endpoint in old:
                await endpoint.stop()
        await asyncio.sleep(max(0.0, began_at + DURATION_S + 0.5 - time.monotonic()))
        for client in clients:
            client.cancel()
        for endpoint in [new, *old]:
            await endpoint.stop()
        fault = judge(record, began_at, began_at + DURATION_S)
        return f"EXPOSURE (state {state}): {fault}" if fault else None


sys.exit(run_case(case))
