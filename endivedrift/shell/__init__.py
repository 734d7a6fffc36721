"""The shell: curio I/O around the reducer."""
