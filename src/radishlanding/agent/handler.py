"""Handles the messages of schedulers and entries."""

from radishlanding import message as messages
from radishlanding.peer import CallRefused
from radishlanding.vm import clock_ms


class AgentHandler:
    """Pass each message to the part that it is for."""

    __slots__ = ("_desk", "_keeper", "_ledger", "_site")

    def __init__(self, *, desk, keeper, ledger, site):
        """Prepare the handler.

        :param desk: The :class:`RequestExecutor`.
        :param keeper: The :class:`TaskManager`.
        :param ledger: The VM's :class:`radishlanding.vm.Ledger`.
        :param site: The :class:`SiteView`.
        """
        self._desk = desk
        self._keeper = keeper
        self._ledger = ledger
        self._site = site

    async def handle(self, message, _conn):
        """Handle a message of a scheduler or an entry."""
        match message:
            case messages.RunRequest():
                return await self._desk.run(message)
            case messages.AskRequest():
                return await self._desk.ask(message)
            case messages.StartTask():
                reason = await self._keeper.start(message, now_ms=clock_ms())
                return messages.StartAnswer(
                    accepted=not reason,
                    reason=reason,
                    free=self._ledger.free(),
                )
            case messages.EvictTask():
                self._check_owner(message)
                self._keeper.evict(
                    (message.task_id, message.epoch), reason="evicted"
                )
                return messages.Accepted()
            case messages.StopTask():
                self._check_owner(message)
                self._keeper.stop(
                    (message.task_id, message.epoch), reason="stopped"
                )
                return messages.Accepted()
            case messages.Directory():
                self._site.update(message)
                return messages.Accepted()
        raise CallRefused(f"unexpected {type(message).__name__}")

    def _check_owner(self, message):
        if message.owner_epoch < self._site.owner_epoch:
            raise CallRefused("the shard has a newer owner")
