"""Decode the operator's configuration into a ``Deployment``."""

import msgspec

from bluebellrun.core import DecodingError, decode
from bluebellrun.deployment import (
    CallerLimits,
    Customer,
    Deployment,
    DomainDelay,
    EngineTerms,
    ExpertTerms,
    Repeat,
    Route,
    ServiceTerms,
    Share,
)

MILLISECOND_S = 0.001
MEGABYTE = 1_000_000


class ConfigurationError(Exception):
    """The stored configuration cannot be decoded."""


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    goal_ms: float = 0
    service: str = ""
    split: list[_Split] = []
    attempts: int = 1
    priority: int = 0
    public: bool = False
    can_resume: bool = False
    gap_goal_ms: float = 0


class _Delay(msgspec.Struct):
    # Despite its name, the failure domain at the other end, not a version.
    target_ver: str
    delay_ms: float
    first: str = msgspec.field(name="from")


class _Usual(msgspec.Struct):
    prompt: float = 0
    answer: float = 0


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_capacity: int = 0
    link_mbps: float = 0
    stride: int = 1
    step_ms: float = 0
    per_seq_ms: float = 0
    # Milliseconds per thousand tokens of context.
    context_per_k: float = 0
    read_per_s: float = 0
    # Milliseconds per million pairs of a token and an earlier token.
    pairs_per_m: float = 0
    chunk: int = 0
    report_lag_ms: float = 0
    usual: _Usual = msgspec.field(default_factory=_Usual)
    delays: list[_Delay] = []
    sets: int = 0
    experts: int = 0
    places: int = 0
    spare: int = 0
    expert_mb: float = 0
    expert_share: float = 0
    form_ms: float = 0


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    max_conns: int = 0
    engine: _Engine | None = None
    cold_s: float = 0
    cold_per_s: float = 0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_decoder = msgspec.json.Decoder(_Configuration, strict=False)


def read_configuration(data: bytes, revision: int) -> Deployment:
    """Decode a stored configuration; raise ``ConfigurationError`` if it cannot be decoded."""
    try:
        stored = decode(_decoder, data)
    except DecodingError as error:
        raise ConfigurationError(f"the configuration cannot be read: {error}") from error
    return Deployment(
        version=stored.version,
        revision=revision,
        routes=[_route(route) for route in stored.routes],
        services={service.name: _service(service) for service in stored.services},
        customers=[
            Customer(tenant.name, tuple(tenant.api_keys), tenant.priority)
            for tenant in stored.tenants or []
        ],
        checks_keys=stored.tenants is not None,
        limits=CallerLimits(
            stored.limits.max_header_bytes,
            stored.limits.max_body_bytes,
            stored.limits.header_timeout_ms * MILLISECOND_S,
            stored.limits.idle_timeout_ms * MILLISECOND_S,
        ),
    )


def _route(route: _Route) -> Route:
    """Convert a route to the internal type."""
    shares = tuple(Share(part.service, part.weight) for part in route.split)
    repeatable = route.kind == "idempotent"
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        repeat=Repeat.IDEMPOTENT if repeatable else Repeat.ONCE,
        shares=shares or (Share(route.service, 1.0),),
        timeout_s=route.timeout_ms * MILLISECOND_S,
        objective_s=route.goal_ms * MILLISECOND_S,
        priority=route.priority,
        attempts=max(1, route.attempts),
        streamed=route.kind == "stream",
        resumable=route.can_resume,
        longest_pause_s=route.gap_goal_ms * MILLISECOND_S or None,
        needs_key=not route.public,
    )


def _service(service: _Service) -> ServiceTerms:
    """Convert a service to the internal type."""
    engine = service.engine
    delays = tuple(
        DomainDelay(delay.first, delay.target_ver, delay.delay_ms * MILLISECOND_S)
        for delay in (engine.delays if engine is not None else ())
    )
    return ServiceTerms(
        service.name,
        service.health_path,
        service.max_conns,
        None if engine is None else _engine(engine),
        delays,
        max(0.0, service.cold_s),
        max(0.0, service.cold_per_s),
    )


def _engine(engine: _Engine) -> EngineTerms:
    """Convert an engine's terms to the internal type."""
    experts = None
    if engine.sets and engine.experts:
        experts = ExpertTerms(
            layers=engine.sets,
            experts=engine.experts,
            slots=engine.places,
            most_new=engine.spare,
            copy_bytes=engine.expert_mb * MEGABYTE,
            share=engine.expert_share,
        )
    return EngineTerms(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity,
        step_s=engine.step_ms * MILLISECOND_S,
        writer_s=engine.per_seq_ms * MILLISECOND_S,
        context_s=engine.context_per_k * MILLISECOND_S / 1_000,
        read_tokens_per_s=engine.read_per_s,
        pair_s=engine.pairs_per_m * MILLISECOND_S / 1_000_000,
        chunk_tokens=engine.chunk,
        stride=max(1, engine.stride),
        usual_prompt_tokens=engine.usual.prompt,
        usual_answer_tokens=engine.usual.answer,
        report_lag_s=engine.report_lag_ms * MILLISECOND_S,
        forming_s=engine.form_ms * MILLISECOND_S,
        link_bytes_per_s=engine.link_mbps * MEGABYTE / 8,
        experts=experts,
    )
