"""State of a running attempt from which its run time is measured."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkAnchor:
    """What an agent reported of an attempt at some time.

    :param attempt: Number of the attempt.
    :param full_pace_ms: Time that it had worked, weighted by its pace, in
        milliseconds.
    :param progress: Share of the work that was done, in percent.
    :param pace_percent: Lowest pace reported since, in percent.
    """

    attempt: int
    full_pace_ms: int
    progress: int
    pace_percent: int
