"""How much an image disturbs."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ImageWeight:
    """The weight of an image of filling tasks.

    :param image: Name of the image.
    :param weight: See :class:`radishlanding.policy.Interference`.
    :param is_light: Whether it may run at full speed.
    """

    image: str
    weight: float
    is_light: bool
