"""The ``bluebellrun-ctl`` program."""

from collections.abc import Callable

import typer

from bluebellrun.management import _check, _confirmation, _intents, _offline, _progress, _status

OFFLINE = "Without a fleet"
PLANS = "Make a plan; nothing changes"
CONFIRMATION = "Plans that were made, and the fleet"

application = typer.Typer(
    help="Plan and confirm changes of a bluebellrun fleet.", no_args_is_help=True
)

COMMANDS: dict[str, tuple[Callable[..., None], ...]] = {
    OFFLINE: (_offline.schema, _offline.validate, _offline.fmt, _offline.new_key, _check.check),
    PLANS: (
        _intents.plan,
        _intents.drain,
        _intents.undrain,
        _intents.shift,
        _intents.share,
        _intents.rebalance,
        _intents.pause,
        _intents.resume,
        _confirmation.undo,
    ),
    CONFIRMATION: (
        _confirmation.confirm,
        _progress.progress,
        _status.status,
        _confirmation.show,
        _confirmation.plans,
        _confirmation.withdraw,
    ),
}

application.command("hash-key", rich_help_panel=OFFLINE)(_offline.hash_key_command)
for panel, commands in COMMANDS.items():
    for command in commands:
        application.command(rich_help_panel=panel)(command)


def run() -> None:
    """Run the command line."""
    application()


if __name__ == "__main__":
    run()
