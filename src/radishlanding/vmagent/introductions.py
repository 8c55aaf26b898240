"""Introductions of an agent's VMs on one connection."""


class Introductions:
    """Track which VMs need to be introduced to a dispatcher.

    A VM has at most one introduction under way, and none is needed once the
    dispatcher has accepted the VM in its newest announced epoch.
    """

    __slots__ = ("_announced_epoch", "_epochs", "_outdated", "_under_way")

    def __init__(self):
        """Start without introductions."""
        self._announced_epoch = 0
        # Epochs in which VMs were accepted.
        self._epochs = {}
        # VMs whose introduction under way may precede an announcement.
        self._outdated = set()
        self._under_way = set()

    def announce(self, epoch):
        """Record that the dispatcher leads since this epoch."""
        self._announced_epoch = max(self._announced_epoch, epoch)
        self._outdated |= self._under_way

    def begin(self, vm):
        """Begin an introduction; return whether it is needed now.

        :param vm: Identity of the VM.
        """
        if vm in self._under_way:
            return False
        if vm in self._epochs and self._epochs[vm] >= self._announced_epoch:
            return False
        self._under_way.add(vm)
        return True

    def end(self, vm, *, epoch):
        """End an introduction; return whether it has to be repeated.

        It has to if the dispatcher has announced a newer epoch meanwhile.

        :param vm: Identity of the VM.
        :param epoch: Epoch in which the VM was accepted, 0 if it was not.
        """
        self._under_way.discard(vm)
        if epoch:
            self._epochs[vm] = epoch
        was_outdated = vm in self._outdated
        self._outdated.discard(vm)
        return was_outdated and epoch < self._announced_epoch

    def forget(self, vm):
        """Forget that a VM was accepted."""
        self._epochs.pop(vm, None)

    def forget_all(self):
        """Forget that any VM was accepted."""
        self._epochs.clear()
