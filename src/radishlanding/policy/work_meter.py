"""Measures the time that an attempt has worked, weighted by its pace."""

# Restoring a checkpoint takes up to 0.6 s without progress.
RESTORE_GRACE_S = 0.7
# Progress is listed in whole percents: a rate needs some of them.
MIN_RATE_PROGRESS = 5


class WorkMeter:
    """Add up the time at full pace between the listings of one attempt.

    Counting starts at the first listing, as the time of the start is not
    known well enough, and, for an attempt that restores a checkpoint, at the
    first listing with more progress. The time always belongs to the newest
    listing, so that two reports give a run time by their differences.
    """

    __slots__ = (
        "_first_listed_s",
        "_first_progress",
        "_full_s",
        "_listed_full_s",
        "_progress",
        "_since_s",
        "_start_progress",
    )

    def __init__(self):
        """Start before the first listing that names the attempt."""
        self._first_listed_s = None
        self._first_progress = 0
        self._full_s = 0.0
        self._listed_full_s = 0.0
        self._progress = 0
        self._since_s = None
        self._start_progress = 0

    @property
    def full_pace_ms(self):
        """Return the counted time at full pace, in milliseconds.

        :returns: At least 1 once counting has started, 0 before.
        """
        if self._since_s is None:
            return 0
        return max(1, round(self._listed_full_s * 1000))

    def advance(self, *, pace_percent, now_s):
        """Count the time since the last call; precedes a change of pace.

        :param pace_percent: Pace that was in force, None if unknown.
        :param now_s: Monotonic time, in seconds.
        """
        if self._since_s is not None:
            elapsed_s = max(0.0, now_s - self._since_s)
            self._full_s += elapsed_s * (pace_percent or 0) / 100
            self._since_s = now_s

    def observe(self, progress, *, pace_percent, resumes, now_s):
        """Process a listing of the attempt.

        :param progress: Share of the work that is done, in percent.
        :param pace_percent: Pace in force since the last call, in percent;
            None if unknown, which starts nothing.
        :param resumes: Whether the attempt restores a checkpoint.
        :param now_s: Monotonic time, in seconds.
        """
        if self._first_listed_s is None:
            self._first_listed_s = now_s
            self._first_progress = progress
        if self._since_s is not None:
            self.advance(pace_percent=pace_percent, now_s=now_s)
        elif pace_percent is not None and not (
            resumes and self._is_restoring(progress, now_s)
        ):
            self._since_s = now_s
            self._start_progress = progress
        self._listed_full_s = self._full_s
        self._progress = progress

    def _is_restoring(self, progress, now_s):
        return (
            progress <= self._first_progress
            and now_s - self._first_listed_s < RESTORE_GRACE_S
        )

    def finish(self, *, pace_percent, now_s):
        """Count the time from the last listing until the work was done.

        The end is listed after it happened. What remained of the work, at
        the attempt's own rate so far, therefore bounds the time; an attempt
        with little progress before has no rate and no bound.

        :param pace_percent: Pace in force since the last call, in percent.
        :param now_s: When the end was listed; monotonic time, in seconds.
        """
        self.advance(pace_percent=pace_percent, now_s=now_s)
        added_s = self._full_s - self._listed_full_s
        gained = self._progress - self._start_progress
        if gained >= MIN_RATE_PROGRESS:
            remaining = max(0, 100 - self._progress) / gained
            added_s = min(added_s, remaining * self._listed_full_s)
        self._listed_full_s += added_s
