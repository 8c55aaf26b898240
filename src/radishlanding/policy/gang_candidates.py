"""Groups of VMs that a gang may be placed on."""


def gang_candidates(step, vms, failed_vms):
    """Yield the groups of VMs to try for a whole gang, the best first.

    A VM on which a member has failed would probably fail the next attempt,
    too, which costs more than running on several racks.

    :param step: The :class:`radishlanding.workflow.Step`.
    :param vms: The :class:`VmLoad` objects to choose from.
    :param failed_vms: Identities of the VMs on which members have failed.
    :returns: Lists of :class:`VmLoad` objects.
    """
    if failed_vms:
        others = [vm for vm in vms if vm.vm not in failed_vms]
        yield from _by_rack(step, others)
    yield from _by_rack(step, vms)


def _by_rack(step, vms):
    """Yield the VMs of each rack, if the step prefers one, and all of them."""
    if step.same_rack:
        for rack in sorted({_rack(vm) for vm in vms}):
            yield [vm for vm in vms if _rack(vm) == rack]
    yield vms


def _rack(vm):
    """Return the rack of a VM, which is its last label."""
    return vm.labels[-1] if vm.labels else ""
