"""Translation between this project's types and the users' platform only."""
