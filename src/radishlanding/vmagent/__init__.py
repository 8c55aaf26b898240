"""Agent that runs workflow tasks on the workers of its VM."""
