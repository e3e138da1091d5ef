"""Runs of real daemons with stand-ins, faults and a verdict."""
