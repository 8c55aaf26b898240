"""Dispatches the messages of schedulers and entries."""

from radishlanding import message as messages
from radishlanding.peer import CallRefused
from radishlanding.vm import clock_ms


class AgentHandler:
    """Pass each message to the component that handles it."""

    __slots__ = ("_executor", "_ledger", "_site", "_task_manager")

    def __init__(self, *, executor, task_manager, ledger, site):
        """Create the handler.

        :param executor: The :class:`RequestExecutor`.
        :param task_manager: The :class:`TaskManager`.
        :param ledger: The VM's :class:`radishlanding.vm.Ledger`.
        :param site: The :class:`SiteView`.
        """
        self._executor = executor
        self._task_manager = task_manager
        self._ledger = ledger
        self._site = site

    async def handle(self, message, _conn):
        """Handle a message of a scheduler or an entry.

        :returns: The message to answer with.
        :raises CallRefused: The sender no longer owns the shard, or the kind
            of message is unknown.
        """
        match message:
            case messages.RunRequest():
                return await self._executor.run(message)
            case messages.AskRequest():
                return await self._executor.ask(message)
            case messages.StartTask():
                reason = await self._task_manager.start(
                    message, now_ms=clock_ms()
                )
                return messages.StartAnswer(
                    accepted=not reason,
                    reason=reason,
                    free=self._ledger.free(),
                )
            case messages.EvictTask():
                self._check_owner(message)
                self._task_manager.evict(
                    (message.task_id, message.epoch), reason="evicted"
                )
                return messages.Accepted()
            case messages.StopTask():
                self._check_owner(message)
                self._task_manager.stop(
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
