"""Scenario files: streams of requests, each with its rate over time."""

from pathlib import Path

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError


class Phase(BaseModel):
    """A span of time with a rate; times in seconds, rates in requests a second."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    start_s: float = Field(ge=0)
    end_s: float = Field(gt=0)
    rate: float = Field(ge=0)


class Stream(BaseModel):
    """Requests of one customer and priority.

    ``path`` selects the API; ``prefixes`` is how many shared prompt prefixes there are, each of
    ``prefix_words`` words; ``keyed`` sends an idempotency key with each request.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    key: str
    priority: int = Field(default=3, ge=0, le=7)
    model: str = "draft-large"
    path: str = "/v1/chat/completions"
    method: str = "POST"
    phases: list[Phase] = Field(min_length=1)
    prompt_words: int = Field(default=40, gt=0)
    answer_tokens: int = Field(default=32, gt=0)
    answer_tokens_spread: float = Field(default=0.5, ge=0, lt=1)
    prefixes: int = Field(default=0, ge=0)
    prefix_words: int = Field(default=0, ge=0)
    keyed: bool = False
    deadline_s: float = Field(default=30.0, gt=0)
    first_token_s: float = Field(default=2.0, gt=0)


class Scenario(BaseModel):
    """A named set of streams."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    streams: list[Stream] = Field(min_length=1)


def load_scenario(path: Path) -> Scenario:
    """Read a scenario file; raise ``ValueError`` that names the bad value."""
    try:
        return Scenario.model_validate(yaml.safe_load(path.read_text(encoding="utf-8")))
    except (yaml.YAMLError, ValidationError) as error:
        raise ValueError(f"{path}: {error}") from error
