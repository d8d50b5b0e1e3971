"""The six rules and the service, judged from what passed on sockets."""
