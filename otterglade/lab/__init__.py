"""Days and load on real sockets: scenarios, replays, experiments."""
