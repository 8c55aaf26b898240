"""Selects the dispatchers that an agent connects to."""

import hashlib
import math

# Besides the leader. Each connection costs both ends pings.
STANDBY_COUNT = 3
# The leader's key and the standbys name the next leader within this time,
# unless the store is away.
SEARCH_DELAY_S = 1.0
# Further dispatchers that are tried then, and how often. All agents of a site
# search at the same time, and a dispatcher on a weak VM accepts some hundred
# connections a second.
SEARCH_STEP = 4
SEARCH_INTERVAL_S = 0.5


class LeaderSearch:
    """Choose standbys, and where to look for a leader once there is none.

    Agents rank the dispatchers differently (rendezvous hashing), which
    spreads their connections evenly.
    """

    __slots__ = ("_absent_since_s", "_own_id")

    def __init__(self, *, own_id):
        """Start without a leader.

        :param own_id: Identity of the agent.
        """
        self._absent_since_s = None
        self._own_id = own_id

    def addresses(self, known, *, leader, hints, now_s):
        """Return the addresses to be connected to.

        :param known: Addresses of the dispatchers of the site.
        :param leader: Address of the leader, None while there is none.
        :param hints: Addresses of dispatchers that are said to lead.
        :param now_s: Monotonic time, in seconds.
        :returns: The leader, those that are said to lead, some standbys and,
            without a leader, after ``SEARCH_DELAY_S`` more and more of the
            others.
        """
        ranked = sorted(known, key=self._rank)
        if leader is not None:
            self._absent_since_s = None
            others = [address for address in ranked if address != leader]
            # The leader may have been replaced and be cut off from the site.
            return {leader, *hints, *others[:STANDBY_COUNT]}
        if self._absent_since_s is None:
            self._absent_since_s = now_s
        searched_s = now_s - self._absent_since_s - SEARCH_DELAY_S
        steps = max(0, math.floor(searched_s / SEARCH_INTERVAL_S) + 1)
        return {*hints, *ranked[: STANDBY_COUNT + steps * SEARCH_STEP]}

    def _rank(self, address):
        return hashlib.sha256(f"{self._own_id} {address}".encode()).digest()
