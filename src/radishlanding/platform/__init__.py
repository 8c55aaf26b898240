"""Adapter to the users' platform: its wire names, formats and calls.

This package makes no scheduling decision, and no other package knows the
platform's wire names.
"""

from radishlanding.platform.advisor import PlatformAdvisor
from radishlanding.platform.client_api import ClientApi
from radishlanding.platform.kv_store import KvStore
from radishlanding.platform.operator_documents import read_site
from radishlanding.platform.operator_documents import SITE_PREFIX
from radishlanding.platform.ready_api import ReadyApi
from radishlanding.platform.registration_api import RegistrationApi
from radishlanding.platform.runner import Runner

__all__ = [
    "SITE_PREFIX",
    "ClientApi",
    "KvStore",
    "PlatformAdvisor",
    "ReadyApi",
    "RegistrationApi",
    "Runner",
    "read_site",
]
