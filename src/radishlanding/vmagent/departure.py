"""Delays the exit of an agent until its last ends are on record."""

import trio

from radishlanding.observe import EventLog

# The tasks of a worker that fell silent just before SIGTERM end within 5 s.
MAX_WAIT_S = 5.0
# For the exit itself.
EXIT_S = 1.0
CHECK_INTERVAL_S = 0.05

_log = EventLog("radishlanding.vmagent")


class Departure:
    """Wait for the ends that no other process can report.

    A worker that answers lists its attempts to the next agent. How the
    attempts of a worker ended that has left, or does not answer, only its
    agent knows; without its report the leader waits for the VM's lease.
    """

    __slots__ = ("_supervisors", "_timeout_s")

    def __init__(self, *, supervisors, grace_s):
        """Prepare the wait; :meth:`wait` waits.

        :param supervisors: The :class:`WorkerSupervisor` objects by VM.
        :param grace_s: Time between SIGTERM and SIGKILL, in seconds.
        """
        self._supervisors = supervisors
        self._timeout_s = min(MAX_WAIT_S, max(0.0, grace_s - EXIT_S))

    async def wait(self):
        """Wait until these ends are on record, or the process has to end.

        The agent has to go on polling and reporting meanwhile.
        """
        if self._waiting():
            _log.info("departure_delayed", vms=",".join(self._waiting()))
        with trio.move_on_after(self._timeout_s) as scope:
            while self._waiting():
                await trio.sleep(CHECK_INTERVAL_S)
        if scope.cancelled_caught:
            _log.warning("ends_unrecorded", vms=",".join(self._waiting()))

    def _waiting(self):
        """Return the VMs with ends that only this agent can report."""
        return [
            vm
            for vm, supervisor in self._supervisors.items()
            if supervisor.is_sole_witness
        ]
