"""A fleet of hollow gateways: real control machines, and gateways that only follow the configuration.

A hollow gateway runs the shipped subscriber over real sockets and records each revision that it acts upon.
Many of them share a process, so that one machine bears thousands. `play.py` plays such a fleet and
`judge.py` says what the records prove.
"""
