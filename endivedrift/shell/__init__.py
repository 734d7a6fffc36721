"""The imperative shell: performs all I/O around the reducer, with curio."""
