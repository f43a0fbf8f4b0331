"""Write the pages of docs/reference that are made from the code; ``--check`` only compares."""

import sys
from pathlib import Path
from typing import Any

from pydantic_settings import BaseSettings

from bluebellrun.agent._settings import AgentSettings
from bluebellrun.declarations import KINDS
from bluebellrun.entry._settings import EntrySettings
from bluebellrun.management._options import EXIT_STATUSES

REFERENCE = Path(__file__).parents[1] / "docs" / "reference"
MADE = "This page is made from the code by `python scripts/reference.py`.\n"


def settings_page() -> str:
    """Return the page of all settings."""
    parts = [
        "# Settings\n",
        MADE,
        "Each setting is a flag and an environment variable; the flag goes before the variable, "
        "and that before the default. A wrong value is named at the start with the way out, and "
        "the process exits with status 2.\n",
    ]
    for binary, settings in (
        ("bluebellrun-entry", EntrySettings),
        ("bluebellrun-agent", AgentSettings),
    ):
        parts.append(f"## {binary}\n")
        parts.append(_settings_table(settings))
    return "\n".join(parts)


def _settings_table(settings: type[BaseSettings]) -> str:
    """Return the table of one binary's settings, sorted by name."""
    lines = ["| flag | variable | default | meaning |", "|---|---|---|---|"]
    prefix = str(settings.model_config.get("env_prefix", ""))
    for name in sorted(settings.model_fields):
        field = settings.model_fields[name]
        default = "required" if field.is_required() else _default(field.default)
        flag, variable = "--" + name.replace("_", "-"), f"{prefix}{name}".upper()
        lines.append(f"| `{flag}` | `{variable}` | {default} | {field.description} |")
    return "\n".join(lines) + "\n"


def _default(value: object) -> str:
    """Return a default as the page shows it."""
    if value is None or value == "":
        return "none"
    return f"`{value}`"


def documents_page() -> str:
    """Return the page of all kinds of document."""
    parts = [
        "# Documents\n",
        MADE,
        "A folder of YAML files declares a fleet; each file holds one or more documents, with "
        "`---` between them. Unknown keys are refused. `bluebellrun-ctl schema KIND` prints the "
        "same as JSON Schema, and `bluebellrun-ctl validate FOLDER` checks a folder.\n",
    ]
    for kind in sorted(KINDS):
        schema = KINDS[kind].model_json_schema()
        parts.append(f"## {kind}\n")
        parts.append(schema["description"].replace("``", "`") + "\n")
        parts.append(_fields_table(schema))
    return "\n".join(parts)


def _fields_table(schema: dict[str, Any]) -> str:
    """Return the table of a kind's fields."""
    lines = ["| field | type | default |", "|---|---|---|"]
    required = set(schema.get("required", []))
    for name, field in schema["properties"].items():
        if name == "kind":
            continue
        default = "required" if name in required else f"`{field.get('default')!r}`"
        lines.append(f"| `{name}` | {_type(field, schema)} | {default} |")
    return "\n".join(lines) + "\n"


def _type(field: dict[str, Any], schema: dict[str, Any]) -> str:
    """Return a field's type with its bounds."""
    if "$ref" in field:
        field = schema["$defs"][field["$ref"].rpartition("/")[2]]
    if "enum" in field:
        return "one of " + ", ".join(f"`{item}`" for item in field["enum"])
    if field.get("type") == "array":
        inner = _type(field["items"], schema)
        bounds = [f"{field[key]}" for key in ("minItems", "maxItems") if key in field]
        return f"list of {inner}" + (f", {' to '.join(bounds)} of them" if bounds else "")
    words = {
        "minimum": "at least",
        "exclusiveMinimum": "above",
        "maximum": "at most",
        "exclusiveMaximum": "below",
    }
    limits = [f"{word} {field[key]:g}" for key, word in words.items() if key in field]
    if "pattern" in field:
        limits.append(f"matches `{field['pattern']}`")
    return ", ".join([str(field.get("type", "any")), *limits])


def exit_codes_page() -> str:
    """Return the page of exit statuses."""
    lines = [
        "# Exit statuses\n",
        MADE,
        "## bluebellrun-ctl\n",
        "| status | meaning |",
        "|---|---|",
        *[f"| {status} | {meaning} |" for status, meaning in sorted(EXIT_STATUSES.items())],
        "",
        "## bluebellrun-entry and bluebellrun-agent\n",
        "| status | meaning |",
        "|---|---|",
        "| 0 | stopped by SIGTERM or SIGINT; nothing was cut off |",
        "| 1 | a runtime invariant was violated while `--fatal-invariants` was set |",
        "| 2 | a setting is wrong, or a TLS file cannot be used |",
        "| 3 | a second signal or the end of `--stop-grace-s` cut off work in progress |",
        "",
        "## bluebellrun-report\n",
        "| status | meaning |",
        "|---|---|",
        "| 0 | at least one entry answered |",
        "| 1 | no entry answered |",
        "| 2 | a flag or a file is wrong |",
        "| 4 | the key-value service cannot be reached |",
        "| 6 | the operator's token is not known |",
        "",
        "## bluebellrun-load\n",
        "| status | meaning |",
        "|---|---|",
        "| 0 | `run`: every answer that carried a digest was right; `compare`: nothing got worse |",
        "| 1 | `run`: an answer was wrong; `compare`: a stream got worse beyond chance |",
        "| 2 | a flag or a file is wrong |",
        "",
    ]
    return "\n".join(lines)


PAGES = {
    "settings.md": settings_page,
    "documents.md": documents_page,
    "exit-codes.md": exit_codes_page,
}


def main() -> int:
    """Write the pages, or say which of them are out of date."""
    check = "--check" in sys.argv[1:]
    outdated = []
    for name, make in PAGES.items():
        path, text = REFERENCE / name, make()
        if path.exists() and path.read_text(encoding="utf-8") == text:
            continue
        outdated.append(name)
        if not check:
            path.write_text(text, encoding="utf-8")
    for name in outdated:
        sys.stdout.write(f"{name} {'is out of date' if check else 'written'}\n")
    return 1 if check and outdated else 0


if __name__ == "__main__":
    sys.exit(main())
