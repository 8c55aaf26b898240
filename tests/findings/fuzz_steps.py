"""Steps that feed arbitrary input to the configuration reader."""

import pathlib
import tempfile

import hypothesis
from behave import then
from hypothesis import strategies

from radishlanding.cli.config_commands import read_document
from radishlanding.config import make_document
from radishlanding.findings import InvalidInput

KEYS = (
    "shards",
    "zones",
    "organisations",
    "templates",
    "bole",
    "abay-reef",
    "organisation",
    "kind",
    "idempotent",
    "in_service",
    "processors",
    "memory_mb",
    "deadline_ms",
    "objective",
    "service",
)
VALUES = strategies.recursive(
    strategies.one_of(
        strategies.integers(),
        strategies.floats(),
        strategies.booleans(),
        strategies.text(max_size=8),
        strategies.sampled_from(("batch", "request", "bole", "abay-reef")),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            strategies.sampled_from(KEYS), inner, max_size=6
        ),
    ),
    max_leaves=25,
)
DOCUMENTS = strategies.dictionaries(
    strategies.sampled_from(KEYS), VALUES, max_size=6
)


def _deterministic(count):
    return hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=count
    )


@then("300 texts are read or rejected with findings")
def _texts(_context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "site.toml"

        @_deterministic(300)
        @hypothesis.given(strategies.text())
        def check(text):
            path.write_text(text, errors="surrogatepass")
            try:
                read_document(path)
            except InvalidInput as exc:
                assert exc.lines()

        check()


@then("500 documents of arbitrary values are read or rejected with findings")
def _documents(_context):
    @_deterministic(500)
    @hypothesis.given(DOCUMENTS)
    def check(mapping):
        try:
            make_document(mapping, source="arbitrary")
        except InvalidInput as exc:
            assert exc.lines()

    check()
