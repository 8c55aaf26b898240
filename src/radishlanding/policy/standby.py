"""Which dispatchers an agent stays connected with while one leads."""

import hashlib

# Besides the leader. Each connection costs both ends pings; a site of a few
# dispatchers has no more anyway, and a larger one is searched through when
# the leader is gone.
STANDBY_COUNT = 3


def choose_standby(own_id, addresses, *, leader):
    """Return the addresses to stay connected with.

    Each agent prefers others, so that every dispatcher has its share.

    :param own_id: Identity of the agent.
    :param addresses: Addresses of the dispatchers of the site.
    :param leader: Address of the leader, None while none is followed.
    :returns: All addresses while there is no leader.
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
