"""Findings about invalid input."""

from radishlanding.findings.address import find_address_problem
from radishlanding.findings.collector import Collector
from radishlanding.findings.finding import Finding
from radishlanding.findings.invalid_input import InvalidInput
from radishlanding.findings.json_value import decode_json
from radishlanding.findings.structure import read_toml
from radishlanding.findings.structure import structure

__all__ = [
    "Collector",
    "Finding",
    "InvalidInput",
    "decode_json",
    "find_address_problem",
    "read_toml",
    "structure",
]
