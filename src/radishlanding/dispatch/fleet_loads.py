"""Selects the VMs that may take new tasks."""

import collections

from radishlanding.dispatch.load_cache import LoadCache
from radishlanding.observe import EventLog
from radishlanding.policy import HealthLimit
from radishlanding.vm import boot_clock_s

_log = EventLog("radishlanding.dispatch")


class FleetLoads:
    """Provide the loads of VMs, and of those that may take new tasks."""

    __slots__ = (
        "_cache",
        "_health_ignored",
        "_health_limit",
        "_vm_health",
        "_vm_trust",
    )

    def __init__(self, *, registry, interference, vm_health, vm_trust):
        """Initialise without loads.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param interference: A :class:`radishlanding.policy.Interference`.
        :param vm_health: The :class:`VmHealthTracker`.
        :param vm_trust: The :class:`radishlanding.policy.VmTrust`.
        """
        self._cache = LoadCache(registry=registry, interference=interference)
        self._health_ignored = set()
        self._health_limit = HealthLimit()
        self._vm_health = vm_health
        self._vm_trust = vm_trust

    def available(self, sessions, site):
        """Return the loads of VMs that may take new tasks.

        Those on which tasks are stuck are marked, unless that holds for a
        whole pool.

        :param sessions: The :class:`VmSession` of each VM.
        :param site: The current :class:`radishlanding.config.Site`.
        :returns: :class:`radishlanding.policy.VmLoad` objects, which callers
            may change.
        """
        now_s = boot_clock_s()
        sessions = [ses for ses in sessions if _exclusion(ses, site) is None]
        loads = [self.load(session) for session in sessions]
        stuck = {ses.vm for ses in sessions if ses.stuck_until_s >= now_s}
        barred = stuck.union(ld.vm for ld in loads if ld.max_new_tasks == 0)
        pools = self._ignored_health(loads, barred)
        for load in loads:
            if load.pool in pools:
                load.max_new_tasks = None
            else:
                load.is_stuck = load.vm in stuck
        self._vm_trust.rate(loads, now_s=now_s)
        return loads

    def _ignored_health(self, loads, barred):
        """Return the pools in which the health of VMs is ignored."""
        if not barred and not self._health_ignored:
            return set()
        pools = self._health_limit.exceeded(loads, barred)
        for pool in pools - self._health_ignored:
            _log.warning("health_ignored", pool=pool, vms=len(barred))
        self._health_ignored = pools
        return pools

    def exclusions(self, sessions, site):
        """Return how many VMs take no new tasks, by reason.

        :param sessions: The :class:`VmSession` of each VM.
        :param site: The current :class:`radishlanding.config.Site`.
        """
        reasons = collections.Counter(
            _exclusion(session, site) for session in sessions
        )
        del reasons[None]
        return reasons

    def load(self, session):
        """Return the load of a VM, which the caller may change.

        :param session: The :class:`VmSession` of the VM.
        """
        load = self._cache.load(session)
        load.max_new_tasks = self._vm_health.max_new_tasks(
            session.vm, running=load.finite_tasks
        )
        load.is_probed = self._vm_health.is_probing(session.vm)
        return load

    def step_of(self, task):
        """Return the workflow record and the step of a task.

        :param task: A :class:`radishlanding.workflow.TaskRecord`.
        """
        return self._cache.step_of(task)


def start_bar(session, site):
    """Return why nothing may start on a VM any more, None if it may.

    :param session: The :class:`VmSession` of the VM.
    :param site: The current :class:`radishlanding.config.Site`.
    """
    if session.state.is_draining:
        return "draining"
    if session.state.zone in site.zones_out:
        return "zone_out"
    return None


def _exclusion(session, site):
    """Return why a VM takes no new tasks at all, None if it may.

    :param session: The :class:`VmSession` of the VM.
    :param site: The current :class:`radishlanding.config.Site`.
    """
    if not session.has_full_report or not session.state.boot:
        return "unreported"
    reason = start_bar(session, site)
    if reason is not None:
        return reason
    if session.state.is_silent:
        return "silent"
    if session.backoff_until_s >= boot_clock_s():
        return "backoff"
    return None
