"""Listeners, blocking connections and thread pools, without any parsing."""
