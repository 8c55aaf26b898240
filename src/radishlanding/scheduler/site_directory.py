"""The directory that a scheduler sends to its agents."""

from radishlanding.message import Directory


class SiteDirectory:
    """Derive the directory from the configuration and the members.

    It is made again only when one of them was replaced, as it is compared
    at each heartbeat of each agent.
    """

    __slots__ = (
        "_cfg_watch",
        "_current",
        "_digest",
        "_document",
        "_member_watch",
        "_members",
    )

    def __init__(self, *, cfg_watch, member_watch):
        """Prepare; the directory is made when it is first asked for.

        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        :param member_watch: A :class:`radishlanding.membership.MemberWatch`.
        """
        self._cfg_watch = cfg_watch
        self._member_watch = member_watch
        self._current = None
        self._digest = 0
        self._document = None
        self._members = None

    def current(self):
        """Return the :class:`radishlanding.message.Directory`."""
        document = self._cfg_watch.document
        members = self._member_watch.members
        if document is not self._document or members is not self._members:
            self._document, self._members = document, members
            self._current = Directory(
                revision=document.revision,
                zones_out=document.zones_out(),
                entries=self._member_watch.addresses("entry"),
                schedulers=self._member_watch.addresses("scheduler"),
            )
            self._digest = self._current.digest()
        return self._current

    def is_outdated(self, heartbeat):
        """Return whether the sender follows another directory than this.

        An agent ignores a directory of an older revision than its own.

        :param heartbeat: A :class:`radishlanding.message.Heartbeat`.
        """
        current = self.current()
        return (
            heartbeat.revision <= current.revision
            and heartbeat.directory != self._digest
        )
