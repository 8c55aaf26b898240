"""Tells for how long serving tasks exceed their latency targets."""

from radishlanding.observe import EventLog

# A stretch is logged when it has lasted this long, and each time that it has
# doubled since; the platform bears 4 s.
FIRST_NOTE_S = 1.0

_log = EventLog("radishlanding.vmagent")


class LatencyMonitor:
    """Follow each serving task of a VM from figure to figure."""

    __slots__ = ("_counters", "_note_at_s", "_since_s", "_vm")

    def __init__(self, *, vm, counters):
        """Start without tasks.

        :param vm: Identity of the VM.
        :param counters: Counts of the process.
        """
        self._counters = counters
        self._note_at_s = {}
        self._since_s = {}
        self._vm = vm

    def observe(self, serving, filling, *, unknown, now_s):
        """Take the newest figures.

        :param serving: Each :class:`TaskAttempt` that has a latency target.
        :param filling: Each that fills.
        :param unknown: Number of attempts of which nothing is known.
        :param now_s: The boot clock.
        """
        over = {task.key: task for task in serving if task.latency_share > 1}
        for key in self._since_s.keys() - over.keys():
            self._end(key, now_s)
        for key, task in over.items():
            over_s = now_s - self._since_s.setdefault(key, now_s)
            if over_s >= self._note_at_s.setdefault(key, FIRST_NOTE_S):
                self._note_at_s[key] = 2 * over_s
                self._note(task, filling, unknown, over_s, now_s)

    def _note(self, task, filling, unknown, over_s, now_s):
        _log.warning(
            "latency_exceeded",
            task=task.task_id,
            attempt=task.attempt,
            vm=self._vm,
            over_s=f"{over_s:.1f}",
            share=f"{task.latency_share:.2f}",
            figure_age_ms=task.gauge_age_ms(now_s),
            filling=len(filling),
            working=sum(task.pace_percent != 0 for task in filling),
            unknown=unknown,
        )

    def _end(self, key, now_s):
        since_s = self._since_s.pop(key)
        if self._note_at_s.pop(key) > FIRST_NOTE_S:
            _log.info(
                "latency_recovered",
                task=key[0],
                attempt=key[1],
                vm=self._vm,
                over_s=f"{now_s - since_s:.1f}",
            )
        self._counters.time("latency_exceeded", since_s=since_s, now_s=now_s)
