"""The agent: the only one that starts work on its VM."""

from radishlanding.agent.program import AgentProgram

__all__ = ["AgentProgram"]
