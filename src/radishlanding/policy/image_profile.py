"""What was learnt of one image."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ImageProfile:
    """The weight of an image of filling tasks, to be kept.

    :param image: Name of the image.
    :param weight: See :class:`Interference`.
    :param observations: How often it was seen.
    :param is_light: Whether it counts as one that hardly disturbs.
    """

    image: str
    weight: float
    observations: int
    is_light: bool
