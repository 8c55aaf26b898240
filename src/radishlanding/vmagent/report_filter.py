"""Selects the reports of one boot that are applied."""

import operator

# An odd report is outvoted by the next ones of the worker itself.
MIN_REPEATS = 3
# Late copies of earlier reports must not undo a drain.
MIN_REPEATS_TO_UNDO_DRAIN = 6

# Number of a boot that is known from a list of its attempts only.
NO_REPORT = 0

# What a worker does not change before it starts again.
_description = operator.attrgetter("pool", "zone", "labels")


class ReportFilter:
    """Select newer reports of a boot, and ignore odd ones.

    Another writer may send reports under the identity of a worker. Without
    a reason to prefer one of two descriptions, the one is used that came
    several times in a row. Nor does one report with a number far ahead
    outdate all later ones: several older ones in a row, each newer than the
    one before, replace it.
    """

    __slots__ = ("_older", "_older_number", "_repeats", "_rival")

    def __init__(self):
        """Start without a rival description or number."""
        # Reports in a row that were older than the known one, and the number
        # of the last one.
        self._older = 0
        self._older_number = NO_REPORT
        self._repeats = 0
        self._rival = None

    def accepts(self, report, known):
        """Return whether a report replaces the known one of the same boot.

        :param report: A :class:`radishlanding.worker.WorkerReport`.
        :param known: The report that is used now.
        """
        description = _description(report)
        if known.number == NO_REPORT:
            return True
        if description != _description(known):
            if description != self._rival:
                self._rival, self._repeats = description, 0
            self._repeats += 1
            return self._repeats >= MIN_REPEATS
        self._rival = None
        # No worker goes back from draining, so that a number that another
        # writer set too high delays no drain.
        starts_to_drain = report.is_draining and not known.is_draining
        if report.number > known.number or starts_to_drain:
            self._older = 0
            return True
        undoes_drain = known.is_draining and not report.is_draining
        return self._outvotes(
            report,
            MIN_REPEATS_TO_UNDO_DRAIN if undoes_drain else MIN_REPEATS,
        )

    def _outvotes(self, report, repeats):
        """Return whether an older report follows on enough of its kind."""
        if report.number <= self._older_number:
            self._older = 0
        self._older_number = report.number
        self._older += 1
        if self._older < repeats:
            return False
        self._older = 0
        return True
