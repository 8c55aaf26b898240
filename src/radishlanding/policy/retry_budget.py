"""Bounds how many requests are tried again."""


class RetryBudget:
    """Allow retries as a share of requests.

    Each request pays in a part of a retry; a retry takes a whole one. A
    small balance lets a quiet process retry too.
    """

    __slots__ = ("_balance", "_max_balance", "_share")

    def __init__(self, *, share=0.1, max_balance=10.0):
        """Start with a full balance.

        :param share: Retries for each request.
        :param max_balance: Retries that may be made at once.
        """
        self._share = share
        self._max_balance = max_balance
        self._balance = max_balance

    def deposit(self):
        """Count a request."""
        self._balance = min(self._max_balance, self._balance + self._share)

    def try_withdraw(self):
        """Return whether one retry may be made, and count it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
