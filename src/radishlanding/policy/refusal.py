"""Reasons why a VM takes no further task of a step."""

import enum


class Refusal(enum.StrEnum):
    """The first rule that keeps a task from a VM."""

    ACCELERATORS = "accelerators"
    AVOIDED = "avoided"
    DOUBTFUL = "doubtful"
    GANG_SIZE = "gang_size"
    HEADROOM = "headroom"
    IDLE_PROCESSORS = "idle_processors"
    LABEL = "label"
    MEMORY = "memory"
    PROCESSORS = "processors"
    QUARANTINE = "quarantine"
    STUCK = "stuck"
    TASKS_PER_VM = "tasks_per_vm"
    TICKET = "ticket"
    UNKNOWN_IMAGE = "unknown_image"
