"""Limits retries to a share of requests."""


class RetryBudget:
    """Allow retries as a share of requests.

    Each request deposits a part of a retry; each retry withdraws a whole
    one. The initial balance lets a process with little traffic retry too.
    """

    __slots__ = ("_balance", "_max_balance", "_share")

    def __init__(self, *, share=0.1, max_balance=10.0):
        """Start with a full balance.

        :param share: Retries that each request deposits.
        :param max_balance: Largest burst of retries.
        """
        self._share = share
        self._max_balance = max_balance
        self._balance = max_balance

    def deposit(self):
        """Deposit the share of one request."""
        self._balance = min(self._max_balance, self._balance + self._share)

    def try_withdraw(self):
        """Withdraw one retry; return whether the balance covered it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
