"""Moves tasks off VMs that should not run them."""

import trio

from radishlanding.message import EvictTask
from radishlanding.message import StopTask
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.task import TaskState
from radishlanding.vm import boot_clock_s

PAUSE_S = 0.2
REPEAT_S = 3.0
ORDER_TIMEOUT_S = 2.0
MAX_EVICTIONS_PER_VM = 4


class Evictor:
    """Evict preempted tasks and zones that are out, stop what is cancelled."""

    __slots__ = ("_ordered_s", "_owner")

    def __init__(self, *, owner):
        """Prepare; :meth:`run` evicts.

        :param owner: A :class:`ShardOwner`.
        """
        self._owner = owner
        self._ordered_s = {}

    async def run(self):
        """Order evictions and stops until they are reported."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(PAUSE_S)
                if self._owner.is_confirmed():
                    self._round(nursery)

    def _round(self, nursery):
        now_s = boot_clock_s()
        self._ordered_s = {
            key: at_s
            for key, at_s in self._ordered_s.items()
            if now_s - at_s < REPEAT_S
        }
        zones_out = set(self._owner.cfg_watch.document.zones_out())
        for session in self._owner.sessions.values():
            evictions = 0
            for task in self._owner.state.tasks_on(session.vm):
                if task.task_id in self._owner.starting:
                    continue
                if task.state == TaskState.CANCELLING:
                    order = StopTask
                elif self._owner.preempted.get(task.task_id) == task.epoch:
                    order = EvictTask
                elif session.zone in zones_out:
                    evictions += 1
                    if evictions > MAX_EVICTIONS_PER_VM:
                        continue
                    order = EvictTask
                else:
                    continue
                key = (task.task_id, task.epoch)
                if key not in self._ordered_s:
                    self._ordered_s[key] = now_s
                    nursery.start_soon(self._send, session, task, order)

    async def _send(self, session, task, order):
        self._owner.counters.add("evictions_ordered", order is EvictTask)
        message = order(
            task_id=task.task_id,
            epoch=task.epoch,
            owner_epoch=self._owner.epoch,
        )
        try:
            await session.conn.call(message, timeout_s=ORDER_TIMEOUT_S)
        except (ConnectionLost, CallRefused):
            self._ordered_s.pop((task.task_id, task.epoch), None)
