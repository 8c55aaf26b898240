"""Prefers the strongest dispatcher as the leader."""

# Claims are spread over 60 ms and take two store calls of some 10 ms each;
# after this delay a process sees the claim of a stronger one.
RANK_DELAY_S = 0.08
# Bounds how long a site stays without a leader because of these delays.
MAX_DELAY_S = 0.24
# Smaller ratios of strengths are ignored, as the other load of a VM is not
# known.
MIN_CLAIM_RATIO = 1.25
# A change of leader costs callers some tenths of a second, so leadership is
# handed over only to a much stronger process.
MIN_HANDOVER_RATIO = 2.0
# Millicores to which 1 Mbit/s of link is equivalent. With 67 VMs a leader
# uses up to 450 millicores, and reads a megabyte of log over 20 Mbit/s in
# 0.4 s.
MILLICORES_PER_MBPS = 20


class StrongestFirst:
    """Let the process on the strongest VM lead, as a leader needs the most.

    Strengths are in millicores. 0 stands for an unknown strength; such a
    process neither delays its claims nor hands over.
    """

    __slots__ = ()

    def strength(self, *, millicores, link_mbps):
        """Return how well a VM suits a leader, in millicores.

        :param millicores: Processor share of the process, in millicores.
        :param link_mbps: Link of the VM, in megabits per second.
        """
        return round(min(millicores, MILLICORES_PER_MBPS * link_mbps))

    def claim_delay_s(self, own, others):
        """Return how long to wait for claims of stronger processes.

        :param own: Strength of this process.
        :param others: Strengths of the other processes that may lead.
        :returns: Delay in seconds.
        """
        if not own:
            return 0.0
        rank = sum(other > own * MIN_CLAIM_RATIO for other in others)
        return min(MAX_DELAY_S, rank * RANK_DELAY_S)

    def should_step_down(self, own, others):
        """Return whether the leader should hand over its leadership.

        :param own: Strength of the leader.
        :param others: Strengths of the other processes that may lead.
        """
        return bool(own) and any(
            other >= own * MIN_HANDOVER_RATIO for other in others
        )
