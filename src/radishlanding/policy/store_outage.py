"""Decides whether a leader that has lost the store may be called."""

# Between probes of one dispatcher. Callers are to be served 0.3 s after the
# store has come back, which the leader notices within 0.1 s.
PROBE_INTERVAL_S = 0.2


class StoreOutage:
    """Hold back calls from a leader that refuses because of the store.

    Its refusal holds for all callers of this process, as the leader cannot
    record anything for any of them. One call at a time, and one in
    ``PROBE_INTERVAL_S``, goes to the leader all the same, until one is
    answered otherwise. Its load is an outage of the store of some seconds: 10
    dispatchers whose callers each asked again every 20 ms sent 1,548 calls.

    A refusal holds for one leader only; another one may reach the store.
    """

    __slots__ = (
        "_is_probing",
        "_leader",
        "_probe_due_s",
        "refused",
        "since_s",
    )

    def __init__(self):
        """Start without an outage."""
        self._is_probing = False
        self._leader = None
        self._probe_due_s = 0.0
        # Refusals of the leader and time of the first one, in this outage.
        self.refused = 0
        self.since_s = 0.0

    def has_refused(self, leader):
        """Return whether a refusal of a leader holds.

        :param leader: Object that stands for the leader, None for none.
        """
        return leader is not None and leader is self._leader

    def is_held(self, leader, now_s):
        """Return whether a call to a leader must be held back.

        :param leader: Object that stands for the leader.
        :param now_s: Monotonic time, in seconds.
        """
        return self.has_refused(leader) and (
            self._is_probing or now_s < self._probe_due_s
        )

    def begin_call(self, leader, now_s):
        """Record that a call is sent; return whether it is a probe.

        :param leader: Object that stands for the leader.
        :param now_s: Monotonic time, in seconds.
        """
        if not self.has_refused(leader):
            return False
        self._is_probing = True
        self._probe_due_s = now_s + PROBE_INTERVAL_S
        return True

    def end_probe(self, leader):
        """Record that a probe is over, whether it was answered or not."""
        if self.has_refused(leader):
            self._is_probing = False

    def record_refusal(self, leader, now_s):
        """Record that a leader refused a call because of the store.

        :param leader: Object that stands for the leader.
        :param now_s: Monotonic time, in seconds.
        :returns: Whether this is the first refusal of the outage.
        """
        is_first = not self.has_refused(leader)
        if is_first:
            self._is_probing = False
            self._leader = leader
            self.refused = 0
            self.since_s = now_s
        self._probe_due_s = now_s + PROBE_INTERVAL_S
        self.refused += 1
        return is_first

    def record_answer(self, leader):
        """Record that a leader has recorded something.

        :param leader: Object that stands for the leader.
        :returns: Whether this ends an outage.
        """
        if not self.has_refused(leader):
            return False
        self._leader = None
        return True
