"""Names of a shard's keys in the store."""

NUMBER_DIGITS = 12


class Keys:
    """Name the keys of one shard."""

    __slots__ = ("_prefix",)

    def __init__(self, *, shard):
        """Name the keys of the shard with that number."""
        self._prefix = f"shard/{shard:04d}"

    @property
    def head(self):
        """Return the key that names the newest snapshot."""
        return f"{self._prefix}/head"

    @property
    def log(self):
        """Return the prefix of the segments."""
        return f"{self._prefix}/log/"

    def segment(self, number):
        """Return the key of a segment."""
        return f"{self.log}{number:0{NUMBER_DIGITS}d}"

    def snapshot(self, number, writer):
        """Return the prefix of a snapshot's keys."""
        return f"{self.snapshots}{number:0{NUMBER_DIGITS}d}-{writer}/"

    @property
    def snapshots(self):
        """Return the prefix of all snapshots."""
        return f"{self._prefix}/snapshot/"
