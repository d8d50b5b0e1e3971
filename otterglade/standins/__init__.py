"""Scripted outside systems, written from public specifications: media host, registry, player."""
