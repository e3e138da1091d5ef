"""What the query language can show, and a VM's own rows of it."""

from collections.abc import Callable
import dataclasses
from typing import Any

from postspring import registry

__all__ = ["Collection", "collection_by_name"]

Row = dict[str, Any]
collection_by_name: registry.Registry = registry.Registry("collection")


@dataclasses.dataclass(frozen=True, slots=True)
class Collection:
    """A collection: its fields, and whether each VM has its own rows.

    Parameters
    ==========

    everywhere : bool
        True if the rows of all VMs together are the collection; False if
        any one VM has them all.
    """

    name: str
    fields: tuple[str, ...]
    everywhere: bool
    rows: Callable[[Any], list[Row]]


def _collection(name: str, fields: str, everywhere: bool) -> Callable:
    """Register the function that returns a VM's rows."""

    def add(function: Callable[[Any], list[Row]]) -> Callable:
        found = Collection(name, tuple(fields.split()), everywhere, function)
        collection_by_name.register(name)(found)
        return function

    return add


@_collection(
    "programs",
    "id service status priority parent data_center slot owner step spent "
    "reserved budget end_reason busy",
    everywhere=True,
)
def _programs(node: Any) -> list[Row]:
    """Return the programs in slots that this VM owns."""
    rows = []
    for host in node.slot_hosts:
        busy = host.owner.busy_programs
        for slot in host.fold.slot_by_number.values():
            if not slot.owned_by(node.incarnation):
                continue
            for program in slot.program_by_id.values():
                row = _program_row(program)
                row["data_center"] = host.data_center
                row["slot"] = slot.number
                row["owner"] = slot.owner
                row["busy"] = program.id in busy
                rows.append(row)
    return rows


def _program_row(program: Any) -> Row:
    return {
        "id": program.id,
        "service": program.service,
        "status": program.status.value,
        "priority": program.priority,
        "parent": program.parent,
        "step": program.head.step,
        "spent": program.account.spent,
        "reserved": program.account.reserved,
        "budget": program.account.limit,
        "end_reason": program.end_reason and program.end_reason.value,
    }


@_collection(
    "services",
    "id priority models tools plain default_budget max_budget max_calls "
    "max_programs",
    everywhere=False,
)
def _services(node: Any) -> list[Row]:
    """Return the services that are configured."""
    services = node.configuration.state.configuration.services
    return [
        {"id": name} | service.model_dump(mode="json")
        for name, service in services.items()
    ]


@_collection(
    "upstreams",
    "vm id kind data_center address serves concurrency in_flight failures "
    "draining suspended",
    everywhere=True,
)
def _upstreams(node: Any) -> list[Row]:
    """Return the upstreams as this VM sees them."""
    now = node.timers.now()
    return [
        {
            "vm": node.settings.vm,
            "id": upstream.id,
            "kind": upstream.kind.value,
            "data_center": upstream.data_center,
            "address": upstream.address,
            "serves": sorted(upstream.serves),
            "concurrency": upstream.concurrency,
            "in_flight": upstream.in_flight,
            "failures": upstream.failures,
            "draining": upstream.leaving,
            "suspended": now < upstream.suspended_until,
        }
        for upstream in node.pool.upstream_by_id.values()
    ]


@_collection(
    "vms",
    "id data_center incarnation leaving log_up configuration_version slots "
    "busy_calls",
    everywhere=True,
)
def _vms(node: Any) -> list[Row]:
    """Return this VM."""
    status = node.status()
    return [
        {
            "id": status["vm"],
            "data_center": status["data_center"],
            "incarnation": status["incarnation"],
            "leaving": status["leaving"],
            "log_up": status["log_up"],
            "configuration_version": status["configuration_version"],
            "slots": len(status["slots"]),
            "busy_calls": status["busy_calls"],
        }
    ]


@_collection("slots", "data_center id owner epoch programs", everywhere=True)
def _slots(node: Any) -> list[Row]:
    """Return the slots that this VM owns."""
    return [
        {
            "data_center": host.data_center,
            "id": slot.number,
            "owner": slot.owner,
            "epoch": slot.epoch,
            "programs": len(slot.program_by_id),
        }
        for host in node.slot_hosts
        for slot in host.fold.slot_by_number.values()
        if slot.owned_by(node.incarnation)
    ]


@_collection("refusals", "vm reason ran count", everywhere=True)
def _refusals(node: Any) -> list[Row]:
    """Return how often this VM refused, by reason."""
    return [
        {
            "vm": node.settings.vm,
            "reason": reason,
            "ran": ran,
            "count": count,
        }
        for (reason, ran), count in node.meters.refusal_counts.items()
    ]
