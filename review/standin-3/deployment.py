"""A small deployment on loopback addresses: the store, and machines with the daemon of the deploy file."""

import asyncio
import contextlib
import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import http11
import store as store_module
from relay import Relay

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0


class CaseUnusable(Exception):
    """The case could not run, for reasons that say nothing about the rule."""


class Record:
    """What was sent, answered and run, as lines of JSON."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        self.events = []
        self._file = open(path, "w", encoding="utf-8")

    def write(self, event, at=None, **fields):
        at = time.monotonic() if at is None else at
        self.events.append({"event": event, "at": at, **fields})
        self._file.write(json.dumps({"at_s": round(at - self.began_at, 3), "event": event, **fields}) + "\n")
        self._file.flush()

    def of(self, event):
        return [entry for entry in self.events if entry["event"] == event]


# Ports below those that connections take by themselves, in blocks, so that cases beside each other seldom meet.
_PORTS = iter(range(20_000 + os.getpid() % 50 * 200, 32_000))


def _free_port(ip):
    for port in _PORTS:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            return port
    raise CaseUnusable("no port is free")


class Machine:
    """A machine with the addresses of its daemon and its endpoint."""

    def __init__(self, name, zone, service):
        self.name = name
        self.zone = zone
        self.service = service
        self.ip = "127.0.0.1"
        names = ["inbound", "outbound", "ready", "control", "app", "internal", "operators"]
        ports = {name: _free_port(self.ip) for name in names}
        self.inbound_port, self.outbound_port = ports["inbound"], ports["outbound"]
        self.ready_port, self.control_port = ports["ready"], ports["control"]
        self.app_port, self.internal_ports = ports["app"], (ports["internal"], ports["operators"])
        self.process = None

    async def is_ready(self):
        head = f"GET /fuchsiashore/ready HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode()
        status, _, _ = await http11.exchange(self.ip, self.ready_port, head, timeout_s=1.0)
        return status == 200


class Deployment:
    """The store and the machines. Ends everything that it started when it is left."""

    def __init__(self, record, bounds, limits):
        self.record = record
        self.bounds = bounds
        self.limits = limits
        self.store = store_module.Store()
        # Where daemons connect; a relay may stand there, before the store.
        self.store_port = self.daemons_store_port = _free_port("127.0.0.1")
        self.machines = []
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.role = tomllib.load(file)["roles"]["daemon"]
        self._folder = tempfile.TemporaryDirectory(prefix="fuchsiashore-review-")

    async def __aenter__(self):
        if not (ROOT / self.role["run"].split()[0]).exists():
            raise CaseUnusable("the build of the deploy file is missing")
        await self.store.start("127.0.0.1", self.store_port)
        return self

    async def __aexit__(self, *_):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
            if machine.process:
                machine.process.wait()
        self._folder.cleanup()

    async def put_relay_before_store(self):
        self.daemons_store_port = _free_port("127.0.0.1")
        relay = Relay("127.0.0.1", self.daemons_store_port, self.store_port)
        await relay.start()
        return relay

    def start_machine(self, name, zone, service):
        machine = Machine(name, zone, service)
        self.machines.append(machine)
        self.start_daemon(machine)
        return machine

    def start_daemon(self, machine):
        path = Path(self._folder.name) / f"{machine.name}.ini"
        template = (ROOT / self.role["template"]).read_text(encoding="utf-8")
        path.write_text(_render(template, self._settings(machine)), encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FUCHSIASHORE_NODE_FILE"] = str(path)
        with open(Path(self._folder.name) / f"{machine.name}.log", "ab") as log:
            machine.process = subprocess.Popen(self.role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def wait_until_ready(self):
        until = time.monotonic() + READY_TIMEOUT_S
        for machine in self.machines:
            while not await machine.is_ready():
                if machine.process.poll() is not None:
                    raise CaseUnusable(f"{machine.name} ended: {self.log(machine)[-500:]}")
                if time.monotonic() > until:
                    raise CaseUnusable(f"{machine.name} is not ready after {READY_TIMEOUT_S} s")
                await asyncio.sleep(0.1)

    def log(self, machine):
        return (Path(self._folder.name) / f"{machine.name}.log").read_text(encoding="utf-8", errors="replace")

    def _settings(self, machine):
        """Returns the fields of a settings file, under the names of `deploy/wire.toml`."""
        ip = machine.ip
        return {
            "node": machine.name,
            "ip": ip,
            "zone": machine.zone,
            "region": "region",
            "listen": {
                "inbound": f"{ip}:{machine.inbound_port}",
                "outbound": f"{ip}:{machine.outbound_port}",
                "ready": f"{ip}:{machine.ready_port}",
                "control": f"{ip}:{machine.control_port}",
            },
            "internalPorts": list(machine.internal_ports),
            "limits": self.limits,
            "bounds": self.bounds,
            "appAddr": f"{ip}:{machine.app_port}",
            "service": machine.service,
            "platform": {"address": f"127.0.0.1:{self.daemons_store_port}"},
        }


def _look_up(fields, path):
    value = fields
    for name in path.split("."):
        if isinstance(value, list):
            value = value[int(name)] if int(name) < len(value) else None
        else:
            value = value.get(name) if isinstance(value, dict) else None
    return value


def _render(template, fields):
    """Fills a template as the platform's pages tell: sections that are rendered if there is a value, and values."""

    def section(match):
        return match.group(2) if _look_up(fields, match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: _text(_look_up(fields, match.group(1))), text)


def _text(value):
    return "" if value is None else str(value)


def request_head(method, path, host, attempt, deadline_ms, length):
    """Returns the head of a client's request."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def run_case(case):
    """Runs a case, which returns the text of a broken rule or None, and returns the exit code of its script."""
    try:
        fault = asyncio.run(asyncio.wait_for(case(), 110))
    except Exception as error:  # Whatever fails here says nothing about the rule.
        text = f"could not run: {error!r}"
        with open(sys.argv[1], "a", encoding="utf-8") as record:
            record.write(text + "\n")
        print(text)
        return 2
    if fault:
        print(f"broken: {fault}")
        return 1
    print("held")
    return 0
