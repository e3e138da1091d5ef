"""Creates the policies that an operator's settings select."""

from collections.abc import Callable
import functools

from postspring import forwarding
from postspring.front import settings as settings_module
from postspring import metrics as metrics_module
from postspring import peering
from postspring import quarantine
from postspring import scheduling
from postspring import transport
from postspring import upstreams

__all__ = ["make_delivery_context", "make_quarantine"]


def make_delivery_context(
    settings: settings_module.FrontSettings,
    http: transport.HttpClient,
    timers: transport.Timers,
    directory: upstreams.Directory,
    wire: forwarding.WireFormat,
    metrics: metrics_module.Metrics,
    members: peering.Members,
    quarantine_policy: quarantine.Quarantine,
    memory: transport.CallerMemory,
    sends_work: Callable[[], bool],
) -> forwarding.DeliveryContext:
    """Return what deliveries share, with the policies of the settings."""
    own = members.own
    subsets = None
    if settings.upstream_subset > 0:
        subsets = upstreams.Subsets(
            directory,
            own.name,
            own.data_center,
            settings.upstream_subset,
            lambda: members.vm_count,
        )
    return forwarding.DeliveryContext(
        http,
        timers,
        directory,
        scheduling.placement_by_name[settings.placement](),
        wire,
        metrics,
        forwarding.AnswerMemory(timers, memory),
        own.data_center,
        urgency=scheduling.urgency_by_name[settings.urgency](),
        subsets=subsets,
        admission=scheduling.admission_by_name[settings.admission](),
        quarantine=quarantine_policy,
        sends_work=sends_work,
    )


def make_quarantine(
    settings: settings_module.FrontSettings,
    http: transport.HttpClient,
    timers: transport.Timers,
    publish: Callable[[quarantine.RequestCrashes, Callable], None],
) -> quarantine.Quarantine:
    """Return the policy for requests under which upstreams crash."""
    return quarantine.quarantine_by_name[settings.quarantine](
        timers.now,
        functools.partial(transport.probe_address, http.hub, timers),
        publish,
    )
