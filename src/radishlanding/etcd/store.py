"""Client of the JSON gateway of etcd v3.

It uses the gRPC gateway of etcd 3.4 and later, under ``/v3``.
"""

import base64
import json

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.store import KeyValue
from radishlanding.store import StoreUnavailable

CALL_TIMEOUT_S = 1.5
MAX_ANSWER_BYTES = 64 * 1024 * 1024


def _b64(value):
    data = value if isinstance(value, bytes) else value.encode()
    return base64.b64encode(data).decode("ascii")


def _prefix_end(prefix):
    """Return the first key after all keys with the prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _key_value(kv):
    return KeyValue(
        key=base64.b64decode(kv["key"]).decode(),
        value=base64.b64decode(kv.get("value", "")),
        version=int(kv["mod_revision"]),
    )


class EtcdStore:
    """A :class:`radishlanding.store.Store` in etcd over HTTP/1.1."""

    __slots__ = ("_budget", "_client", "_counters")

    def __init__(self, *, address, budget, counters):
        """Initialise without connecting.

        :param address: ``ip:port`` of the gateway.
        :param budget: A :class:`radishlanding.store.CallBudget`.
        :param counters: Counters of the process.
        """
        self._client = HttpClient(
            address=address, max_body_bytes=MAX_ANSWER_BYTES
        )
        self._budget = budget
        self._counters = counters

    async def _call(self, path, request):
        await self._budget.acquire(timeout_s=CALL_TIMEOUT_S)
        self._counters.add("store_calls")
        try:
            response = await self._client.send(
                "POST",
                f"/v3/{path}",
                body=json.dumps(request).encode(),
                timeout_s=CALL_TIMEOUT_S,
            )
            answer = response.json()
        except (ExchangeFailed, ValueError) as exc:
            self._counters.add("store_failures")
            was_sent = getattr(exc, "was_sent", True)
            raise StoreUnavailable(str(exc), was_sent=was_sent) from exc
        if response.status != 200:
            self._counters.add("store_failures")
            raise StoreUnavailable(
                f"status {response.status}: {answer.get('message', '')}",
                was_sent=True,
            )
        return answer

    async def get(self, key):
        """Return a key, None if it is absent."""
        answer = await self._call("kv/range", {"key": _b64(key)})
        kvs = answer.get("kvs", [])
        return _key_value(kvs[0]) if kvs else None

    async def scan(self, prefix, *, start="", limit=0):
        """Return the keys of a prefix in order."""
        answer = await self._call(
            "kv/range",
            {
                "key": _b64(start or prefix),
                "range_end": _b64(_prefix_end(prefix)),
                "limit": str(limit),
            },
        )
        return [_key_value(kv) for kv in answer.get("kvs", [])]

    async def _compare_and_put(self, key, value, *, compare, lease=0):
        put = {"key": _b64(key), "value": _b64(value)}
        if lease:
            put["lease"] = str(lease)
        answer = await self._call(
            "kv/txn",
            {
                "compare": [{"key": _b64(key), "result": "EQUAL", **compare}],
                "success": [{"request_put": put}],
            },
        )
        return bool(answer.get("succeeded", False))

    async def create(self, key, value, *, lease=0):
        """Create a key if it is absent; return whether it was."""
        compare = {"target": "CREATE", "create_revision": "0"}
        return await self._compare_and_put(
            key, value, compare=compare, lease=lease
        )

    async def swap(self, key, value, *, version):
        """Replace the value of a key if the key has the expected version."""
        compare = {"target": "MOD", "mod_revision": str(version)}
        return await self._compare_and_put(key, value, compare=compare)

    async def delete(self, start, end):
        """Delete the keys from start (inclusive) to end (exclusive)."""
        await self._call(
            "kv/deleterange", {"key": _b64(start), "range_end": _b64(end)}
        )

    async def grant(self, *, ttl_s):
        """Grant a lease and return its identity."""
        answer = await self._call("lease/grant", {"TTL": str(ttl_s)})
        return int(answer["ID"])

    async def keep_alive(self, lease):
        """Extend a lease; return whether it still exists."""
        answer = await self._call("lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def revoke(self, lease):
        """Revoke a lease, which deletes its keys."""
        await self._call("lease/revoke", {"ID": str(lease)})
