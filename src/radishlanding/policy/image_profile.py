"""Learned interference of one image."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ImageProfile:
    """Weight of an image of best-effort tasks, as it is stored.

    :param image: Name of the image.
    :param weight: See :class:`Interference`.
    :param observations: Number of observations behind the weight.
    :param is_light: Whether the image is classified as light.
    """

    image: str
    weight: float
    observations: int
    is_light: bool
