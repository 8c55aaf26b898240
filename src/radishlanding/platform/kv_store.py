"""Client of the platform's metadata store.

Specified by the platform's page "What radishlanding speaks", section on the
metadata store.
"""

import base64
import contextlib
import json
import time
import urllib.parse

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.platform.fields import check_text
from radishlanding.platform.fields import MAX_NUMBER
from radishlanding.platform.fields import read_int
from radishlanding.platform.fields import read_list
from radishlanding.platform.fields import read_object
from radishlanding.store import ChangeSet
from radishlanding.store import Conflict
from radishlanding.store import HistoryCompacted
from radishlanding.store import KeyValue
from radishlanding.store import LeaseExpired
from radishlanding.store import Listing
from radishlanding.store import StoreUnavailable
from radishlanding.store import WriteRefused

# The store answers in 4 ms; this allows for one 100 times slower.
CALL_TIMEOUT_S = 0.8
# Added to the wait of a watch; a connection that is silent for longer is
# presumed dead.
WATCH_SLACK_S = 0.8
# A page of a listing holds about 1 MB of values, in base64 within JSON.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
MAX_PAGE_BYTES = 1_500_000
# Half of a 2 Mbit/s link, which other connections use as well.
MIN_BYTES_PER_S = 125_000
# A tenth of that link. A slower answer is given up, so that a small one takes
# no longer than one that does not come.
MIN_ANSWER_BYTES_PER_S = 25_000
MAX_TRANSFER_S = MAX_PAGE_BYTES / MIN_BYTES_PER_S
HEADERS = (("content-type", "application/json"),)
# A call that is answered with one of these statuses had no effect.
NOT_EXECUTED_STATUSES = (403, 429, 503)
# A write that is answered with one of these would get the same answer again.
REFUSED_STATUSES = (400, 413)
MAX_LEASE = 2**64 - 1


def _decode_item(raw):
    return KeyValue(
        key=check_text(read_object(raw, "item")["key"], "key"),
        value=base64.b64decode(raw.get("value", "")),
        version=read_int(raw, "revision", maximum=MAX_NUMBER),
    )


def _decode_changes(answer):
    written, deleted = {}, {}
    for event in read_list(answer, "events"):
        key = check_text(read_object(event, "event")["key"], "key")
        if event.get("deleted"):
            deleted[key] = True
            written.pop(key, None)
        else:
            written[key] = _decode_item(event)
            deleted.pop(key, None)
    return ChangeSet(
        written=list(written.values()),
        deleted=list(deleted),
        revision=read_int(answer, "storeRevision", maximum=MAX_NUMBER),
    )


class KvStore:
    """Implement :class:`radishlanding.store.TransactionalStore` over HTTP.

    Every call raises :class:`radishlanding.store.StoreUnavailable` if the
    store gives no usable answer; its ``was_sent`` tells whether the call may
    have taken effect.
    """

    __slots__ = ("_budget", "_client", "_counters")

    def __init__(self, *, address, budget, counters):
        """Create a client without connecting.

        :param address: ``ip:port`` of the store.
        :param budget: A :class:`radishlanding.store.CallBudget`.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._client = HttpClient(
            address=address, max_body_bytes=MAX_ANSWER_BYTES
        )
        self._budget = budget
        self._counters = counters

    async def _call(
        self, method, path, *, query=None, value=None, silence_s=CALL_TIMEOUT_S
    ):
        """Return the status and the JSON body of an executed call.

        The time to transfer a request or an answer depends on its size, so
        an answer that proceeds at ``MIN_ANSWER_BYTES_PER_S`` is read to its
        end.

        :param silence_s: Time to wait for the first and for each further
            part of the answer, in seconds.
        """
        await self._budget.acquire(timeout_s=CALL_TIMEOUT_S)
        self._counters.add("store_calls")
        target = f"/-/{path}"
        if query:
            target = f"{target}?{urllib.parse.urlencode(query)}"
        body = b"" if value is None else json.dumps(value).encode()
        self._counters.add("store_sent_bytes", len(body))
        silence_s += len(body) / MIN_BYTES_PER_S
        started_s = time.monotonic()
        try:
            response = await self._client.send(
                method,
                target,
                body=body,
                headers=HEADERS,
                timeout_s=silence_s + MAX_TRANSFER_S,
                silence_s=silence_s,
                min_bytes_per_s=MIN_ANSWER_BYTES_PER_S,
            )
            self._counters.add("store_received_bytes", len(response.body))
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
            since_s=started_s,
            now_s=time.monotonic(),
        )
        if response.status in NOT_EXECUTED_STATUSES or response.status >= 500:
            self._counters.add("store_failures")
            raise StoreUnavailable(
                f"{path}: status {response.status}",
                was_sent=response.status not in NOT_EXECUTED_STATUSES,
            )
        return response.status, answer

    @contextlib.contextmanager
    def _decoding(self, path):
        """Raise StoreUnavailable for an answer that cannot be decoded."""
        try:
            yield
        except (KeyError, TypeError, ValueError) as exc:
            self._counters.add("store_failures")
            raise StoreUnavailable(
                f"{path}: malformed answer: {exc!r}", was_sent=True
            ) from exc

    def _unexpected_status(self, path, status):
        self._counters.add("store_failures")
        return StoreUnavailable(f"{path}: status {status}", was_sent=True)

    async def get(self, key):
        """Return a key.

        :returns: A :class:`radishlanding.store.KeyValue`, None if the key is
            absent.
        """
        status, answer = await self._call("GET", "kv-key", query={"key": key})
        if status == 404:
            return None
        if status != 200:
            raise self._unexpected_status("kv-key", status)
        with self._decoding("kv-key"):
            return _decode_item(answer)

    async def list(
        self, prefix, *, after="", is_stale_ok=False, silence_s=None
    ):
        """Return the keys of a prefix in order, read page by page.

        :param after: Key to start after, empty for the first one.
        :param is_stale_ok: Whether the answer may be some seconds old.
        :param silence_s: Longest time without a byte of a page, in seconds;
            None for the default.
        :returns: A :class:`radishlanding.store.Listing`.
        """
        silence_s = silence_s or CALL_TIMEOUT_S
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        if is_stale_ok:
            query["serializable"] = "1"
        items, revision = [], None
        while True:
            status, answer = await self._call(
                "GET", "kv-range", query=query, silence_s=silence_s
            )
            if status != 200:
                raise self._unexpected_status("kv-range", status)
            with self._decoding("kv-range"):
                page = [
                    _decode_item(raw) for raw in read_list(answer, "items")
                ]
                items += page
                if revision is None:
                    revision = read_int(
                        answer, "storeRevision", maximum=MAX_NUMBER
                    )
            if not answer.get("morePages") or not page:
                return Listing(items=items, revision=revision)
            query["after"] = page[-1].key

    async def watch(self, prefix, *, after, wait_s):
        """Return the changes of a prefix after a revision.

        :param after: Revision of the store.
        :param wait_s: How long the store waits for a change, in seconds.
        :returns: A :class:`radishlanding.store.ChangeSet`.
        :raises HistoryCompacted: The store no longer has these changes.
        """
        status, answer = await self._call(
            "GET",
            "kv-watch",
            query={
                "prefix": prefix,
                "after": after,
                "waitMs": int(wait_s * 1000),
            },
            silence_s=wait_s + WATCH_SLACK_S,
        )
        if status == 410:
            raise HistoryCompacted(f"{prefix}: after {after}")
        if status != 200:
            raise self._unexpected_status("kv-watch", status)
        with self._decoding("kv-watch"):
            return _decode_changes(answer)

    async def transact(self, *, expected, writes=(), removes=()):
        """Write and remove keys if all expected versions hold.

        :param expected: Version by key, 0 for an absent key.
        :param writes: :class:`radishlanding.store.Write` objects.
        :param removes: Keys to remove.
        :returns: Version of the written keys.
        :raises Conflict: A key has another version; nothing was changed.
        :raises LeaseExpired: A lease has ended; nothing was changed.
        :raises WriteRefused: A key or value is not accepted; nothing was
            changed.
        """
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
        if status in REFUSED_STATUSES:
            self._counters.add("store_failures")
            raise WriteRefused(f"kv-txn: status {status}")
        if status != 200:
            raise self._unexpected_status("kv-txn", status)
        with self._decoding("kv-txn"):
            return read_int(answer, "revision", maximum=MAX_NUMBER)

    async def grant(self, *, ttl_s):
        """Return the identity of a new lease.

        :param ttl_s: How long it lasts without a renewal, in seconds.
        """
        status, answer = await self._call(
            "POST", "kv-lease", value={"ttlMs": int(ttl_s * 1000)}
        )
        if status != 200:
            raise self._unexpected_status("kv-lease", status)
        with self._decoding("kv-lease"):
            return read_int(answer, "lease", maximum=MAX_LEASE)

    async def keep_alive(self, lease):
        """Renew a lease; return whether it still exists.

        :param lease: Identity of the lease.
        """
        status, _ = await self._call("POST", f"kv-keep/{lease}")
        if status not in (200, 404):
            raise self._unexpected_status("kv-keep", status)
        return status == 200

    async def revoke(self, lease):
        """End a lease and delete its keys."""
        status, _ = await self._call("DELETE", f"kv-lease-end/{lease}")
        if status not in (200, 404):
            raise self._unexpected_status("kv-lease-end", status)
