"""Selects the dispatchers that an agent keeps connections to."""

import hashlib

# Besides the leader. Each connection costs both ends pings. Sites with few
# dispatchers have no more; in larger ones the agent connects to all of them
# once the leader is gone.
STANDBY_COUNT = 3


def choose_standby(own_id, addresses, *, leader):
    """Return the addresses to keep connections to.

    Agents rank the dispatchers differently (rendezvous hashing), which
    spreads the connections evenly.

    :param own_id: Identity of the agent.
    :param addresses: Addresses of the dispatchers of the site.
    :param leader: Address of the leader, None while there is none.
    :returns: The leader and some standbys; all addresses without a leader.
    """
    if leader is None:
        return set(addresses)
    others = sorted(
        (address for address in addresses if address != leader),
        key=lambda address: _rank(own_id, address),
    )
    return {leader, *others[:STANDBY_COUNT]}


def _rank(own_id, address):
    return hashlib.sha256(f"{own_id} {address}".encode()).digest()
