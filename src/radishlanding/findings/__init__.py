"""Findings about invalid input."""

from radishlanding.lazy import lazy_exports

__all__ = [
    "Collector",
    "Finding",
    "InvalidInput",
    "decode_json",
    "find_address_problem",
    "read_toml",
    "structure",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "Collector": "collector",
        "Finding": "finding",
        "InvalidInput": "invalid_input",
        "decode_json": "json_value",
        "find_address_problem": "address",
        "read_toml": "structure",
        "structure": "structure",
    },
)
