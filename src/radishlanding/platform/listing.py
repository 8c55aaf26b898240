"""Decoding of a runner's lists of attempts.

Specified by the platform's page "What radishlanding speaks", section on
running tasks. A run of the platform is an attempt of this project.
"""

from radishlanding.platform.fields import check_int
from radishlanding.platform.fields import check_number
from radishlanding.platform.fields import check_text
from radishlanding.platform.fields import MAX_NUMBER
from radishlanding.platform.fields import MAX_TEXT_BYTES
from radishlanding.platform.fields import read_int
from radishlanding.platform.fields import read_list
from radishlanding.worker import AttemptListing
from radishlanding.worker import EndedAttempt
from radishlanding.worker import RunningAttempt
from radishlanding.workflow import EndKind

# A runner lists this many ends at a time, the oldest first.
MAX_ENDS = 500

_KIND_BY_END = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.INTERRUPTED,
    "lapsed": EndKind.INTERRUPTED,
    "broken": EndKind.INTERRUPTED,
    "alone": EndKind.INTERRUPTED,
}


def decode_listing(answer):
    """Return a :class:`radishlanding.worker.AttemptListing`.

    :param answer: The runner's answer, a JSON object.
    :raises TypeError: A row is not a list.
    :raises ValueError: A field is missing or malformed.
    """
    ended = [_decode_ended(row) for row in read_list(answer, "ended")]
    return AttemptListing(
        clock_ms=read_int(answer, "clockMs", maximum=MAX_NUMBER),
        born_ms=read_int(answer, "born", default=0, maximum=MAX_NUMBER),
        running=[_decode_running(row) for row in read_list(answer, "running")],
        ended=ended,
        is_complete=len(ended) < MAX_ENDS,
    )


def _decode_running(row):
    """Decode a row of a running attempt.

    Its columns are task, attempt, checkpoint, progress in percent and,
    optionally, the gauge: over the last half second, the tail latency of a
    serving task in milliseconds, or the millicores that another task used.
    """
    task_id, attempt, checkpoint, progress, *gauges = row
    return RunningAttempt(
        task_id=check_text(task_id, "task"),
        attempt=check_int(attempt, "attempt"),
        checkpoint=_decode_checkpoint(checkpoint),
        progress=int(check_number(progress, "progress")),
        gauge=check_number(gauges[0], "gauge") if gauges else 0.0,
    )


def _decode_ended(row):
    """Decode a row of an ended attempt.

    Its columns are the number of the end, task, attempt, reason and
    checkpoint.
    """
    number, task_id, attempt, how, checkpoint, *_ = row
    reason = check_text(how, "reason")
    return EndedAttempt(
        number=check_int(number, "number"),
        task_id=check_text(task_id, "task"),
        attempt=check_int(attempt, "attempt"),
        kind=_KIND_BY_END.get(reason, EndKind.INTERRUPTED),
        reason=reason,
        checkpoint=_decode_checkpoint(checkpoint),
    )


def _decode_checkpoint(value):
    """Return a checkpoint, empty if it is too long to be kept.

    The platform sets no limit to its length. Without it the attempt resumes
    from an earlier one; an unreadable list would end all attempts.
    """
    if isinstance(value, str):
        size_bytes = len(value.encode(errors="surrogatepass"))
        if size_bytes > MAX_TEXT_BYTES:
            return ""
    return check_text(value, "checkpoint")
