"""Stand-ins of the platform and of upstreams, for the demo and tests.

Nothing here is needed to run postspring; users' own platform, engines and
tools take these programs' place.
"""
