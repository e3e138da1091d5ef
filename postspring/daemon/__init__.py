"""Entry points: the daemons of both kinds of VM, and the command line."""
