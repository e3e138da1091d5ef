"""Daemons: thin mains, settings and logs."""
