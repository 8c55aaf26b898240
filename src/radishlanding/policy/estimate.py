"""A learned value with its uncertainty."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Estimate:
    """State of a one-dimensional Kalman filter.

    :param value: The estimate.
    :param variance: Expected square of its error.
    """

    value: float
    variance: float
