"""The commands of the command line, in a registry that a decorator fills."""

from __future__ import annotations

from typing import TypeVar

from cleo.commands.command import Command

C = TypeVar("C", bound=type[Command])

_commands: list[type[Command]] = []


def register(command: C) -> C:
    """Adds the decorated command class to the command line."""
    _commands.append(command)
    return command


def registered_commands() -> tuple[type[Command], ...]:
    """The registered command classes, ordered by name."""
    return tuple(sorted(_commands, key=lambda command: command.name or ""))
