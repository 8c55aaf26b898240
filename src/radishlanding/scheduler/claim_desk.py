"""Records who may send a non-idempotent request."""

import time

from radishlanding.journal import Fenced
from radishlanding.message import ClaimAnswer
from radishlanding.peer import CallRefused
from radishlanding.request import Claim
from radishlanding.shard import Change
from radishlanding.store import StoreUnavailable


class ClaimDesk:
    """Handle the claims of one shard."""

    __slots__ = ("_owner",)

    def __init__(self, *, owner):
        """Use the owner of the shard.

        :param owner: A :class:`ShardOwner`.
        """
        self._owner = owner

    async def claim(self, message):
        """Claim the next attempt of a request, or name who holds it.

        :param message: A :class:`radishlanding.message.ClaimRequest`.
            Without a VM it only asks, and claims nothing.
        :returns: A :class:`radishlanding.message.ClaimAnswer`.
        :raises CallRefused: The claim is not known to be recorded.
        """
        claims = self._owner.state.claims
        known = claims.get(message.key)
        if known is not None and not self._may_follow(known, message):
            return _answer(known)
        if not message.vm:
            return await self._confirm_unclaimed()
        claim = Claim(
            key=message.key,
            attempt=(known.attempt if known else 0) + 1,
            holder=message.holder,
            vm=message.vm,
            incarnation=message.incarnation,
            clock_ms=message.clock_ms,
            digest=message.digest,
            made_s=time.time(),
        )
        try:
            await self._owner.commit.submit(Change(claims=[claim]))
        except Fenced:
            raise CallRefused("the shard has a new owner")
        return _answer(claims[message.key])

    async def _confirm_unclaimed(self):
        """Answer that there is no claim, once the store confirms it."""
        try:
            await self._owner.commit.confirm()
        except (Fenced, StoreUnavailable) as exc:
            raise CallRefused(f"unconfirmed: {exc}")
        return ClaimAnswer(
            holder="",
            attempt=0,
            vm="",
            incarnation="",
            clock_ms=0,
            digest="",
        )

    def _may_follow(self, known, message):
        return (
            known.holder != message.holder
            and known.digest == message.digest
            and message.forbidden >= known.attempt
        )


def _answer(claim):
    return ClaimAnswer(
        holder=claim.holder,
        attempt=claim.attempt,
        vm=claim.vm,
        incarnation=claim.incarnation,
        clock_ms=claim.clock_ms,
        digest=claim.digest,
    )
