"""Steps for message types."""

import dataclasses

from behave import then

from radishlanding import message as messages


@then("no message type has an attribute dictionary")
def _no_dict(_context):
    for name in messages.__all__:
        cls = getattr(messages, name)
        assert dataclasses.is_dataclass(cls), name
        assert "__dict__" not in dir(cls), name


@then("two job summaries without tasks have separate lists")
def _separate_lists(_context):
    first, second = (
        messages.JobSummary(
            job_id="j", organisation="o", template="t", states=[]
        )
        for _ in range(2)
    )
    assert first.tasks is not second.tasks
