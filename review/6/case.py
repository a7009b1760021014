"""A departure that is acknowledged before the first heartbeat of its endpoint has come."""

import os
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))

from deployment import Endpoint, Machine, Record, Store, config, wait_for  # noqa: E402

DRAIN_S = 2.0
HEARTBEAT_LATE_S = 5.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def play(record):
    store = Store(record)
    machines = [Machine(record, store, f"machine-{n}", f"127.0.0.{20 + n}", "stock") for n in (1, 2)]
    try:
        return judge(record, store, machines)
    finally:
        for machine in machines:
            machine.end()


def judge(record, store, machines):
    store.put("op/config", config(3, [("r-stock", "/stock/", "idempotent", "stock", {})], ["stock"]))
    for machine in machines:
        machine.start()
    first = Endpoint(record, machines[0], "i-first")
    other = Endpoint(record, machines[1], "i-other")
    for machine in machines:
        wait_for("readiness", machine.is_ready)
    for endpoint in (first, other):
        endpoint.keep_beating()

    numbers = iter(range(1_000_000))

    def call():
        number = next(numbers)
        return machines[number % 2].send("GET", f"/stock/{number}", f"a-{number}")[0]

    def is_served():
        call()
        return first.arrivals and other.arrivals

    wait_for("both endpoints to serve", is_served)
    time.sleep(4)
    first.crash()
    time.sleep(1)
    second = Endpoint(record, machines[0], "i-second")
    if TROUBLE:
        second.sequence += 1
        late = threading.Timer(HEARTBEAT_LATE_S, second.say, ["PUT", "ready", second.sequence])
        record.line("the first heartbeat of i-second is on its way, and late")
        late.start()
    else:
        second.say("PUT")
    time.sleep(1)
    status = second.say("DELETE")
    if status is None or not 200 <= status < 300:
        record.line(f"the departure was not acknowledged: {status}")
        return 0
    bound_until = time.monotonic() + DRAIN_S
    served_until = time.monotonic() + 12
    while time.monotonic() < served_until:
        call()
        time.sleep(0.03)
    too_late = [attempt for at, attempt in second.arrivals if at > bound_until]
    record.line(f"requests that reached i-second over {DRAIN_S} s after the acknowledgement: {len(too_late)}")
    return 1 if too_late else 0


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
