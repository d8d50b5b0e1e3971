"""Parsers and writers without I/O: bytes in, messages out."""
