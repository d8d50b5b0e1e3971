"""All schedules of a few real threads that run the shipped code of `store`, `net` and `gateway`."""
