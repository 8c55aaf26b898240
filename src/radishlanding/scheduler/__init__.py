"""The scheduler: owns shards of batch work and claims of requests."""

from radishlanding.scheduler.program import SchedulerProgram

__all__ = ["SchedulerProgram"]
