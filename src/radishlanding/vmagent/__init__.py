"""The agent beside a worker that runs the tasks of workflows."""
