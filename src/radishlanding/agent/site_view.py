"""An agent's view of the site."""

import trio

from radishlanding.observe import EventLog

_log = EventLog("radishlanding.agent")


class SiteView:
    """Hold the newest directory and the highest owner epoch."""

    __slots__ = (
        "_changed",
        "_zone",
        "directory_digest",
        "entries",
        "owner_epoch",
        "revision",
        "schedulers",
        "zones_out",
    )

    def __init__(self, *, zone, schedulers):
        """Create a view from the settings.

        :param zone: Availability zone of the VM.
        :param schedulers: Peer addresses of some schedulers.
        """
        self._changed = trio.Event()
        self._zone = zone
        self.directory_digest = 0
        self.entries = []
        self.owner_epoch = 0
        self.revision = 0
        self.schedulers = list(schedulers)
        self.zones_out = []

    @property
    def is_zone_out(self):
        """Return whether the VM's zone is known to be out of service."""
        return self._zone in self.zones_out

    def update(self, directory):
        """Apply a directory, unless its revision is older.

        A directory without entries or schedulers comes from a scheduler that
        has not read the members yet, or whose store has lost all their
        leases, so that the last known ones are kept.

        :param directory: A :class:`radishlanding.message.Directory`.
        """
        if directory.revision > self.revision:
            self.revision = directory.revision
            self.zones_out = directory.zones_out
            _log.info(
                "config_in_force",
                revision=self.revision,
                zones_out=",".join(self.zones_out),
            )
        if directory.revision == self.revision:
            self.directory_digest = directory.digest()
            self.entries = directory.entries or self.entries
            self.schedulers = directory.schedulers or self.schedulers
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self):
        """Wait until another directory has arrived."""
        await self._changed.wait()
