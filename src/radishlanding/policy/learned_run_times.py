"""Run times of tasks as they were observed."""

import collections
import hashlib
import math

from radishlanding.policy.caller_estimates import CALLER_SPREAD
from radishlanding.policy.caller_estimates import CallerEstimates
from radishlanding.policy.run_time_estimate import RunTimeEstimate
from radishlanding.policy.run_time_row import RunTimeRow

# Bounds the memory, the value in the store and the time to write it.
MAX_ROWS = 500
# Counted steps that are remembered without their rows; 4,400 VMs run some
# 2,000 steps at once. Takes about 0.5 MB.
MAX_COUNTED_STEPS = 5000
# Longer names, which callers choose, are replaced by a digest.
MAX_NAME_CHARS = 96
# Names of rows of steps begin so.
STEP_PREFIX = "step/"
# Tasks of a step, and steps of an image or a queue, whose run times are kept;
# a change of the load shows in as many.
MAX_TASKS = 100.0
MAX_STEPS = 40.0
# Relative standard deviation of the run times of tasks of one step.
SIBLING_SPREAD = 0.15
# Observations that such an assumed deviation counts as.
ASSUMED_WEIGHT = 4.0
# Full runs of tasks after which a step is counted for its image and queue.
SHARE_WEIGHT = 0.5
# Steps of an image or a queue before they say anything about another step.
MIN_STEPS = 3.0
# Largest factor between a task and its siblings that is believed: beyond it
# the VM is slow, or the task was held up.
MAX_SIBLING_FACTOR = 1.5
# Beyond this variance of a logarithm, a spread of sevenfold, nothing is known.
MAX_VARIANCE = 4.0


def log_variance(spread):
    """Return the variance of the logarithm of a value.

    :param spread: Relative standard deviation of the value.
    """
    return math.log(1 + spread**2)


class LearnedRunTimes:
    """Estimate run times from siblings, image, queue and caller.

    For a step without observations, the caller's estimate, corrected by the
    usual ratio of its image or queue, and the usual run time of the image or
    queue are weighted by their precision. Observations of the step's own
    tasks are added to that. Figures are medians.
    """

    __slots__ = ("_caller", "_counted", "_revision", "_rows", "_usual")

    def __init__(self):
        """Start without observations."""
        self._caller = CallerEstimates()
        # Names of steps that were counted for image and queue and whose rows
        # were dropped since, the first dropped first.
        self._counted = collections.OrderedDict()
        self._revision = 0
        # The least recently used first.
        self._rows = collections.OrderedDict()
        # Figures of queues and images, which change with new steps only.
        self._usual = {}

    @property
    def revision(self):
        """Return a number that grows with each observation."""
        return self._revision

    def estimate(self, workflow, number):
        """Return the estimate for one task; see :class:`RunTimes`."""
        step = workflow.steps[number]
        prior = self._prior(workflow, step)
        row = self._find(_step_name(workflow, number))
        if row is None or not row.weight:
            if prior is None:
                return self._caller.estimate(workflow, number)
            mean, variance, samples = prior
            variance += log_variance(SIBLING_SPREAD)
        else:
            mean, variance, samples = _with_siblings(
                prior or _caller_prior(step), row
            )
        return RunTimeEstimate(
            run_ms=math.exp(mean),
            spread=math.sqrt(math.expm1(min(variance, MAX_VARIANCE))),
            samples=samples,
        )

    def _prior(self, workflow, step):
        """Return mean, variance and samples by image and queue, or None."""
        key = workflow.queue, step.image
        if key not in self._usual:
            if len(self._usual) >= MAX_ROWS:
                self._usual.clear()
            self._usual[key] = self._find_usual(workflow, step)
        rows, figures = self._usual[key]
        for row in rows:
            self._rows.move_to_end(row.name)
        if figures is None:
            return None
        (mean, variance), (ratio, ratio_variance), samples = figures
        if step.estimated_ms:
            # Weighted by their precisions.
            share = variance / (variance + ratio_variance)
            caller = math.log(step.estimated_ms) + ratio
            mean += share * (caller - mean)
            variance *= 1 - share
        return mean, variance, samples

    def _find_usual(self, workflow, step):
        """Return the rows of a queue and an image, and what they say.

        :returns: The rows, and means and variances of run time and ratio and
            the number of steps behind them; None for these if they are few.
        """
        rows = [self._find(name) for name in _shared_names(workflow, step)]
        rows = [row for row in rows if row and row.weight >= MIN_STEPS]
        if not rows:
            return rows, None
        usual = [_usual(row.weight, row.mean, row.deviation) for row in rows]
        ratios = [
            _usual(row.ratio_weight, row.ratio_mean, row.ratio_deviation)
            for row in rows
        ]
        return rows, (
            min(usual, key=lambda item: item[1]),
            min(ratios, key=lambda item: item[1]),
            max(row.weight for row in rows),
        )

    def _find(self, name):
        """Return a row, None if there is none, and mark it as used."""
        row = self._rows.get(name)
        if row is not None:
            self._rows.move_to_end(name)
        return row

    def _find_or_add(self, name):
        row = self._find(name)
        if row is None:
            is_shared = self._counted.pop(name, False)
            row = RunTimeRow(name=name, is_shared=is_shared)
            self._rows[name] = row
            self._drop_surplus()
        return row

    def _drop_surplus(self):
        """Drop the least recently used rows beyond ``MAX_ROWS``."""
        while len(self._rows) > MAX_ROWS:
            name, row = self._rows.popitem(last=False)
            if row.is_shared:
                self._counted[name] = True
            if not name.startswith(STEP_PREFIX):
                self._usual.clear()
        while len(self._counted) > MAX_COUNTED_STEPS:
            self._counted.popitem(last=False)

    def observe(self, workflow, number, *, run_ms, weight):
        """Process the run time of one task, or of a part of its work.

        :param workflow: A :class:`radishlanding.workflow.Workflow`.
        :param number: Number of the step, from 0.
        :param run_ms: Run time of a whole task at full pace, in milliseconds,
            above 0.
        :param weight: Share of the task's work that was observed, above 0.
        :returns: Whether the step is now counted for its image and queue.
        """
        self._revision += 1
        step = workflow.steps[number]
        estimate = math.log(step.estimated_ms) if step.estimated_ms else None
        value = math.log(run_ms)
        row = self._find_or_add(_step_name(workflow, number))
        if row.weight >= 1:
            reach = math.log(MAX_SIBLING_FACTOR)
            value = min(row.mean + reach, max(row.mean - reach, value))
        row.add(value, estimate=estimate, weight=weight, max_weight=MAX_TASKS)
        if row.is_shared or row.weight < SHARE_WEIGHT:
            return False
        row.is_shared = True
        self._usual.clear()
        for name in _shared_names(workflow, step):
            self._find_or_add(name).add(
                row.mean, estimate=estimate, weight=1, max_weight=MAX_STEPS
            )
        return True

    def rows(self):
        """Return the :class:`RunTimeRow` objects, the last used ones last."""
        return list(self._rows.values())

    def restore(self, rows):
        """Adopt the rows of things that were not observed here.

        :param rows: :class:`RunTimeRow` objects of another process.
        """
        own = self._rows
        self._rows = collections.OrderedDict(
            (row.name, row)
            for row in rows
            if row.is_plausible and row.name not in own
        )
        self._rows.update(own)
        self._usual.clear()
        self._drop_surplus()


