"""Registry of the command classes, to which the decorator ``register`` adds them."""

from __future__ import annotations

from typing import TypeVar

from cleo.commands.command import Command

CommandT = TypeVar("CommandT", bound=type[Command])

_command_classes: list[type[Command]] = []


def register(command: CommandT) -> CommandT:
    """Registers the decorated command class."""
    _command_classes.append(command)
    return command


def registered_commands() -> tuple[type[Command], ...]:
    """Returns the registered command classes, sorted by command name."""
    return tuple(sorted(_command_classes, key=lambda command: command.name or ""))
