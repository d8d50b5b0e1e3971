"""otterglade: admission and quality decisions for media sessions, made by each gateway on its own."""
