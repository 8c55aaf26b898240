"""Persists the interference model for the next leader."""

from radishlanding.dispatch import keys
from radishlanding.observe import EventLog
from radishlanding.policy import ImageProfile
from radishlanding.store import CorruptRecord
from radishlanding.store import pack
from radishlanding.store import StoreUnavailable
from radishlanding.store import unpack
from radishlanding.store import Write

_log = EventLog("radishlanding.dispatch")


class InterferenceStore:
    """Save the image profiles of an interference model and restore them.

    The profiles only spare the next leader from learning them again, so a
    failed call is just logged, and the next :meth:`save` tries again.
    """

    __slots__ = ("_interference", "_saved_classes")

    def __init__(self, *, interference):
        """Initialise the store.

        :param interference: A :class:`radishlanding.policy.Interference`.
        """
        self._interference = interference
        self._saved_classes = set()

    async def load(self, store):
        """Restore the profiles of images that this process has not seen.

        :param store: A :class:`radishlanding.store.TransactionalStore`.
        """
        try:
            item = await store.get(keys.IMAGES)
            profiles = unpack(list[ImageProfile], item.value) if item else []
        except (StoreUnavailable, CorruptRecord) as exc:
            _log.warning("images_unread", reason=exc)
            return
        self._interference.restore(profiles)
        self._saved_classes = self._classes()
        _log.info("images_restored", images=len(profiles))

    def _classes(self):
        return {
            (profile.image, profile.is_light)
            for profile in self._interference.profiles()
        }

    async def save(self, log):
        """Save the profiles if an image is new or has changed its class.

        :param log: A claimed :class:`EntryLog`.
        :raises Fenced: Another process leads now.
        """
        classes = self._classes()
        if classes == self._saved_classes:
            return
        try:
            await log.put(
                Write(
                    key=keys.IMAGES, value=pack(self._interference.profiles())
                )
            )
        except StoreUnavailable as exc:
            _log.warning("images_unsaved", reason=exc)
            return
        self._saved_classes = classes
