"""What a runner of the tests does with a call."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class CallFate:
    """When a call is carried out, and whether it is answered.

    :param delay_s: After how many seconds it is carried out.
    :param is_answered: Whether it is answered then.
    :param refusal: Reason to refuse a start, empty if it is not refused.
    """

    delay_s: float = 0.0
    is_answered: bool = True
    refusal: str = ""
