"""Fake of etcd's v3 JSON gateway.

Serves the calls that are used: range, transactions on one key, range deletes
and leases.
"""

import base64
import copy
import itertools
import json
import time

import trio

from radishlanding.http import HttpError
from radishlanding.http import HttpResponse

SWEEP_INTERVAL_S = 0.05


class FakeStore:
    """Keep keys in memory, expire leases and count calls."""

    __slots__ = (
        "_keys",
        "_lease_ids",
        "_leases",
        "_revision",
        "calls",
        "writes",
    )

    def __init__(self):
        """Start empty."""
        self._lease_ids = itertools.count(1)
        self._keys = {}
        self._leases = {}
        self._revision = 1
        self.calls = 0
        self.writes = 0

    async def sweep(self):
        """Expire leases until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            for lease, (_, expires_s) in list(self._leases.items()):
                if expires_s < now_s:
                    self._remove_lease(lease)

    def _remove_lease(self, lease):
        self._leases.pop(lease, None)
        for key, kv in list(self._keys.items()):
            if kv["lease"] == lease:
                del self._keys[key]
                self._revision += 1

    def expire_all_leases(self):
        """Expire every lease at once."""
        for lease in list(self._leases):
            self._remove_lease(lease)

    def dump(self):
        """Return a copy of all keys, for :meth:`restore`."""
        return copy.deepcopy(self._keys)

    def restore(self, content):
        """Roll back to older content, without keys of expired leases.

        :param content: A result of :meth:`dump`.
        """
        self._keys = {
            key: kv
            for key, kv in copy.deepcopy(content).items()
            if not kv["lease"] or kv["lease"] in self._leases
        }
        self._revision += 1

    def restore_key(self, key, content):
        """Roll back one key to older content.

        :param content: A result of :meth:`dump`.
        """
        self._revision += 1
        self._keys[key.encode()] = {
            **content[key.encode()],
            "mod": self._revision,
        }

    async def respond(self, req):
        """Return the response to a call."""
        self.calls += 1
        fields = req.json()
        calls = {
            "kv/range": self._range,
            "kv/txn": self._txn,
            "kv/deleterange": self._delete,
            "lease/grant": self._grant,
            "lease/keepalive": self._keep_alive,
            "lease/revoke": self._revoke,
        }
        call = calls.get("/".join(req.path[1:]))
        if req.method != "POST" or call is None:
            raise HttpError(status=404, reason=f"no {req.target}")
        if call not in (self._range,):
            self.writes += 1
        return HttpResponse.of_json(call(fields))

    def _select_keys(self, fields):
        start = base64.b64decode(fields["key"])
        if "range_end" not in fields:
            return [start] if start in self._keys else []
        end = base64.b64decode(fields["range_end"])
        return sorted(key for key in self._keys if start <= key < end)

    def _range(self, fields):
        keys = self._select_keys(fields)
        limit = int(fields.get("limit", 0))
        shown = keys[:limit] if limit else keys
        answer = {"header": {"revision": str(self._revision)}}
        if keys:
            answer["kvs"] = [self._encode_kv(key) for key in shown]
            answer["count"] = str(len(keys))
        return answer

    def _encode_kv(self, key):
        kv = self._keys[key]
        shown = {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(kv["value"]).decode(),
            "create_revision": str(kv["create"]),
            "mod_revision": str(kv["mod"]),
        }
        return shown

    def _txn(self, fields):
        if all(map(self._compare_holds, fields.get("compare", []))):
            for op in fields.get("success", []):
                self._put(op["request_put"])
            return {"succeeded": True}
        return {}

    def _compare_holds(self, compare):
        kv = self._keys.get(base64.b64decode(compare["key"]))
        if compare["target"] == "CREATE":
            return (kv["create"] if kv else 0) == int(
                compare["create_revision"]
            )
        return (kv["mod"] if kv else 0) == int(compare["mod_revision"])

    def _put(self, put):
        lease = int(put.get("lease", 0))
        if lease and lease not in self._leases:
            raise HttpError(status=404, reason="requested lease not found")
        self._revision += 1
        key = base64.b64decode(put["key"])
        old = self._keys.get(key)
        self._keys[key] = {
            "value": base64.b64decode(put.get("value", "")),
            "create": old["create"] if old else self._revision,
            "mod": self._revision,
            "lease": lease,
        }

    def _delete(self, fields):
        keys = self._select_keys(fields)
        for key in keys:
            del self._keys[key]
        self._revision += 1
        return {"deleted": str(len(keys))}

    def _grant(self, fields):
        lease = next(self._lease_ids)
        ttl_s = int(fields["TTL"])
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return {"ID": str(lease), "TTL": str(ttl_s)}

    def _keep_alive(self, fields):
        lease = int(fields["ID"])
        if lease not in self._leases:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return {"result": {"ID": str(lease), "TTL": str(ttl_s)}}

    def _revoke(self, fields):
        self._remove_lease(int(fields["ID"]))
        return {}

    def read(self, key):
        """Return the JSON value of a key, None if it is absent."""
        kv = self._keys.get(key.encode())
        return json.loads(kv["value"]) if kv else None

    def names(self, prefix):
        """Return the keys under a prefix."""
        return sorted(
            key.decode()
            for key in self._keys
            if key.startswith(prefix.encode())
        )
