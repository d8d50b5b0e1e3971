"""Commands of the terminal: arguments, progress, exit codes."""
