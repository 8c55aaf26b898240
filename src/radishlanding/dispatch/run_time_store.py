"""Persists the learned run times for the next leader."""

from radishlanding.dispatch import keys
from radishlanding.observe import EventLog
from radishlanding.policy import RunTimeRow
from radishlanding.store import compress
from radishlanding.store import CorruptRecord
from radishlanding.store import pack
from radishlanding.store import StoreUnavailable
from radishlanding.store import unpack_compressed
from radishlanding.store import Write

_log = EventLog("radishlanding.dispatch")


class RunTimeStore:
    """Save the rows of learned run times and restore them.

    They only spare the next leader from learning them again, so a failed
    call is just logged, and the next :meth:`save` tries again.
    """

    __slots__ = ("_counters", "_run_times", "_saved_revision")

    def __init__(self, *, run_times, counters):
        """Initialise the store.

        :param run_times: The estimates that learn, such as
            :class:`radishlanding.policy.LearnedRunTimes`.
        :param counters: Metrics counters of the process.
        """
        self._counters = counters
        self._run_times = run_times
        self._saved_revision = run_times.revision

    async def load(self, store):
        """Restore what this process has not observed.

        :param store: A :class:`radishlanding.store.TransactionalStore`.
        """
        try:
            item = await store.get(keys.RUN_TIMES)
            rows = (
                unpack_compressed(list[RunTimeRow], item.value) if item else []
            )
        except (StoreUnavailable, CorruptRecord) as exc:
            _log.warning("run_times_unread", reason=exc)
            return
        self._run_times.restore(rows)
        _log.info("run_times_restored", rows=len(rows))

    async def save(self, log):
        """Save the rows if there are new observations.

        :param log: A claimed :class:`EntryLog`.
        :raises Fenced: Another process leads now.
        """
        revision = self._run_times.revision
        if revision == self._saved_revision:
            return
        rows = self._run_times.rows()
        value = compress(pack(rows))
        try:
            await log.put(Write(key=keys.RUN_TIMES, value=value))
        except StoreUnavailable as exc:
            _log.warning("run_times_unsaved", reason=exc)
            return
        self._saved_revision = revision
        self._counters.add("run_times_saved")
        self._counters.add("run_times_saved_bytes", len(value))
