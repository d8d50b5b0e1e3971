"""What gateways settle together, each keeping the rules alone: decided without I/O, clock or unseeded
draws."""
