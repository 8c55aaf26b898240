"""Commands about availability zones."""

from radishlanding.cli.config_commands import report_revision
from radishlanding.cli.table import print_json
from radishlanding.cli.table import print_table


class ZoneCommands:
    """Take availability zones out of service and bring them back."""

    __slots__ = ("_client",)

    def __init__(self, client):
        """Use an entry client."""
        self._client = client

    def out(self, zone, wait=True, json=False):
        """Take a zone out; --nowait does not wait until it is in force."""
        self._move(zone, "out", wait, json)

    def _move(self, zone, direction, wait, json):
        answer = self._client.call(
            "POST",
            f"/v1/zones/{zone}/{direction}",
            {"author": self._client.author},
        )
        report_revision(self._client, answer["revision"], wait=wait, json=json)

    def list(self, json=False):
        """List the zones with the agents there."""
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
    """Bring a zone back; --nowait does not wait until it is in force."""
    self._move(zone, "in", wait, json)


# "in" is a keyword, which a def statement cannot name.
setattr(ZoneCommands, "in", _bring_in)
