"""Builds the ``jujubehall`` command-line application and runs it."""

from __future__ import annotations

import sys

from importlib import import_module
from pkgutil import iter_modules

from cleo.application import Application
from cleo.exceptions import CleoError

from jujubehall import __version__
from jujubehall.console import commands
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.registry import registered_commands


def make_application() -> Application:
    """Creates the application with every command in the ``commands`` package."""
    for module in iter_modules(commands.__path__):
        import_module(f"{commands.__name__}.{module.name}")
    application = Application("jujubehall", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in registered_commands():
        application.add(command())
    return application


def main() -> None:
    """Runs the command given in ``sys.argv`` and exits with its exit code."""
    try:
        sys.exit(make_application().run())
    except CleoError as error:
        print(f"jujubehall: {error}", file=sys.stderr)
        print("Run 'jujubehall list', or a command with --help.", file=sys.stderr)
        sys.exit(ExitCode.INVALID)


if __name__ == "__main__":
    main()
