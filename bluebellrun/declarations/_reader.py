"""Read a folder of YAML documents, reporting every problem with its file and line."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml
from pydantic import ValidationError

from bluebellrun.declarations._checks import Violation, check_documents
from bluebellrun.declarations._exceptions import DeclarationError, Problem
from bluebellrun.declarations._models import KINDS, Document

MAX_SHOWN = 80


@dataclass(frozen=True, slots=True)
class _Source:
    """A document and where it stands."""

    document: Document
    path: Path
    node: yaml.Node


def read_folder(folder: Path) -> list[Document]:
    """Return the documents of all ``*.yaml`` files below a folder.

    Raises ``DeclarationError`` with every problem found.
    """
    if not folder.is_dir():
        raise DeclarationError(
            [Problem(str(folder), 0, "no such folder; pass one with YAML files")]
        )
    problems: list[Problem] = []
    sources: list[_Source] = []
    for path in sorted(folder.rglob("*.yaml")):
        for node in _parse(path, problems):
            document = _validate(path, node, problems)
            if document is not None:
                sources.append(_Source(document, path, node))
    problems += _find_duplicates(sources)
    if not problems:
        problems += _check_together(sources)
    if problems:
        raise DeclarationError(problems)
    return [source.document for source in sources]


def _find_duplicates(sources: list[_Source]) -> list[Problem]:
    """Return a problem for each document whose kind and name are taken."""
    problems: list[Problem] = []
    seen: dict[tuple[str, str], str] = {}
    for source in sources:
        document, line = source.document, source.node.start_mark.line + 1
        where = seen.setdefault((document.kind, document.name), f"{source.path}:{line}")
        if where != f"{source.path}:{line}":
            text = f"{document.kind} {document.name!r} is already declared at {where}; rename one"
            problems.append(Problem(str(source.path), line, text))
    return problems


def _check_together(sources: list[_Source]) -> list[Problem]:
    """Return what is wrong across documents, with the line of each field."""
    by_document = {id(source.document): source for source in sources}
    violations = check_documents(source.document for source in sources)
    return [_locate(by_document[id(item.document)], item) for item in violations]


def _locate(source: _Source, violation: Violation) -> Problem:
    """Return a violation as a problem at its place."""
    line = _line_of(source.node, (violation.field,))
    return Problem(str(source.path), line, str(violation))


def _parse(path: Path, problems: list[Problem]) -> list[yaml.Node]:
    """Return the YAML nodes of a file, noting what cannot be parsed."""
    try:
        nodes = list(yaml.compose_all(path.read_text(encoding="utf-8"), Loader=yaml.SafeLoader))
    except (yaml.YAMLError, UnicodeDecodeError, OSError) as error:
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
    try:
        value = _construct(node)
    except yaml.YAMLError as error:
        problems.append(Problem(str(path), line, f"not YAML: {error}"))
        return None
    repeated = _repeated_keys(path, node)
    problems += repeated
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
            text = _explain(str(kind), field, dict(detail), model)
            problems.append(Problem(str(path), _line_of(node, detail["loc"]), text))
        return None


def _explain(kind: str, field: str, detail: dict[str, Any], model: type[Document]) -> str:
    """Return what is wrong with a field and the way out."""
    if detail["type"] == "extra_forbidden":
        known = ", ".join(model.model_fields)
        return f"{kind} has no field {field!r}; remove it or use one of: {known}"
    if detail["type"] == "missing":
        return f"{kind} needs the field {field!r}; add it"
    shown = repr(detail.get("input"))[:MAX_SHOWN]
    return f"{kind} field {field!r} = {shown}: {detail['msg']}"


def _repeated_keys(path: Path, node: yaml.Node) -> list[Problem]:
    """Return a problem for each key that a document gives twice."""
    if not isinstance(node, yaml.MappingNode):
        return []
    problems: list[Problem] = []
    seen: set[str] = set()
    for key, _ in node.value:
        if key.value in seen:
            text = f"the field {key.value!r} is given twice; keep one"
            problems.append(Problem(str(path), key.start_mark.line + 1, text))
        seen.add(key.value)
    return problems


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
