// Keeps the library buildable while it has no other sources.
