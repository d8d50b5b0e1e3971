"""Short, dense trials of the platform's gateway: real processes on loopback under drawn faults, judged.

`plan.py` draws a run from a seed, `run.py` plays it, `hosts.py`, `discovery.py`, `viewers.py` and
`processes.py` are its parts, and `referee/platform_rules.py` judges what passed on the sockets.
"""
