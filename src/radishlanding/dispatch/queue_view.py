"""What the leader shows of its queues."""

# Counters of decisions about the load of the whole site.
COUNTER_PREFIXES = ("admission_", "moves_", "overloads", "precedence_")


class QueueView:
    """Summarise queues for operators."""

    __slots__ = ("_admission", "_counters", "_planner")

    def __init__(self, *, admission, planner, counters):
        """Initialise the view.

        :param admission: An :class:`AdmissionControl`.
        :param planner: A :class:`radishlanding.policy.WorkflowPlanner`.
        :param counters: Metrics counters of the process.
        """
        self._admission = admission
        self._counters = counters
        self._planner = planner

    def summary(self):
        """Return the state of the queues and the counters as JSON values.

        Figures are of the last second, refusals and counters since this
        process started to lead and since its start. ``wait_s`` is the time
        that the work of a queue and of those before it takes at the rate of
        the last seconds, None if nothing of them was done.
        """
        backlog = self._admission.backlog
        overloads = self._planner.overloads
        return {
            "queues": [
                {
                    "queue": name,
                    "priority": queue.priority,
                    "waiting": queue.waiting,
                    "running": queue.running,
                    "backlog_core_s": round(queue.core_ms / 1000),
                    "drained_cores": round(queue.drained_millicores / 1000, 1),
                    "wait_s": _seconds(
                        backlog.wait_ms(queue.pool, queue.priority)
                    ),
                    "overloaded": (queue.pool, queue.priority) in overloads,
                    "submitted": self._admission.submitted[name],
                    "refused": self._admission.refused[name],
                }
                for name, queue in sorted(backlog.queues.items())
            ],
            "counters": {
                name: count
                for name, count in sorted(self._counters.snapshot().items())
                if name.startswith(COUNTER_PREFIXES)
            },
        }


def _seconds(value_ms):
    return None if value_ms is None else round(value_ms / 1000, 1)
