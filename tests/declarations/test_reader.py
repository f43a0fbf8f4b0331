from pathlib import Path

import pytest

from bluebellrun.declarations import (
    DeclarationError,
    build_configuration,
    decode_documents,
    encode_documents,
    read_folder,
)


def write(folder: Path, text: str) -> Path:
    (folder / "a.yaml").write_text(text, encoding="utf-8")
    return folder


def test_a_bad_value_is_named_with_its_line(tmp_path):
    write(tmp_path, "kind: priority\nname: urgent\nurgency: 9\n")
    with pytest.raises(DeclarationError) as caught:
        read_folder(tmp_path)
    problem = caught.value.problems[0]
    assert problem.line == 3
    assert "urgency" in problem.message
    assert "9" in problem.message


def test_unknown_keys_and_kinds_are_refused_together(tmp_path):
    write(tmp_path, "kind: priority\nname: a\nurgency: 1\ncolour: red\n---\nkind: boat\nname: b\n")
    with pytest.raises(DeclarationError) as caught:
        read_folder(tmp_path)
    assert "colour" in str(caught.value)
    assert "boat" in str(caught.value)


def test_the_same_name_twice_is_refused(tmp_path):
    write(
        tmp_path, "kind: priority\nname: a\nurgency: 1\n---\nkind: priority\nname: a\nurgency: 2\n"
    )
    with pytest.raises(DeclarationError, match="already declared"):
        read_folder(tmp_path)


def test_stored_documents_survive_and_build_a_configuration(tmp_path):
    write(tmp_path, "kind: priority\nname: urgent\nurgency: 1\nfirst_token_s: 0.5\n")
    documents = decode_documents(encode_documents("priority", read_folder(tmp_path)))
    configuration = build_configuration(7, documents)
    assert configuration.version == 7
    assert configuration.priority_rule(0).first_token_s == 0.5


def test_stored_documents_that_are_malformed_are_refused():
    with pytest.raises(DeclarationError):
        decode_documents(b'{"kind": "priority", "items": [{"kind": "priority"}]}')
