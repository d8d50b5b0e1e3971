"""The platform's gateway process: RTSP with viewers and media hosts, host discovery, signals;
single-threaded.

The package `gateway` holds the other gateway process, which speaks HTTP. Both place sessions by
`core/policy.py`.
"""
