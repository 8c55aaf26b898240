"""Agent, which alone starts requests and tasks on its VM."""

from radishlanding.agent.program import AgentProgram

__all__ = ["AgentProgram"]
