"""Store keys of a journal."""

NUMBER_DIGITS = 12


class JournalKeys:
    """The store keys of the journal of one shard."""

    __slots__ = ("_prefix",)

    def __init__(self, *, shard):
        """Set the prefix of all keys.

        :param shard: Number of the shard.
        """
        self._prefix = f"shard/{shard:04d}"

    @property
    def head(self):
        """Return the key of the head record."""
        return f"{self._prefix}/head"

    @property
    def log(self):
        """Return the key prefix of the segments."""
        return f"{self._prefix}/log/"

    def segment(self, number):
        """Return the key of a segment."""
        return f"{self.log}{number:0{NUMBER_DIGITS}d}"

    def snapshot(self, number, writer):
        """Return the key prefix of a snapshot's chunks."""
        return f"{self.snapshots}{number:0{NUMBER_DIGITS}d}-{writer}/"

    @property
    def snapshots(self):
        """Return the key prefix of all snapshots."""
        return f"{self._prefix}/snapshot/"
