"""Adapter to the users' platform: its wire names, formats and calls.

This package makes no scheduling decision, and no other package knows the
platform's wire names.
"""

from radishlanding.lazy import lazy_exports

__all__ = [
    "READY_LIMITS",
    "SITE_PREFIX",
    "ClientApi",
    "KvStore",
    "PlatformAdvisor",
    "ReadyApi",
    "RegistrationApi",
    "Runner",
    "read_site",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "ClientApi": "client_api",
        "KvStore": "kv_store",
        "PlatformAdvisor": "advisor",
        "READY_LIMITS": "ready_api",
        "ReadyApi": "ready_api",
        "RegistrationApi": "registration_api",
        "Runner": "runner",
        "SITE_PREFIX": "operator_documents",
        "read_site": "operator_documents",
    },
)
