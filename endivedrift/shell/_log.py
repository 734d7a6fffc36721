"""Structured logs: short sentences with a fixed prefix for each part."""

import logging
import sys

import structlog

from endivedrift.settings import LogSection

PREFIX_KEY = "part"


def configure_logs(settings: LogSection) -> None:
    """Sets up structlog to write to standard error."""
    renderer: structlog.types.Processor = (
        structlog.processors.JSONRenderer()
        if settings.format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _prefix_event,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[settings.level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )


def make_logger(part: str) -> structlog.typing.FilteringBoundLogger:
    """Returns a logger whose sentences begin with the name of a part."""
    return structlog.get_logger(**{PREFIX_KEY: part})


def _prefix_event(
    logger: object, method: str, event: structlog.types.EventDict
) -> structlog.types.EventDict:
    part = event.pop(PREFIX_KEY, None)
    if part is not None:
        event["event"] = f"{part}: {event['event']}"
    return event
