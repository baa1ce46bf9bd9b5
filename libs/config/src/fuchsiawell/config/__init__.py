"""Settings, questionnaire and configuration."""

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
from fuchsiawell.config.settings import (
    Address,
    Limits,
    LogLevel,
    Settings,
    SettingsError,
    address_in,
    load_settings,
    parse_address,
    parse_settings,
)

__all__ = [
    "Address",
    "Configuration",
    "ConfigurationError",
    "Goal",
    "IdStyle",
    "Kind",
    "Limits",
    "LogLevel",
    "Service",
    "Settings",
    "SettingsError",
    "StoreOutage",
    "address_in",
    "configuration_key",
    "decode_configuration",
    "encode_configuration",
    "load_settings",
    "parse_address",
    "parse_settings",
]
