"""Front: assembles and runs an entry VM on the users' platform."""
