"""Records for how long serving tasks exceed their latency targets."""

from radishlanding.observe import EventLog

# First log line of a violation; each further one comes when its duration has
# doubled. The platform tolerates 4 s.
FIRST_LOG_AFTER_S = 1.0

_log = EventLog("radishlanding.vmagent")


class LatencyMonitor:
    """Log and measure latency target violations on one VM.

    A violation lasts while the tail latency of a serving task is above its
    target. Its duration goes into the histogram ``latency_exceeded``.
    """

    __slots__ = ("_counters", "_exceeded_since_s", "_next_log_s", "_vm")

    def __init__(self, *, vm, counters):
        """Start without violations.

        :param vm: Identity of the VM.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._counters = counters
        self._next_log_s = {}
        self._exceeded_since_s = {}
        self._vm = vm

    def observe(self, serving, best_effort, *, unknown, now_s):
        """Process the newest latency figures.

        :param serving: Each :class:`TaskAttempt` that has a latency target.
        :param best_effort: Each :class:`TaskAttempt` of a best-effort task.
        :param unknown: Number of attempts whose orders are unknown.
        :param now_s: Current time on the boot clock, in seconds.
        """
        over = {task.key: task for task in serving if task.latency_share > 1}
        for key in self._exceeded_since_s.keys() - over.keys():
            self._record_recovery(key, now_s)
        for key, task in over.items():
            over_s = now_s - self._exceeded_since_s.setdefault(key, now_s)
            if over_s >= self._next_log_s.setdefault(key, FIRST_LOG_AFTER_S):
                self._next_log_s[key] = 2 * over_s
                self._log_exceeded(task, best_effort, unknown, over_s, now_s)

    def _log_exceeded(self, task, best_effort, unknown, over_s, now_s):
        _log.warning(
            "latency_exceeded",
            task=task.task_id,
            attempt=task.attempt,
            vm=self._vm,
            over_s=f"{over_s:.1f}",
            share=f"{task.latency_share:.2f}",
            figure_age_ms=task.gauge_age_ms(now_s),
            filling=len(best_effort),
            working=sum(task.pace_percent != 0 for task in best_effort),
            unknown=unknown,
        )

    def _record_recovery(self, key, now_s):
        since_s = self._exceeded_since_s.pop(key)
        if self._next_log_s.pop(key) > FIRST_LOG_AFTER_S:
            _log.info(
                "latency_recovered",
                task=key[0],
                attempt=key[1],
                vm=self._vm,
                over_s=f"{now_s - since_s:.1f}",
            )
        self._counters.record_duration(
            "latency_exceeded", since_s=since_s, now_s=now_s
        )
