from pathlib import Path

import pytest

from bluebellrun.core import parse_address
from bluebellrun.customers import hash_key
from bluebellrun.declarations import (
    KINDS,
    DeclarationError,
    UpstreamDocument,
    build_configuration,
    decode_documents,
    encode_documents,
    format_text,
    json_schema,
    read_folder,
    relocate,
)

EXAMPLES = Path(__file__).parents[2] / "examples"
SERVICE = "kind: service\nname: pool\nprotocol: model\nmodels: [m]\n"


def problems(folder: Path, text: str) -> list[str]:
    (folder / "a.yaml").write_text(text, encoding="utf-8")
    with pytest.raises(DeclarationError) as caught:
        read_folder(folder)
    return [str(problem) for problem in caught.value.problems]


def test_a_service_that_is_not_declared_is_named_with_its_line(tmp_path):
    text = SERVICE + "---\nkind: upstream\nname: a\nservice: poll\nagent: 10.0.0.1:1\n"
    (found,) = problems(tmp_path, text)
    assert ":8:" in found
    assert "'poll'" in found
    assert "pool" in found.partition("use one of")[2]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (SERVICE + "---\n" + SERVICE.replace("pool", "other"), "is served by 'pool' already"),
        (
            "kind: priority\nname: a\nurgency: 1\nfloor: 0.7\n---\n"
            "kind: priority\nname: b\nurgency: 2\nfloor: 0.7\n",
            "add up to 1.40",
        ),
        (
            "kind: priority\nname: a\nurgency: 1\n---\nkind: priority\nname: b\nurgency: 1\n",
            "is the urgency of 'a' already",
        ),
        ("kind: share\nname: s\ncustomer: c\nservice: x\nweight: 2\n", "customer 'c'"),
        ("kind: objective\nname: o\npriority: p\non_time: 1.0\n", "on_time"),
        ("kind: priority\nname: a\nname: b\nurgency: 1\n", "given twice"),
        (
            SERVICE
            + "---\nkind: upstream\nname: a\nservice: pool\nagent: 1.1.1.1:1\ngroup: g\nrank: 4\n"
            "---\nkind: model-version\nname: v\nmodel: m\nweights: w\nweights_bytes: 1\n"
            "---\nkind: model-group\nname: g\nservice: pool\nranks: 4\nversion: v\n",
            "use 0 to 3",
        ),
    ],
)
def test_documents_that_do_not_fit_each_other_are_refused(tmp_path, text, expected):
    assert expected in "\n".join(problems(tmp_path, text))


def test_one_key_for_two_customers_is_refused_without_showing_it_whole(tmp_path):
    hashed = hash_key("k")
    text = "---\n".join(f"kind: customer\nname: {n}\nkey_hashes: [{hashed}]\n" for n in "ab")
    (found,) = problems(tmp_path, text)
    assert "belongs to customer a already" in found
    assert hashed not in found


@pytest.mark.parametrize("name", ["quickstart", "board", "society"])
def test_examples_are_valid_and_in_the_common_layout(name):
    read_folder(EXAMPLES / name)
    for path in (EXAMPLES / name).glob("*.yaml"):
        text = path.read_text(encoding="utf-8")
        assert format_text(text) == text, path


@pytest.mark.parametrize(
    ("name", "pool", "plain"),
    [("board", "draft-pool", "job-ledger"), ("society", "model-pool", "bookings-app")],
)
def test_examples_have_the_sizes_of_today(name, pool, plain):
    configuration = build_configuration(1, read_folder(EXAMPLES / name))
    assert len(configuration.services.upstreams_of(pool)) == 12
    assert len(configuration.services.upstreams_of(plain)) == 3
    assert len({upstream.failure_domain for upstream in configuration.upstreams}) == 3
    assert len(configuration.objectives) == 4


def test_relocated_examples_hold_only_upstreams_that_run_here():
    here = {"draft-pool-2": parse_address("127.0.0.1:7000")}
    moved = relocate(read_folder(EXAMPLES / "board"), here)
    upstreams = [item for item in moved if isinstance(item, UpstreamDocument)]
    assert [(item.name, item.agent) for item in upstreams] == [("draft-pool-2", "127.0.0.1:7000")]


def test_a_share_of_one_service_goes_before_the_general_share():
    configuration = build_configuration(1, read_folder(EXAMPLES / "board"))
    customer = configuration.customers.find("school-orders-key")
    assert customer is not None
    assert (customer.share_of("draft-pool"), customer.share_of("job-ledger")) == (4.0, 1.0)


def test_formatting_orders_keys_and_keeps_comments():
    text = "# all\nurgency: 1  # most\nname: a\n\n# why\nkind: priority   \n---\nkind: x\n"
    assert format_text(text) == (
        "# why\nkind: priority\nname: a\n\n# all\nurgency: 1  # most\n---\nkind: x\n"
    )


def test_formatting_refuses_what_is_not_yaml():
    with pytest.raises(ValueError, match="not YAML"):
        format_text("a: [")


def test_the_schema_names_every_kind_and_refuses_unknown_keys():
    schema = json_schema()
    assert len(schema["oneOf"]) == len(KINDS)
    assert all(item["additionalProperties"] is False for item in schema["oneOf"])
    with pytest.raises(ValueError, match="boat"):
        json_schema("boat")


def upstreams(count: int, noise: str = "") -> list[UpstreamDocument]:
    return [
        UpstreamDocument(
            name=f"upstream-{number}",
            service="pool",
            agent=f"10.0.{number // 250}.{number % 250}:9002",
            host=f"{noise}{number}",
        )
        for number in range(count)
    ]


def test_the_documents_of_the_design_size_fit_one_value():
    documents = upstreams(2_800)
    data = encode_documents("upstream", documents)
    assert len(data) < 300_000
    assert sorted(decode_documents(data), key=lambda d: d.name) == sorted(
        documents, key=lambda d: d.name
    )


def test_documents_beyond_one_value_are_refused_with_the_size():
    noise = "".join(hash_key(str(number)) for number in range(40))
    documents = [
        item.model_copy(update={"host": noise[: 2_000 + number] + hash_key(item.name) * 20})
        for number, item in enumerate(upstreams(20_000))
    ]
    with pytest.raises(DeclarationError, match="keeps 1000000"):
        encode_documents("upstream", documents)


@pytest.mark.parametrize("data", [b"\x78\x9c", b"\x78", b"{}"])
def test_packed_documents_that_are_cut_short_are_refused(data):
    with pytest.raises(DeclarationError):
        decode_documents(data)
