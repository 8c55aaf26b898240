"""Which dispatcher leads where their VMs are unequal."""

# Claims are spread over 60 ms and take two calls to the store, some 10 ms
# each; a process that waits this long finds the claim of a stronger one.
RANK_PAUSE_S = 0.08
# A site is without a leader for no longer than this because of ranks.
MAX_PAUSE_S = 0.24
# Less of a difference decides nothing: what else runs on a VM is not known.
NOTABLY = 1.25
# A leadership that changes costs callers some tenths of a second, so that it
# is handed over only to a process that gains a lot.
MUCH = 2.0


# Millicores that are worth no more than a megabit a second of the link: at 67
# VMs a leader used 450 millicores at most, and reading a megabyte of log on
# 20 Mbit/s takes it 0.4 s.
MILLICORES_PER_MBPS = 20


class StrongestFirst:
    """Let the strongest VM lead: leading takes the most of what a VM has.

    Strengths are in millicores; 0 stands for one that is not known, and
    neither waits nor hands over.
    """

    __slots__ = ()

    def strength(self, *, millicores, link_mbps):
        """Return how well a VM suits a process that leads.

        :param millicores: What it gives the process of a processor.
        :param link_mbps: Its link, in megabits a second.
        """
        return round(min(millicores, MILLICORES_PER_MBPS * link_mbps))

    def claim_delay_s(self, own, others):
        """Return how long to leave a vacant leadership to others, in seconds.

        :param own: Strength of this process.
        :param others: Strengths of the other processes that may lead.
        """
        if not own:
            return 0.0
        rank = sum(other > own * NOTABLY for other in others)
        return min(MAX_PAUSE_S, rank * RANK_PAUSE_S)

    def should_step_down(self, own, others):
        """Return whether a leader should let another process lead.

        :param own: Strength of the leader.
        :param others: Strengths of the other processes that may lead.
        """
        return bool(own) and any(other >= own * MUCH for other in others)
