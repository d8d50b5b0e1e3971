"""Exhaustive and random exploration of the real `core` in small worlds."""
