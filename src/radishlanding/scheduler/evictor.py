"""Orders agents to evict or stop tasks."""

import trio

from radishlanding.message import EvictTask
from radishlanding.message import StopTask
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.task import TaskState
from radishlanding.vm import boot_clock_s

POLL_INTERVAL_S = 0.2
RESEND_INTERVAL_S = 3.0
ORDER_TIMEOUT_S = 2.0
MAX_EVICTIONS_PER_VM = 4


class Evictor:
    """Evict preempted tasks, drain zones, and stop cancelled tasks."""

    __slots__ = ("_owner", "_sent_at_s")

    def __init__(self, *, owner):
        """Create an evictor; :meth:`run` sends the orders.

        :param owner: The :class:`ShardOwner` of the shard.
        """
        self._owner = owner
        self._sent_at_s = {}

    async def run(self):
        """Send orders, repeating them until the agents report the ends."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(POLL_INTERVAL_S)
                if self._owner.is_confirmed():
                    self._send_due_orders(nursery)

    def _send_due_orders(self, nursery):
        """Send the orders that were not sent recently.

        A zone that is out of service is drained with at most
        MAX_EVICTIONS_PER_VM evictions in flight on each VM.
        """
        now_s = boot_clock_s()
        self._sent_at_s = {
            key: at_s
            for key, at_s in self._sent_at_s.items()
            if now_s - at_s < RESEND_INTERVAL_S
        }
        zones_out = set(self._owner.cfg_watch.document.zones_out())
        for session in self._owner.sessions.values():
            evictions = 0
            for task in self._owner.state.tasks_on(session.vm):
                if task.task_id in self._owner.starting:
                    continue
                if task.state == TaskState.CANCELLING:
                    message_type = StopTask
                elif self._owner.preempted.get(task.task_id) == task.epoch:
                    message_type = EvictTask
                elif session.zone in zones_out:
                    evictions += 1
                    if evictions > MAX_EVICTIONS_PER_VM:
                        continue
                    message_type = EvictTask
                else:
                    continue
                key = (task.task_id, task.epoch)
                if key not in self._sent_at_s:
                    self._sent_at_s[key] = now_s
                    nursery.start_soon(self._send, session, task, message_type)

    async def _send(self, session, task, message_type):
        self._owner.counters.add(
            "evictions_ordered", message_type is EvictTask
        )
        message = message_type(
            task_id=task.task_id,
            epoch=task.epoch,
            owner_epoch=self._owner.epoch,
        )
        try:
            await session.conn.call(message, timeout_s=ORDER_TIMEOUT_S)
        except (ConnectionLost, CallRefused):
            self._sent_at_s.pop((task.task_id, task.epoch), None)
