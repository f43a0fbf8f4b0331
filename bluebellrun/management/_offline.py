"""Commands that need no fleet: schema, fmt, validate, new-key."""

import json
import secrets
import sys
from pathlib import Path
from typing import Annotated

import typer

from bluebellrun.customers import hash_key
from bluebellrun.declarations import DeclarationError, format_text, json_schema, read_folder
from bluebellrun.management._options import EXIT_BAD_INPUT, EXIT_FAILED, OutputOption
from bluebellrun.management._session import fail

KEY_BYTES = 32

FolderArgument = Annotated[Path, typer.Argument(help="Folder of YAML documents.")]


def schema(
    kind: Annotated[str | None, typer.Argument(help="Kind of document; all if none.")] = None,
) -> None:
    """Print the JSON Schema of the documents, for editors and other tools."""
    try:
        found = json_schema(kind)
    except ValueError as error:
        raise fail(EXIT_BAD_INPUT, str(error)) from None
    sys.stdout.write(json.dumps(found, indent=2) + "\n")


def validate(folder: FolderArgument, output: OutputOption = "text") -> None:
    """Check a folder of documents without any fleet; list every problem."""
    try:
        documents = read_folder(folder)
    except DeclarationError as error:
        if output == "json":
            listed = [
                {"file": p.file, "line": p.line, "message": p.message} for p in error.problems
            ]
            sys.stdout.write(json.dumps({"valid": False, "problems": listed}, indent=2) + "\n")
            raise typer.Exit(EXIT_BAD_INPUT) from None
        raise fail(EXIT_BAD_INPUT, str(error)) from None
    if output == "json":
        found = {"valid": True, "documents": len(documents), "problems": []}
        sys.stdout.write(json.dumps(found, indent=2) + "\n")
        return
    sys.stdout.write(f"{len(documents)} documents are valid\n")


def fmt(
    folder: FolderArgument,
    check: Annotated[bool, typer.Option(help="Change no file; exit 1 if one would.")] = False,
    output: OutputOption = "text",
) -> None:
    """Bring the files of a folder into the common layout; comments stay."""
    if not folder.is_dir():
        raise fail(EXIT_BAD_INPUT, f"{folder}: no such folder; pass one with YAML files")
    changed: list[str] = []
    for path in sorted(folder.rglob("*.yaml")):
        try:
            text = path.read_text(encoding="utf-8")
            formatted = format_text(text)
        except (ValueError, OSError) as error:
            raise fail(EXIT_BAD_INPUT, f"{path}: {error}") from None
        if formatted == text:
            continue
        changed.append(str(path))
        if not check:
            path.write_text(formatted, encoding="utf-8")
    if output == "json":
        sys.stdout.write(json.dumps({"changed": changed}) + "\n")
    else:
        for name in changed:
            sys.stdout.write(f"{'would change' if check else 'changed'} {name}\n")
    if check and changed:
        raise typer.Exit(EXIT_FAILED)


def new_key(output: OutputOption = "text") -> None:
    """Make a random key for a customer or token for an operator, and its hash to declare."""
    key = secrets.token_urlsafe(KEY_BYTES)
    if output == "json":
        sys.stdout.write(json.dumps({"key": key, "hash": hash_key(key)}) + "\n")
        return
    sys.stdout.write(f"key:  {key}\nhash: {hash_key(key)}\n")


def hash_key_command() -> None:
    """Print the hash of a key read from standard input, so that it stays out of histories."""
    key = sys.stdin.readline().strip()
    if not key:
        raise fail(EXIT_BAD_INPUT, "no key on standard input; pipe one in")
    sys.stdout.write(hash_key(key) + "\n")
