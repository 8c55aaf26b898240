"""Decides whether a start may still take effect."""

MAX_START_AGE_MS = 2000
MIN_REMAINING_LEASE_S = 1.0


class StartGuard:
    """Validate start and run messages against the agent's current state."""

    __slots__ = ("_incarnation", "_lease", "_site")

    def __init__(self, *, incarnation, lease, site):
        """Create the guard of an agent process.

        :param incarnation: Unique identity of the process.
        :param lease: The :class:`radishlanding.vm.VmLease`.
        :param site: The :class:`SiteView`.
        """
        self._incarnation = incarnation
        self._lease = lease
        self._site = site

    def refusal_reason(self, message, *, now_ms):
        """Return why a message may not take effect, or an empty string.

        :param message: A start or run with ``incarnation``,
            ``clock_echo_ms`` and ``revision``.
        :param now_ms: The agent's clock, in milliseconds.
        """
        if message.incarnation != self._incarnation:
            return "meant for another agent process"
        if now_ms - message.clock_echo_ms > MAX_START_AGE_MS:
            return "came too late"
        if message.revision < self._site.revision:
            return f"configuration {self._site.revision} is in force here"
        if self._site.is_zone_out:
            return "zone is out of service"
        return ""

    def task_refusal_reason(self, start, *, now_ms):
        """Return why a task may not start, or an empty string.

        :param start: A :class:`radishlanding.message.StartTask`.
        :param now_ms: The agent's clock, in milliseconds.
        """
        if start.owner_epoch < self._site.owner_epoch:
            return "the shard has a newer owner"
        if self._lease.remaining_s() < MIN_REMAINING_LEASE_S:
            return "the VM lease is about to lapse"
        return self.refusal_reason(start, now_ms=now_ms)
