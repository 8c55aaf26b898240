"""Commands for job templates."""

from radishlanding.cli.table import print_json
from radishlanding.cli.table import print_table

_COLUMNS = ("organisation", "kind", "urgency", "idempotent", "zones")


class TemplateCommands:
    """Show the job templates."""

    __slots__ = ("_client",)

    def __init__(self, client):
        """Create the commands.

        :param client: An :class:`EntryClient`.
        """
        self._client = client

    def list(self, json=False):
        """List the templates in force."""
        templates = self._client.call("GET", "/v1/config")["templates"]
        if json:
            print_json(templates)
            return
        print_table(
            ("template", *_COLUMNS),
            [
                (name, *(_format_value(item[column]) for column in _COLUMNS))
                for name, item in sorted(templates.items())
            ],
        )


def _format_value(value):
    return ",".join(value) if isinstance(value, list) else value
