"""Limits the tasks of a step on doubtful VMs."""

# How long tasks wait for better VMs. Those whose turn has come with free
# capacity must run within 3 s; round, commit, order and start take up to two
# on a weak entry VM.
MAX_HOLD_MS = 500
# A step that was not held back for this long is held anew.
FORGET_MS = 5000
# Beyond this number those are dropped.
MAX_STEPS = 1000


class DoubtLimit:
    """Keep at least half of each step off doubtful VMs, for a short time.

    A step that only doubtful VMs could run as a whole waits for others to
    finish tasks. Afterwards its tasks go wherever they fit.
    """

    __slots__ = ("_held_ms",)

    def __init__(self):
        """Start without steps."""
        self._held_ms = {}

    def max_tasks(self, key, step, *, now_ms):
        """Return how many tasks of a step doubtful VMs may have.

        :param key: Workflow, occurrence and step of the tasks.
        :param step: The :class:`radishlanding.workflow.Step`.
        :param now_ms: Unix time, in milliseconds.
        :returns: The number, None for no limit.
        """
        since_ms = self._held_ms.get(key)
        if since_ms is not None and not _is_held(since_ms, now_ms):
            del self._held_ms[key]
            since_ms = None
        if step.standing or (
            since_ms is not None and now_ms - since_ms >= MAX_HOLD_MS
        ):
            return None
        return step.count // 2

    def hold(self, key, *, now_ms):
        """Record that the limit keeps tasks of a step waiting.

        :param key: Workflow, occurrence and step of the tasks.
        :param now_ms: Unix time, in milliseconds.
        """
        self._held_ms.setdefault(key, now_ms)
        if len(self._held_ms) > MAX_STEPS:
            self._held_ms = {
                held: since_ms
                for held, since_ms in self._held_ms.items()
                if _is_held(since_ms, now_ms)
            }


def _is_held(since_ms, now_ms):
    """Return whether a hold counts; not if the clock was set back since."""
    return 0 <= now_ms - since_ms <= FORGET_MS
