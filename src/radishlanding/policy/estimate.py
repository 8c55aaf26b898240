"""A figure that is learnt bit by bit."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Estimate:
    """A value, and how far off it may be.

    :param value: The best guess.
    :param variance: Expected square of its error.
    """

    value: float
    variance: float
