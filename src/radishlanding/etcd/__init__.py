"""Client of the platform's key-value service, etcd."""

from radishlanding.etcd.store import EtcdStore

__all__ = ["EtcdStore"]
