"""What is left to do of workflows, computed rarely for large ones."""

import dataclasses
import typing

from radishlanding.policy.remaining_work import RemainingWork
from radishlanding.policy.remaining_work import work_left

# Steps and predecessors of a workflow that is computed at each call.
ORDINARY_SIZE = 200
# Steps and predecessors of larger ones that are walked over in a millisecond
# on average. One takes about 0.15 us, so that a user takes 2 % of a processor.
WALKED_PER_MS = 100
# A workflow of which nothing has changed is computed anew after this many
# intervals, as the learned run times and the room may have changed.
UNCHANGED_INTERVALS = 5


@dataclasses.dataclass(slots=True, kw_only=True)
class _Entry:
    """The last result for a workflow.

    :param left: The :class:`RemainingWork`.
    :param size: Steps and predecessors of the workflow.
    :param state: What the result depends on in the record.
    :param at_ms: When it was computed, as Unix time in milliseconds.
    """

    left: RemainingWork
    size: int
    state: tuple[typing.Any, ...]
    at_ms: int


class RemainingWorkCache:
    """Compute what is left of workflows, of ordinary ones at each call.

    The results for large workflows are kept for an interval that grows with
    the size of all large ones together, so that they take a bounded share of
    a processor.
    """

    __slots__ = ("_entries", "_run_times", "_size")

    def __init__(self, *, run_times):
        """Start without results.

        :param run_times: A :class:`RunTimes`.
        """
        # By workflow.
        self._entries = {}
        self._run_times = run_times
        # Steps and predecessors of all entries.
        self._size = 0

    def left(self, record, *, room_millicores, now_ms):
        """Return what is left; see :func:`work_left`.

        :param now_ms: Unix time, in milliseconds.
        """
        size = record.workflow.shape.size
        if size <= ORDINARY_SIZE:
            return work_left(
                record, self._run_times, room_millicores=room_millicores
            )
        workflow_id = record.workflow.workflow_id
        state = _state(record)
        entry = self._entries.get(workflow_id)
        if entry is not None and self._is_valid(entry, state, now_ms):
            return entry.left
        if entry is None:
            self._size += size
        left = work_left(
            record, self._run_times, room_millicores=room_millicores
        )
        self._entries[workflow_id] = _Entry(
            left=left, size=size, state=state, at_ms=now_ms
        )
        return left

    def retain(self, workflow_ids):
        """Drop the results for all other workflows.

        :param workflow_ids: Set of their identities.
        """
        for workflow_id in self._entries.keys() - workflow_ids:
            self._size -= self._entries.pop(workflow_id).size

    def _is_valid(self, entry, state, now_ms):
        interval_ms = self._size / WALKED_PER_MS
        if entry.state == state:
            interval_ms *= UNCHANGED_INTERVALS
        # A clock that was set back makes a result no more lasting.
        return 0 <= now_ms - entry.at_ms < interval_ms


def _state(record):
    return record.is_under_way, sum(record.done.values())
