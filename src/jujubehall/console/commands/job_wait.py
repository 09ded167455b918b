"""``jujubehall job wait``."""

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
    """Waits for the end of a job."""

    name = "job wait"
    description = "Waits for the end of a job and shows each change on the way."
    arguments: ClassVar[list[Argument]] = [argument("job", "The job's identifier.")]
    options: ClassVar[list[Option]] = [*SITE_OPTIONS, TIMEOUT_OPTION]

    def handle(self) -> int:
        """Waits; the exit code is 0 only if the job succeeded."""
        return self.wait(self.argument("job"))
