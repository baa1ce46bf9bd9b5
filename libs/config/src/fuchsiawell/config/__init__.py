"""Questionnaire and configuration."""

from __future__ import annotations

from fuchsiawell.config.codec import (
    ConfigurationError,
    decode_configuration,
    encode_configuration,
)
from fuchsiawell.config.configuration import (
    Configuration,
    Goal,
    IdStyle,
    Kind,
    Service,
    StoreOutage,
    configuration_key,
)

__all__ = [
    "Configuration",
    "ConfigurationError",
    "Goal",
    "IdStyle",
    "Kind",
    "Service",
    "StoreOutage",
    "configuration_key",
    "decode_configuration",
    "encode_configuration",
]