def _step_name(workflow, number):
    return _bounded(f"{STEP_PREFIX}{workflow.workflow_id}.{number}")


def _shared_names(workflow, step):
    """Return the names of the rows that a step shares with other ones."""
    names = [_bounded(f"queue/{workflow.queue}")]
    if step.image:
        names.append(_bounded(f"image/{step.image}"))
    return names


def _bounded(name):
    if len(name) <= MAX_NAME_CHARS:
        return name
    return hashlib.blake2b(name.encode(), digest_size=16).hexdigest()


def _usual(weight, mean, deviation):
    """Return mean and variance for a step that was not observed.

    Few observations leave the deviation close to that of callers' estimates,
    and the mean uncertain.
    """
    if not weight:
        return 0.0, log_variance(CALLER_SPREAD)
    assumed = ASSUMED_WEIGHT * log_variance(CALLER_SPREAD)
    variance = (deviation + assumed) / (weight + ASSUMED_WEIGHT)
    return mean, variance * (1 + 1 / weight)


def _caller_prior(step):
    """Return mean, variance and samples by the caller, None without one."""
    if not step.estimated_ms:
        return None
    return math.log(step.estimated_ms), log_variance(CALLER_SPREAD), 0.0


def _with_siblings(prior, row):
    """Return mean, variance and samples of a step with observed tasks.

    :param prior: The same without them, or None.
    :param row: The :class:`RunTimeRow` of the step.
    """
    assumed = ASSUMED_WEIGHT * log_variance(SIBLING_SPREAD)
    variance = (row.deviation + assumed) / (row.weight + ASSUMED_WEIGHT)
    if prior is None:
        return row.mean, variance * (1 + 1 / row.weight), row.weight
    mean, prior_variance, samples = prior
    precision = 1 / prior_variance + row.weight / variance
    mean = (mean / prior_variance + row.weight * row.mean / variance) / (
        precision
    )
    return mean, 1 / precision + variance, samples + row.weight
