"""Weight of an image."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ImageWeight:
    """Weight of an image of best-effort tasks, in a :class:`VmReportAck`.

    :param image: Name of the image.
    :param weight: Interference with serving tasks; see
        :class:`radishlanding.policy.Interference`.
    :param is_light: Whether tasks of the image may run at full speed beside
        serving tasks.
    """

    image: str
    weight: float
    is_light: bool
