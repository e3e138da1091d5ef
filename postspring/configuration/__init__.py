"""The operators' configuration document: schema, validation, versions."""

from postspring.configuration.fold import configuration_records
from postspring.configuration.fold import ConfigurationFold
from postspring.configuration.fold import ConfigurationState
from postspring.configuration.fold import PublishConflictError
from postspring.configuration.fold import PublishRecord
from postspring.configuration.fold import PublishVerdict
from postspring.configuration.schema import Configuration
from postspring.configuration.schema import Model
from postspring.configuration.schema import parse_address
from postspring.configuration.schema import parse_configuration
from postspring.configuration.schema import Service
from postspring.configuration.schema import Tool
from postspring.configuration.schema import Upstream
from postspring.configuration.schema import UpstreamKind

__all__ = [
    "Configuration",
    "ConfigurationFold",
    "ConfigurationState",
    "Model",
    "PublishConflictError",
    "PublishRecord",
    "PublishVerdict",
    "Service",
    "Tool",
    "Upstream",
    "UpstreamKind",
    "configuration_records",
    "parse_address",
    "parse_configuration",
]
