"""The command ``jujubehall job wait``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import argument

from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.waiting_command import TIMEOUT_OPTION
from jujubehall.console.waiting_command import WaitingCommand

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


@register
class JobWaitCommand(WaitingCommand):
    """Waits until a job has ended."""

    name = "job wait"
    description = "Waits until a job has ended and shows each change of its state."
    arguments: ClassVar[list[Argument]] = [argument("job", "Identifier of the job.")]
    options: ClassVar[list[Option]] = [*SITE_OPTIONS, TIMEOUT_OPTION]

    def handle(self) -> int:
        """Waits until the job has ended; the exit code is 0 only if it succeeded."""
        return self.wait(self.argument("job"))
