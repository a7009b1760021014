"""A small deployment on loopback addresses: the platform's store, endpoints, daemons and clients."""

import base64
import http.client
import http.server
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse
from pathlib import Path

import codec

REPOSITORY = Path(__file__).resolve().parent.parent.parent
STARTED = time.monotonic()


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def line(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - STARTED:8.3f} {text}\n")
            self._file.flush()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            parts = []
            while size := int(self.rfile.readline().split(b";")[0], 16):
                parts.append(self.rfile.read(size))
                self.rfile.readline()
            self.rfile.readline()
            return b"".join(parts)
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


def serve(address, handler):
    server = Server(address, handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's store: linearizable, with revisions, history, leases and transactions."""

    def __init__(self, record, ip="127.0.0.10", era=1):
        self.record, self.era = record, era
        self._changed = threading.Condition()
        self.revision, self.items, self.history, self.leases = 1, {}, [], {}
        self._next_lease = 70_000
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store._handle(self)

            def do_POST(self):
                store._handle(self)

            def do_DELETE(self):
                store._handle(self)

        self.server = serve((ip, 0), StoreHandler)
        self.address = "%s:%d" % self.server.server_address

    def put(self, key, value):
        """Writes a key as the operator does; the return is the acknowledgement."""
        with self._changed:
            self.revision += 1
            self._write(key, codec.encode(value), 0)
            self._changed.notify_all()
        self.record.line(f"operator wrote {key} at revision {self.revision}: {value}")

    def value(self, key):
        with self._changed:
            item = self.items.get(key)
        return item and codec.decode(base64.b64decode(item["value"]))

    def copy(self):
        """Returns a copy of everything that the store has."""
        with self._changed:
            return (self.revision, {k: dict(v) for k, v in self.items.items()}, list(self.history), dict(self.leases))

    def return_to(self, copy):
        """Comes back from a copy under the next era."""
        with self._changed:
            self.revision, items, history, leases = copy
            self.items = {k: dict(v) for k, v in items.items()}
            self.history, self.leases = list(history), dict(leases)
            self.era += 1
            self._changed.notify_all()
        self.record.line(f"store is back from a copy at revision {self.revision}, era {self.era}")

    def _write(self, key, value, lease):
        former = self.items.get(key)
        created = former["created_revision"] if former else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created_revision": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None):
            self.history.append({"key": key, "revision": self.revision, "removed": True})

    def _expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, until) in self.leases.items() if until <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._changed.notify_all()

    def _handle(self, request):
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        body = request.body()
        call = url.path.removeprefix("/fuchsiashore/")
        with self._changed:
            self._expire()
            status, answer = self._call(call, query, body and codec.decode(body))
            era = self.era
        content = codec.encode(answer) if answer is not None else b""
        request.answer(status, content, [("Content-Type", "application/msgpack"), ("Store-Era", str(era))])

    def _call(self, call, query, body):
        if call == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, None)
        if call == "kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500, "store_revision": self.revision}
        if call == "kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
            era = self.era
            while True:
                if after > self.revision or era != self.era:
                    return 410, None
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(query["prefix"])]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                self._changed.wait(min(left, 0.5))
                self._expire()
        if call == "kv-txn":
            return self._transact(body)
        if call == "kv-lease":
            self._next_lease += 1
            ttl = body["ttl_ms"]
            self.leases[self._next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self._next_lease, "ttl_ms": ttl}
        lease = int(call.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, None
        ttl, _ = self.leases[lease]
        if call.startswith("kv-keep/"):
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        else:
            self._end_lease(lease)
        return 200, {"ttl_ms": ttl}

    def _transact(self, body):
        present = lambda key: self.items.get(key, {"key": key, "revision": 0})
        conditions = body.get("conditions") or []
        if any(present(row["key"])["revision"] != row["revision"] for row in conditions):
            return 412, {"items": [present(row["key"]) for row in conditions]}
        writes, deletes = body.get("writes") or [], body.get("deletes") or []
        if any(write["key"].startswith(("op/", "servers/")) for write in writes):
            return 403, None
        if any(write["lease"] and write["lease"] not in self.leases for write in writes):
            return 404, None
        self.revision += 1
        for write in writes:
            self._write(write["key"], base64.b64decode(write["value"]), write["lease"])
        for key in deletes:
            self._remove(key)
        self._changed.notify_all()
        return 200, {"revision": self.revision}


class Endpoint:
    """One start of an application endpoint."""

    def __init__(self, record, machine, name, born=None, version="v1", slots=12, work_s=0.02, beat_s=1.5):
        self.record, self.machine, self.name, self.version = record, machine, name, version
        self.slots, self.work_s, self.beat_s = slots, work_s, beat_s
        self.born = born or int(time.time() * 1000)
        self.sequence, self.arrivals, self.is_ended = 0, [], False
        self._lock = threading.Lock()
        endpoint = self

        class EndpointHandler(Handler):
            def handle_any(self):
                endpoint._handle(self)

            do_GET = do_POST = do_PUT = do_HEAD = do_DELETE = handle_any

        self.server = serve((machine.ip, machine.app_port), EndpointHandler)
        record.line(f"endpoint {name} of {machine.service} starts at {machine.ip}:{machine.app_port}, born {self.born}")

    def _handle(self, request):
        body = request.body()
        sent = request.headers
        wanted, attempt = sent.get("Target-Instance"), sent.get("Attempt-Id")
        echo = [("Attempt-Id", attempt)] if attempt else []
        if request.path == "/health":
            return request.answer(200, b"", [("Instance-Id", self.name)])
        if wanted is not None and wanted != self.name:
            self.record.line(f"endpoint {self.name} rejects {attempt}, which is for {wanted}: 421")
            return request.answer(421, b"", [("Instance-Id", self.name), ("Not-Executed", "1"), *echo])
        if attempt is None:
            return request.answer(400, b"", [("Not-Executed", "1")])
        with self._lock:
            self.arrivals.append((time.monotonic(), attempt))
        self.record.line(f"endpoint {self.name} runs {request.command} {request.path} {attempt}")
        time.sleep(self.work_s)
        request.answer(200, f"{self.name} {attempt} {len(body)}".encode(), [("Response-Stamp", f"{self.name}.{attempt}"), *echo])

    def say(self, method, state="ready", sequence=None):
        """Sends a heartbeat or a departure. Returns the status; `None` without an answer within a second."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        message = {"service": self.machine.service, "address": f"{self.machine.ip}:{self.machine.app_port}",
                   "zone": self.machine.zone, "version": self.version, "slots": self.slots, "state": state,
                   "cold_ms": 0, "sequence": sequence, "born": self.born}
        if method == "DELETE":
            message = {"born": self.born}
        connection = http.client.HTTPConnection(self.machine.ip, self.machine.control_port, timeout=1)
        try:
            connection.request(method, f"/fuchsiashore/instances/{self.name}", codec.encode(message),
                               {"Content-Type": "application/msgpack"})
            status = connection.getresponse().status
        except OSError:
            status = None
        finally:
            connection.close()
        what = f"sequence {sequence} {state}" if method == "PUT" else "gone"
        self.record.line(f"endpoint {self.name} says {method} {what}: {status}")
        return status

    def keep_beating(self):
        def beat():
            while not self.is_ended:
                self.say("PUT")
                time.sleep(self.beat_s)
        threading.Thread(target=beat, daemon=True).start()

    def crash(self):
        """Ends without a word."""
        self.is_ended = True
        self.server.shutdown()
        self.server.server_close()
        self.record.line(f"endpoint {self.name} has crashed")


class Machine:
    """A machine with one daemon, started by the deploy file."""

    def __init__(self, record, store, node, ip, service, zone="zone-a", bounds=(), memory_mb=260):
        self.record, self.node, self.ip, self.service, self.zone = record, node, ip, service, zone
        ports = free_ports(ip, 8)
        self.outbound_port, self.inbound_port, self.ready_port, self.control_port, self.app_port = ports[:5]
        internal = sorted(ports[5:7])
        address = lambda port: f"{ip}:{port}"
        self.settings = {
            "node": node, "ip": ip, "zone": zone, "region": "region", "service": service,
            "appAddr": address(self.app_port),
            "listen": {"inbound": address(self.inbound_port), "outbound": address(self.outbound_port),
                       "ready": address(self.ready_port), "control": address(self.control_port)},
            "internalPorts": internal, "limits": {"linkMbps": 1000.0, "memoryMb": memory_mb},
            "platform": {"address": store.address},
            "bounds": {"extra_retries": 60, "grace_s": 6, "drain_ms": 2000, **dict(bounds)},
        }
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["daemon"]
        self._command = role["run"].split()
        self._folder = tempfile.TemporaryDirectory()
        self._file = Path(self._folder.name) / "settings.ini"
        template = (REPOSITORY / role["template"]).read_text()
        self._file.write_text(render(template, self.settings))
        self._log = open(os.environ.get("DAEMON_LOGS", self._folder.name) + f"/{node}.log", "ab")
        self.process = None

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "FUCHSIASHORE_NODE_FILE": str(self._file)}
        self.process = subprocess.Popen(self._command, cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self._log, stderr=self._log)
        self.record.line(f"daemon {self.node} starts, process {self.process.pid}")

    def signal(self, number):
        self.process.send_signal(number)
        self.record.line(f"daemon {self.node} gets {signal.Signals(number).name}")

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.record.line(f"daemon {self.node} is killed")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self._log.close()
        self._folder.cleanup()

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, self.ready_port, timeout=1)
            connection.request("GET", "/fuchsiashore/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def send(self, method, path, attempt, body=None, deadline_ms=2500, headers=()):
        """Sends one client attempt on a connection of its own. Returns status, headers and body."""
        self.record.line(f"client sends {method} {path} {attempt} to {self.node}")
        connection = http.client.HTTPConnection(self.ip, self.outbound_port, timeout=deadline_ms / 1000)
        try:
            fields = {"Host": "shop.example", "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms), **dict(headers)}
            connection.request(method, path, body, fields)
            answer = connection.getresponse()
            result = answer.status, dict(answer.getheaders()), answer.read()
        except (OSError, http.client.HTTPException) as error:
            result = None, {}, repr(error).encode()
        finally:
            connection.close()
        self.record.line(f"client has for {attempt}: {result[0]} {result[2][:90]!r}")
        return result


def render(template, values):
    """Fills a template in as the platform does."""
    def look_up(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    section = re.compile(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.S)
    text = section.sub(lambda found: found[2] if look_up(found[1]) else "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str("" if look_up(found[1]) is None else look_up(found[1])), text)


def free_ports(ip, count):
    """Returns ports that are free at this address and at 127.0.0.1, below the range of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10_000, 30_000)
        if port not in ports and all(is_free(address, port) for address in (ip, "127.0.0.1")):
            ports.append(port)
    return ports


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind((ip, port))
            except OSError:
                return False
    return True


def wait_for(what, is_met, limit_s=20, pause_s=0.05):
    until = time.monotonic() + limit_s
    while not is_met():
        if time.monotonic() > until:
            raise TimeoutError(what)
        time.sleep(pause_s)


def config(version, routes, services, **further):
    rows = [{"name": name, "hostname": "shop.example", "prefix": prefix, "repeat": repeat, "timeout_ms": 3000,
             "target_latency_ms": 800, "priority": 1, "service": service, "attempts": 2, **extra}
            for name, prefix, repeat, service, extra in routes]
    rows_of_services = [{"name": name, "healthPath": "/health", "maxConnections": 120} for name in services]
    limits = {"head_bytes": 16384, "body_bytes": 67108864, "head_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": version, "routes": rows, "services": rows_of_services, "limits": limits, **further}
