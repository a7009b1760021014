"""Stand-in of the platform's store: keys, revisions, history, leases, transactions and the return from an older copy."""

import asyncio
import base64
import copy
import time
from urllib.parse import parse_qs, urlsplit

import http11
import msgpack

PAGE_ITEMS = 500
# Time that an answer takes, as the sheets of the deployments state.
ANSWER_S = 0.004


class Store:
    """The store. All answers bear the era."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.era = 1
        self.is_away = False
        # Times at which leases were renewed.
        self.renewals = []
        self._changed = asyncio.Event()

    async def start(self, ip, port):
        self.server = await http11.serve(ip, port, self._handle)

    # What operators do.

    def put(self, key, value):
        """Writes a key as an operator does, and returns its revision."""
        self.revision += 1
        self._write(key, base64.b64encode(msgpack.encode(value)).decode(), 0)
        self._notify()
        return self.revision

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else msgpack.decode(base64.b64decode(item["value"]))

    # The drill.

    def snapshot(self):
        return copy.deepcopy((self.revision, self.items, self.history, self.leases))

    def go_away(self):
        """Answers 503 to every call from now on; waiting watches are cut."""
        self.is_away = True
        self._notify()

    def come_back(self, snapshot, rewritten):
        """Comes back from a copy in the next era. The keys in `rewritten` are written again, in this order."""
        self.revision, self.items, self.history, self.leases = copy.deepcopy(snapshot)
        self.era += 1
        for key, value in rewritten:
            self.put(key, value)
        self.is_away = False
        self._notify()

    # The calls.

    async def _handle(self, request):
        body = await request.read_body()
        await asyncio.sleep(ANSWER_S)
        url = urlsplit(request.target)
        call = url.path.removeprefix("/fuchsiashore/")
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self.is_away:
            return self._answer(503)
        self._expire()
        if call == "kv-key":
            item = self.items.get(query["key"])
            return self._answer(404) if item is None else self._answer(200, {**item, "store_revision": self.revision})
        if call == "kv-range":
            return self._range(query)
        if call == "kv-watch":
            return await self._watch(query)
        if call == "kv-txn":
            return self._transact(msgpack.decode(body))
        if call == "kv-lease":
            ttl_ms = msgpack.decode(body)["ttl_ms"]
            lease = max(self.leases, default=1000) + 1
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return self._answer(200, {"lease": lease, "ttl_ms": ttl_ms})
        if call.startswith("kv-keep/"):
            return self._keep(int(call.removeprefix("kv-keep/")))
        return self._answer(404)

    def _answer(self, status, body=None):
        headers = [("Store-Era", self.era), ("Content-Type", "application/msgpack")]
        return http11.answer_bytes(status, headers, b"" if body is None else msgpack.encode(body))

    def _range(self, query):
        keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return self._answer(200, {"items": items, "has_more": len(keys) > PAGE_ITEMS, "store_revision": self.revision})

    async def _watch(self, query):
        after, prefix, era = int(query["after"]), query["prefix"], self.era
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.is_away:
                return None
            if self.era != era or after > self.revision:
                return self._answer(410)
            events = [item for item in self.history if item["revision"] > after and item["key"].startswith(prefix)]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return self._answer(200, {"events": events, "store_revision": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def _transact(self, request):
        conditions = request.get("conditions", [])
        absent = {"value": "", "revision": 0, "created_revision": 0, "lease": 0}
        current = [self.items.get(row["key"], {"key": row["key"], **absent}) for row in conditions]
        if any(item["revision"] != row["revision"] for item, row in zip(current, conditions)):
            return self._answer(412, {"items": current})
        writes, deletes = request.get("writes", []), request.get("deletes", [])
        if any(row["lease"] and row["lease"] not in self.leases for row in writes):
            return self._answer(404)
        self.revision += 1
        for row in writes:
            self._write(row["key"], row["value"], row["lease"])
        for key in deletes:
            self._remove(key)
        self._notify()
        return self._answer(200, {"revision": self.revision})

    def _keep(self, lease):
        if lease not in self.leases:
            return self._answer(404)
        self.renewals.append(time.monotonic())
        ttl_ms, _ = self.leases[lease]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return self._answer(200, {"lease": lease, "ttl_ms": ttl_ms})

    def _write(self, key, value, lease):
        created = self.items.get(key, {}).get("created_revision", self.revision)
        item = {"key": key, "value": value, "revision": self.revision, "created_revision": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "removed": True})

    def _expire(self):
        ended = [lease for lease, (_, until) in self.leases.items() if until <= time.monotonic()]
        for lease in ended:
            del self.leases[lease]
            keys = [key for key, item in self.items.items() if item["lease"] == lease]
            if keys:
                self.revision += 1
                for key in keys:
                    self._remove(key)
                self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()
