"""The scheduler: places batch tasks and records claims of requests."""

from radishlanding.scheduler.program import SchedulerProgram

__all__ = ["SchedulerProgram"]
