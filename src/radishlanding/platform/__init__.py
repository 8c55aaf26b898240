"""Speaks with the users' platform: names, formats and calls.

Nothing in here decides anything, and nothing outside of it knows the
platform's names.
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
