"""One try of a caller to hand a job in."""

import time


class Submission:
    """What a caller sent and was told."""

    __slots__ = ("job", "sent_s", "status")

    def __init__(self, job):
        """Note the sending.

        :param job: Name of the job.
        """
        self.job = job
        self.sent_s = time.monotonic()
        # None until it is answered, 0 for no answer.
        self.status = None
