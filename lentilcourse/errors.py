"""The exception tree.

Every error that the project raises on purpose derives from `LentilcourseError`, so that a
task can tell an expected failure (count it, go on) from a defect (log it, fail the task).
"""

from __future__ import annotations


class LentilcourseError(Exception):
    """Base of all errors raised on purpose."""


class SettingsError(LentilcourseError):
    """The settings file cannot be used; the text names file, section and key."""


class RegistryError(LentilcourseError):
    """A plug-in is unknown or registered twice."""


class PoolFullError(LentilcourseError):
    """A task pool has reached its limit; the work was refused, not queued."""


class StreamError(LentilcourseError):
    """Base of failures of a message stream."""


class StreamClosedError(StreamError):
    """The peer closed the stream or fell silent past the heartbeat deadline."""


class ProtocolError(StreamError):
    """The peer sent bytes that are not a valid message."""


class UnencodableError(LentilcourseError):
    """A message or record holds a value that cannot be written as msgpack."""


class AuthenticationError(StreamError):
    """The peer did not prove that it holds the expected key."""


class PacketError(LentilcourseError):
    """A datagram is not a packet that this process can carry."""


class ChangeRefusedError(LentilcourseError):
    """A catalogue change was refused whole."""


class InvalidChangeError(ChangeRefusedError):
    """A field of a change is not acceptable."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class VersionConflictError(ChangeRefusedError):
    """A change names another version than the one in force."""

    def __init__(self, current_version: int) -> None:
        super().__init__(f"version in force is {current_version}")
        self.current_version = current_version


class StorageError(LentilcourseError):
    """Durable state cannot be read or written."""


class NotLeaderError(LentilcourseError):
    """This replica cannot accept proposals now."""


class WrongReplicaError(LentilcourseError):
    """A request was meant for another data folder than the one at this address."""


class OrderExpiredError(LentilcourseError):
    """A change was dropped, not executed: its caller may have turned elsewhere by now."""


class ProposalUnknownError(LentilcourseError):
    """A proposal was neither committed nor refused in time; its outcome is not known."""


class TargetFailedError(LentilcourseError):
    """The target did not answer a request in full."""
