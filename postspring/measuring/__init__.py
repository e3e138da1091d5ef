"""Measurements that back the documents' figures; see ``bin/measure``."""
