"""Handles claims: the right to send one attempt of a request."""

import time

from radishlanding.journal import Fenced
from radishlanding.message import ClaimAnswer
from radishlanding.peer import CallRefused
from radishlanding.request import Claim
from radishlanding.shard import Change
from radishlanding.store import StoreUnavailable


class ClaimHandler:
    """Record the claims of one shard, one holder for each attempt."""

    __slots__ = ("_owner",)

    def __init__(self, *, owner):
        """Create a handler.

        :param owner: The :class:`ShardOwner` of the shard.
        """
        self._owner = owner

    async def claim(self, message):
        """Claim the next attempt of a request, or return its claim.

        :param message: A :class:`radishlanding.message.ClaimRequest`.
            A request without a VM is a query and claims nothing.
        :returns: A :class:`radishlanding.message.ClaimAnswer` with the
            claim in force; attempt 0 where there is none.
        :raises CallRefused: The shard has a new owner, so that the claim
            may or may not be recorded, or the store did not confirm that
            there is none.
        """
        claims = self._owner.state.claims
        existing = claims.get(message.key)
        if existing is not None and not self._may_supersede(existing, message):
            return _answer(existing)
        if not message.vm:
            return await self._confirm_unclaimed()
        claim = Claim(
            key=message.key,
            attempt=(existing.attempt if existing else 0) + 1,
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
        """Return an empty answer once the store confirms the ownership."""
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

    def _may_supersede(self, existing, message):
        """Return whether another holder may claim the next attempt.

        It must claim the same request, and have proof that the attempt
        claimed so far never runs.
        """
        return (
            existing.holder != message.holder
            and existing.digest == message.digest
            and message.forbidden >= existing.attempt
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
