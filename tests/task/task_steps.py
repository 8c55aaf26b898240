"""Steps for the states of a task."""

from behave import then

from radishlanding.task import TaskState


@then("a task that is {state} is on a VM: {on_vm}, and has ended: {ended}")
def _state_properties(_context, state, on_vm, ended):
    task_state = TaskState(state)
    assert task_state.is_on_vm == (on_vm == "yes")
    assert task_state.has_ended == (ended == "yes")
