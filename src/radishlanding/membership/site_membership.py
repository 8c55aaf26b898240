"""The membership of this process in its site."""

import uuid

import trio

from radishlanding.config import ConfigWatch
from radishlanding.etcd import EtcdStore
from radishlanding.membership.member import Member
from radishlanding.membership.member_watch import MemberWatch
from radishlanding.membership.registration import Registration
from radishlanding.store import CallBudget

CLOSE_TIMEOUT_S = 2.0


class SiteMembership:
    """Register this process and watch the site's members and configuration."""

    __slots__ = (
        "_kind",
        "cfg_watch",
        "member_watch",
        "process_id",
        "registration",
        "store",
        "zone",
    )

    def __init__(self, *, kind, cfg, counters):
        """Wire the components without connecting.

        :param kind: Program: entry or scheduler.
        :param cfg: Settings with ``id``, ``zone``, ``store`` and
            ``store_calls_per_s``.
        :param counters: Counters of the process.
        """
        self._kind = kind
        self.process_id = f"{cfg.id}-{uuid.uuid4().hex[:8]}"
        self.registration = None
        self.store = EtcdStore(
            address=cfg.store,
            budget=CallBudget(
                rate=cfg.store_calls_per_s, burst=cfg.store_calls_per_s
            ),
            counters=counters,
        )
        self.cfg_watch = ConfigWatch(store=self.store, counters=counters)
        self.member_watch = MemberWatch(store=self.store, counters=counters)
        self.zone = cfg.zone

    def start(self, nursery, *, address):
        """Register the process and start the watches.

        :param nursery: Nursery for the background tasks.
        :param address: ``ip:port`` on which peers reach the process.
        """
        self.registration = Registration(
            store=self.store,
            member=Member(
                kind=self._kind,
                process_id=self.process_id,
                zone=self.zone,
                address=address,
            ),
            member_watch=self.member_watch,
        )
        nursery.start_soon(self.registration.run)
        nursery.start_soon(self.member_watch.run)
        nursery.start_soon(self.cfg_watch.run)

    async def close(self):
        """Remove the registration, within ``CLOSE_TIMEOUT_S`` seconds."""
        if self.registration is not None:
            with trio.move_on_after(CLOSE_TIMEOUT_S):
                await self.registration.close()
