"""One attempt of a caller to submit a job."""

import time


class Submission:
    """Record the time and the status of a submission."""

    __slots__ = ("job", "sent_s", "status")

    def __init__(self, job):
        """Record the current time as the time of sending.

        :param job: Name of the job.
        """
        self.job = job
        self.sent_s = time.monotonic()
        # None until answered, 0 if no response was received.
        self.status = None
