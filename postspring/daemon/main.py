"""The ``postspring`` command."""

import json
import os
import pathlib
import sys

import fire

import postspring
from postspring import client
from postspring.client import publisher
from postspring import configuration
from postspring import errors
from postspring import settings as settings_module

__all__ = ["Commands", "main"]


class ConfigCommands:
    """Publish, show and check configuration."""

    def publish(
        self,
        file: str,
        platform: str,
        expected_version: int | None = None,
        author: str = "",
        change_id: str | None = None,
    ) -> str:
        """Publish a document to the log at ``platform`` (ip:port)."""
        document = pathlib.Path(file).read_bytes()
        version = self._publisher(platform).publish(
            document, expected_version, author, change_id
        )
        return f"version {version} published"

    def show(self, platform: str) -> str:
        """Show the document in force."""
        return publisher.format_state(self._publisher(platform).read().state)

    def check(self, file: str) -> str:
        """Check a document; report each error with its path."""
        configuration.parse_configuration(pathlib.Path(file).read_bytes())
        return "ok"

    @staticmethod
    def _publisher(platform: str) -> client.ConfigurationPublisher:
        address = settings_module.parse_address(platform)
        return client.ConfigurationPublisher(address)


class ProgramCommands:
    """Work with one program through an entry VM."""

    def create(
        self, entry: str, service: str, budget: int | None = None
    ) -> str:
        """Create a program and print its id."""
        connection = client.EntryClient([entry])
        return client.ProgramClient.create(
            connection, service, budget=budget
        ).program

    def ask(self, entry: str, program: str, model: str, text: str) -> str:
        """Call a model in a program and print the answer."""
        return self._resume(entry, program).ask(model, text).answer["content"]

    def show(self, entry: str, program: str) -> str:
        """Show a program's state."""
        return json.dumps(self._resume(entry, program).view(), indent=2)

    def history(self, entry: str, program: str) -> str:
        """Show a program's turns."""
        return json.dumps(self._resume(entry, program).history(), indent=2)

    def end(self, entry: str, program: str) -> str:
        """End a program."""
        return f"spent {self._resume(entry, program).end()}"

    def cancel(self, entry: str, program: str) -> str:
        """Cancel a program and its sub-agents."""
        return f"spent {self._resume(entry, program).cancel()}"

    @staticmethod
    def _resume(entry: str, program: str) -> client.ProgramClient:
        connection = client.EntryClient([entry])
        return client.ProgramClient.resume(connection, program)


class Commands:
    """postspring: a scheduler for agent programs."""

    def __init__(self):
        self.config = ConfigCommands()
        self.program = ProgramCommands()

    def entry(self, **flags) -> None:
        """Run an entry VM, configured by flags and POSTSPRING_* variables."""
        from postspring.daemon import ending
        from postspring.daemon import entry_daemon

        ending.open_standard_streams()
        text_flags = {name: str(value) for name, value in flags.items()}
        entry_settings = settings_module.load_settings(text_flags)
        ending.run_to_end(lambda: entry_daemon.run_entry(entry_settings))

    def query(
        self,
        text: str | None = None,
        entry: str = "",
        format: str = "table",
        key: str = "",
        change_id: str = "",
    ) -> str:
        """Run a statement of the query and command language.

        Without ``text``, run each line of standard input.
        """
        entry = entry or os.environ.get("POSTSPRING_ENTRY", "")
        key = key or os.environ.get("POSTSPRING_OPERATOR_KEY", "")
        if not entry:
            raise errors.CommandError("--entry=ip:port is required")
        commander = client.CommandClient([entry], key)
        statements = [text] if text is not None else sys.stdin
        results = [
            commander.run(str(line), format, change_id)
            for line in statements
            if str(line).strip()
        ]
        return "\n".join(results)

    def status(self, entry: str) -> str:
        """Show the state of an entry VM."""
        answer = client.EntryClient([entry]).request("GET", "/v1/status")
        return json.dumps(answer.body, indent=2)

    def version(self) -> str:
        """Print the version."""
        return postspring.__version__


def main() -> None:
    """Run a command; print an error as one line and exit with 1."""
    try:
        fire.Fire(Commands, name="postspring")
    except errors.PostspringError as error:
        print(f"postspring: {error}", file=sys.stderr)
        sys.exit(1)
    except OSError as error:
        print(f"postspring: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
