"""Errors in operators' documents."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """What is wrong with a document, where, and the way out."""

    file: str
    line: int
    message: str

    def __str__(self) -> str:
        """Return the problem as ``FILE:LINE: MESSAGE``."""
        return f"{self.file}:{self.line}: {self.message}"


class DeclarationError(Exception):
    """One or more documents are not acceptable."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems
