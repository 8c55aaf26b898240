"""The platform's metadata store.

Source: the platform's page "What radishlanding speaks", section on the
metadata store.
"""

import base64
import json
import time
import urllib.parse

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.store import ChangeSet
from radishlanding.store import Conflict
from radishlanding.store import HistoryCompacted
from radishlanding.store import KeyValue
from radishlanding.store import LeaseExpired
from radishlanding.store import Listing
from radishlanding.store import StoreUnavailable

# The store answers in 4 ms; this leaves room for a store 100 times slower.
CALL_TIMEOUT_S = 0.8
# A watch is answered when its wait is over; more means a silent connection.
WATCH_SLACK_S = 0.8
# Pages hold about 1 MB of values, in base64 and JSON.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
HEADERS = (("content-type", "application/json"),)
# Statuses that say that the call had no effect.
REFUSED_STATUSES = (403, 429, 503)


def _item(raw):
    return KeyValue(
        key=raw["key"],
        value=base64.b64decode(raw.get("value", "")),
        version=int(raw["revision"]),
    )


class KvStore:
    """A :class:`radishlanding.store.TransactionalStore` over HTTP/1.1."""

    __slots__ = ("_budget", "_client", "_counters")

    def __init__(self, *, address, budget, counters):
        """Prepare a store without connecting.

        :param address: ``ip:port`` of the store.
        :param budget: A :class:`radishlanding.store.CallBudget`.
        :param counters: Counts of the process.
        """
        self._client = HttpClient(
            address=address, max_body_bytes=MAX_ANSWER_BYTES
        )
        self._budget = budget
        self._counters = counters

    async def _call(
        self, method, path, *, query=None, value=None, timeout_s=CALL_TIMEOUT_S
    ):
        """Return status and body of a call that the store has carried out."""
        await self._budget.acquire(timeout_s=CALL_TIMEOUT_S)
        self._counters.add("store_calls")
        target = f"/-/{path}"
        if query:
            target = f"{target}?{urllib.parse.urlencode(query)}"
        body = b"" if value is None else json.dumps(value).encode()
        began_s = time.monotonic()
        try:
            response = await self._client.send(
                method,
                target,
                body=body,
                headers=HEADERS,
                timeout_s=timeout_s,
            )
            answer = response.json()
        except ExchangeFailed as exc:
            self._counters.add("store_failures")
            raise StoreUnavailable(
                f"{path}: {exc}", was_sent=exc.was_sent
            ) from exc
        except ValueError as exc:
            self._counters.add("store_failures")
            raise StoreUnavailable(f"{path}: {exc}", was_sent=True) from exc
        self._counters.record_duration(
            f"store_{path.partition('/')[0].replace('-', '_')}",
            since_s=began_s,
            now_s=time.monotonic(),
        )
        if response.status in REFUSED_STATUSES or response.status >= 500:
            self._counters.add("store_failures")
            raise StoreUnavailable(
                f"{path}: status {response.status}",
                was_sent=response.status not in REFUSED_STATUSES,
            )
        return response.status, answer

    def _unexpected(self, path, status):
        self._counters.add("store_failures")
        return StoreUnavailable(f"{path}: status {status}", was_sent=True)

    async def get(self, key):
        """Return a key, None if it is absent."""
        status, answer = await self._call("GET", "kv-key", query={"key": key})
        if status == 404:
            return None
        if status != 200:
            raise self._unexpected("kv-key", status)
        return _item(answer)

    async def list(self, prefix, *, is_stale_ok=False, timeout_s=None):
        """Return the keys of a prefix in order."""
        timeout_s = timeout_s or CALL_TIMEOUT_S
        query = {"prefix": prefix}
        if is_stale_ok:
            query["serializable"] = "1"
        items, revision = [], None
        while True:
            status, answer = await self._call(
                "GET", "kv-range", query=query, timeout_s=timeout_s
            )
            if status != 200:
                raise self._unexpected("kv-range", status)
            items += [_item(raw) for raw in answer["items"]]
            if revision is None:
                revision = int(answer["storeRevision"])
            if not answer.get("morePages") or not answer["items"]:
                return Listing(items=items, revision=revision)
            query["after"] = answer["items"][-1]["key"]

    async def watch(self, prefix, *, after, wait_s):
        """Return the changes after a revision."""
        status, answer = await self._call(
            "GET",
            "kv-watch",
            query={
                "prefix": prefix,
                "after": after,
                "waitMs": int(wait_s * 1000),
            },
            timeout_s=wait_s + WATCH_SLACK_S,
        )
        if status == 410:
            raise HistoryCompacted(f"{prefix}: after {after}")
        if status != 200:
            raise self._unexpected("kv-watch", status)
        written, deleted = {}, {}
        for event in answer["events"]:
            key = event["key"]
            if event.get("deleted"):
                deleted[key] = True
                written.pop(key, None)
            else:
                written[key] = _item(event)
                deleted.pop(key, None)
        return ChangeSet(
            written=list(written.values()),
            deleted=list(deleted),
            revision=int(answer["storeRevision"]),
        )

    async def transact(self, *, expected, writes=(), removes=()):
        """Write and remove keys if others have the expected versions."""
        request = {
            "expectedRev": [
                {"key": key, "revision": version}
                for key, version in expected.items()
            ],
            "writes": [
                {
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode("ascii"),
                    **({"lease": write.lease} if write.lease else {}),
                }
                for write in writes
            ],
            "remove": list(removes),
        }
        status, answer = await self._call("POST", "kv-txn", value=request)
        if status == 412:
            raise Conflict(", ".join(expected))
        if status == 404:
            raise LeaseExpired(", ".join(write.key for write in writes))
        if status != 200:
            raise self._unexpected("kv-txn", status)
        return int(answer["revision"])

    async def grant(self, *, ttl_s):
        """Return the identity of a new lease."""
        status, answer = await self._call(
            "POST", "kv-lease", value={"ttlMs": int(ttl_s * 1000)}
        )
        if status != 200:
            raise self._unexpected("kv-lease", status)
        return int(answer["lease"])

    async def keep_alive(self, lease):
        """Extend a lease; return whether it still exists."""
        status, _ = await self._call("POST", f"kv-keep/{lease}")
        if status not in (200, 404):
            raise self._unexpected("kv-keep", status)
        return status == 200

    async def revoke(self, lease):
        """End a lease and delete its keys."""
        status, _ = await self._call("DELETE", f"kv-lease-end/{lease}")
        if status not in (200, 404):
            raise self._unexpected("kv-lease-end", status)
