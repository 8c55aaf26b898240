"""Shard state and the group commit that changes it."""

from radishlanding.shard.change import Change
from radishlanding.shard.group_commit import GroupCommit
from radishlanding.shard.hashing import rendezvous
from radishlanding.shard.hashing import shard_of
from radishlanding.shard.state import ShardState

__all__ = ["Change", "GroupCommit", "ShardState", "rendezvous", "shard_of"]
