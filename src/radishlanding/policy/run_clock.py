"""Tracks how long workflows have attempts of which none is known to run."""

# Reports that arrived while the leader was suspended are read after that, so
# that a longer pause between two updates tells nothing about attempts.
MAX_STEP_S = 0.5


class RunClock:
    """Hold for how long none of the assigned attempts is known to run.

    The time counts by key: that of a workflow or, as each task of a standing
    workflow is to run, that of such a task. It goes on over attempts that
    never run, and stands still while none is assigned: :class:`IdleClock` has
    the wait for a VM.
    """

    __slots__ = ("_ran", "_stalled_s", "_updated_s")

    def __init__(self):
        """Start without keys."""
        # Keys of which something has run since the last update.
        self._ran = set()
        self._stalled_s = {}
        self._updated_s = None

    def record_run(self, key):
        """Record that an attempt runs, or has run until now.

        It may end before the next update.

        :param key: Key of its workflow or task.
        """
        self._ran.add(key)

    def update(self, ages_s, *, running, now_s):
        """Advance the clocks of what does not run, and stop the others.

        :param ages_s: Age in seconds of the oldest assigned attempt by key,
            for the keys of which no attempt is known to run.
        :param running: Keys of which an attempt is known to run.
        :param now_s: Time on the boot clock, in seconds.
        """
        if self._updated_s is None:
            self._updated_s = now_s
        step_s = min(now_s - self._updated_s, MAX_STEP_S)
        self._updated_s = now_s
        for key in self._ran.union(running):
            self._stalled_s.pop(key, None)
        for key, age_s in ages_s.items():
            gained_s = 0.0 if key in self._ran else min(step_s, age_s)
            self._stalled_s[key] = self._stalled_s.get(key, 0.0) + gained_s
        self._ran.clear()

    def retain(self, is_kept):
        """Drop other keys.

        :param is_kept: Callable that takes a key.
        """
        self._stalled_s = {
            key: stalled_s
            for key, stalled_s in self._stalled_s.items()
            if is_kept(key)
        }

    def stalled_s(self):
        """Return the time of each key of which nothing runs, in seconds."""
        return dict(self._stalled_s)
