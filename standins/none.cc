// Lets the library build while it has no other sources.
