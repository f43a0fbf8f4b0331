"""Bring declaration files into one layout without losing a comment."""

import yaml

from bluebellrun.declarations._models import KINDS

SEPARATOR = "---\n"


def format_text(text: str) -> str:
    """Return a file's text with keys in the order of the reference and clean line ends.

    Comments stay above the key they precede. Raises ``ValueError`` for what is not YAML, or
    when the layout cannot be changed without changing the meaning.
    """
    try:
        before = list(yaml.safe_load_all(text))
        parts = _split_documents(text)
        formatted = SEPARATOR.join(_format_document(part) for part in parts)
        after = list(yaml.safe_load_all(formatted))
    except yaml.YAMLError as error:
        raise ValueError(f"not YAML: {error}") from error
    if [item for item in before if item is not None] != [x for x in after if x is not None]:
        raise ValueError("the layout is too unusual to format; write one key on each line")
    return formatted


def _split_documents(text: str) -> list[str]:
    """Return the text of each document; markers inside block values are not indented."""
    parts: list[list[str]] = [[]]
    for line in text.splitlines():
        if line.rstrip() == "---":
            parts.append([])
            continue
        parts[-1].append(line.rstrip())
    joined = ["\n".join(part).strip("\n") for part in parts]
    return [part + "\n" for part in joined if part]


def _format_document(text: str) -> str:
    """Return one document with its top-level keys in order."""
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    if not isinstance(node, yaml.MappingNode) or node.flow_style:
        return text
    lines = text.splitlines()
    starts = [key.start_mark.line for key, _ in node.value]
    blocks = _cut_blocks(lines, starts)
    names = [key.value for key, _ in node.value]
    order = _key_order(dict(zip(names, (value for _, value in node.value), strict=True)))
    ranked = sorted(range(len(names)), key=lambda index: order.get(names[index], len(order)))
    return "\n".join("\n".join(blocks[index]) for index in ranked).rstrip("\n") + "\n"


def _cut_blocks(lines: list[str], starts: list[int]) -> list[list[str]]:
    """Return the lines of each key, with the comment lines above it."""
    tops = [_first_comment_line(lines, start) for start in starts]
    if tops:
        tops[0] = 0
    ends = [*tops[1:], len(lines)]
    return [lines[top:end] for top, end in zip(tops, ends, strict=True)]


def _first_comment_line(lines: list[str], start: int) -> int:
    """Return the line where the comments directly above a key begin."""
    while start > 0 and lines[start - 1].startswith("#"):
        start -= 1
    return start


def _key_order(values: dict[str, yaml.Node]) -> dict[str, int]:
    """Return the place of each known key of a document's kind."""
    kind = values.get("kind")
    model = KINDS.get(str(kind.value)) if kind is not None else None
    names = list(model.model_fields) if model is not None else ["kind", "name"]
    return {name: index for index, name in enumerate(names)}
