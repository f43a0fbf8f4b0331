"""Read a folder of YAML documents, reporting every problem with its file and line."""

from pathlib import Path
from typing import Any

import yaml
from pydantic import ValidationError

from bluebellrun.declarations._exceptions import DeclarationError, Problem
from bluebellrun.declarations._models import KINDS, Document


def read_folder(folder: Path) -> list[Document]:
    """Return the documents of all ``*.yaml`` files below a folder.

    Raises ``DeclarationError`` with every problem found.
    """
    if not folder.is_dir():
        raise DeclarationError(
            [Problem(str(folder), 0, "no such folder; pass one with YAML files")]
        )
    problems: list[Problem] = []
    documents: list[Document] = []
    seen: dict[tuple[str, str], str] = {}
    for path in sorted(folder.rglob("*.yaml")):
        for node in _parse(path, problems):
            document = _validate(path, node, problems)
            if document is None:
                continue
            identity = (document.kind, document.name)
            where = f"{path}:{node.start_mark.line + 1}"
            if identity in seen:
                text = f"{document.kind} {document.name!r} is already declared at {seen[identity]}"
                problems.append(Problem(str(path), node.start_mark.line + 1, text))
            seen[identity] = where
            documents.append(document)
    if problems:
        raise DeclarationError(problems)
    return documents


def _parse(path: Path, problems: list[Problem]) -> list[yaml.Node]:
    """Return the YAML nodes of a file, noting what cannot be parsed."""
    try:
        nodes = list(yaml.compose_all(path.read_text(encoding="utf-8"), Loader=yaml.SafeLoader))
    except (yaml.MarkedYAMLError, UnicodeDecodeError) as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark is not None else 1
        problems.append(Problem(str(path), line, f"not YAML: {error}"))
        return []
    return [node for node in nodes if node is not None]


def _construct(node: yaml.Node) -> Any:
    """Return the plain value of a node."""
    loader = yaml.SafeLoader("")
    try:
        return loader.construct_document(node)
    finally:
        loader.dispose()


def _validate(path: Path, node: yaml.Node, problems: list[Problem]) -> Document | None:
    """Return the document of a node, or note what is wrong with it."""
    line = node.start_mark.line + 1
    value = _construct(node)
    kind = value.get("kind") if isinstance(value, dict) else None
    model = KINDS.get(str(kind))
    if model is None:
        text = f"kind {kind!r} is not known; use one of {', '.join(sorted(KINDS))}"
        problems.append(Problem(str(path), line, text))
        return None
    try:
        return model.model_validate(value)
    except ValidationError as error:
        for detail in error.errors():
            field = ".".join(str(part) for part in detail["loc"])
            text = f"{kind} field {field!r} = {detail.get('input')!r}: {detail['msg']}"
            problems.append(Problem(str(path), _line_of(node, detail["loc"]), text))
        return None


def _line_of(node: yaml.Node, location: tuple[int | str, ...]) -> int:
    """Return the line of the value at a location inside a node, counted from 1."""
    current = node
    for part in location:
        if isinstance(current, yaml.MappingNode):
            children = {key.value: value for key, value in current.value}
            if part not in children:
                break
            current = children[part]
        elif isinstance(current, yaml.SequenceNode) and isinstance(part, int):
            current = current.value[part]
    return int(current.start_mark.line) + 1
