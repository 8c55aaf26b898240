"""How workflows of different sizes of one queue have fared."""

import bisect
import collections
import enum

# Workflows that the limits of the size classes are taken from.
SAMPLE_COUNT = 200
# Too few sizes give no limits.
MIN_SAMPLES = 10
# Each end lets the earlier ones count less, so that an old overload is
# forgotten after some 50 of them.
DECAY = 0.98
# A class that is in time at less than this share of its queue's rate goes
# first. The promise is a half; the rest is the margin of a late reaction.
OWED_SHARE = 0.75
# It goes first until it is at this share, so that ranks don't flip.
SETTLED_SHARE = 0.85
# Ends assumed in advance, in time at the queue's rate.
PRIOR_ENDS = 1.0


class SizeClass(enum.IntEnum):
    """Share of a queue by size of its workflows."""

    REST = 0
    NEXT_FIFTH = 1
    LARGEST_TENTH = 2


class SizeHistory:
    """Hold sizes and outcomes of the workflows of a queue."""

    __slots__ = ("_ended", "_in_time", "_owed", "_sizes", "_sorted")

    def __init__(self):
        """Start without workflows."""
        self._ended = [0.0] * len(SizeClass)
        self._in_time = [0.0] * len(SizeClass)
        self._owed = set()
        self._sizes = collections.deque()
        self._sorted = []

    def add(self, core_ms):
        """Count a new workflow.

        :param core_ms: Its work, in core-milliseconds.
        """
        if len(self._sizes) == SAMPLE_COUNT:
            oldest = self._sizes.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._sizes.append(core_ms)
        bisect.insort(self._sorted, core_ms)

    @property
    def mean_core_ms(self):
        """Return the mean size, in core-milliseconds; 0 without workflows."""
        return sum(self._sizes) / len(self._sizes) if self._sizes else 0.0

    def size_class(self, core_ms):
        """Return the :class:`SizeClass` of a workflow.

        :param core_ms: Its work, in core-milliseconds.
        """
        count = len(self._sorted)
        if count < MIN_SAMPLES:
            return SizeClass.REST
        share = bisect.bisect_left(self._sorted, core_ms) / count
        if share >= 0.9:
            return SizeClass.LARGEST_TENTH
        return SizeClass.NEXT_FIFTH if share >= 0.7 else SizeClass.REST

    def record_end(self, size_class, *, is_in_time):
        """Count a workflow that has ended, or can only end late.

        :param size_class: Its :class:`SizeClass`.
        :param is_in_time: Whether it met its objective.
        """
        for values in (self._ended, self._in_time):
            values[:] = [DECAY * value for value in values]
        self._ended[size_class] += 1
        self._in_time[size_class] += is_in_time

        self._update_owed()

    def _update_owed(self):
        rate = sum(self._in_time) / sum(self._ended)
        for size_class in (SizeClass.NEXT_FIFTH, SizeClass.LARGEST_TENTH):
            ended = self._ended[size_class] + PRIOR_ENDS
            in_time = self._in_time[size_class] + PRIOR_ENDS * rate
            if in_time < OWED_SHARE * rate * ended:
                self._owed.add(size_class)
            elif in_time > SETTLED_SHARE * rate * ended:
                self._owed.discard(size_class)

    def is_owed(self, size_class):
        """Return whether a class of large workflows is in time too rarely."""
        return size_class in self._owed
