"""Crash-safe storage of checksummed bytes; `core` decides what the bytes mean."""
