"""What must hold of the state of a host between any two events."""

from endivedrift.core import LeavingSource, TargetState
from endivedrift.policy import TargetRecord
from endivedrift.reducer import HostState


def check_states(state: HostState) -> None:
    """Checks that targets are out of use exactly while they are known to be leaving.

    Raises:
      AssertionError: If a target's state contradicts what is known of it.
    """
    for service in state.services.values():
        for name, record in service.targets.items():
            is_out = record.state is TargetState.LEAVING
            assert is_out == _is_known_to_leave(record), (
                f"{name} of {service.name} is {record.state.value}, "
                f"sign of leaving: {record.leaving_source.value}"
            )


def _is_known_to_leave(record: TargetRecord) -> bool:
    is_registered_as_leaving = record.entry is not None and record.entry.leaving
    is_signed = record.leaving_source is not LeavingSource.NONE
    return is_signed or record.target.draining or is_registered_as_leaving
