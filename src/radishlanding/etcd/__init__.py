"""The platform's key-value service by its JSON gateway."""

from radishlanding.etcd.store import EtcdStore

__all__ = ["EtcdStore"]
