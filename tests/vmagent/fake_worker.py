"""An in-memory worker."""

import time

import trio

from radishlanding.worker import AttemptListing
from radishlanding.worker import EndedAttempt
from radishlanding.worker import RunningAttempt
from radishlanding.worker import StartResult
from radishlanding.worker import WorkerReplaced
from radishlanding.worker import WorkerUnavailable
from radishlanding.workflow import EndKind

# The call timeout of the platform's client.
PACE_TIMEOUT_S = 1.0
KINDS = {"done": EndKind.DONE, "failed": EndKind.FAILED}


class FakeLeasedWorker:
    """Keep attempts running until told otherwise, and list unsettled ends."""

    __slots__ = (
        "_changed",
        "_ended",
        "_has_capacity",
        "_lost_starts",
        "born_ms",
        "ends_per_list",
        "forbidden",
        "gauges",
        "has_ended",
        "is_replaced",
        "is_unreachable",
        "late_pace_s",
        "loses_polls",
        "paces",
        "paces_at_s",
        "polls",
        "running",
        "settled_number",
        "start_gate",
        "starts",
        "unpaceable_task",
    )

    def __init__(self, *, lost_starts=0, has_capacity=True):
        """Create a worker without attempts.

        :param lost_starts: Number of starts that get no answer, although
            they are carried out if there is capacity.
        :param has_capacity: Whether there is capacity for starts.
        """
        self._changed = trio.Event()
        self._ended = []
        self._has_capacity = has_capacity
        self._lost_starts = lost_starts
        self.born_ms = 1000
        # Longest list of ends, None for no limit.
        self.ends_per_list = None
        self.gauges = {}
        # Whether nobody listens at its address any more.
        self.has_ended = False
        self.forbidden = set()
        # Whether another worker answers polls in its place.
        self.is_replaced = False
        self.is_unreachable = False
        self.polls = 0
        # Delay with which the next pace call is carried out, without an
        # answer; None for no such call.
        self.late_pace_s = None
        self.loses_polls = False
        self.paces = {}
        self.paces_at_s = {}
        self.running = {}
        self.settled_number = 0
        self.start_gate = None
        self.starts = []
        # Task whose pace calls get no answer, None for none.
        self.unpaceable_task = None

    def _check(self):
        if self.has_ended:
            raise WorkerUnavailable("refused", was_refused=True)
        if self.is_unreachable:
            raise WorkerUnavailable("unreachable")

    def _check_poll(self):
        self._check()
        if self.loses_polls:
            raise WorkerUnavailable("no answer")
        if self.is_replaced:
            raise WorkerReplaced("another worker answers")

    def clock_ms(self):
        """Return a clock that is far ahead of the next boot's."""
        return int(time.monotonic() * 1000) - self.born_ms * 1000

    async def start(self, order, *, permit):
        """Start an attempt, unless it already runs."""
        if permit.take() is None:
            return StartResult.NOT_SENT, 0
        self._check()
        clock_ms = self.clock_ms()
        if self.start_gate is not None:
            await self.start_gate.wait()
            return StartResult.STARTED, clock_ms
        key = (order.task_id, order.attempt)
        if key in self.forbidden:
            return StartResult.OLD, self.clock_ms()
        if self._has_capacity and key not in self.running:
            self.running[key] = order.checkpoint
            self.starts.append(key)
        if self._lost_starts:
            self._lost_starts -= 1
            raise WorkerUnavailable("no answer")
        if not self._has_capacity:
            return StartResult.NO_ROOM, self.clock_ms()
        return StartResult.STARTED, self.clock_ms()

    async def stop(self, task_id, attempt, *, fence, is_repeat=False):
        """Stop an attempt, and refuse its later starts."""
        self._check()
        self.forbidden.add((task_id, attempt))
        if (task_id, attempt) in self.running:
            await self.finish(task_id, attempt, "stopped")
        return True

    async def finish(self, task_id, attempt, reason):
        """End a running attempt.

        :param reason: The worker's reason, such as ``done``.
        """
        checkpoint = self.running.pop((task_id, attempt))
        number = self.settled_number + len(self._ended) + 1
        self._ended.append(
            EndedAttempt(
                number=number,
                task_id=task_id,
                attempt=attempt,
                kind=KINDS.get(reason, EndKind.INTERRUPTED),
                reason=reason,
                checkpoint=checkpoint,
            )
        )
        self._changed.set()
        self._changed = trio.Event()

    def boot(self, *, born_ms):
        """Begin a new boot, which knows nothing of the last."""
        self.born_ms = born_ms
        self._ended = []
        self.running.clear()
        self.settled_number = 0

    def open_list_connection(self):
        """Return itself, as lists need no connection."""
        return self

    async def keep_list_connection(self, conn):
        """Do nothing, as lists need no connection."""

    async def close(self):
        """Do nothing, as lists need no connection."""

    async def list_attempts(
        self,
        *,
        fence,
        born_ms,
        settled_number,
        deadline_ms,
        wait_s,
        timeout_s,
    ):
        """List all running attempts and unsettled ends."""
        self._check_poll()
        self.polls += 1
        if settled_number > self.settled_number:
            self.settled_number = settled_number
        self._ended = [
            row for row in self._ended if row.number > self.settled_number
        ]
        if not self._ended:
            with trio.move_on_after(wait_s):
                await self._changed.wait()
        self._check_poll()
        return AttemptListing(
            clock_ms=self.clock_ms(),
            born_ms=self.born_ms,
            running=[
                RunningAttempt(
                    task_id=key[0],
                    attempt=key[1],
                    checkpoint=checkpoint,
                    progress=0,
                    gauge=self.gauges.get(key[0], 0.0),
                )
                for key, checkpoint in self.running.items()
            ],
            ended=self._ended[: self.ends_per_list],
            is_complete=(
                self.ends_per_list is None
                or len(self._ended) < self.ends_per_list
            ),
        )

    async def pace(self, task_id, attempt, *, percent, fence):
        """Accept any pace, and record when it changed."""
        self._check()
        if task_id == self.unpaceable_task:
            await trio.sleep(PACE_TIMEOUT_S)
            raise WorkerUnavailable("no answer")
        if self.late_pace_s is not None:
            late_s, self.late_pace_s = self.late_pace_s, None
            trio.lowlevel.spawn_system_task(
                self._pace_late, task_id, attempt, percent, late_s
            )
            await trio.sleep(PACE_TIMEOUT_S)
            raise WorkerUnavailable("no answer")
        self._set_pace(task_id, attempt, percent)
        return True

    async def _pace_late(self, task_id, attempt, percent, late_s):
        await trio.sleep(late_s)
        self._set_pace(task_id, attempt, percent)

    def _set_pace(self, task_id, attempt, percent):
        if self.paces.get((task_id, attempt)) != percent:
            self.paces_at_s[task_id] = time.monotonic()
        self.paces[(task_id, attempt)] = percent
