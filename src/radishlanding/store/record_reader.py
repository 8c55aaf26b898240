"""Reads records that another program may have written."""

from radishlanding.observe import EventLog
from radishlanding.store.corrupt_record import CorruptRecord
from radishlanding.store.record import unpack

# Bounds the memory for reported records; older ones are logged once more.
MAX_REPORTED = 1000

_log = EventLog("radishlanding.store")


class RecordReader:
    """Decode records, and skip the corrupt ones.

    Each version of a corrupt record is logged and counted once.
    """

    __slots__ = ("_cls", "_counters", "_reported")

    def __init__(self, cls, *, counters):
        """Create a reader.

        :param cls: Dataclass of the records.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._cls = cls
        self._counters = counters
        self._reported = {}

    def read(self, item):
        """Return the record of a key, or None if it is corrupt.

        :param item: A :class:`KeyValue`.
        """
        try:
            return unpack(self._cls, item.value)
        except CorruptRecord as exc:
            self._report(item, exc)
            return None

    def read_all(self, items):
        """Return the records of keys without the corrupt ones.

        :param items: :class:`KeyValue` objects.
        """
        records = [self.read(item) for item in items]
        return [record for record in records if record is not None]

    def _report(self, item, exc):
        if self._reported.get(item.key) == item.version:
            return
        if len(self._reported) >= MAX_REPORTED:
            self._reported.clear()
        self._reported[item.key] = item.version
        self._counters.add("records_corrupt")
        _log.error(
            "record_corrupt", key=item.key, version=item.version, reason=exc
        )
