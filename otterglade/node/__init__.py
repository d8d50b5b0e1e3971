"""The platform's frontend: RTSP with clients and hosts, discovery, signals; one process, one thread."""
