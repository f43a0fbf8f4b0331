"""Options and exit statuses that the commands share."""

from pathlib import Path
from typing import Annotated, Literal

import typer

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_STORE = 4
EXIT_UNKNOWN = 5
EXIT_NOT_ALLOWED = 6
EXIT_NOT_FINISHED = 7

EXIT_STATUSES = {
    0: "done",
    EXIT_FAILED: (
        "the plan or intent cannot be carried out, or `check` has findings; nothing was changed"
    ),
    EXIT_BAD_INPUT: "a flag, an argument or a document is wrong; nothing was changed",
    EXIT_CONFLICT: "another operator was first; a new plan was made and nothing was changed",
    EXIT_STORE: "the key-value service cannot be reached; nothing was changed",
    EXIT_UNKNOWN: "the answer was lost; the plan may be in force: confirm it again",
    EXIT_NOT_ALLOWED: "the operator's token is missing, not known or lacks the role",
    EXIT_NOT_FINISHED: "the plan is in force but not all of its effect was seen in time",
}

OutputFormat = Literal["text", "json"]
PlanFormat = Literal["text", "json", "id"]

StoreOption = Annotated[
    str,
    typer.Option(
        "--store", envvar="BLUEBELLRUN_STORE", help="IP:PORT of the key-value service's gateway."
    ),
]
PrefixOption = Annotated[
    str,
    typer.Option("--store-prefix", envvar="BLUEBELLRUN_STORE_PREFIX", help="Prefix of all keys."),
]
OutputOption = Annotated[OutputFormat, typer.Option("--output", "-o", help="text or json.")]
PlanOutputOption = Annotated[
    PlanFormat, typer.Option("--output", "-o", help="text, json, or id for the plan's id alone.")
]
TokenOption = Annotated[
    str,
    typer.Option(
        "--token",
        envvar="BLUEBELLRUN_OPERATOR_TOKEN",
        help="Operator's token; better in the variable than as a flag.",
        show_default=False,
    ),
]
EntriesOption = Annotated[
    list[str] | None,
    typer.Option(
        "--entry",
        envvar="BLUEBELLRUN_ENTRIES",
        help="IP:PORT of an entry to ask; may be repeated, or separated by spaces in the variable.",
    ),
]
AuthorityOption = Annotated[
    Path | None,
    typer.Option(
        "--authority",
        envvar="BLUEBELLRUN_CALLERS_AUTHORITY",
        help="PEM file of the authority of entries that serve TLS; none speaks plain HTTP.",
    ),
]
DEFAULT_PREFIX = "/bluebellrun"
