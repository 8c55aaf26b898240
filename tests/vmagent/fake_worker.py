"""A worker of workflows in memory."""

import time

import trio

from radishlanding.worker import EndedRow
from radishlanding.worker import Look
from radishlanding.worker import RunningRow
from radishlanding.worker import StartResult
from radishlanding.worker import WorkerUnavailable
from radishlanding.workflow import EndKind

# As long as the platform's client waits for an answer.
PACE_TIMEOUT_S = 1.0
KINDS = {"done": EndKind.DONE, "failed": EndKind.FAILED}


class FakeLeasedWorker:
    """Run attempts without work, and forget no end too early."""

    __slots__ = (
        "_changed",
        "_ended",
        "_has_room",
        "_lost_starts",
        "born_ms",
        "figures",
        "forbidden",
        "is_silent",
        "looks",
        "loses_looks",
        "paces",
        "paces_at_s",
        "running",
        "settled_number",
        "start_gate",
        "starts",
        "unpaced",
    )

    def __init__(self, *, lost_starts=0, has_room=True):
        """Start without attempts.

        :param lost_starts: Starts that are carried out and not answered;
            where there is no room, they are not carried out either.
        :param has_room: Whether starts are carried out.
        """
        self._changed = trio.Event()
        self._ended = []
        self._has_room = has_room
        self._lost_starts = lost_starts
        self.born_ms = 1000
        self.figures = {}
        self.forbidden = set()
        self.is_silent = False
        self.looks = 0
        self.loses_looks = False
        self.paces = {}
        self.paces_at_s = {}
        self.running = {}
        self.settled_number = 0
        self.start_gate = None
        self.starts = []
        # Task whose paces get no answer, None for none.
        self.unpaced = None

    def _check(self):
        if self.is_silent:
            raise WorkerUnavailable("silent")

    def _check_look(self):
        self._check()
        if self.loses_looks:
            raise WorkerUnavailable("no answer")

    def clock_ms(self):
        """Return the time since a boot, which began long before the next."""
        return int(time.monotonic() * 1000) - self.born_ms * 1000

    async def start(self, order, *, fence, deadline_ms):
        """Start an attempt once."""
        self._check()
        clock_ms = self.clock_ms()
        if self.start_gate is not None:
            await self.start_gate.wait()
            return StartResult.STARTED, clock_ms
        key = (order.task_id, order.attempt)
        if key in self.forbidden:
            return StartResult.OLD, self.clock_ms()
        if self._has_room and key not in self.running:
            self.running[key] = order.checkpoint
            self.starts.append(key)
        if self._lost_starts:
            self._lost_starts -= 1
            raise WorkerUnavailable("no answer")
        if not self._has_room:
            return StartResult.NO_ROOM, self.clock_ms()
        return StartResult.STARTED, self.clock_ms()

    async def stop(self, task_id, attempt, *, fence):
        """Stop an attempt, or forbid it."""
        self._check()
        self.forbidden.add((task_id, attempt))
        if (task_id, attempt) in self.running:
            await self.finish(task_id, attempt, "stopped")
        return True

    async def finish(self, task_id, attempt, how):
        """End an attempt."""
        saved = self.running.pop((task_id, attempt))
        number = self.settled_number + len(self._ended) + 1
        self._ended.append(
            EndedRow(
                number=number,
                task_id=task_id,
                attempt=attempt,
                kind=KINDS.get(how, EndKind.INTERRUPTED),
                reason=how,
                checkpoint=saved,
            )
        )
        self._changed.set()
        self._changed = trio.Event()

    def boot(self, *, born_ms):
        """Begin a new life, which knows nothing of the last."""
        self.born_ms = born_ms
        self._ended = []
        self.running.clear()
        self.settled_number = 0

    async def look(self, *, fence, settled_number, deadline_ms, wait_s):
        """List everything."""
        self._check_look()
        self.looks += 1
        if settled_number > self.settled_number:
            self.settled_number = settled_number
        self._ended = [
            row for row in self._ended if row.number > self.settled_number
        ]
        if not self._ended:
            with trio.move_on_after(wait_s):
                await self._changed.wait()
        self._check_look()
        return Look(
            clock_ms=self.clock_ms(),
            born_ms=self.born_ms,
            running=[
                RunningRow(
                    task_id=key[0],
                    attempt=key[1],
                    checkpoint=saved,
                    progress=0,
                    gauge=self.figures.get(key[0], 0.0),
                )
                for key, saved in self.running.items()
            ],
            ended=list(self._ended),
        )

    async def pace(self, task_id, attempt, *, percent, fence):
        """Take any pace, and keep it."""
        self._check()
        if task_id == self.unpaced:
            await trio.sleep(PACE_TIMEOUT_S)
            raise WorkerUnavailable("no answer")
        if self.paces.get((task_id, attempt)) != percent:
            self.paces_at_s[task_id] = time.monotonic()
        self.paces[(task_id, attempt)] = percent
        return True
