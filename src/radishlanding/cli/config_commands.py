"""Commands for the configuration."""

import dataclasses

from radishlanding.cli.revision_wait import wait_for_revision
from radishlanding.cli.table import print_json
from radishlanding.cli.table import print_table
from radishlanding.config import diff_documents
from radishlanding.config import Document
from radishlanding.config import make_document
from radishlanding.findings import read_toml
from radishlanding.findings import structure

WAIT_TIMEOUT_S = 5.0


def read_document(path):
    """Read and check a configuration document.

    :param path: Path of a TOML file.
    :returns: A :class:`radishlanding.config.Document`.
    :raises radishlanding.findings.InvalidInput: The document has findings.
    """
    return make_document(read_toml(path), source=str(path))


class ConfigCommands:
    """Check, show, compare and apply configuration."""

    __slots__ = ("_client",)

    def __init__(self, client):
        """Create the commands.

        :param client: An :class:`EntryClient`.
        """
        self._client = client

    def validate(self, path, json=False):
        """Check a configuration file without applying it."""
        document = read_document(path)
        if json:
            print_json({"path": str(path), "findings": []})
            return
        print(
            f"{path}: {len(document.templates)} templates, "
            f"{len(document.organisations)} organisations, "
            f"{len(document.zones)} zones: no findings"
        )

    def show(self, json=False):
        """Show the configuration in force."""
        fields = self._client.call("GET", "/v1/config")
        if json:
            print_json(fields)
            return
        print(f"revision {fields['revision']} by {fields['author'] or '-'}")
        print_table(
            ("organisation", "processors", "memory_mb", "accelerators"),
            [
                (
                    name,
                    item["processors"],
                    item["memory_mb"],
                    item["accelerators"],
                )
                for name, item in sorted(fields["organisations"].items())
            ],
        )

    def diff(self, path, json=False):
        """Show what a configuration file would change."""
        rows = diff_documents(self._in_force(), read_document(path))
        if json:
            print_json(rows)
        else:
            print_table(("key", "in force", "in the file"), rows)

    def _in_force(self):
        fields = self._client.call("GET", "/v1/config")
        return structure(Document, fields, source="configuration in force")

    def apply(self, path, wait=False, json=False):
        """Apply a configuration file; --wait waits until it is in force."""
        document = read_document(path)
        in_force = self._in_force()
        if in_force.revision:
            document.shards = in_force.shards
        answer = self._client.call(
            "PUT",
            "/v1/config",
            {
                "document": dataclasses.asdict(document),
                "expected": in_force.revision,
                "author": self._client.author,
            },
        )
        print_revision(self._client, answer["revision"], wait=wait, json=json)


def print_revision(client, revision, *, wait, json):
    """Print an accepted revision.

    :param client: An :class:`EntryClient`.
    :param revision: Number of the revision.
    :param wait: Whether to wait until it is in force everywhere.
    :param json: Whether to print JSON.
    :raises CommandFailed: It was not in force in time.
    """
    took_s = None
    if wait:
        took_s = wait_for_revision(client, revision, timeout_s=WAIT_TIMEOUT_S)
    if json:
        print_json({"revision": revision, "in_force_s": took_s})
    elif wait:
        print(f"revision {revision} is in force everywhere, {took_s:.1f} s")
    else:
        print(f"revision {revision} is accepted")
