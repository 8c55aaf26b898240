"""Commands for availability zones."""

from radishlanding.cli.config_commands import print_revision
from radishlanding.cli.table import print_json
from radishlanding.cli.table import print_table


class ZoneCommands:
    """Take availability zones out of service and bring them back."""

    __slots__ = ("_client",)

    def __init__(self, client):
        """Create the commands.

        :param client: An :class:`EntryClient`.
        """
        self._client = client

    def out(self, zone, wait=True, json=False):
        """Take a zone out of service; --nowait returns at once."""
        self._change_service(zone, "out", wait, json)

    def _change_service(self, zone, direction, wait, json):
        answer = self._client.call(
            "POST",
            f"/v1/zones/{zone}/{direction}",
            {"author": self._client.author},
        )
        print_revision(self._client, answer["revision"], wait=wait, json=json)

    def list(self, json=False):
        """List the zones with their state and number of agents."""
        zones = self._client.call("GET", "/v1/config")["zones"]
        processes = self._client.call("GET", "/v1/status")["processes"]
        rows = [
            (
                name,
                "in" if item["in_service"] else "out",
                sum(
                    process["zone"] == name and process["kind"] == "agent"
                    for process in processes
                ),
            )
            for name, item in sorted(zones.items())
        ]
        if json:
            print_json(
                [
                    dict(zip(("zone", "service", "agents"), row, strict=True))
                    for row in rows
                ]
            )
        else:
            print_table(("zone", "service", "agents"), rows)


def _bring_in(self, zone, wait=True, json=False):
    """Bring a zone back into service; --nowait returns at once."""
    self._change_service(zone, "in", wait, json)


# "in" is a keyword, so it cannot be the name in a def statement.
setattr(ZoneCommands, "in", _bring_in)
