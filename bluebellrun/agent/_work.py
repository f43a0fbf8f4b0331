"""Convert requests and declared priorities to admission's types."""

from bluebellrun.admission import PriorityTarget, Work, stated_answer_tokens
from bluebellrun.declarations import Configuration
from bluebellrun.messages import Submit

BYTES_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 256


def make_work(submit: Submit, now: float) -> Work:
    """Return the admission work item of a request."""
    prompt_tokens = len(submit.body) // BYTES_PER_TOKEN
    return Work(
        attempt=submit.attempt,
        customer=submit.customer,
        priority=submit.priority,
        arrived=now - submit.age_s,
        deadline=now + submit.budget_s,
        cost=float(prompt_tokens + DEFAULT_ANSWER_TOKENS),
        share=submit.share,
        prompt_tokens=prompt_tokens,
        kind=submit.model or submit.method,
        max_tokens=stated_answer_tokens(submit.body) if submit.model else 0,
        served_elsewhere=submit.served_elsewhere,
        may_go_elsewhere=submit.may_go_elsewhere,
    )


def make_targets(configuration: Configuration) -> list[PriorityTarget]:
    """Return the latency and share targets of the declared priorities."""
    return [
        PriorityTarget(rule.urgency, rule.first_token_s, rule.token_gap_s, rule.floor)
        for rule in configuration.priorities
    ]
