"""Writes to the store on condition that this process leads."""

import dataclasses
import uuid

import trio

from radishlanding.dispatch import keys
from radishlanding.dispatch.head import Head
from radishlanding.journal import Fenced
from radishlanding.store import Conflict
from radishlanding.store import pack
from radishlanding.store import unpack
from radishlanding.store import Write
from radishlanding.vm import boot_clock_s


class LogFence:
    """Hold the log's head and write only while it is unchanged.

    ``confirmed_s`` is the time of the last proof of leadership, in seconds on
    the boot clock. ``led_since_s`` is when the claim was known to be in force;
    no earlier leader has a later proof. ``head`` is the :class:`Head` that
    this process wrote last.
    """

    __slots__ = (
        "_replaced",
        "_store",
        "_version",
        "confirmed_s",
        "head",
        "led_since_s",
    )

    def __init__(self, *, store):
        """Initialise a fence without a claim.

        :param store: A :class:`radishlanding.store.TransactionalStore`.
        """
        # Set unless a replacement of the head is unanswered. Until then the
        # version in the store may be a newer one of this process.
        self._replaced = trio.Event()
        self._replaced.set()
        self._store = store
        self._version = 0
        self.led_since_s = 0.0
        self.confirmed_s = 0.0
        self.head = Head()

    async def claim(self, *, process_id, leader_write, leader_version):
        """Replace the head, which fences the last leader.

        :param process_id: Identity of this process.
        :param leader_write: Write that announces the leader.
        :param leader_version: Version of the leader's key that was judged
            vacant, 0 for an absent key.
        :returns: The :class:`Head` before.
        :raises Fenced: Another process claimed the log at the same time.
        :raises StoreUnavailable: The store did not answer.
        :raises CorruptRecord: The head is malformed.
        """
        kv = await self._store.get(keys.HEAD)
        old = unpack(Head, kv.value) if kv else Head()
        head = dataclasses.replace(
            old,
            epoch=old.epoch + 1,
            claim_id=uuid.uuid4().hex,
            process_id=process_id,
            predecessor=old.process_id,
            has_resigned=False,
            leases_start_at_proof=kv is None or old.leases_start_at_proof,
            leases_s={},
        )
        sent_s = boot_clock_s()
        try:
            self._version = await self._store.transact(
                expected={
                    keys.HEAD: kv.version if kv else 0,
                    keys.LEADER: leader_version,
                },
                writes=[
                    Write(key=keys.HEAD, value=pack(head)),
                    leader_write,
                ],
            )
        except Conflict as exc:
            raise Fenced("the head was replaced") from exc
        self.led_since_s = boot_clock_s()
        self.confirmed_s = sent_s
        self.head = head
        return old

    async def check(self):
        """Verify that the head is unchanged.

        :raises Fenced: Another process leads now.
        :raises StoreUnavailable: The store did not answer.
        """
        while True:
            sent_s, version = boot_clock_s(), self._version
            kv = await self._store.get(keys.HEAD)
            await self._replaced.wait()
            if kv is not None and kv.version in (version, self._version):
                break
            if version == self._version:
                raise Fenced("the head was replaced")
        self.confirmed_s = max(self.confirmed_s, sent_s)

    async def create(self, write, *, removes=()):
        """Write a key that must be absent.

        :param write: A :class:`radishlanding.store.Write`.
        :param removes: Keys to remove with it.
        :raises Conflict: The key exists, or another process leads now.
        :raises StoreUnavailable: The store did not answer.
        """
        sent_s = boot_clock_s()
        await self._store.transact(
            expected={keys.HEAD: self._version, write.key: 0},
            writes=[write],
            removes=removes,
        )
        self.confirmed_s = max(self.confirmed_s, sent_s)

    async def transact(self, *, writes=(), removes=()):
        """Write and remove keys; return the version of the written ones.

        :param writes: :class:`radishlanding.store.Write` objects.
        :param removes: Keys.
        :raises Fenced: Another process leads now.
        :raises StoreUnavailable: The store did not answer.
        """
        while True:
            version = self._version
            try:
                return await self._store.transact(
                    expected={keys.HEAD: version},
                    writes=writes,
                    removes=removes,
                )
            except Conflict as exc:
                await self._replaced.wait()
                if version == self._version:
                    raise Fenced("the head was replaced") from exc

    async def replace_head(self, head):
        """Replace the head of this leadership.

        :param head: A :class:`Head` of the same claim.
        :raises Fenced: Another process leads now.
        :raises StoreUnavailable: The store did not answer.
        """
        self._replaced = trio.Event()
        try:
            self._version = await self._store.transact(
                expected={keys.HEAD: self._version},
                writes=[Write(key=keys.HEAD, value=pack(head))],
            )
        except Conflict as exc:
            raise Fenced("the head was replaced") from exc
        finally:
            self._replaced.set()
        self.head = head
