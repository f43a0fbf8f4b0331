"""A stand-in for a model engine: continuous batching, streams, records and faults."""

from standins.engine._app import EngineApp
from standins.engine._batching import Batcher, EngineSettings, Sequence
from standins.engine._faults import EngineFaults

__all__ = ["Batcher", "EngineApp", "EngineFaults", "EngineSettings", "Sequence"]
