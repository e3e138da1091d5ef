"""Front: an entry VM on the users' platform, put together and run."""
