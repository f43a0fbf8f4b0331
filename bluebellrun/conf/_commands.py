"""Command lines made from settings classes: one flag for each field."""

import inspect
import os
import sys
from collections.abc import Callable
from typing import Any, TypeVar

import typer
from pydantic import ValidationError
from pydantic_settings import BaseSettings

EXIT_BAD_SETTING = 2

SettingsT = TypeVar("SettingsT", bound=BaseSettings)


def _flag(field_name: str) -> str:
    """Return the flag for a field."""
    return "--" + field_name.replace("_", "-")


def _variable(settings_class: type[BaseSettings], field_name: str) -> str:
    """Return the environment variable for a field."""
    prefix = settings_class.model_config.get("env_prefix", "")
    return f"{prefix}{field_name}".upper()


def _parameter(settings_class: type[BaseSettings], field_name: str) -> inspect.Parameter:
    """Return the command's parameter for a field."""
    field = settings_class.model_fields[field_name]
    default = "required" if field.is_required() else f"default: {field.default}"
    variable = _variable(settings_class, field_name)
    help_text = f"{field.description or ''} [{variable}; {default}]"
    option = typer.Option(None, _flag(field_name), help=help_text, show_default=False)
    return inspect.Parameter(
        field_name, inspect.Parameter.KEYWORD_ONLY, default=option, annotation=str | None
    )


def _explain(settings_class: type[BaseSettings], error: ValidationError) -> str:
    """Return one line for each bad setting: its flag, its value, what is wrong, the way out."""
    lines = []
    for problem in error.errors():
        if not problem["loc"]:
            lines.append(f"{problem['msg'].removeprefix('Value error, ')}")
            continue
        name = str(problem["loc"][0])
        flag, variable = _flag(name), _variable(settings_class, name)
        if problem["type"] == "missing":
            lines.append(f"{flag} is required; pass {flag} VALUE or set {variable}")
            continue
        lines.append(
            f"{flag}={problem['input']}: {problem['msg']}; correct {flag} or {variable} "
            f"({settings_class.model_fields[name].description})"
        )
    return "\n".join(lines)


def settings_command(
    settings_class: type[SettingsT], start: Callable[[SettingsT], int | None]
) -> Callable[[], None]:
    """Return a program that reads settings from flags and environment, then starts.

    The program exits with status 2 and one line for each bad setting on standard error, or
    with the status that ``start`` returns.
    """

    def command(**flags: str | None) -> None:
        given: dict[str, Any] = {name: value for name, value in flags.items() if value is not None}
        try:
            settings = settings_class(**given)
        except ValidationError as error:
            sys.stderr.write(_explain(settings_class, error) + "\n")
            raise typer.Exit(EXIT_BAD_SETTING) from None
        raise typer.Exit(start(settings) or 0)

    parameters = [_parameter(settings_class, name) for name in settings_class.model_fields]
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {item.name: item.annotation for item in parameters}
    command.__doc__ = inspect.getdoc(settings_class)
    application = typer.Typer(add_completion=False, rich_markup_mode=None)
    application.command()(command)

    def run() -> None:
        os.environ.setdefault("TERMINAL_WIDTH", "100")
        application()

    return run
