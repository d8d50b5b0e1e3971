"""The platform's door: RTSP with viewers and hosts, its name service, signals; one process, one thread."""
