"""Findings about invalid input."""

from radishlanding.findings.collector import Collector
from radishlanding.findings.finding import Finding
from radishlanding.findings.invalid_input import InvalidInput
from radishlanding.findings.structure import read_toml
from radishlanding.findings.structure import structure

__all__ = [
    "Collector",
    "Finding",
    "InvalidInput",
    "read_toml",
    "structure",
]
