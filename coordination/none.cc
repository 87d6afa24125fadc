// Placeholder so that the library links before its first decision is written.
