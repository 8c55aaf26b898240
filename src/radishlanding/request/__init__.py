"""Requests, their attempts, claims and results."""

from radishlanding.request.attempt import Attempt
from radishlanding.request.attempt_registry import AttemptRegistry
from radishlanding.request.claim import Claim
from radishlanding.request.outcome import Outcome
from radishlanding.request.request import Request
from radishlanding.request.result import Result

__all__ = [
    "Attempt",
    "AttemptRegistry",
    "Claim",
    "Outcome",
    "Request",
    "Result",
]
