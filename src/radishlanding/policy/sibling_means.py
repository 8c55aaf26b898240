"""Mean run times of one step's tasks by VM."""


class SiblingMeans:
    """Hold weighted sums for each VM, and in total."""

    __slots__ = ("_by_vm", "_total", "_weight")

    def __init__(self):
        """Start without observations."""
        self._by_vm = {}
        self._total = 0.0
        self._weight = 0.0

    def add(self, vm, value, weight):
        """Add an observation on a VM.

        :param value: Logarithm of the run time.
        :param weight: Its weight, above 0.
        """
        own_weight, own_total = self._by_vm.get(vm, (0.0, 0.0))
        self._by_vm[vm] = own_weight + weight, own_total + weight * value
        self._weight += weight
        self._total += weight * value

    def without(self, vm):
        """Return the observations on all other VMs.

        :returns: The number of VMs, the total weight, and the mean logarithm,
            which is 0 without weight.
        """
        own_weight, own_total = self._by_vm.get(vm, (0.0, 0.0))
        count = len(self._by_vm) - (vm in self._by_vm)
        weight = self._weight - own_weight if count else 0.0
        mean = (self._total - own_total) / weight if weight else 0.0
        return count, weight, mean
