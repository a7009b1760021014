"""Many routes with short runs are added to a service whose first route has long ones."""

import os
import random
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))

from deployment import Endpoint, Machine, Record, Store, config, wait_for  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ADDED_ROUTES = 100 if TROUBLE else 1
LONG_RUN_S, SHORT_RUN_S = 0.88, 0.055
REQUESTS = 300
INTERVAL_S = 0.1


class MixedEndpoint(Endpoint):
    """Runs `/preview/` for longer than the rest."""

    def _handle(self, request):
        self.work_s = LONG_RUN_S if request.path.startswith("/preview/") else SHORT_RUN_S
        super()._handle(request)


def play(record):
    store = Store(record)
    machines = [Machine(record, store, f"machine-{n}", f"127.0.0.{20 + n}", "scan") for n in (1, 2, 3)]
    try:
        return judge(record, store, machines)
    finally:
        for machine in machines:
            machine.end()


def judge(record, store, machines):
    first = ("r-preview", "/preview/", "idempotent", "scan", {"target_latency_ms": 4000, "timeout_ms": 6000})
    times = {"target_latency_ms": 200, "timeout_ms": 600}
    added = [(f"r-probe-{n}", f"/probe-{n}/", "idempotent", "scan", times) for n in range(ADDED_ROUTES)]
    store.put("op/config", config(3, [first], ["scan"]))
    for machine in machines:
        machine.start()
    endpoints = [MixedEndpoint(record, machine, f"i-{machine.node}") for machine in machines]
    for machine in machines:
        wait_for("readiness", machine.is_ready)
    for endpoint in endpoints:
        endpoint.keep_beating()

    served, sent, lock = {"first": 0, "added": 0}, {"first": 0, "added": 0}, threading.Lock()
    is_over = threading.Event()

    def call(kind, machine, path, number, deadline_ms):
        status, _, _ = machine.send("GET", path, f"{kind}-{number}", deadline_ms=deadline_ms)
        with lock:
            sent[kind] += 1
            served[kind] += status == 200

    def call_first():
        number = 0
        while not is_over.is_set():
            arguments = ("first", machines[number % 3], f"/preview/{number}", number, 6000)
            threading.Thread(target=call, args=arguments).start()
            number += 1
            is_over.wait(0.15)

    caller = threading.Thread(target=call_first)
    caller.start()
    try:
        time.sleep(10)
        store.put("op/config", config(5, [first, *added], ["scan"]))
        # In steady state: longer than `configApply` and `contact` after the change.
        time.sleep(6)
        chance = random.Random(1)
        calls = []
        for number in range(REQUESTS):
            path = f"/probe-{chance.randrange(ADDED_ROUTES)}/{number}"
            arguments = ("added", machines[chance.randrange(3)], path, number, 600)
            calls.append(threading.Thread(target=call, args=arguments))
            calls[-1].start()
            time.sleep(INTERVAL_S)
        for one in calls:
            one.join()
    finally:
        is_over.set()
        caller.join()
    time.sleep(2)
    record.line(f"sent {sent}, served {served}")
    shares = {kind: served[kind] / sent[kind] for kind in sent}
    return 1 if shares["added"] * 4 < shares["first"] else 0


def main():
    record = Record(sys.argv[1])
    try:
        result = play(record)
    except Exception as error:
        record.line(f"the case could not run: {error!r}")
        result = 2
    record.line(f"result {result}")
    sys.exit(result)


main()
